"""Attempts to scripted endpoints, each of which ends with one result."""

from __future__ import annotations

import asyncio
import socket

import pytest

from loadbalancer.events import AttemptResult
from loadbalancer.http.addresses import socket_address
from tests.support.loopback import LoopbackServer, always, until
from tests.support.messages import response_bytes
from tests.support.proxy import REQUEST_BYTES, ManualServer, attempt_result, open_pool
from tests.support.sockets import close_by_reset, unaccepting_listener


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        listening.setblocking(False)
        yield listening


async def accept(listener: socket.socket) -> socket.socket:
    """Accept a connection as a non-blocking socket, which the caller closes."""
    accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
    accepted.setblocking(False)
    return accepted


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        pytest.param(response_bytes(200), AttemptResult.OK, id="200"),
        pytest.param(response_bytes(500), AttemptResult.ERROR, id="500"),
        pytest.param(response_bytes(503, Srv_Declined="1"), AttemptResult.REJECTED, id="503 declined"),
        pytest.param(response_bytes(504, Srv_Declined="1"), AttemptResult.REJECTED, id="504 declined"),
        pytest.param(response_bytes(503), AttemptResult.ERROR, id="503"),
        pytest.param(response_bytes(504), AttemptResult.ERROR, id="504"),
        pytest.param(response_bytes(418), AttemptResult.ERROR, id="418"),
        pytest.param(response_bytes(200, Srv_Declined="1"), AttemptResult.OK, id="200 declined"),
        pytest.param(b"HTTP/1.1 100 Continue\r\n\r\n" + response_bytes(200), AttemptResult.OK, id="100, 200"),
        pytest.param(None, AttemptResult.RESET, id="closed"),
        pytest.param(b"not http at all\r\n\r\n", AttemptResult.RESET, id="no HTTP"),
    ],
)
async def test_response_determines_the_result_of_its_attempt(response, expected, pool):
    async with LoopbackServer(always(response)) as server:
        pool.add("s", server.address)
        assert await attempt_result(pool) is expected
        assert len(server.received) == 1  # an attempt never retries


async def test_truncated_response_is_a_reset(pool):
    async with ManualServer() as server:
        pool.add("s", server.address)
        result = asyncio.create_task(attempt_result(pool))
        await until(lambda: server.streams)
        ((reader, writer),) = server.streams
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
        writer.close()
        assert await result is AttemptResult.RESET


async def test_refused_connection_is_connect_failed(pool):
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = socket_address(closed)
    pool.add("s", address)
    assert await attempt_result(pool) is AttemptResult.CONNECT_FAILED
    await until(lambda: not pool.size)


async def test_missing_response_is_a_timeout_and_closes_the_connection(clock, pool, listener):
    pool.add("s", socket_address(listener))
    result = asyncio.create_task(attempt_result(pool, timeout_s=60.0))
    with await accept(listener) as accepted:
        loop = asyncio.get_running_loop()
        assert await loop.sock_recv(accepted, 1000) == REQUEST_BYTES
        clock.advance(60.0)
        assert await result is AttemptResult.TIMEOUT
        assert await loop.sock_recv(accepted, 1000) == b""


async def test_reset_before_the_last_byte_is_written_is_connect_failed(pool, listener):
    pool.add("s", socket_address(listener))
    result = asyncio.create_task(attempt_result(pool, data=b"x" * 30_000_000))
    accepted = await accept(listener)
    await asyncio.get_running_loop().sock_recv(accepted, 1000)
    close_by_reset(accepted)
    assert await result is AttemptResult.CONNECT_FAILED


@pytest.mark.parametrize(
    ("connect_timeout_s", "timeout_s"),
    [
        pytest.param(0.1, 20.0, id="connect time-out"),
        pytest.param(20.0, 0.1, id="time-out of the attempt"),
    ],
)
async def test_connection_never_established_is_connect_failed(connect_timeout_s, timeout_s):
    with unaccepting_listener() as listener:
        async with open_pool(connect_timeout_s=connect_timeout_s) as pool:
            pool.add("s", socket_address(listener))
            assert await attempt_result(pool, timeout_s=timeout_s) is AttemptResult.CONNECT_FAILED
