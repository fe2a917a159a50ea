"""Attempts and connections that cross with other events on real connections: docs/races.md."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loadbalancer.events import AttemptOutcome, AttemptResult, ClientDisconnected
from loadbalancer.proxy.connection_pool import ConnectionPool
from tests.support.loopback import (
    HttpClient,
    LoopbackServer,
    ScriptedPolicy,
    StalledBackend,
    read_message,
    reply,
    request,
    running_proxy,
    send_request,
    until,
)
from tests.support.proxy import (
    GatedConnects,
    ManualServer,
    policy_sending_to,
    start_attempt,
)


async def test_late_second_response_is_not_served_to_the_next_request(monkeypatch):
    """The proxy writes the next request while the second answer to the one before is on its way."""
    monkeypatch.setattr("loadbalancer.proxy.connection_pool.REUSE_DELAY_S", 60.0)
    server = ManualServer()
    async with running_proxy(server) as proxy:
        proxy.policy = ScriptedPolicy(policy_sending_to("s0"))
        client = await HttpClient.to(proxy)
        client.writer.write(request(name="q1"))
        await until(lambda: server.links)
        reader, writer = server.links[0]
        await read_message(reader)
        writer.write(reply(200, b"first"))
        assert (await client.read_response()).body == b"first"
        client.writer.write(request(name="q2"))
        asked = [asyncio.ensure_future(read_message(reader))]
        await until(lambda: asked[0].done() or len(server.links) == 2)
        writer.write(reply(200, b"first"))  # the late second answer, after q2 has gone out
        if len(server.links) == 2:
            await read_message(server.links[1][0])
        server.links[-1][1].write(reply(200, b"second"))
        assert (await client.read_response()).body == b"second"
        asked[0].cancel()
        client.writer.close()


CAN_CANCEL = pytest.mark.parametrize("can_cancel", [True, False])


@CAN_CANCEL
@pytest.mark.parametrize("half", [True, False])
async def test_client_that_disconnects_while_its_attempt_connects_is_not_forwarded(can_cancel, half):
    server = LoopbackServer()
    async with running_proxy(server, bounds={"cancel": can_cancel}) as proxy:
        gated = GatedConnects(proxy)
        client = await HttpClient.to(proxy)
        client.writer.write(request("post", "left"))
        await until(lambda: gated.connects)
        if half:
            client.writer.write_eof()
        else:
            client.writer.close()
        await until(lambda: proxy.requests.open_count == 0)
        gated.gate.set()
        await until(lambda: not proxy.pool._connecting)
        assert (await send_request(proxy, request("post", "next"))).status == 200
        assert [message.headers["req-id"] for message in server.seen] == ["next"]
        assert not proxy.requests.by_id
        assert proxy.policy.endpoints.by_name["s0"].in_flight == 0.0
        client.writer.close()


@CAN_CANCEL
async def test_client_that_disconnects_while_a_retry_connects_is_not_forwarded(can_cancel):
    async def declines(message):
        return reply(503, Srv_Declined="1")

    full, other = LoopbackServer(declines), LoopbackServer()
    async with running_proxy(full, other, bounds={"cancel": can_cancel}) as proxy:
        proxy.policy = scripted = ScriptedPolicy(policy_sending_to("s0", "s1"))
        client = await HttpClient.to(proxy)
        gated = GatedConnects(proxy, at_once=1)
        client.writer.write(request("post", "left"))
        await until(lambda: gated.connects == 2)
        client.writer.close()
        await until(lambda: scripted.events_of(ClientDisconnected))
        gated.gate.set()
        await until(lambda: not proxy.pool._connecting)
        assert [event.result for event in scripted.events_of(AttemptOutcome)] == [
            AttemptResult.REJECTED,
            AttemptResult.NOT_SENT,
        ]
        assert other.seen == []
        assert not proxy.requests.by_id


@CAN_CANCEL
async def test_client_that_disconnects_cancels_its_pipelined_requests(can_cancel):
    server = StalledBackend()
    async with running_proxy(server, bounds={"cancel": can_cancel}) as proxy:
        client = await HttpClient.to(proxy)
        client.writer.write(request(name="first") + request(name="second"))
        await until(lambda: server.seen)
        client.writer.close()
        await until(lambda: proxy.requests.open_count == 0)
        server.release.set()
        await until(lambda: not proxy.requests.by_id)
        assert (await send_request(proxy, request(name="next"))).status == 200
        assert [message.headers["req-id"] for message in server.seen] == ["first", "next"]


@CAN_CANCEL
async def test_request_half_written_as_its_client_disconnects_is_not_sent(can_cancel):
    """The server takes no more bytes: the rest waits in the proxy."""
    server = ManualServer()
    async with running_proxy(server, bounds={"cancel": can_cancel}) as proxy:
        proxy.policy = scripted = ScriptedPolicy(policy_sending_to("s0"))
        opened = proxy.pool.connect

        async def open_choked(endpoint):
            connection = await opened(endpoint)
            transport = connection._transport
            while not transport.get_write_buffer_size():  # until the kernel takes no more
                transport.write(b"x" * 1000)
            connection.resume_writing = lambda: None
            return connection

        proxy.pool.connect = open_choked
        client = await HttpClient.to(proxy)
        client.writer.write(request("post", "left", b"y" * 1000))
        await until(lambda: proxy.requests.by_id and proxy.requests.by_id["left"].attempts[0]._connection)
        assert not proxy.requests.by_id["left"].attempts[0].sent
        client.writer.close()
        await until(lambda: scripted.events_of(ClientDisconnected))
        assert [event.result for event in scripted.events_of(AttemptOutcome)] == [AttemptResult.NOT_SENT]
        reader, _ = server.links[0]
        assert b"left" not in await reader.read()


async def test_client_that_disconnects_as_its_attempt_has_connected_is_not_forwarded():
    server = LoopbackServer()
    async with running_proxy(server, bounds={"cancel": False}) as proxy:
        gated = GatedConnects(proxy)
        client = await HttpClient.to(proxy)
        client.writer.write(request("post", "left"))
        await until(lambda: gated.connects)
        opened = gated.connect_now

        async def open_and_leave(endpoint):
            connection = await opened(endpoint)
            proxy.requests.by_id[
                "left"
            ].http_request.connection.abort()  # after coming up and before being written to
            proxy.requests.by_id["left"].http_request.connection.connection_lost(None)
            return connection

        gated.connect_now = open_and_leave
        gated.gate.set()
        await until(lambda: not proxy.requests.by_id and not proxy.pool.size)
        assert server.seen == []
        client.writer.close()


async def test_cancelled_attempt_has_ended_before_the_next_one_is_sent():
    """In the same turn of the loop, in which asyncio has not closed the first one's socket yet."""
    with socket.create_server(("127.0.0.1", 0)) as first:
        servers = ConnectionPool(10, 60.0, 60.0)
        servers.add("s", first.getsockname())
        attempt = start_attempt(servers, "s", lambda *_: None, request(), 60.0)
        await until(lambda: attempt.sent)
        peer, _ = first.accept()
        with peer:
            peer.settimeout(20)
            assert peer.recv(10_000) == request()
            attempt.cancel()
            assert peer.recv(1) == b""  # the event loop has had no turn
        servers.close()


async def test_keyed_retry_that_connects_after_the_deduplication_window_is_not_sent():
    async def fails(message):
        proxy.policy.endpoints.ready = [proxy.policy.endpoints.by_name["s1"]]
        return reply(500)

    first, second = LoopbackServer(fails), LoopbackServer()
    kinds = [{"name": "move", "aimMs": 20000.0, "giveUpMs": 30000.0, "effect": "guarded"}]
    kinds[0]["memorySpanMs"] = 300.0
    async with running_proxy(first, second, settings={"categories": kinds}) as proxy:
        gated = GatedConnects(proxy, at_once=1)
        proxy.policy.endpoints.ready = [proxy.policy.endpoints.by_name["s0"]]
        client = await HttpClient.to(proxy)
        # The second connection comes up once the key may have been forgotten.
        asked = asyncio.ensure_future(client.send(request("move", "q1", Idempotency_Key="k")))
        await until(lambda: gated.connects == 2)
        forgotten = proxy.loop.time() + 0.3
        await until(lambda: proxy.loop.time() > forgotten)
        gated.gate.set()
        assert (await asked).status == 502
        await until(lambda: not proxy.pool._connecting)
        assert second.seen == []
        client.writer.close()
