"""Time-outs, eviction, and several listening sockets under one connection limit."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.http import request_timeouts
from loadbalancer.http.listener import HttpListener
from loadbalancer.http.request import HttpRequest
from tests.support.loopback import (
    HttpClient,
    LoopbackServer,
    request,
    running_proxy,
    send_request,
    until,
)

LOOPBACK = "127.0.0.1"


def respond_with_context(received: HttpRequest) -> None:
    received.respond(200, str(received.connection.context).encode())


def test_each_connection_carries_the_context_of_its_listening_socket():
    async def main():
        listener = HttpListener(10, respond_with_context)
        bodies = []
        for context in ("first", "second"):
            address = await listener.listen(LOOPBACK, 0, context)
            client = HttpClient(*await asyncio.open_connection(*address))
            bodies.append((await client.send(request())).body)
            client.writer.close()
        assert len(listener.listening_sockets) == 2
        listener.close()
        assert bodies == [b"first", b"second"]

    asyncio.run(main())


def test_all_listening_sockets_share_one_connection_limit():
    async def main():
        listener = HttpListener(1, respond_with_context)
        addresses = [await listener.listen(LOOPBACK, 0) for _ in range(2)]
        first = HttpClient(*await asyncio.open_connection(*addresses[0]))
        await until(lambda: listener.connections)
        (connection,) = listener.connections
        second = HttpClient(*await asyncio.open_connection(*addresses[1]))
        assert await first.reader.read() == b""
        assert (await second.send(request())).status == 200
        assert (connection.is_open, len(listener.connections)) == (False, 1)
        for client in (first, second):
            client.writer.close()
        listener.close()

    asyncio.run(main())


@pytest.fixture
def short_request_timeout(monkeypatch):
    monkeypatch.setattr(request_timeouts, "REQUEST_TIMEOUT_S", 0.2)


@pytest.mark.usefixtures("short_request_timeout")
def test_connection_without_a_request_is_closed_after_the_request_timeout():
    async def main():
        async with running_proxy(LoopbackServer()) as proxy:
            client = await HttpClient.to(proxy)
            assert await client.reader.read() == b""
            assert not proxy.listener.connections

    asyncio.run(main())


@pytest.mark.usefixtures("short_request_timeout")
def test_further_bytes_do_not_extend_the_request_timeout():
    async def main():
        async with running_proxy(LoopbackServer()) as proxy:
            client = await HttpClient.to(proxy)

            async def write_slowly():
                client.writer.write(b"GET /read/1 HTTP/1.1\r\nX-Slow: ")
                while True:
                    client.writer.write(b"y")
                    await asyncio.sleep(0.02)

            writing = asyncio.create_task(write_slowly())
            response = await client.read_response()
            assert (response.status, response.headers["connection"]) == (408, "close")
            writing.cancel()
            client.writer.close()

    asyncio.run(main())


def test_idle_connection_is_closed_after_the_idle_timeout(monkeypatch):
    monkeypatch.setattr(request_timeouts, "IDLE_TIMEOUT_S", 0.1)

    async def main():
        async with running_proxy(LoopbackServer()) as proxy:
            client = await HttpClient.to(proxy)
            assert (await client.send(request())).status == 200
            assert await client.reader.read() == b""

    asyncio.run(main())


def test_unidentified_clients_are_evicted_before_identified_ones():
    async def main():
        async with running_proxy(LoopbackServer(), limits={"sockets": 132}) as proxy:
            identified = await HttpClient.to(proxy)
            assert (await identified.send(request(name="q0"))).status == 200
            unidentified = [await HttpClient.to(proxy) for _ in range(2 * proxy.listener.limit)]
            for number, client in enumerate(unidentified):
                if number % 2:
                    client.writer.write(b"GET /read/1 HTTP/1.1\r\n")
            await until(lambda: len(proxy.listener.connections) == proxy.listener.limit)
            # The identified client's connection is not among those that were evicted.
            assert (await identified.send(request(name="q1"))).status == 200
            assert (await send_request(proxy, request(name="q2"))).status == 200
            assert proxy.statistics.requests_over_limit == 0
            for client in (identified, *unidentified):
                client.writer.close()

    asyncio.run(main())
