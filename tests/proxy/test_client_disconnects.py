"""A client that has closed its connection is disconnected, also where its end of stream is still unread.

Each client disconnects at a moment that an event gives, with no turn of the event loop between that and the
sending of an attempt.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from loadbalancer.actions import Send
from loadbalancer.events import AttemptOutcome, AttemptResult, ClientDisconnected
from loadbalancer.http.server_connection import ServerConnection
from tests.support.disconnects import (
    WAYS_TO_DISCONNECT,
    DisconnectingClient,
    FailingFirstAttempt,
    disconnect_at_connection,
    disconnect_at_send,
)
from tests.support.loopback import (
    HttpClient,
    LoopbackServer,
    ScriptedPolicy,
    read_message,
    reply,
    request,
    running_proxy,
    send_request,
    until,
)
from tests.support.proxy import (
    policy_sending_to,
)

CAN_CANCEL = pytest.mark.parametrize("can_cancel", [True, False])


REUSE = pytest.mark.parametrize("reuse", [True, False])  # of pooled connections, or new ones


WAYS = pytest.mark.parametrize("way", WAYS_TO_DISCONNECT)


@pytest.fixture(autouse=True)
def immediate_reuse(monkeypatch):
    """A connection may be reused right after its response."""
    monkeypatch.setattr("loadbalancer.proxy.connection_pool.REUSE_DELAY_S", 0.0)


async def assert_disconnect_left_nothing(proxy, *seen: str, of: FailingFirstAttempt) -> None:
    """No further attempt was sent; the counters are right; and the next request is served."""
    await until(
        lambda: proxy.requests.open_count == 0 and not proxy.requests.by_id and not proxy.pool._connecting
    )
    await until(
        lambda: all(endpoint.in_flight == 0.0 for endpoint in proxy.policy.endpoints.by_name.values())
    )
    assert not proxy.policy.requests.open
    assert (await send_request(proxy, request("post", "next"))).status == 200
    assert sorted(of.seen) == sorted([*seen, "next"])
    assert proxy.statistics.client_disconnects == 1
    assert proxy.statistics.attempts["cancelled"] == 0
    assert (
        proxy.statistics.requests_received
        == proxy.statistics.client_disconnects + proxy.statistics.responses[200]
    )
    await until(lambda: len(proxy.listener.connections) == 0)
    assert proxy.requests.open_count == 0


@contextlib.asynccontextmanager
async def disconnecting(first_result: str, reuse: bool, way: str, can_cancel: bool):
    """The endpoints, the proxy and a client that is about to disconnect."""
    backends = FailingFirstAttempt(first_result)
    async with running_proxy(*backends.servers, bounds={"cancel": can_cancel}) as proxy:
        if reuse:
            await backends.open_connections(proxy)
        backends.prepare(proxy)
        client = DisconnectingClient(proxy, way)
        yield backends, proxy, client
        client.close()


@CAN_CANCEL
@WAYS
@REUSE
def test_request_followed_by_its_clients_disconnect_is_not_forwarded(reuse, way, can_cancel):
    """Read in one turn of a late event loop: the request, and with it or behind it the end of stream."""

    async def main():
        async with disconnecting("none", reuse, way, can_cancel) as (backends, proxy, client):
            client.send(request("post", "abandoned"))
            client.disconnect()
            await assert_disconnect_left_nothing(proxy, of=backends)

    asyncio.run(main())


@CAN_CANCEL
@WAYS
@REUSE
@pytest.mark.parametrize("first_result", ["none", "declined", "error", "reset", "refused"])
def test_client_that_disconnects_as_its_request_is_about_to_be_sent(first_result, reuse, way, can_cancel):
    """For the first time, or for a retry after a failed attempt."""

    async def main():
        async with disconnecting(first_result, reuse, way, can_cancel) as (backends, proxy, client):
            disconnect_at_send(proxy, 1 if first_result == "none" else 2, client)
            client.send(request("post" if first_result == "none" else "read", "abandoned"))
            await until(lambda: client.disconnected)
            await assert_disconnect_left_nothing(
                proxy, *([] if first_result in ("none", "refused") else ["abandoned"]), of=backends
            )

    asyncio.run(main())


@CAN_CANCEL
@WAYS
@REUSE
@pytest.mark.parametrize("pipelined", [True, False])
def test_client_that_disconnects_as_its_second_request_is_about_to_be_sent(pipelined, reuse, way, can_cancel):
    """Pipelined: as the first response is written, and the second request waits for the next turn."""

    async def main():
        async with disconnecting("none", reuse, way, can_cancel) as (backends, proxy, client):
            if pipelined:
                answered = ServerConnection.respond

                def answer_and_disconnect(connection, call, *answer):
                    answered(connection, call, *answer)
                    if call.headers[b"req-id"] == b"first":
                        client.disconnect()

                with pytest.MonkeyPatch.context() as patch:
                    patch.setattr(ServerConnection, "respond", answer_and_disconnect)
                    client.send(request("post", "first") + request("post", "abandoned"))
                    await until(lambda: client.disconnected)
                    await until(
                        lambda: (
                            proxy.requests.open_count == 0
                            and not proxy.requests.by_id
                            and not proxy.listener.connections
                        )
                    )
            else:
                client.send(request("post", "first"))
                assert (await client.read_response()).startswith(b"HTTP/1.1 200")
                client.send(request("post", "abandoned"))
                client.disconnect()
            await assert_disconnect_left_nothing(proxy, "first", of=backends)

    asyncio.run(main())


@CAN_CANCEL
@WAYS
@pytest.mark.parametrize("first_result", ["none", "declined"])
def test_client_that_disconnects_as_its_attempt_has_connected(first_result, way, can_cancel):
    """For a first attempt and for a retry."""

    async def main():
        async with disconnecting(first_result, False, way, can_cancel) as (backends, proxy, client):
            disconnect_at_connection(proxy, 1 if first_result == "none" else 2, client)
            client.send(request("read", "abandoned"))
            await until(lambda: client.disconnected)
            await assert_disconnect_left_nothing(
                proxy, *([] if first_result == "none" else ["abandoned"]), of=backends
            )

    asyncio.run(main())


@CAN_CANCEL
def test_client_whose_end_of_stream_has_been_read_is_disconnected_before_the_close(can_cancel, monkeypatch):
    """asyncio reports the end of stream in one turn, and the connection's loss in the next."""

    async def main():
        backends = FailingFirstAttempt("none")
        async with running_proxy(*backends.servers, bounds={"cancel": can_cancel}) as proxy:
            await backends.open_connections(proxy)
            proxy.policy = scripted = ScriptedPolicy()
            ended = ServerConnection.eof_received

            def end_and_send(connection):
                proxy.loop.call_soon(proxy._execute, Send("abandoned", "s0"))
                return ended(connection)

            client = await HttpClient.to(proxy)
            client.writer.write(request("post", "abandoned"))
            await until(lambda: proxy.requests.by_id)
            monkeypatch.setattr(ServerConnection, "eof_received", end_and_send)
            client.writer.close()
            await until(lambda: scripted.events_of(AttemptOutcome))
            outcomes = [(event.result, event.done) for event in scripted.events_of(AttemptOutcome)]
            assert outcomes == [(AttemptResult.NOT_SENT, True)]
            assert len(scripted.events_of(ClientDisconnected)) == 1
            await until(lambda: not proxy.requests.by_id and not proxy.listener.connections)
            proxy.policy = ScriptedPolicy(policy_sending_to("s0"))
            assert (await send_request(proxy, request("post", "next"))).status == 200
            assert (proxy.requests.open_count, backends.seen) == (0, ["next"])

    asyncio.run(main())


