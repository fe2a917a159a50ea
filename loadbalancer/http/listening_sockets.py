"""The listening sockets of a listener: opens them, bounds how fast they accept, and closes them in order."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from loadbalancer.http.addresses import Address, socket_address
from loadbalancer.http.socket_state import is_readable

BACKLOG = 1024  # connections that the kernel accepts ahead of the event loop


class ListeningSockets:
    """Listening sockets, each of which accepts at most `accept_batch` connections per event loop turn."""

    def __init__(self, loop: asyncio.AbstractEventLoop, accept_batch: int) -> None:
        self._loop = loop
        self._accept_batch = accept_batch
        self._servers: list[asyncio.Server] = []

    @property
    def sockets(self) -> list[socket.socket]:
        """The open sockets, in the order in which they were opened."""
        return [listening for server in self._servers for listening in server.sockets]

    async def open(self, host: str, port: int, protocol_factory: Callable[[], asyncio.Protocol]) -> Address:
        """Open one more socket, whose connections get their protocol from the factory.

        Returns the address, with the port that the kernel chose where `port` is 0.

        Raises:
            OSError: if the address can't be bound.
        """
        listening = socket.create_server((host, port))
        # Guard: asyncio accepts up to `backlog` connections before it handles any of them, and does so for
        # two further turns before the connections closed to make room are released. All of these hold
        # descriptors beyond the counted connections, and a burst exhausts the descriptors. asyncio is
        # therefore given `accept_batch` as its backlog, and only the kernel's queue is made long.
        server = await self._loop.create_server(protocol_factory, sock=listening, backlog=self._accept_batch)
        listening.listen(BACKLOG)
        self._servers.append(server)
        return socket_address(listening)

    async def drain(self) -> None:
        """Accept what the kernel's queues hold, as it may carry requests, and close the sockets."""
        listening = [sock.fileno() for sock in self.sockets]
        quiet = False
        for _ in range(BACKLOG if listening else 0):
            # Guard: asyncio handles an accepted connection one turn later, and loses it, open and unread, if
            # listening ends in between. One whole turn therefore has to pass with no connection waiting.
            waiting = any(map(is_readable, listening))
            if quiet and not waiting:
                break
            quiet = not waiting
            await asyncio.sleep(0)
        self.close()

    def close(self) -> None:
        """Stop accepting at once; connections that only the kernel has accepted are reset."""
        for server in self._servers:
            server.close()
        self._servers.clear()
