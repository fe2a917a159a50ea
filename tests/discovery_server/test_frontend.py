"""Malformed requests, excess connections and unread responses don't affect the watches of other clients."""

from __future__ import annotations

import asyncio

import pytest

from tests.discovery_server.cluster import HOSTS, WATCH_TIMEOUT_MS, Client, address_of, get, get_list
from tests.support.loopback import until

DROP_LIMIT_S = 20.0  # within which a client that doesn't read is dropped
CLOSED = None  # in place of a status: the connection is closed without a response

MALFORMED_REQUESTS = [
    pytest.param(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400, id="a TLS handshake"),
    pytest.param(b"GET nonsense HTTP/1.1\r\n\r\n", 400, id="no path"),
    pytest.param(b"GET /" + b"x" * 99_000 + b" HTTP/1.1\r\n\r\n", 400, id="a long head"),
    pytest.param(b"GET /discovery/hosts HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413, id="a long body"),
    pytest.param(b"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, id="two lengths"),
]
PROTOCOL_VIOLATIONS = [
    pytest.param(b"GET /discovery/host HTTP/1.1\r\n\r\n", 404, id="another path"),
    pytest.param(b"POST /discovery/hosts HTTP/1.1\r\nContent-Length: 2\r\n\r\nxx", 405, id="another method"),
    pytest.param(b"GET /discovery/hosts?since=x HTTP/1.1\r\n\r\n", 400, id="a bad revision"),
    pytest.param(b"GET /discovery/hosts?since=1&timeout_ms=1e3 HTTP/1.1\r\n\r\n", 400, id="a bad time"),
    pytest.param(b"GET /x HTTP/1.1\r\n\r\n" * 100, 404, id="a hundred pipelined requests"),
]
INCOMPLETE_REQUESTS = [
    pytest.param(b"\r\n\r\n ", {400, 408}, id="a blank"),
    pytest.param(b"GET /discovery/hosts HTTP/1.1\r\nHo", {408}, id="an incomplete head"),
    pytest.param(b"", {CLOSED}, id="nothing"),
]


@pytest.fixture
async def registry(cluster):
    return await cluster.registry("a")


@pytest.fixture
async def server(cluster, registry):
    return await cluster.ready_server(registry.endpoint)


@pytest.fixture
async def watches(cluster, server):
    """Watches that wait for a change."""
    return await cluster.start_watches(server, (await get_list(server)).revision, 5)


async def assert_change_reaches(registry, watches, *unchanged):
    """Add an endpoint to the unchanged ones, and check that each watch responds with it alone."""
    registry.set_endpoints(*unchanged, "b")
    assert [(await watch)[1:] for watch in watches] == [(False, ["b"])] * 5


@pytest.mark.parametrize(("request_bytes", "status"), MALFORMED_REQUESTS)
async def test_malformed_request_closes_its_connection_and_watches_are_still_notified(
    server, registry, watches, request_bytes, status
):
    async with await Client.connect(address_of(server)) as client:
        assert await client.status_of(request_bytes) == status
        assert await client.wait_closed()
    await assert_change_reaches(registry, watches, "a")
    await until(lambda: server.statistics().waiting_watches == 0)


@pytest.mark.parametrize(("request_bytes", "status"), PROTOCOL_VIOLATIONS)
async def test_request_that_violates_the_protocol_is_rejected_and_watches_are_still_notified(
    server, registry, watches, request_bytes, status
):
    async with await Client.connect(address_of(server)) as client:
        assert await client.status_of(request_bytes) == status
        assert server.statistics().rejected_requests > 0
    await assert_change_reaches(registry, watches, "a")
    await until(lambda: server.statistics().waiting_watches == 0)


@pytest.mark.parametrize(("request_bytes", "statuses"), INCOMPLETE_REQUESTS)
async def test_incomplete_request_times_out_and_watches_are_still_notified(
    server, registry, watches, request_bytes, statuses
):
    async with await Client.connect(address_of(server)) as client:
        assert await client.status_of(request_bytes) in statuses
        assert await client.wait_closed()
    await assert_change_reaches(registry, watches, "a")
    await until(lambda: server.statistics().waiting_watches == 0)


async def test_excess_watches_and_connections_are_rejected_and_watches_are_still_notified(cluster, registry):
    server = await cluster.ready_server(registry.endpoint, max_watches=5, max_connections=8)
    revision = (await get_list(server)).revision
    watches = await cluster.start_watches(server, revision, 5)
    for _ in range(20):
        client = await cluster.connect(server)
        message = await client.get(f"{HOSTS}?since={revision}&timeout_ms={WATCH_TIMEOUT_MS}")
        assert (message.status, message.headers["retry-after"]) == (503, "1.000")
    for _ in range(100):
        await cluster.connect(server)
    await until(lambda: server.statistics().connections <= 9)
    await assert_change_reaches(registry, watches, "a")


@pytest.mark.parametrize(
    "limits",
    [
        pytest.param({"unread_timeout_ms": 300.0}, id="too long"),
        pytest.param({"unread_timeout_ms": 60_000.0, "max_unsent_bytes": 50_000}, id="too many bytes"),
    ],
)
async def test_client_that_does_not_read_is_dropped_while_others_are_notified(cluster, limits):
    uids = [f"s{index}" for index in range(3000)]
    registry = await cluster.registry(*uids)
    server = await cluster.ready_server(registry.endpoint, **limits)
    unread = server.unread
    revision = (await get_list(server)).revision
    client_socket = cluster.connect_without_reading(server)
    for _ in range(30):  # complete lists of about 300 kB; the first is not read, and the others wait for that
        client_socket.send(b"GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n")
    await until(lambda: unread.connection_count or unread.dropped_clients)
    watches = await cluster.start_watches(server, revision, 5)
    await assert_change_reaches(registry, watches, *uids)
    async with asyncio.timeout(DROP_LIMIT_S):
        while not unread.dropped_clients:  # the byte limit is checked at each request
            await get(server)
            await asyncio.sleep(0.01)
    assert (await get_list(server)).complete
    assert (unread.dropped_clients, unread.connection_count) == (1, 0)


async def test_client_that_disconnects_cancels_its_watch(cluster, server):
    client = await cluster.connect(server)
    await cluster.start_watch(server, (await client.get_list()).revision, client)
    await client.aclose()
    await until(lambda: server.statistics().waiting_watches == 0)
