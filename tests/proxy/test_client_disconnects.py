"""Requests of disconnected clients are not sent, even while the end of stream is still unread.

Each client disconnects at a given event, without an iteration of the event loop before the attempt is sent.
"""

from __future__ import annotations

import contextlib
import socket

import pytest

from loadbalancer.actions import Send
from loadbalancer.events import AttemptOutcome, AttemptResult, ClientDisconnected, IncomingRequest
from loadbalancer.http.server_connection import ServerConnection
from loadbalancer.proxy.proxy import Proxy
from tests.support.disconnects import (
    WAYS_TO_DISCONNECT,
    DisconnectingClient,
    FailingFirstAttempt,
    disconnect_at_connection,
    disconnect_at_send,
)
from tests.support.loopback import HttpClient, LoopbackServer, always, running_proxy, send_request, until
from tests.support.messages import request, response_bytes
from tests.support.proxy import policy_sending_to
from tests.support.scripted_policy import script_policy
from tests.support.slow_reader import LARGE_BODY, slow_reader


@pytest.fixture(autouse=True)
def immediate_reuse(monkeypatch):
    """Connections can be reused right after a response."""
    monkeypatch.setattr("loadbalancer.proxy.connection_pool.REUSE_DELAY_S", 0.0)


def has_ended_all(proxy: Proxy) -> bool:
    """Whether the proxy has no request and no connect, and its policy counts no attempt in flight."""
    in_flight = [endpoint.in_flight for endpoint in proxy.policy.endpoints.by_name.values()]
    return (
        proxy.requests.open_count == 0
        and not proxy.requests.by_id
        and not proxy.pool._connecting
        and not any(in_flight)
    )


async def assert_disconnect_handled(proxy: Proxy, backends: FailingFirstAttempt, *sent_ids: str) -> None:
    """Only these requests have been sent, the counters are correct, and the next request is served."""
    await until(lambda: has_ended_all(proxy))
    assert not proxy.policy.requests.open_requests
    assert (await send_request(proxy, request("post", "next"))).status == 200
    assert sorted(backends.request_ids) == sorted([*sent_ids, "next"])
    statistics = proxy.statistics
    assert statistics.client_disconnects == 1
    assert statistics.attempts["cancelled"] == 0
    assert statistics.requests_received == statistics.client_disconnects + statistics.responses[200]
    await until(lambda: len(proxy.listener.connections) == 0)
    assert proxy.requests.open_count == 0


@pytest.fixture(
    params=[pytest.param(True, id="pooled connections"), pytest.param(False, id="new connections")]
)
def reuse(request):
    """Whether the proxy has an idle connection to each endpoint."""
    return request.param


@pytest.fixture(params=WAYS_TO_DISCONNECT)
def way(request):
    """How the client disconnects."""
    return request.param


@pytest.fixture
def first_result():
    """The result of the first attempt; "none" for a success. Tests with other results override it."""
    return "none"


@pytest.fixture
def backends(first_result):
    return FailingFirstAttempt(first_result)


@pytest.fixture
async def proxy(backends, reuse, can_cancel):
    async with running_proxy(*backends.servers, bounds={"cancel": can_cancel}) as proxy:
        if reuse:
            await backends.open_connections(proxy)
        backends.prepare(proxy)
        yield proxy


@pytest.fixture
def client(proxy, way):
    """A client that is about to disconnect."""
    with contextlib.closing(DisconnectingClient(proxy, way)) as client:
        yield client


async def test_request_followed_by_its_clients_disconnect_is_not_forwarded(backends, proxy, client):
    """A late event loop receives the request and its client's end of stream in one iteration."""
    client.send(request("post", "abandoned"))
    client.disconnect()
    await assert_disconnect_handled(proxy, backends)


@pytest.mark.parametrize("first_result", ["none", "declined", "error", "reset", "refused"])
async def test_request_whose_client_disconnects_before_the_send_is_not_sent(
    first_result, backends, proxy, client
):
    """Before the first attempt, or before a retry after a failed attempt."""
    disconnect_at_send(proxy, 1 if first_result == "none" else 2, client)
    client.send(request("post" if first_result == "none" else "read", "abandoned"))
    await until(lambda: client.disconnected)
    sent_ids = [] if first_result in ("none", "refused") else ["abandoned"]
    await assert_disconnect_handled(proxy, backends, *sent_ids)


async def test_second_request_followed_by_its_clients_disconnect_is_not_forwarded(backends, proxy, client):
    client.send(request("post", "first"))
    assert (await client.read_response()).startswith(b"HTTP/1.1 200")
    client.send(request("post", "abandoned"))
    client.disconnect()
    await assert_disconnect_handled(proxy, backends, "first")


async def test_pipelined_request_whose_client_disconnects_is_not_sent(backends, proxy, client, monkeypatch):
    """The first response is being written; the second request is handled in the next iteration."""
    respond = ServerConnection.respond

    def respond_and_disconnect(connection, http_request, *response):
        respond(connection, http_request, *response)
        if http_request.headers[b"req-id"] == b"first":
            client.disconnect()

    with monkeypatch.context() as patch:
        patch.setattr(ServerConnection, "respond", respond_and_disconnect)
        client.send(request("post", "first") + request("post", "abandoned"))
        await until(lambda: client.disconnected)
        await until(lambda: has_ended_all(proxy) and not proxy.listener.connections)
    await assert_disconnect_handled(proxy, backends, "first")


