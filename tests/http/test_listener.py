"""Time-outs, eviction, and several listening sockets with one connection limit."""

from __future__ import annotations

import asyncio
import contextlib

from loadbalancer.http import request_timeouts
from loadbalancer.http.listener import HttpListener
from loadbalancer.http.request import HttpRequest
from tests.support.loopback import HttpClient, running_proxy, send_request, until
from tests.support.messages import request

LOOPBACK = "127.0.0.1"


def respond_with_context(received: HttpRequest) -> None:
    received.respond(200, str(received.connection.context).encode())


@contextlib.asynccontextmanager
async def open_listener(limit: int):
    """A listener, which is closed with its connections at the end of the context."""
    listener = HttpListener(limit, respond_with_context)
    try:
        yield listener
    finally:
        listener.close()
        for connection in list(listener.connections):
            connection.abort()


async def test_each_connection_has_the_context_of_its_listening_socket():
    bodies = []
    async with open_listener(10) as listener:
        for context in ("first", "second"):
            address = await listener.listen(LOOPBACK, 0, context)
            async with await HttpClient.connect(address) as client:
                bodies.append((await client.send(request())).body)
        assert len(listener.listening_sockets) == 2
    assert bodies == [b"first", b"second"]


async def test_one_connection_limit_covers_all_listening_sockets():
    async with open_listener(1) as listener:
        addresses = [await listener.listen(LOOPBACK, 0) for _ in range(2)]
        async with await HttpClient.connect(addresses[0]) as first:
            await until(lambda: listener.connections)
            (connection,) = listener.connections
            async with await HttpClient.connect(addresses[1]) as second:
                assert await first.reader.read() == b""
                assert (await second.send(request())).status == 200
                assert (connection.is_open, len(listener.connections)) == (False, 1)


async def test_connection_without_a_request_is_closed_after_the_request_timeout(proxy, monkeypatch):
    monkeypatch.setattr(request_timeouts, "REQUEST_TIMEOUT_S", 0.2)
    client = await HttpClient.to(proxy)
    assert await client.reader.read() == b""
    assert not proxy.listener.connections


async def write_slowly(writer: asyncio.StreamWriter) -> None:
    while True:
        writer.write(b"y")
        await asyncio.sleep(0.02)


async def test_further_bytes_do_not_extend_the_request_timeout(proxy, monkeypatch):
    client = await HttpClient.to(proxy)
    await until(lambda: proxy.listener.connections)
    (connection,) = proxy.listener.connections
    connection.data_received(b"GET /read/1 HTTP/1.1\r\nX-Slow: ")
    monkeypatch.setattr(request_timeouts, "REQUEST_TIMEOUT_S", 0.2)
    writing = asyncio.create_task(write_slowly(client.writer))
    response = await client.read_response()
    assert (response.status, response.headers["connection"]) == (408, "close")
    writing.cancel()


async def test_idle_connection_is_closed_after_the_idle_timeout(proxy, monkeypatch):
    monkeypatch.setattr(request_timeouts, "IDLE_TIMEOUT_S", 0.1)
    client = await HttpClient.to(proxy)
    assert (await client.send(request())).status == 200
    assert await client.reader.read() == b""


async def test_unidentified_clients_are_evicted_before_identified_ones(backend, monkeypatch):
    monkeypatch.setattr(request_timeouts, "REQUEST_TIMEOUT_S", 60.0)  # so that only eviction closes them
    async with running_proxy(backend, limits={"sockets": 132}) as proxy:
        identified = await HttpClient.to(proxy)
        assert (await identified.send(request(name="q0"))).status == 200
        unidentified = [await HttpClient.to(proxy) for _ in range(2 * proxy.listener.limit)]
        for client in unidentified[1::2]:
            client.writer.write(b"GET /read/1 HTTP/1.1\r\n")
        await until(lambda: len(proxy.listener.connections) == proxy.listener.limit)
        # The identified client's connection is not evicted.
        assert (await identified.send(request(name="q1"))).status == 200
        assert (await send_request(proxy, request(name="q2"))).status == 200
        assert proxy.statistics.requests_over_limit == 0
