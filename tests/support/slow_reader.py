"""A client that reads a long response slowly, through the smallest buffers that the kernel allows."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import AsyncIterator

from loadbalancer.http.server_connection import ServerConnection
from loadbalancer.proxy.proxy import Proxy
from tests.support.loopback import until

LARGE_BODY = b"z" * 65536  # larger than these buffers


@contextlib.asynccontextmanager
async def slow_reader(proxy: Proxy) -> AsyncIterator[tuple[socket.socket, ServerConnection]]:
    """The client's blocking socket, and the proxy's end of its connection, which is the only one."""
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        client.connect(proxy.listener.address)
        await until(lambda: proxy.listener.connections)
        (connection,) = proxy.listener.connections
        assert isinstance(connection, ServerConnection)
        own_socket = connection._transport.get_extra_info("socket")
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
        yield client, connection
