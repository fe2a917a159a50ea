"""Discovery that is down at first, and comes back with one new endpoint."""

from __future__ import annotations

import asyncio
import socket
from typing import Self

from loadbalancer.http.addresses import Address
from tests.support.loopback import LoopbackServer, until
from tests.support.messages import Message, endpoint_list_response

FILLERS = 4  # connections that fill an accept queue of length 0


def connect(address: Address) -> socket.socket:
    """Start to connect: on loopback the connection is up at once, unless the accept queue is full."""
    connecting = socket.socket()
    connecting.setblocking(False)
    connecting.connect_ex(address)
    return connecting


class DiscoveryOutage:
    """Discovery's address, down until `end`; an asynchronous context manager that closes all sockets.

    While it is down, it refuses connections ("refuses"), never establishes them ("hangs"), or accepts them
    and doesn't respond ("is mute"). Then it responds with a list of the one endpoint `new_endpoint`.
    """

    def __init__(self, kind: str) -> None:
        self.new_endpoint = LoopbackServer()
        self._discovery = LoopbackServer(self._list)
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self._fillers: list[socket.socket] = []
        if kind != "refuses":
            self._socket.listen(0 if kind == "hangs" else 100)
        if kind == "hangs":  # no further connection is established once the accept queue is full
            self._fillers = [connect(self._socket.getsockname()) for _ in range(FILLERS)]

    @property
    def address(self) -> str:
        """Discovery's address as a configuration file has it."""
        return "{}:{}".format(*self._socket.getsockname())

    async def __aenter__(self) -> Self:
        await self.new_endpoint.start()
        return self

    async def __aexit__(self, *_error: object) -> None:
        self._close_fillers()
        await self._discovery.aclose()
        await self.new_endpoint.aclose()
        self._socket.close()

    def _close_fillers(self) -> None:
        for filler in self._fillers:
            filler.close()

    async def _list(self, message: Message) -> bytes:
        if "since=1&" not in message.first[1]:
            await asyncio.Event().wait()
        return endpoint_list_response(2, True, new=(self.new_endpoint.endpoint, "Ready"))

    async def end(self) -> None:
        """Bring discovery back, and wait until its client has the new list."""
        self._close_fillers()
        self._socket.setblocking(False)
        await self._discovery.start(self._socket)
        await until(lambda: any("since=2&" in message.first[1] for message in self._discovery.seen))
