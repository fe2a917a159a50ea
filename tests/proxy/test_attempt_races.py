"""Races of attempts with other events, on real connections; docs/races.md lists them."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from loadbalancer.events import AttemptResult, ClientDisconnected
from loadbalancer.http.addresses import Address, socket_address
from loadbalancer.http.client_connection import ClientConnection
from loadbalancer.http.server_connection import ServerConnection
from loadbalancer.proxy.proxy import Proxy
from tests.support.builders import allow_only
from tests.support.loopback import (
    HttpClient,
    LoopbackServer,
    StalledBackend,
    always,
    running_proxy,
    send_request,
    until,
)
from tests.support.messages import read_message, request, response_bytes
from tests.support.proxy import (
    BlockedConnects,
    ManualServer,
    make_pool,
    policy_sending_to,
    start_attempt,
)
from tests.support.scripted_policy import script_policy

DEDUPLICATION_WINDOW_S = 10.0


async def test_late_second_response_is_not_served_to_the_next_request(monkeypatch):
    """A duplicate response to the previous request arrives when the next request has already been sent."""
    monkeypatch.setattr("loadbalancer.proxy.connection_pool.REUSE_DELAY_S", 60.0)
    server = ManualServer()
    async with running_proxy(server) as proxy:
        script_policy(proxy, policy_sending_to("s0"))
        client = await HttpClient.to(proxy)
        client.writer.write(request(name="q1"))
        await until(lambda: server.streams)
        reader, writer = server.streams[0]
        await read_message(reader)
        writer.write(response_bytes(200, b"first"))
        assert (await client.read_response()).body == b"first"
        client.writer.write(request(name="q2"))
        next_message = asyncio.ensure_future(read_message(reader))
        await until(lambda: next_message.done() or len(server.streams) == 2)
        writer.write(response_bytes(200, b"first"))  # the late second response, after q2 has been sent
        if len(server.streams) == 2:
            await read_message(server.streams[1][0])
        server.streams[-1][1].write(response_bytes(200, b"second"))
        assert (await client.read_response()).body == b"second"
        next_message.cancel()


async def start_blocked_request(proxy: Proxy, allowed: int = 0) -> tuple[BlockedConnects, HttpClient]:
    """Send the request `left`, and wait until a connect of its attempts is blocked."""
    blocked = BlockedConnects(proxy, allowed)
    client = await HttpClient.to(proxy)
    client.writer.write(request("post", "left"))
    await until(lambda: blocked.connect_count > allowed)
    return blocked, client


@pytest.mark.parametrize(
    "disconnect",
    [
        pytest.param(lambda client: client.writer.write_eof(), id="end of stream"),
        pytest.param(lambda client: client.writer.close(), id="close"),
    ],
)
async def test_request_whose_client_disconnects_during_the_connect_is_not_sent(can_cancel, disconnect):
    server = LoopbackServer()
    async with running_proxy(server, bounds={"cancel": can_cancel}) as proxy:
        blocked, client = await start_blocked_request(proxy)
        disconnect(client)
        await until(lambda: proxy.requests.open_count == 0)
        blocked.unblock.set()
        await until(lambda: not proxy.pool._connecting)
        assert (await send_request(proxy, request("post", "next"))).status == 200
        assert server.request_ids == ["next"]
        assert not proxy.requests.by_id
        assert proxy.policy.endpoints.by_name["s0"].in_flight == 0.0


async def test_retry_whose_client_disconnects_while_it_connects_is_not_sent(can_cancel):
    rejecting, other = LoopbackServer(always(response_bytes(503, Srv_Declined="1"))), LoopbackServer()
    async with running_proxy(rejecting, other, bounds={"cancel": can_cancel}) as proxy:
        scripted = script_policy(proxy, policy_sending_to("s0", "s1"))
        blocked, client = await start_blocked_request(proxy, allowed=1)
        client.writer.close()
        await until(lambda: scripted.events_of(ClientDisconnected))
        blocked.unblock.set()
        await until(lambda: not proxy.pool._connecting)
        assert scripted.attempt_results == [AttemptResult.REJECTED, AttemptResult.NOT_SENT]
        assert other.received == []
        assert not proxy.requests.by_id


async def test_client_that_disconnects_cancels_its_pipelined_requests(can_cancel):
    server = StalledBackend()
    async with running_proxy(server, bounds={"cancel": can_cancel}) as proxy:
        client = await HttpClient.to(proxy)
        client.writer.write(request(name="first") + request(name="second"))
        await until(lambda: server.received)
        client.writer.close()
        await until(lambda: proxy.requests.open_count == 0)
        server.release.set()
        await until(lambda: not proxy.requests.by_id)
        assert (await send_request(proxy, request(name="next"))).status == 200
        assert server.request_ids == ["first", "next"]


def fill_connections(proxy: Proxy) -> None:
    """Fill the send buffer of each new connection to an endpoint, so that further bytes are not sent."""
    connect = proxy.pool.connect

    async def connect_and_fill(address: Address) -> ClientConnection:
        connection = await connect(address)
        transport = connection._transport
        assert transport is not None
        while not transport.get_write_buffer_size():  # until the kernel accepts no more
            transport.write(b"x" * 1000)
        connection.resume_writing = lambda: None  # type: ignore[method-assign]
        return connection

    proxy.pool.connect = connect_and_fill  # type: ignore[method-assign]


async def test_partially_written_request_whose_client_disconnects_is_not_sent(can_cancel):
    """The kernel accepts no more bytes, so that the request waits in the proxy's write buffer."""
    server = ManualServer()
    async with running_proxy(server, bounds={"cancel": can_cancel}) as proxy:
        scripted = script_policy(proxy, policy_sending_to("s0"))
        fill_connections(proxy)
        client = await HttpClient.to(proxy)
        client.writer.write(request("post", "left", b"y" * 1000))
        await until(lambda: proxy.requests.by_id)
        (attempt,) = proxy.requests.by_id["left"].attempts
        assert attempt is not None
        await until(lambda: attempt._connection)
        assert not attempt.sent
        client.writer.close()
        await until(lambda: scripted.events_of(ClientDisconnected))
        assert scripted.attempt_results == [AttemptResult.NOT_SENT]
        reader, _ = server.streams[0]
        assert b"left" not in await reader.read()


