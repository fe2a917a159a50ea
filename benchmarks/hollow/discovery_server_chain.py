"""A chain of discovery servers in child processes, with a plain list server as the registry upstream."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

import msgspec

from benchmarks.hollow.plain_server_process import PLAIN_ROLE, PlainServer
from benchmarks.hollow.service_lists import ListChanges, ServiceLists
from benchmarks.support.free_ports import free_ports
from benchmarks.support.health_check import responds_ok
from benchmarks.support.list_server import LIST_PATH
from benchmarks.support.processes import ChildProcess
from loadbalancer.http.addresses import Address

READY_TIMEOUT_S = 60.0  # from a server's start until a list is served
READY_POLL_S = 0.02
REGISTRY_ROLE = "registry"
MAX_CONNECTIONS = 10_000  # configured limit of a discovery server
MAX_WATCHES = 10_000
PROBLEM_LEVELS = ("warning", "error")


class ListNotServedError(TimeoutError):
    """A discovery server does not serve a list within `READY_TIMEOUT_S` after its start."""

    def __init__(self, port: int) -> None:
        super().__init__(
            f"discovery server: no list at port {port} within {READY_TIMEOUT_S:g} s of the start"
        )
        self.port = port


class _LogLine(msgspec.Struct):
    """The fields of a discovery server's log line that this module reads."""

    level: str
    event: str


class DiscoveryServerChain:
    """A chain of discovery servers; the first watches a plain list server, and the nodes watch the last."""

    def __init__(self, folder: Path, server_roles: Sequence[str]) -> None:
        self.roles: dict[str, ChildProcess] = {}
        self._folder = folder
        self._registry = PlainServer(folder)
        self._server_roles = list(server_roles)
        self._ports: dict[str, list[int]] = {}

    @property
    def ports(self) -> list[int]:
        """See `ServerUnderTest`."""
        return self._ports[self._server_roles[-1]]

    async def start(self, services: ServiceLists) -> None:
        """See `ServerUnderTest`."""
        await self._registry.start(services)
        self.roles[REGISTRY_ROLE] = self._registry.roles[PLAIN_ROLE]
        upstream_ports = self._registry.ports
        for role in self._server_roles:
            ports = free_ports(len(services.lists))
            self._ports[role] = ports
            state_folder = self._folder / role
            state_folder.mkdir()
            configuration = discovery_server_configuration(state_folder, ports, upstream_ports)
            self._configuration_file(role).write_text(configuration)
            await self._start_server(role, ports)
            upstream_ports = ports

    def _configuration_file(self, role: str) -> Path:
        return self._folder / f"{role}.toml"

    def _log_file(self, role: str) -> Path:
        return self._folder / f"{role}.log"

    async def _start_server(self, role: str, awaited_ports: Sequence[int]) -> float:
        self.roles[role] = await ChildProcess.start(
            "loadbalancer.discovery_server",
            str(self._configuration_file(role)),
            log=self._log_file(role),
        )
        for port in awaited_ports:
            await wait_until_served(port)
        return time.monotonic()

    def logged_problems(self) -> Counter[str]:
        """See `ServerUnderTest`; lines without an event, such as tracebacks, count as "other output"."""
        problems: Counter[str] = Counter()
        for role in self._server_roles:
            for line in self._log_file(role).read_bytes().splitlines():
                try:
                    logged = msgspec.json.decode(line, type=_LogLine)
                except msgspec.DecodeError:
                    problems[f"{role}: other output"] += 1
                    continue
                if logged.level in PROBLEM_LEVELS:
                    problems[f"{role}: {logged.event.split(':')[0]}"] += 1
        return problems

    async def change(self, changes: ListChanges) -> float:
        """See `ServerUnderTest`."""
        return await self._registry.change(changes)

    async def stop_watched_server(self) -> None:
        """See `ServerUnderTest`."""
        await self.roles.pop(self._server_roles[-1]).kill()

    async def start_watched_server(self, _services: ServiceLists, /) -> float:
        """See `ServerUnderTest`; the server loads its snapshot, and serves once its last list is served."""
        return await self._start_server(self._server_roles[-1], self.ports[-1:])

    async def close(self) -> None:
        """See `ServerUnderTest`."""
        for role in reversed(self._server_roles):
            if role in self.roles:
                await self.roles[role].kill()
        await self._registry.close()


def discovery_server_configuration(
    state_folder: Path, ports: Sequence[int], upstream_ports: Sequence[int]
) -> str:
    """Return a discovery server's configuration: the listening port and the upstream port of each list."""
    lines = [
        f"state_dir = {str(state_folder)!r}",
        "[process]",
        f"connections = {MAX_CONNECTIONS}",
        f"watches = {MAX_WATCHES}",
    ]
    for number, (port, upstream_port) in enumerate(zip(ports, upstream_ports, strict=True)):
        lines += [
            "[[lists]]",
            f'name = "service-{number}"',
            f'listen = "127.0.0.1:{port}"',
            f'upstreams = ["127.0.0.1:{upstream_port}"]',
        ]
    return "\n".join(lines) + "\n"


async def wait_until_served(port: int) -> None:
    """Wait until a server responds with a list at this loopback port.

    Raises:
        ListNotServedError: The list is not served within `READY_TIMEOUT_S`.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            if await responds_ok(Address("127.0.0.1", port), LIST_PATH):
                return
        await asyncio.sleep(READY_POLL_S)
    raise ListNotServedError(port)
