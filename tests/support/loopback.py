"""Test doubles, on the loopback address, of a proxy's clients, backends and discovery; tests script them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Self
from weakref import WeakKeyDictionary

from loadbalancer.http.addresses import Address
from loadbalancer.proxy.proxy import Proxy
from tests.support.messages import Message, read_message, response_bytes, targets
from tests.support.proxy_config import config

WAIT_LIMIT_S = 20.0  # below the time-out of a test, so that the traceback shows which condition is false
POLL_INTERVAL_S = 0.005


async def close_writer(writer: asyncio.StreamWriter) -> None:
    """Abort a connection and wait until it is closed; data that the peer has not read is lost."""
    writer.transport.abort()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


Script = Callable[[Message], Awaitable[bytes | None]]
"""Returns the response to a request; None closes the connection without one."""


def always(response: bytes | None) -> Script:
    """A script with one response to all requests."""

    async def respond(_message: Message) -> bytes | None:
        return response

    return respond


class LoopbackServer:
    """An HTTP server that responds as its script says, or with 200 if it has none.

    It is an asynchronous context manager that listens within its context and has closed all sockets after it.
    """

    def __init__(self, script: Script | None = None) -> None:
        self.script = script or always(response_bytes())
        self.received: list[Message] = []  # all requests, in the order of arrival
        self.connections = 0  # number of connections accepted since the start
        self.readers: list[asyncio.StreamReader] = []
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()  # one for each open connection
        self._server: asyncio.Server | None = None

    async def start(self, listening: socket.socket | None = None) -> Self:
        """Listen on this socket, or on a free port of the loopback address."""
        listening = listening or socket.create_server(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._accept, sock=listening)
        self.port: int = listening.getsockname()[1]
        return self

    async def __aenter__(self) -> Self:
        return await self.start()

    async def __aexit__(self, *_error: object) -> None:
        await self.aclose()

    @property
    def address(self) -> Address:
        """The address that it listens on."""
        return Address("127.0.0.1", self.port)

    @property
    def endpoint(self) -> str:
        """The address in the form of an endpoint list."""
        return f"127.0.0.1:{self.port}"

    @property
    def request_ids(self) -> list[str]:
        """The ids of all requests, in the order of arrival."""
        return [message.headers["req-id"] for message in self.received]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; `stop` cancels it."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.connections += 1
        self.readers.append(reader)
        self._writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self._serve(reader, writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond on one connection until the client closes it or the script ends it."""
        with contextlib.closing(writer):
            while True:
                message = await read_message(reader)
                self.received.append(message)
                response = await self.script(message)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()

    def stop(self) -> None:
        """Start to close the listening socket and all connections; no effect if the server is not started."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()

    async def aclose(self) -> None:
        """Close the listening socket and all connections, and wait until they are closed."""
        self.stop()
        for writer in self._writers:
            await close_writer(writer)
        await asyncio.gather(*self._tasks)  # raises an exception that a script has raised


class StalledBackend(LoopbackServer):
    """A backend that does not respond until `release` is set."""

    def __init__(self) -> None:
        super().__init__(self._wait)
        self.release = asyncio.Event()

    async def _wait(self, _message: Message) -> bytes:
        await self.release.wait()
        return response_bytes()


class ScriptedDiscovery(LoopbackServer):
    """A discovery that sends `responses`, one to each request, and does not respond to further requests."""

    def __init__(self, *responses: bytes | None) -> None:
        super().__init__(self._next)
        self.responses = list(responses)

    async def _next(self, _message: Message) -> bytes | None:
        if not self.responses:
            await asyncio.Event().wait()
        return self.responses.pop(0)


_clients_of: WeakKeyDictionary[Proxy, list[HttpClient]] = WeakKeyDictionary()
"""Clients connected by `HttpClient.to`; `running_proxy` closes them together with the proxy."""


async def _close_proxy(proxy: Proxy) -> None:
    """Close a proxy with the connections of its clients, and wait until these are closed."""
    proxy.close()
    for connection in list(proxy.listener.connections):
        connection.abort()
    for client in _clients_of.pop(proxy, []):
        await client.aclose()


@contextlib.asynccontextmanager
async def running_proxy(
    *servers: LoopbackServer, discovery: LoopbackServer | None = None, **fields: Any
) -> AsyncIterator[Proxy]:
    """A running proxy with these backends as its known endpoints s0, s1 and so on; `fields` configure it.

    The proxy, its clients, the backends and discovery are closed at the end of the context.
    """
    async with contextlib.AsyncExitStack() as stack:
        discovery = await stack.enter_async_context(discovery or ScriptedDiscovery())
        for server in servers:
            await stack.enter_async_context(server)
        known = targets(**{f"s{number}": (server.endpoint, "Ready") for number, server in enumerate(servers)})
        proxy = Proxy(config(discovery.endpoint, known=known, **fields))
        stack.push_async_callback(_close_proxy, proxy)
        await proxy.start()
        yield proxy


class HttpClient:
    """A client's connection to a proxy or another server; a context manager that closes it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> HttpClient:
        """Connect to this address; the caller closes the client."""
        return cls(*await asyncio.open_connection(*address))

    @classmethod
    async def to(cls, proxy: Proxy) -> HttpClient:
        """Connect to a proxy; `running_proxy` closes the client if its test does not."""
        client = await cls.connect(proxy.listener.address)
        _clients_of.setdefault(proxy, []).append(client)
        return client

    async def __aenter__(self) -> HttpClient:
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connection, and wait until it is closed."""
        await close_writer(self.writer)

    async def send(self, data: bytes) -> Message:
        """Send a request and read its response."""
        self.writer.write(data)
        return await self.read_response()

    async def read_response(self) -> Message:
        """Read the next response."""
        return await read_message(self.reader)


async def send_request(proxy: Proxy, data: bytes) -> Message:
    """Send a request on a connection of its own and read the response."""
    async with await HttpClient.connect(proxy.listener.address) as client:
        return await client.send(data)


async def until(condition: Callable[[], object]) -> None:
    """Wait for a condition that must become true; TimeoutError after `WAIT_LIMIT_S` seconds."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WAIT_LIMIT_S
    while not condition():
        if loop.time() > deadline:
            raise TimeoutError(f"the condition did not become true within {WAIT_LIMIT_S} s")
        await asyncio.sleep(POLL_INTERVAL_S)