BODY = b"z" * 65536


def test_client_that_ends_its_sending_and_reads_no_response_is_disconnected(monkeypatch):
    """asyncio keeps such a connection until all is read: its loss would never be reported."""

    async def main():
        async def answers(message):
            return reply(200, BODY)

        monkeypatch.setattr("loadbalancer.http.request_timeouts.UNREAD_TIMEOUT_S", 0.0)
        monkeypatch.setattr("loadbalancer.http.request_timeouts.LINGER_TIMEOUT_S", 0.0)
        async with running_proxy(LoopbackServer(answers)) as proxy, contextlib.AsyncExitStack() as stack:
            send = policy_sending_to("s0")

            def first(event):
                return getattr(event, "request_id", "") == "first"

            scripted = ScriptedPolicy(lambda event: send(event) if first(event) else [])
            proxy.policy = scripted
            raw = stack.enter_context(socket.socket())
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
            raw.connect(proxy.listener.address)
            await until(lambda: proxy.listener.connections)
            (connection,) = proxy.listener.connections
            own = connection._transport.get_extra_info("socket")
            own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
            raw.sendall(request("post", "first") + request("post", "abandoned"))
            await until(lambda: "abandoned" in proxy.requests.by_id)  # the first response waits to be read
            assert connection.unsent_bytes
            raw.shutdown(socket.SHUT_WR)
            await until(lambda: connection._transport.is_closing())
            assert [event.request_id for event in scripted.events_of(ClientDisconnected)] == ["abandoned"]
            assert (proxy.requests.open_count, proxy.requests.by_id) == (0, {})
            proxy._execute(Send("abandoned", "s0"))
            assert scripted.events_of(AttemptOutcome)[-1].result is AttemptResult.NOT_SENT
            proxy.listener.timeouts.end_overdue()
            await until(lambda: not proxy.listener.connections)

    asyncio.run(main())


@pytest.mark.parametrize("more", [request("post", "second"), request("post", "second")[:30]])
@pytest.mark.parametrize("moment", [disconnect_at_send, disconnect_at_connection])
def test_client_whose_next_request_is_unread_is_not_disconnected(moment, more):
    async def main():
        class EagerClient(DisconnectingClient):
            def disconnect(self) -> None:
                self.disconnected = True
                self.send(more)

        backends = FailingFirstAttempt("none")
        async with running_proxy(*backends.servers) as proxy:
            client = EagerClient(proxy, "")
            moment(proxy, 1, client)
            client.send(request("post", "first"))
            reader, writer = await asyncio.open_connection(sock=client._socket)
            async with asyncio.timeout(20):
                assert (await read_message(reader)).status == 200
                assert client.disconnected
                if len(more) == 30:
                    writer.write(request("post", "second")[30:])
                assert (await read_message(reader)).status == 200
            assert sorted(backends.seen) == ["first", "second"]
            assert proxy.statistics.client_disconnects == 0
            writer.close()

    asyncio.run(main())
