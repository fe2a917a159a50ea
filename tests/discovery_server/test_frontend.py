"""Clients that misbehave don't disturb the waiting watches: bad requests, floods, unread responses."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from loadbalancer.http import request_timeouts
from tests.discovery_server.cluster import (
    HOSTS,
    Client,
    Registry,
    address_of,
    discovery_server,
    get,
    get_list,
    ready,
    start_watch,
)
from tests.support.loopback import read_message, until

DROP_LIMIT_S = 20.0  # by which a client that doesn't read is dropped at the latest


@pytest.fixture
def short_request_timeout(monkeypatch):
    monkeypatch.setattr(request_timeouts, "REQUEST_TIMEOUT_S", 1.0)


BAD_REQUESTS = {
    "garbage": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", {400}),
    "a blank": (b"\r\n\r\n ", {400, 408}),
    "no path": (b"GET nonsense HTTP/1.1\r\n\r\n", {400}),
    "another path": (b"GET /discovery/host HTTP/1.1\r\n\r\n", {404}),
    "another method": (b"POST /discovery/hosts HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx", {405}),
    "a bad revision": (b"GET /discovery/hosts?since=x HTTP/1.1\r\n\r\n", {400}),
    "a bad time": (b"GET /discovery/hosts?since=1&timeout_ms=1e3 HTTP/1.1\r\n\r\n", {400}),
    "a long head": (b"GET /" + b"x" * 99_000 + b" HTTP/1.1\r\n\r\n", {400}),
    "a long body": (b"GET /discovery/hosts HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", {413}),
    "two lengths": (b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", {400}),
    "half a head": (b"GET /discovery/hosts HTTP/1.1\r\nHo", {408}),
    "nothing": (b"", {0}),
    "a hundred requests at once": (b"GET /x HTTP/1.1\r\n\r\n" * 100, {404}),
}


@pytest.mark.usefixtures("short_request_timeout")
def test_bad_requests_get_a_4xx_or_a_close_and_watches_lose_nothing(tmp_path):
    async def main():
        registry = await Registry(**ready("a")).start()
        async with discovery_server(tmp_path, registry.endpoint) as server:
            await until(lambda: server.ready)
            revision = (await get_list(server)).revision
            watches = [await start_watch(server, revision) for _ in range(5)]
            for name, (data, statuses) in BAD_REQUESTS.items():
                client = await Client.connect(address_of(server))
                client.writer.write(data)
                status = 0
                with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                    status = (await read_message(client.reader)).status
                assert status in statuses, name
                if status not in (404, 405) and b"since" not in data:
                    assert await client.wait_closed(), name
                client.writer.close()
            registry.set(**ready("a", "b"))
            assert [(await watch)[1:] for watch in watches] == [(False, ["b"])] * 5
            await until(lambda: server.statistics().waiting_watches == 0)
        registry.stop()

    asyncio.run(main())


def test_floods_of_watches_and_connections_are_rejected_and_watches_lose_nothing(tmp_path):
    async def main():
        registry = await Registry(**ready("a")).start()
        limits = {"max_watches": 5, "max_connections": 8}
        async with discovery_server(tmp_path, registry.endpoint, **limits) as server:
            await until(lambda: server.ready)
            revision = (await get_list(server)).revision
            watches = [await start_watch(server, revision) for _ in range(5)]
            for _ in range(20):
                client = await Client.connect(address_of(server))
                message = await client.get(f"{HOSTS}?since={revision}&timeout_ms=60000")
                assert (message.status, message.headers["retry-after"]) == (503, "1.000")
            silent = [await Client.connect(address_of(server)) for _ in range(100)]
            await until(lambda: server.statistics().connections <= 9)
            registry.set(**ready("a", "b"))
            assert [(await watch)[1:] for watch in watches] == [(False, ["b"])] * 5
            for client in silent:
                client.writer.close()
        registry.stop()

    asyncio.run(main())


def connect_without_reading(server):
    """A socket with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(address_of(server))
    sock.setblocking(False)
    return sock


@pytest.mark.parametrize(
    "limits",
    [{"unread_timeout_ms": 300.0}, {"unread_timeout_ms": 60_000.0, "max_unsent_bytes": 1_000_000}],
    ids=["for too long", "too much in all"],
)
def test_client_that_does_not_read_is_dropped_while_others_are_notified(tmp_path, limits):
    async def main():
        many = [f"s{index}" for index in range(3000)]
        registry = await Registry(**ready(*many)).start()
        async with discovery_server(tmp_path, registry.endpoint, **limits) as server:
            await until(lambda: server.ready)
            unread = server.unread
            revision = (await get_list(server)).revision
            slow = connect_without_reading(server)
            for _ in range(30):  # complete lists of some 300 kB, of which it reads none
                slow.send(b"GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n")
            await until(lambda: unread.connection_count)
            watches = [await start_watch(server, revision) for _ in range(5)]
            registry.set(**ready(*many, "b"))
            assert [(await watch)[1:] for watch in watches] == [(False, ["b"])] * 5
            async with asyncio.timeout(DROP_LIMIT_S):
                while not unread.dropped_clients:  # the limit of bytes is checked at each further request
                    await get(server)
                    await asyncio.sleep(0.01)
            assert (await get_list(server)).complete
            slow.close()
            assert (unread.dropped_clients, unread.connection_count) == (1, 0)
        registry.stop()

    asyncio.run(main())


def test_client_that_disconnects_frees_the_place_of_its_watch(tmp_path):
    async def main():
        registry = await Registry(**ready("a")).start()
        async with discovery_server(tmp_path, registry.endpoint) as server:
            await until(lambda: server.ready)
            client = await Client.connect(address_of(server))
            watch = await start_watch(server, (await get_list(server)).revision, client)
            client.writer.close()
            await until(lambda: server.statistics().waiting_watches == 0)
            await asyncio.gather(watch, return_exceptions=True)
        registry.stop()

    asyncio.run(main())
