"""Attempts against scripted endpoints: each ends with one result."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from loadbalancer.events import AttemptResult
from tests.support.loopback import reply, until
from tests.support.proxy import (
    REQUEST_BYTES,
    ManualServer,
    answering,
    attempt_result,
    open_pool,
    run_on_skipping_loop,
    unaccepting_listener,
)


@pytest.fixture
async def pool():
    async with open_pool() as pool:
        yield pool


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        yield listening


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        pytest.param(reply(200), AttemptResult.OK, id="200"),
        pytest.param(reply(500), AttemptResult.ERROR, id="500"),
        pytest.param(reply(503, Srv_Declined="1"), AttemptResult.REJECTED, id="503 declined"),
        pytest.param(reply(504, Srv_Declined="1"), AttemptResult.REJECTED, id="504 declined"),
        pytest.param(reply(503), AttemptResult.ERROR, id="503"),
        pytest.param(reply(504), AttemptResult.ERROR, id="504"),
        pytest.param(reply(418), AttemptResult.ERROR, id="418"),
        pytest.param(reply(200, Srv_Declined="1"), AttemptResult.OK, id="200 declined"),
        pytest.param(b"HTTP/1.1 100 Continue\r\n\r\n" + reply(200), AttemptResult.OK, id="100 before 200"),
        pytest.param(None, AttemptResult.RESET, id="closed"),
        pytest.param(b"not http at all\r\n\r\n", AttemptResult.RESET, id="no HTTP"),
    ],
)
async def test_response_gives_the_result_of_the_protocol(response, expected, pool):
    async with answering(response) as server:
        pool.add("s", ("127.0.0.1", server.port))
        assert await attempt_result(pool) is expected
        assert len(server.seen) == 1  # no request is ever sent a second time by itself


async def test_truncated_response_is_a_reset(pool):
    async with ManualServer() as server:
        pool.add("s", ("127.0.0.1", server.port))
        result = asyncio.create_task(attempt_result(pool))
        await until(lambda: server.links)
        ((reader, writer),) = server.links
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
        writer.close()
        assert await result is AttemptResult.RESET


async def test_refused_connection_is_connect_failed(pool):
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address = closed.getsockname()
    pool.add("s", address)
    assert await attempt_result(pool) is AttemptResult.CONNECT_FAILED
    await until(lambda: not pool.size)


async def time_out_without_a_response(loop):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        async with open_pool() as pool:
            pool.add("s", listener.getsockname())
            result = asyncio.create_task(attempt_result(pool, timeout_s=60.0))
            accepted, _ = await loop.sock_accept(listener)
            with accepted:
                accepted.setblocking(False)
                assert await loop.sock_recv(accepted, 1000) == REQUEST_BYTES
                loop.skip(60.0)
                assert await result is AttemptResult.TIMEOUT
                assert await loop.sock_recv(accepted, 1000) == b""


def test_missing_response_is_a_timeout_and_closes_the_connection():
    run_on_skipping_loop(time_out_without_a_response)


async def test_reset_before_the_last_byte_is_written_is_connect_failed(pool, listener):
    pool.add("s", listener.getsockname())
    result = asyncio.create_task(attempt_result(pool, data=b"x" * 30_000_000))
    loop = asyncio.get_running_loop()
    listener.setblocking(False)
    accepted, _ = await loop.sock_accept(listener)
    with accepted:
        accepted.setblocking(False)
        await loop.sock_recv(accepted, 1000)
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
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
            pool.add("s", listener.getsockname())
            assert await attempt_result(pool, timeout_s=timeout_s) is AttemptResult.CONNECT_FAILED
