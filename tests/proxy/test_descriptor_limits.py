"""Idle clients use up the descriptors while discovery is down; the proxy takes the list when that is back."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import signal
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

from loadbalancer.http.eviction import MAX_CANDIDATES_EXAMINED
from loadbalancer.http.listener import EXCESS_ACCEPT_BATCHES
from loadbalancer.http.socket_state import is_readable
from loadbalancer.proxy.config import DOWNSTREAM_FRACTION, RESERVED_DESCRIPTORS, UPSTREAM_FRACTION
from tests.support.loopback import (
    DiscoveryOutage,
    HttpClient,
    LoopbackServer,
    Message,
    StalledBackend,
    config_document,
    connect,
    endpoint_list_response,
    request,
    running_proxy,
    targets,
    until,
)
from tests.support.program import (
    READINESS_REQUEST,
    ask_until_answered,
    connect_client,
    free_address,
    start_program,
    write_config,
)

PARTIAL_REQUEST = b"GET /read/1 HTTP/1.1\r\nReq-Id: half\r\n"
BURST_SIZE = 500  # idle clients that connect between two turns of the proxy's loop: the kernel takes 1024
BURSTS = 3
RECONNECTING_CLIENTS = (
    150  # clients that connect again whenever they are closed, more than the smallest limit allows
)


@pytest.fixture(autouse=True)
def descriptors_for_clients() -> Iterator[None]:
    """The clients are this process's; only the proxy is limited to few descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 8192)), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class IdleClients:
    """Clients that connect and send nothing more than `says`."""

    def __init__(self, address: tuple[str, int], says: bytes) -> None:
        self.address, self.says = address, says
        self.sockets: list[socket.socket] = []
        self.tasks: list[asyncio.Task[None]] = []

    def burst(self) -> None:
        new = [connect(self.address) for _ in range(BURST_SIZE)]
        for one in new:
            with contextlib.suppress(OSError):
                one.send(self.says)
        self.sockets += new

    def reconnect(self) -> None:
        self.tasks = [asyncio.create_task(self._reconnect()) for _ in range(RECONNECTING_CLIENTS)]

    async def _reconnect(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(self.says)
                await reader.read()
                writer.close()
            await asyncio.sleep(0)

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for one in self.sockets:
            one.close()


@dataclass(frozen=True)
class Case:
    """How the descriptors are used up.

    Attributes:
        descriptors: the limit of the process.
        outage: what discovery's address does meanwhile.
        says: what idle clients send.
        before: clients from before them; "busy": requests in flight use up the connections to clients and to
            endpoints; "slow": some that have been answered before are in the middle of a request.
        reconnecting: whether idle clients connect again whenever they are closed.
    """

    descriptors: int
    outage: str
    says: bytes = b""
    before: str = ""
    reconnecting: bool = False


CASES = [
    Case(256, "refuses"),
    Case(256, "hangs", reconnecting=True),
    Case(256, "is mute", PARTIAL_REQUEST),
    Case(256, "refuses", PARTIAL_REQUEST, "busy"),
    Case(256, "is mute", before="slow"),
    Case(768, "is mute", before="busy"),
    Case(1024, "refuses", before="busy"),
    Case(1024, "hangs", PARTIAL_REQUEST, "busy", reconnecting=True),
]


class LimitedProxy:
    """A proxy process with few descriptors, whose discovery is down and comes back with one new endpoint."""

    def __init__(self, folder: Path, case: Case) -> None:
        self._folder = folder
        self._case = case
        usable = case.descriptors - RESERVED_DESCRIPTORS
        self.downstream_limit = int(usable * DOWNSTREAM_FRACTION)
        self.upstream_limit = int(usable * UPSTREAM_FRACTION)
        self.new_endpoint, self.known_endpoint = LoopbackServer(), StalledBackend()
        self.address = free_address()
        self._discovery = LoopbackServer(self._list)
        self._outage = DiscoveryOutage(case.outage)

    async def _list(self, message: Message) -> bytes:
        if "since=1&" not in message.first[1]:
            await asyncio.Event().wait()
        return endpoint_list_response(2, True, new=(self.new_endpoint.endpoint, "Ready"))

    async def start(self) -> None:
        await self.new_endpoint.start()
        await self.known_endpoint.start()
        names = [f"old{at}" for at in range(self.upstream_limit + 50)]
        row = config_document(
            "{}:{}".format(*self._outage.socket.getsockname()),
            known=targets(**{name: (self.known_endpoint.endpoint, "Ready") for name in names}),
            limits={"sockets": self._case.descriptors},
            bounds={"maxOpen": 2000, "connectTimeoutMs": 30000.0},
            settings={"registryMode": "push"},
        )
        path = write_config(self._folder, row, self.address)
        self._program = start_program(path, self._case.descriptors)

    async def accept_burst(self, idle: IdleClients) -> None:
        """Have so many clients connect while the proxy is stopped, and wait until all have been accepted."""
        self._program.send_signal(signal.SIGSTOP)
        idle.burst()
        self._program.send_signal(signal.SIGCONT)
        await ask_until_answered(self.address, READINESS_REQUEST)  # the last in the queue

    async def end_outage(self) -> None:
        """Bring discovery back, and wait until the proxy has the new list."""
        await self._outage.end(self._discovery)
        await until(lambda: any("since=2&" in message.first[1] for message in self._discovery.seen))

    async def stop(self) -> str:
        """End the process; returns its log."""
        self._program.kill()
        _, log = await asyncio.to_thread(self._program.communicate)
        self.new_endpoint.stop()
        self.known_endpoint.stop()
        return log


async def busy_clients(proxy: LimitedProxy) -> list[HttpClient]:
    """Clients whose requests use up the connections to clients and to endpoints."""
    clients = []
    for number in range(proxy.downstream_limit - 2):
        clients.append(await connect_client(proxy.address))
        clients[-1].writer.write(request(name=f"held{number}"))
    await until(lambda: proxy.known_endpoint.connections >= proxy.upstream_limit)
    return clients


async def slow_clients(proxy: LimitedProxy) -> list[HttpClient]:
    """Clients that have been answered before, and are in the middle of a request."""
    clients = [await connect_client(proxy.address) for _ in range(2 * MAX_CANDIDATES_EXAMINED)]
    for client in clients:
        assert (await client.send(READINESS_REQUEST)).status == 200
        client.writer.write(PARTIAL_REQUEST)
    return clients


@pytest.mark.parametrize("case", CASES, ids=str)
def test_idle_clients_leave_descriptors_for_discovery_and_endpoints(tmp_path, case):
    async def exhaust(proxy: LimitedProxy, idle: IdleClients) -> None:
        assert (await ask_until_answered(proxy.address, READINESS_REQUEST)).status == 200
        busy = await busy_clients(proxy) if case.before == "busy" else []
        slow = await slow_clients(proxy) if case.before == "slow" else []
        for _ in range(BURSTS):
            await proxy.accept_burst(idle)
        if case.reconnecting:
            idle.reconnect()
        await proxy.end_outage()
        proxy.known_endpoint.release.set()
        for client in busy:
            assert (await client.read_response()).status in (200, 503)
        for client in (*busy, *slow):
            client.writer.close()
        assert (await ask_until_answered(proxy.address, request(name="real"))).status == 200
        assert [message.headers["req-id"] for message in proxy.new_endpoint.seen] == ["real"]

    async def main() -> str:
        proxy = LimitedProxy(tmp_path, case)
        await proxy.start()
        idle = IdleClients(proxy.address, case.says)
        try:
            async with asyncio.timeout(60):
                await exhaust(proxy, idle)
        finally:
            idle.stop()
            log = await proxy.stop()
        return log

    log = asyncio.run(main())
    assert "out of system resource" not in log  # asyncio's word for an accept that found no descriptor
    assert "Too many open files" not in log


def test_unidentified_clients_that_keep_writing_do_not_let_connections_grow():
    """Where bytes wait on every connection that could be closed, a new one is shut unread."""

    async def main():
        async with running_proxy(LoopbackServer(), limits={"sockets": 132}) as proxy:
            loop, address = asyncio.get_running_loop(), proxy.listener.address
            writing = [await connect_client(address) for _ in range(proxy.listener.limit)]
            raw = [client.writer.get_extra_info("socket").dup() for client in writing]
            for one in raw:
                one.send(PARTIAL_REQUEST + b"X-GatedConnects: ")
            await until(lambda: len(proxy.listener.connections) == proxy.listener.limit)

            def write() -> None:  # in every turn, so that bytes wait whenever the proxy looks
                nonlocal turn, most
                turn = loop.call_soon(write)
                most = max(most, len(proxy.listener.connections))
                for one in raw:
                    with contextlib.suppress(OSError):
                        one.send(b"y")

            turn, most = loop.call_soon(write), 0
            idle = IdleClients(address, b"")
            idle.burst()
            await until(
                lambda: (
                    most > proxy.listener.limit
                    and not is_readable(proxy.listener.listening_sockets[0].fileno())
                )
            )
            turn.cancel()
            idle.stop()
            for one in raw:
                one.close()
            for client in writing:
                client.writer.close()
            return most - proxy.listener.limit, EXCESS_ACCEPT_BATCHES * proxy.listener.accept_batch

    most, allowed = asyncio.run(main())
    assert most == allowed
