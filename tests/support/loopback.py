"""Loopback stand-ins for what a proxy talks to, scripted by each test: clients, backends and discovery."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Self
from weakref import WeakKeyDictionary

import orjson

from loadbalancer.actions import Action
from loadbalancer.events import Event
from loadbalancer.proxy.config import Config, parse_config
from loadbalancer.proxy.proxy import Proxy

WAIT_LIMIT_S = 20.0
POLL_INTERVAL_S = 0.005

SETTINGS: dict[str, Any] = {
    "bounds": {
        "cancel": True,
        "maxAttempts": 3,
        "maxOpen": 100,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
        "connIdleMs": 10000.0,
        "connectTimeoutMs": 250.0,
    },
    "categories": [
        {"name": "read", "aimMs": 20000.0, "giveUpMs": 30000.0, "credit": 12.0, "effect": "free"},
        {"name": "post", "aimMs": 20000.0, "giveUpMs": 30000.0, "credit": 1.0, "effect": "single_shot"},
        {"name": "move", "aimMs": 20000.0, "giveUpMs": 30000.0, "effect": "guarded", "memorySpanMs": 9000.0},
    ],
    "feedback": {"fields": ["depth"], "via": "inline"},
    "registryMode": "ask",
    "locality": "a",
}


@dataclass
class Message:
    """A parsed request or response."""

    first: list[str]  # the words of its first line
    headers: dict[str, str]  # by lower-case name
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message, whose body has a Content-Length or is empty.

    Raises:
        asyncio.IncompleteReadError: if the connection ends before the message does.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in head[1:-2])}
    return Message(
        head[0].split(" ", 2), headers, await reader.readexactly(int(headers.get("content-length", 0)))
    )


def reply(status: int = 200, body: bytes = b"done", **headers: str) -> bytes:
    """A response in bytes; an underscore in a header's keyword stands for a hyphen."""
    lines = [f"HTTP/1.1 {status} Word", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def close_writer(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once, and wait until it is closed; what the peer has not read is dropped."""
    writer.transport.abort()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


Script = Callable[[Message], Awaitable[bytes | None]]
"""Returns the response to a request; None closes the connection without one."""


class LoopbackServer:
    """An HTTP server that responds as its script says, and with 200 where it has none.

    It is an asynchronous context manager that listens within its context and has closed all sockets after it.
    """

    def __init__(self, script: Script | None = None) -> None:
        self.script = script
        self.seen: list[Message] = []  # all requests, in the order of arrival
        self.connections = 0  # accepted since the start
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
    def endpoint(self) -> str:
        """The address as endpoint lists have it."""
        return f"127.0.0.1:{self.port}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection, until the server stops at the latest."""
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
                self.seen.append(message)
                response = reply() if self.script is None else await self.script(message)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()

    def stop(self) -> None:
        """Begin to close the listening socket and all connections; no effect if the server is not started."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()

    async def aclose(self) -> None:
        """Close the listening socket and all connections, and wait until they are closed."""
        self.stop()
        await asyncio.gather(*self._tasks)
        for writer in self._writers:
            await close_writer(writer)


class StalledBackend(LoopbackServer):
    """A backend that responds to nothing until `release` is set."""

    def __init__(self) -> None:
        super().__init__(self._wait)
        self.release = asyncio.Event()

    async def _wait(self, _message: Message) -> bytes:
        await self.release.wait()
        return reply()


class ScriptedDiscovery(LoopbackServer):
    """A discovery that returns `responses`, one response a call, and lets further calls wait."""

    def __init__(self, *responses: bytes | None) -> None:
        super().__init__(self._next)
        self.responses = list(responses)

    async def _next(self, _message: Message) -> bytes | None:
        if not self.responses:
            await asyncio.Event().wait()
        return self.responses.pop(0)


def targets(**states: tuple[str, str]) -> list[dict[str, Any]]:
    """The entries of an endpoint list on the wire: address and state by uid."""
    return [
        {"uid": uid, "endpoint": endpoint, "az": "a", "pod_group": 1, "state": state, "boot_ms": 0}
        for uid, (endpoint, state) in states.items()
    ]


def endpoint_list_response(revision: int, complete: bool, **states: tuple[str, str]) -> bytes:
    """Discovery's response with an endpoint list, complete or of changes."""
    return reply(200, orjson.dumps({"rev": revision, "all": complete, "targets": targets(**states)}))


def config_document(discovery: str, **more: Any) -> dict[str, Any]:
    """A proxy's configuration file in JSON values; `known`, `bounds` and `settings` are merged into it."""
    known = {"rev": 1, "all": True, "targets": more.pop("known", [])}
    bounds = SETTINGS["bounds"] | more.pop("bounds", {})
    settings = SETTINGS | {"bounds": bounds} | more.pop("settings", {})
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": settings,
    } | more


def config(discovery: str, **more: Any) -> Config:
    """A proxy's configuration; the arguments are those of `config_document`."""
    return parse_config(orjson.dumps(config_document(discovery, **more)))


_clients_of: WeakKeyDictionary[Proxy, list[HttpClient]] = WeakKeyDictionary()
"""Clients connected by `HttpClient.to`, which `running_proxy` closes with its proxy."""


async def _close_proxy(proxy: Proxy) -> None:
    """Close a proxy with the connections of its clients, and wait until these are closed."""
    proxy.close()
    for connection in list(proxy.listener.connections):
        connection.abort()
    for client in _clients_of.pop(proxy, []):
        await client.aclose()


@contextlib.asynccontextmanager
async def running_proxy(
    *servers: LoopbackServer, discovery: LoopbackServer | None = None, **more: Any
) -> AsyncIterator[Proxy]:
    """A running proxy whose cached list has these backends as s0, s1 and so on.

    The proxy, its clients, the backends and discovery are closed at the end of the context.
    """
    async with contextlib.AsyncExitStack() as stack:
        discovery = await stack.enter_async_context(discovery or ScriptedDiscovery())
        for server in servers:
            await stack.enter_async_context(server)
        known = targets(**{f"s{number}": (server.endpoint, "Ready") for number, server in enumerate(servers)})
        proxy = Proxy(config(discovery.endpoint, known=known, **more))
        stack.push_async_callback(_close_proxy, proxy)
        await proxy.start()
        yield proxy


class ScriptedPolicy:
    """Stands in for the policy: records its events and returns the actions that the test chooses."""

    cursor = 0

    def __init__(self, act: Callable[[Event], list[Action]] = lambda event: []) -> None:
        self.act = act
        self.events: list[Event] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Record an event and return the test's actions; the policy's own signature."""
        self.events.append(event)
        return self.act(event)

    def events_of(self, kind: type) -> list[Any]:
        """The recorded events of one type."""
        return [event for event in self.events if isinstance(event, kind)]


def request(kind: str = "read", name: str = "q1", body: bytes = b"", **headers: str) -> bytes:
    """A request in bytes, of a service class and with an id; header keywords are as in `reply`."""
    method = "GET" if kind == "read" else "POST"
    lines = [f"{method} /{kind}/7f3a?x=1 HTTP/1.1", "Host: service.internal", f"Req-Id: {name}"]
    if kind != "read":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{key.replace('_', '-')}: {value}" for key, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


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


def connect(address: tuple[str, int]) -> socket.socket:
    """Start to connect: on loopback the connection is up at once, unless the accept queue is full."""
    connecting = socket.socket()
    connecting.setblocking(False)
    connecting.connect_ex(address)
    return connecting


class DiscoveryOutage:
    """Discovery's address while it is down; a context manager that closes the sockets which hold the address.

    It refuses connections ("refuses"), never establishes them ("hangs"), or accepts them and doesn't respond
    (any other kind).
    """

    def __init__(self, kind: str) -> None:
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self._fillers: list[socket.socket] = []
        if kind != "refuses":
            self.socket.listen(0 if kind == "hangs" else 100)
        if kind == "hangs":  # they fill the accept queue, so that no further connection is established
            self._fillers = [connect(self.socket.getsockname()) for _ in range(4)]

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_error: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the sockets; a server that listens on one after `end` has to be stopped on its own."""
        for filler in self._fillers:
            filler.close()
        self.socket.close()

    async def end(self, discovery: LoopbackServer) -> None:
        """Bring discovery back at this address."""
        for filler in self._fillers:
            filler.close()
        self.socket.setblocking(False)
        await discovery.start(self.socket)