@pytest.mark.parametrize("reuse", [pytest.param(False, id="new connections")])
@pytest.mark.parametrize("first_result", ["none", "declined"])
async def test_request_whose_client_disconnects_at_the_connect_is_not_sent(
    first_result, backends, proxy, client
):
    """For the first attempt and for a retry."""
    disconnect_at_connection(proxy, 1 if first_result == "none" else 2, client)
    client.send(request("read", "abandoned"))
    await until(lambda: client.disconnected)
    sent_ids = [] if first_result == "none" else ["abandoned"]
    await assert_disconnect_handled(proxy, backends, *sent_ids)


async def test_client_whose_end_of_stream_has_been_read_is_disconnected_before_the_close(
    can_cancel, monkeypatch
):
    """asyncio reports the end of stream in one iteration and the lost connection in the next."""
    backends = FailingFirstAttempt("none")
    async with running_proxy(*backends.servers, bounds={"cancel": can_cancel}) as proxy:
        await backends.open_connections(proxy)
        scripted = script_policy(proxy)
        eof_received = ServerConnection.eof_received

        def receive_eof_and_send(connection):
            proxy.loop.call_soon(proxy.policy_runner.execute, Send("abandoned", "s0"))
            return eof_received(connection)

        client = await HttpClient.to(proxy)
        client.writer.write(request("post", "abandoned"))
        await until(lambda: proxy.requests.by_id)
        monkeypatch.setattr(ServerConnection, "eof_received", receive_eof_and_send)
        client.writer.close()
        await until(lambda: scripted.events_of(AttemptOutcome))
        outcomes = [(event.result, event.done) for event in scripted.events_of(AttemptOutcome)]
        assert outcomes == [(AttemptResult.NOT_SENT, True)]
        assert len(scripted.events_of(ClientDisconnected)) == 1
        await until(lambda: not proxy.requests.by_id and not proxy.listener.connections)
        script_policy(proxy, policy_sending_to("s0"))
        assert (await send_request(proxy, request("post", "next"))).status == 200
        assert (proxy.requests.open_count, backends.request_ids) == (0, ["next"])


async def test_client_that_half_closes_and_reads_no_response_is_disconnected(monkeypatch):
    """asyncio keeps such a connection open until all data is read, and would never report its loss."""
    monkeypatch.setattr("loadbalancer.http.request_timeouts.LINGER_TIMEOUT_S", 0.0)
    backend = LoopbackServer(always(response_bytes(200, LARGE_BODY)))
    async with running_proxy(backend) as proxy:
        scripted = script_policy(proxy, policy_sending_to("s0"))
        async with slow_reader(proxy) as (client, connection):
            client.sendall(request("post", "first") + request("post", "abandoned"))
            await until(lambda: connection.unsent_bytes)  # the first response waits to be read
            assert connection.open_request_count == 1  # and the other request for that
            client.shutdown(socket.SHUT_WR)
            await until(lambda: connection._transport.is_closing())
            assert (connection.open_request_count, proxy.requests.open_count, proxy.requests.by_id) == (
                0,
                0,
                {},
            )
            proxy.policy_runner.execute(Send("abandoned", "s0"))
            assert scripted.events_of(AttemptOutcome)[-1].result is AttemptResult.NOT_SENT
            proxy.listener.timeouts.unread_timeout_s = 0.0
            proxy.listener.timeouts.end_overdue()
            await until(lambda: not proxy.listener.connections)
    assert backend.request_ids == ["first"]
    assert [event.request_id for event in scripted.events_of(IncomingRequest)] == ["first"]


class PipeliningClient(DisconnectingClient):
    """Sends further bytes instead of disconnecting."""

    def __init__(self, proxy: Proxy, data: bytes) -> None:
        super().__init__(proxy, "")
        self._data = data

    def disconnect(self) -> None:
        self.disconnected = True
        self.send(self._data)


SECOND_REQUEST = request("post", "second")


@pytest.mark.parametrize(
    "sent_bytes", [pytest.param(len(SECOND_REQUEST), id="whole"), pytest.param(30, id="half")]
)
@pytest.mark.parametrize("moment", [disconnect_at_send, disconnect_at_connection])
async def test_client_whose_next_request_is_unread_is_not_disconnected(moment, sent_bytes):
    backends = FailingFirstAttempt("none")
    async with running_proxy(*backends.servers) as proxy:
        client = PipeliningClient(proxy, SECOND_REQUEST[:sent_bytes])
        moment(proxy, 1, client)
        client.send(request("post", "first"))
        async with await client.to_http_client() as http_client:
            assert (await http_client.read_response()).status == 200
            assert client.disconnected
            assert (await http_client.send(SECOND_REQUEST[sent_bytes:])).status == 200
            assert sorted(backends.request_ids) == ["first", "second"]
            assert proxy.statistics.client_disconnects == 0
