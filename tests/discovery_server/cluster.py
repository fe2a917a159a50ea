"""Registries, discovery servers and their clients on loopback, in the test's own process."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any, NamedTuple, Self, TypeVar

import orjson
import structlog

from loadbalancer.discovery_server.config import Config, ListConfig, ListLimits, ProcessLimits
from loadbalancer.discovery_server.server import DiscoveryServer
from loadbalancer.http.addresses import Address
from tests.support.loopback import LoopbackServer, Script, close_writer, until
from tests.support.messages import Message, read_message, response_bytes, targets

LIST_NAME = "s"
HOSTS = "/discovery/hosts"
WATCH_TIMEOUT_MS = 60_000
ENDPOINT = ("127.0.0.1:9", "Ready")

_Result = TypeVar("_Result")


def list_reply(revision: int, *uids: str, complete: bool = True) -> bytes:
    """An HTTP response with a list of ready endpoints."""
    entries = targets(**dict.fromkeys(uids, ENDPOINT))
    return response_bytes(200, orjson.dumps({"rev": revision, "all": complete, "targets": entries}))


class Registry(LoopbackServer):
    """A registry that implements the watch protocol and always responds with the complete list."""

    def __init__(self, *uids: str) -> None:
        super().__init__(self.respond)
        self.revision = 1
        self._uids = uids
        self._changed = asyncio.Event()

    def set_endpoints(self, *uids: str, revision: int | None = None) -> None:
        """Change the list; the revision increases by one unless it is given."""
        self.revision = self.revision + 1 if revision is None else revision
        self._uids = uids
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, message: Message) -> bytes:
        """The response to a request: immediate, or after the next change for a client that is up to date."""
        query = dict(part.split("=") for part in message.start_line[1].partition("?")[2].split("&") if part)
        if query.get("since") == str(self.revision):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["timeout_ms"]) / 1000.0):
                    await self._changed.wait()
        return list_reply(self.revision, *self._uids)


class ListResponse(NamedTuple):
    """The list in a response: its revision, whether it is complete, and the uids of its entries."""

    revision: int
    complete: bool
    uids: list[str]


def list_response(message: Message) -> ListResponse:
    """The list in a successful response."""
    assert message.status == 200
    document = orjson.loads(message.body)
    uids = [target["uid"] for target in document["targets"]]
    return ListResponse(document["rev"], document["all"], uids)


class Client:
    """A client's connection to a discovery server; a context manager that closes it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: Address) -> Self:
        return cls(*await asyncio.open_connection(*address))

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self.aclose()

    async def aclose(self) -> None:
        await close_writer(self.writer)

    def send(self, target: str) -> None:
        self.writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    def send_watch(self, since: int, timeout_ms: int = WATCH_TIMEOUT_MS) -> None:
        self.send(f"{HOSTS}?since={since}&timeout_ms={timeout_ms}")

    async def read(self) -> Message:
        return await read_message(self.reader)

    async def get(self, target: str = HOSTS) -> Message:
        self.send(target)
        return await self.read()

    async def get_list(self) -> ListResponse:
        return list_response(await self.get())

    async def watch(self, since: int, timeout_ms: int = WATCH_TIMEOUT_MS) -> ListResponse:
        self.send_watch(since, timeout_ms)
        return list_response(await self.read())

    async def status_of(self, request: bytes) -> int | None:
        """The status of the response to these bytes; None if the connection is closed without one."""
        self.writer.write(request)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            return (await self.read()).status
        return None

    async def wait_closed(self) -> bool:
        """Wait until the server closes the connection, and discard what it sends; always returns True."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(1 << 20):
                pass
        return True


def address_of(server: DiscoveryServer) -> Address:
    return server.addresses[LIST_NAME]


def endpoint_of(server: DiscoveryServer) -> str:
    host, port = address_of(server)
    return f"{host}:{port}"


async def get(server: DiscoveryServer, target: str = HOSTS) -> Message:
    """The response to a request on a new connection."""
    async with await Client.connect(address_of(server)) as client:
        return await client.get(target)


async def get_list(server: DiscoveryServer) -> ListResponse:
    return list_response(await get(server))


@contextlib.asynccontextmanager
async def discovery_server(
    state_dir: Path, *upstreams: str, list_limits: ListLimits | None = None, **process_limits: Any
) -> AsyncIterator[DiscoveryServer]:
    """A discovery server with one list, which is closed at the end of the context."""
    config = Config(
        str(state_dir),
        (ListConfig(LIST_NAME, "127.0.0.1:0", tuple(upstreams)),),
        seed=1,
        list_limits=list_limits or ListLimits(),
        process_limits=ProcessLimits(**process_limits),
    )
    server = DiscoveryServer(config, structlog.get_logger())
    try:
        await server.start()
        yield server
    finally:
        server.close()


class Cluster:
    """Starts registries, discovery servers and clients, and closes them in reverse order at the end."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_error: object) -> None:
        await self._stack.aclose()

    async def registry(self, *uids: str) -> Registry:
        """A running registry with these endpoints."""
        return await self._stack.enter_async_context(Registry(*uids))

    async def upstream(self, script: Script) -> LoopbackServer:
        """A running upstream whose responses come from this script."""
        return await self._stack.enter_async_context(LoopbackServer(script))

    async def server(self, *upstreams: str, name: str = "server", **limits: Any) -> DiscoveryServer:
        """A running discovery server, whose state directory has this name."""
        context = discovery_server(self.directory / name, *upstreams, **limits)
        return await self._stack.enter_async_context(context)

    async def ready_server(self, *upstreams: str, name: str = "server", **limits: Any) -> DiscoveryServer:
        """A running discovery server that has received its list."""
        server = await self.server(*upstreams, name=name, **limits)
        await until(lambda: server.ready)
        return server

    async def connect(self, server: DiscoveryServer) -> Client:
        """A client's connection to this server."""
        return await self._stack.enter_async_context(await Client.connect(address_of(server)))

    def connect_without_reading(self, server: DiscoveryServer) -> socket.socket:
        """A connected socket with a small receive buffer, from which nothing is read."""
        connected = self._stack.enter_context(socket.socket())
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connected.connect(address_of(server))
        connected.setblocking(False)
        return connected

    async def start_watch(
        self, server: DiscoveryServer, since: int, client: Client | None = None
    ) -> asyncio.Task[ListResponse]:
        """Start a watch and wait until the server has registered it; without `client` on a new connection."""
        client = client or await self.connect(server)
        before = server.statistics().waiting_watches
        watch = self._start_task(client.watch(since))
        await until(lambda: server.statistics().waiting_watches == before + 1)
        return watch

    async def start_watches(
        self, server: DiscoveryServer, since: int, count: int
    ) -> list[asyncio.Task[ListResponse]]:
        """Start watches, each on a new connection, and wait until the server has registered them."""
        return [await self.start_watch(server, since) for _ in range(count)]

    def _start_task(self, coroutine: Coroutine[Any, Any, _Result]) -> asyncio.Task[_Result]:
        task = asyncio.create_task(coroutine)
        self._stack.push_async_callback(_cancel, task)
        return task


async def _cancel(task: asyncio.Task[Any]) -> None:
    """Cancel a task and retrieve its error, which only a test that awaits the task reports."""
    task.cancel()
    await asyncio.wait({task})
    if not task.cancelled():
        task.exception()
