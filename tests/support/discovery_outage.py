"""A discovery outage, which ends with an endpoint list of one new endpoint."""

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
    """A discovery that is unavailable until `end`; an asynchronous context manager that closes all sockets.

    During the outage it refuses connections ("refuses"), never establishes them ("does not accept"), or
    accepts them and does not respond ("does not respond"). Afterwards its list has the one endpoint
    `new_endpoint`.
    """

    def __init__(self, kind: str) -> None:
        self.new_endpoint = LoopbackServer()
        self._discovery = LoopbackServer(self._list)
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self._full_queue = contextlib.ExitStack()
        if kind == "does not accept":
            self._full_queue.enter_context(full_accept_queue(self._socket))
        if kind == "does not respond":
            self._socket.listen()

    @property
    def address(self) -> str:
        """The address in the form of a configuration file."""
        return "{}:{}".format(*self._socket.getsockname())

    async def __aenter__(self) -> Self:
        await self.new_endpoint.start()
        return self

    async def __aexit__(self, *_error: object) -> None:
        self._full_queue.close()
        await self._discovery.aclose()
        await self.new_endpoint.aclose()
        self._socket.close()

    async def _list(self, message: Message) -> bytes:
        if "since=1&" not in message.start_line[1]:
            await asyncio.Event().wait()
        return endpoint_list_response(2, True, new=(self.new_endpoint.endpoint, "Ready"))

    async def end(self) -> None:
        """End the outage, and wait until discovery's client has the new list."""
        self._full_queue.close()
        self._socket.setblocking(False)
        await self._discovery.start(self._socket)
        await until(lambda: any("since=2&" in message.start_line[1] for message in self._discovery.received))


@dataclass(frozen=True)
class ProxyInOutage:
    """A proxy process whose discovery is unavailable."""

    address: Address  # that the proxy listens on
    discovery: DiscoveryOutage
    program: subprocess.Popen[str]


@contextlib.asynccontextmanager
async def proxy_in_outage(
    folder: Path, outage: str, descriptor_limit: int | None = None, **document: Any
) -> AsyncIterator[ProxyInOutage]:
    """Run a proxy process in an outage of this kind; `document` has the arguments of `config_document`."""
    async with DiscoveryOutage(outage) as discovery:
        address = free_address()
        config = write_config(folder, config_document(discovery.address, **document), address)
        with running_program(config, descriptor_limit) as program:
            yield ProxyInOutage(address, discovery, program)