async def test_request_whose_client_disconnects_before_the_first_byte_is_not_sent():
    server = LoopbackServer()
    async with running_proxy(server, bounds={"cancel": False}) as proxy:
        blocked, _ = await start_blocked_request(proxy)
        connect = blocked.connect_now

        async def connect_and_disconnect(address):
            connection = await connect(address)
            downstream = proxy.requests.by_id["left"].http_request.connection
            assert isinstance(downstream, ServerConnection)
            downstream.abort()  # after the connect and before anything is written
            downstream.connection_lost(None)
            return connection

        blocked.connect_now = connect_and_disconnect
        blocked.unblock.set()
        await until(lambda: not proxy.requests.by_id and not proxy.pool.size)
        assert server.received == []


async def test_cancelled_attempt_has_ended_before_the_next_one_is_sent():
    """The endpoint receives the end of stream before asyncio closes the socket in the next iteration."""
    with socket.create_server(("127.0.0.1", 0)) as server, contextlib.closing(make_pool()) as pool:
        pool.add("s", socket_address(server))
        attempt = start_attempt(pool, "s", lambda *_: None, request(), 60.0)
        await until(lambda: attempt.sent)
        accepted, _ = server.accept()
        with accepted:
            assert accepted.recv(10_000) == request()
            attempt.cancel()
            assert accepted.recv(1) == b""  # in the same iteration of the event loop


async def test_keyed_retry_that_connects_after_the_deduplication_window_is_not_sent(clock):
    async def fail(_message):
        allow_only(proxy.policy.endpoints, "s1")
        return response_bytes(500)

    first, second = LoopbackServer(fail), LoopbackServer()
    keyed = {"name": "move", "aimMs": 20000.0, "giveUpMs": 30000.0, "effect": "guarded"}
    settings = {"categories": [keyed | {"memorySpanMs": 1000.0 * DEDUPLICATION_WINDOW_S}]}
    async with running_proxy(first, second, settings=settings) as proxy:
        blocked = BlockedConnects(proxy, allowed=1)
        allow_only(proxy.policy.endpoints, "s0")
        client = await HttpClient.to(proxy)
        response = asyncio.ensure_future(client.send(request("move", "q1", Idempotency_Key="k")))
        await until(lambda: blocked.connect_count == 2)
        clock.advance(DEDUPLICATION_WINDOW_S)  # the endpoints may have deleted the key
        blocked.unblock.set()
        assert (await response).status == 502
        await until(lambda: not proxy.pool._connecting)
        assert second.received == []
