"""The listening sockets of a listener: opens, drains and closes them, and limits how fast they accept."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from loadbalancer.http.addresses import Address, socket_address
from loadbalancer.http.socket_state import is_readable

BACKLOG = 1024  # length of the kernel's queue of accepted connections, per socket


class ListeningSockets:
    """Listening sockets; each accepts at most `accept_batch` connections per event loop iteration."""

    def __init__(self, loop: asyncio.AbstractEventLoop, accept_batch: int) -> None:
        self._loop = loop
        self._accept_batch = accept_batch
        self._servers: list[asyncio.Server] = []

    @property
    def sockets(self) -> list[socket.socket]:
        """The open sockets, in the order of opening."""
        return [listening for server in self._servers for listening in server.sockets]

    async def open(
        self, host: str, port: int, protocol_factory: Callable[[], asyncio.BaseProtocol]
    ) -> Address:
        """Open another listening socket; the factory creates the protocol of each accepted connection.

        Returns the address, with the port that the kernel chose where `port` is 0.

        Raises:
            OSError: if the address can't be bound.
        """
        listening = socket.create_server((host, port))
        # asyncio accepts up to `backlog` connections before it handles any of them, and does so for two
        # further iterations before evicted connections are released. All of these hold descriptors beyond
        # the counted connections, and a burst would exhaust the descriptors. asyncio therefore gets
        # `accept_batch` as its backlog, and a second call of `listen` lengthens only the kernel's queue.
        server = await self._loop.create_server(protocol_factory, sock=listening, backlog=self._accept_batch)
        listening.listen(BACKLOG)
        self._servers.append(server)
        return socket_address(listening)

    async def drain(self) -> None:
        """Accept the connections in the kernel's queues, which may carry requests, and close the sockets."""
        listening = [sock.fileno() for sock in self.sockets]
        queues_empty = False
        for _ in range(BACKLOG if listening else 0):
            # asyncio handles an accepted connection one iteration later, and loses it, open and unread, if
            # listening ends in between. The queues therefore have to be empty for one complete iteration.
            waiting = any(map(is_readable, listening))
            if queues_empty and not waiting:
                break
            queues_empty = not waiting
            await asyncio.sleep(0)
        self.close()

    def close(self) -> None:
        """Stop accepting at once; connections in the kernel's queues are reset."""
        for server in self._servers:
            server.close()
        self._servers.clear()
