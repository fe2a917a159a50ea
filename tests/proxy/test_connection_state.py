"""When a client connection counts a request as written, and when it can be reused."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from loadbalancer.http.client_connection import ClientConnection, HttpResponse
from loadbalancer.http.socket_state import has_unread_data
from tests.support.loopback import until
from tests.support.proxy import REQUEST_BYTES
from tests.support.sockets import close_by_reset


class RecordingExchange:
    def __init__(self) -> None:
        self.outcomes: list[object] = []

    def on_response(self, response: HttpResponse) -> None:
        self.outcomes.append(response)

    def on_connection_lost(self, *, request_written: bool) -> None:
        self.outcomes.append(request_written)


@contextlib.asynccontextmanager
async def connected_pair() -> AsyncIterator[tuple[ClientConnection, socket.socket]]:
    """A connection and the blocking socket of its peer, which does not need the event loop."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(lambda _: None), *listener.getsockname()
        )
        remote, _ = listener.accept()
        with remote:
            yield connection, remote
        connection.abort()


def wait_for_unread_data(connection: ClientConnection) -> None:
    """Block the event loop until the kernel has received bytes, an end of stream or a reset."""
    assert connection._transport is not None
    while not has_unread_data(connection._transport):
        pass


async def test_request_whose_write_fails_at_once_counts_as_not_written():
    async with connected_pair() as (connection, remote):
        close_by_reset(remote)
        wait_for_unread_data(connection)
        exchange = RecordingExchange()
        connection.send_request(REQUEST_BYTES, exchange)
        await until(lambda: exchange.outcomes)
        assert exchange.outcomes == [False]


async def test_unread_end_of_stream_makes_a_connection_unusable():
    async with connected_pair() as (connection, remote):
        assert connection.reusable
        remote.close()
        wait_for_unread_data(connection)
        assert not connection.reusable  # although the event loop has not reported it yet


@pytest.mark.parametrize("read", [pytest.param(False, id="unread"), pytest.param(True, id="read")])
async def test_buffered_request_counts_as_written_once_the_kernel_has_it(read):
    async with connected_pair() as (connection, remote):
        transport = connection._transport
        assert transport is not None
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        while not transport.get_write_buffer_size():  # until the kernel accepts no more
            transport.write(b"x" * 1000)
        connection.send_request(REQUEST_BYTES, exchange := RecordingExchange())
        assert 0 < transport.get_write_buffer_size() <= 1000 + len(REQUEST_BYTES)
        remote.setblocking(False)
        while read and transport.get_write_buffer_size():
            with contextlib.suppress(BlockingIOError):
                remote.recv(1_000_000)
            await asyncio.sleep(0)
        close_by_reset(remote)
        await until(lambda: exchange.outcomes)
        assert exchange.outcomes == [read]
