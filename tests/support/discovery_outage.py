"""Discovery that is down at first, and comes back with one new endpoint."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import subprocess
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

from loadbalancer.http.addresses import Address
from tests.support.loopback import LoopbackServer, until
from tests.support.messages import Message, endpoint_list_response
from tests.support.program import free_address, running_program, write_config
from tests.support.proxy_config import config_document
from tests.support.sockets import full_accept_queue


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
        self._hang = contextlib.ExitStack()
        if kind == "hangs":
            self._hang.enter_context(full_accept_queue(self._socket))
        if kind == "is mute":
            self._socket.listen()

    @property
    def address(self) -> str:
        """Discovery's address as a configuration file has it."""
        return "{}:{}".format(*self._socket.getsockname())

    async def __aenter__(self) -> Self:
        await self.new_endpoint.start()
        return self

    async def __aexit__(self, *_error: object) -> None:
        self._hang.close()
        await self._discovery.aclose()
        await self.new_endpoint.aclose()
        self._socket.close()

    async def _list(self, message: Message) -> bytes:
        if "since=1&" not in message.start_line[1]:
            await asyncio.Event().wait()
        return endpoint_list_response(2, True, new=(self.new_endpoint.endpoint, "Ready"))

    async def end(self) -> None:
        """Bring discovery back, and wait until its client has the new list."""
        self._hang.close()
        self._socket.setblocking(False)
        await self._discovery.start(self._socket)
        await until(lambda: any("since=2&" in message.start_line[1] for message in self._discovery.received))


@dataclass(frozen=True)
class ProxyInOutage:
    """A proxy process whose discovery is down.

    Attributes:
        address: where it listens.
        discovery: its discovery.
        program: the process.
    """

    address: Address
    discovery: DiscoveryOutage
    program: subprocess.Popen[str]


@contextlib.asynccontextmanager
async def proxy_in_outage(
    folder: Path, outage: str, descriptor_limit: int | None = None, **document: Any
) -> AsyncIterator[ProxyInOutage]:
    """Run a proxy process in an outage of this kind; the document's fields are as in `config_document`."""
    async with DiscoveryOutage(outage) as discovery:
        address = free_address()
        config = write_config(folder, config_document(discovery.address, **document), address)
        with running_program(config, descriptor_limit) as program:
            yield ProxyInOutage(address, discovery, program)
