"""A registry, discovery servers and their clients on loopback, in this process or in one of their own."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import orjson
import structlog

from loadbalancer.discovery_server.config import Config, ListConfig, ListLimits, ProcessLimits
from loadbalancer.discovery_server.server import DiscoveryServer
from loadbalancer.http.addresses import Address
from tests.support.loopback import LoopbackServer, Message, read_message, reply, targets, until

ROOT = Path(__file__).parents[2]
LIST_NAME = "s"
HOSTS = "/discovery/hosts"
WATCH_TIMEOUT_MS = 60_000
PROCESS_EXIT_S = 20


class Registry(LoopbackServer):
    """Answers watches as the protocol says, always with the complete list."""

    def __init__(self, **states: tuple[str, str]) -> None:
        super().__init__(self.respond)
        self.rev, self.states = 1, states
        self._changed = asyncio.Event()

    def set(self, **states: tuple[str, str]) -> None:
        self.rev, self.states = self.rev + 1, states
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, message: Message) -> bytes:
        query = dict(part.split("=") for part in message.first[1].partition("?")[2].split("&") if part)
        if query.get("since") == str(self.rev):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["timeout_ms"]) / 1000.0):
                    await self._changed.wait()
        return reply(200, orjson.dumps({"rev": self.rev, "all": True, "targets": targets(**self.states)}))


class ListResponse(NamedTuple):
    """A response with a list: its revision, whether it is complete, the uids of its entries."""

    revision: int
    complete: bool
    uids: list[str]


def list_response(message: Message) -> ListResponse:
    assert message.status == 200
    document = orjson.loads(message.body)
    uids = [target["uid"] for target in document["targets"]]
    return ListResponse(document["rev"], document["all"], uids)


def ready(*uids: str) -> dict[str, tuple[str, str]]:
    """The states of ready endpoints."""
    return {uid: ("127.0.0.1:9", "Ready") for uid in uids}


@contextlib.asynccontextmanager
async def discovery_server(
    state_dir: Path, *upstreams: str, list_limits: ListLimits | None = None, **process_limits: Any
) -> AsyncIterator[DiscoveryServer]:
    """A discovery server of one list, as long as the context lasts."""
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


def address_of(server: DiscoveryServer) -> Address:
    return server.addresses[LIST_NAME]


def endpoint_of(server: DiscoveryServer) -> str:
    host, port = address_of(server)
    return f"{host}:{port}"


class Client:
    """A client's connection to a discovery server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: Address) -> Client:
        return cls(*await asyncio.open_connection(*address))

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

    async def wait_closed(self) -> bool:
        """True once the server has closed the connection; reads and drops what it sends until then."""
        with contextlib.suppress(ConnectionError):
            while await self.reader.read(1 << 20):
                pass
        return True


async def get(server: DiscoveryServer) -> Message:
    """The response to a request on a connection of its own."""
    client = await Client.connect(address_of(server))
    message = await client.get()
    client.writer.close()
    return message


async def get_list(server: DiscoveryServer) -> ListResponse:
    return list_response(await get(server))


async def start_watch(
    server: DiscoveryServer, since: int, client: Client | None = None
) -> asyncio.Task[ListResponse]:
    """A watch that the server has registered; on a connection of its own unless one is given."""
    client = client or await Client.connect(address_of(server))
    before = server.statistics().waiting_watches
    watch = asyncio.create_task(client.watch(since))
    await until(lambda: server.statistics().waiting_watches == before + 1)
    return watch


# ------------------------------------------------------------------- processes


@contextlib.contextmanager
def running_process(directory: Path, configuration: str) -> Iterator[subprocess.Popen[str]]:
    """A discovery server's process, which is killed at the end if it still runs."""
    file = directory / "config.toml"
    file.write_text(configuration)
    command = [sys.executable, "-m", "loadbalancer.discovery_server", str(file)]
    with subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True) as process:
        try:
            yield process
        finally:
            process.kill()


def configuration(directory: Path, upstream: str) -> str:
    return (
        f'state_dir = "{directory}/state"\n[[lists]]\nname = "{LIST_NAME}"\n'
        f'listen = "127.0.0.1:0"\nupstreams = ["{upstream}"]\n'
    )


async def log_line(process: subprocess.Popen[str], event: str) -> dict[str, Any]:
    """The next log line of this event."""
    assert process.stderr is not None
    while True:
        line = orjson.loads(await asyncio.to_thread(process.stderr.readline))
        if line["event"] == event:
            return line


async def listening_address(process: subprocess.Popen[str]) -> Address:
    """Where the process serves its list, by its log."""
    host, _, port = (await log_line(process, "listening"))["address"].rpartition(":")
    return host, int(port)


async def exit_code(process: subprocess.Popen[str]) -> int:
    return await asyncio.to_thread(process.wait, PROCESS_EXIT_S)
