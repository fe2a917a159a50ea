"""Idle clients must not use up the descriptors that the proxy needs for discovery after an outage."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Self

import pytest

from loadbalancer.http.addresses import Address
from loadbalancer.http.eviction import MAX_CANDIDATES_EXAMINED
from loadbalancer.http.listener import EXCESS_ACCEPT_BATCHES
from loadbalancer.http.socket_state import is_readable
from loadbalancer.proxy.config import DOWNSTREAM_FRACTION, RESERVED_DESCRIPTORS, UPSTREAM_FRACTION
from loadbalancer.proxy.proxy import Proxy
from tests.support.discovery_outage import ProxyInOutage, proxy_in_outage
from tests.support.loopback import HttpClient, StalledBackend, until
from tests.support.messages import request, targets
from tests.support.program import READINESS_REQUEST, send_until_response
from tests.support.sockets import start_connect

pytestmark = pytest.mark.usefixtures("descriptors_for_clients")

PARTIAL_REQUEST = b"GET /read/1 HTTP/1.1\r\nReq-Id: half\r\n"
BURST_SIZE = 500  # clients that connect between two iterations of the proxy's loop: the kernel queues 1024
BURSTS = 3
RECONNECTING_CLIENTS = 150  # more than the smallest limit allows


class IdleClients:
    """Clients that connect and send `data` only; an asynchronous context manager that closes them."""

    def __init__(self, address: Address, data: bytes) -> None:
        self._address = address
        self._data = data
        self._sockets: list[socket.socket] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_error: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._sockets:
            client.close()

    def connect_burst(self) -> None:
        """Connect `BURST_SIZE` clients at once."""
        clients = [start_connect(self._address) for _ in range(BURST_SIZE)]
        for client in clients:
            with contextlib.suppress(OSError):
                client.send(self._data)
        self._sockets += clients

    def reconnect(self) -> None:
        """Start clients that reconnect whenever their connection is closed."""
        self._tasks = [asyncio.create_task(self._reconnect()) for _ in range(RECONNECTING_CLIENTS)]

    async def _reconnect(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                async with await HttpClient.connect(self._address) as client:
                    client.writer.write(self._data)
                    await client.reader.read()
            await asyncio.sleep(0)


@dataclass(frozen=True)
class Case:
    """How clients use up the descriptors.

    Attributes:
        descriptors: the descriptor limit of the proxy.
        outage: the kind of discovery's outage, as in `DiscoveryOutage`.
        data: the bytes that each idle client sends.
        earlier: clients that connect before the idle ones; "busy": their requests in flight use up the
            connections to clients and to endpoints; "slow": they are in the middle of their second request.
        reconnecting: whether idle clients reconnect whenever their connection is closed.
    """

    descriptors: int
    outage: str
    data: bytes = b""
    earlier: str = ""
    reconnecting: bool = False


CASES = [
    pytest.param(Case(256, "refuses"), id="256, idle clients"),
    pytest.param(Case(256, "does not accept", reconnecting=True), id="256, reconnecting clients"),
    pytest.param(Case(256, "does not respond", PARTIAL_REQUEST), id="256, partial requests"),
    pytest.param(Case(256, "refuses", PARTIAL_REQUEST, "busy"), id="256, busy clients and partial requests"),
    pytest.param(Case(256, "does not respond", earlier="slow"), id="256, slow and idle clients"),
    pytest.param(Case(768, "does not respond", earlier="busy"), id="768, busy and idle clients"),
    pytest.param(Case(1024, "refuses", earlier="busy"), id="1024, busy and idle clients"),
    pytest.param(
        Case(1024, "does not accept", PARTIAL_REQUEST, "busy", reconnecting=True),
        id="1024, busy clients and reconnecting ones with partial requests",
    ),
]


@dataclass(frozen=True)
class LimitedProxy:
    """A proxy process with few descriptors, whose discovery is unavailable.

    Attributes:
        known_endpoint: the server of all known endpoints.
        downstream_limit: connections to clients that it may have open.
        upstream_limit: connections to endpoints that it may have open.
    """

    process: ProxyInOutage
    known_endpoint: StalledBackend
    downstream_limit: int
    upstream_limit: int

    @property
    def address(self) -> Address:
        """The address that the proxy listens on."""
        return self.process.address

    async def accept_burst(self, idle: IdleClients) -> None:
        """Connect many clients while the proxy is stopped, and wait until all have been accepted."""
        self.process.program.send_signal(signal.SIGSTOP)
        idle.connect_burst()
        self.process.program.send_signal(signal.SIGCONT)
        await send_until_response(self.address, READINESS_REQUEST)  # the last in the queue


@contextlib.asynccontextmanager
async def limited_proxy(folder: Path, case: Case) -> AsyncIterator[LimitedProxy]:
    """Run a proxy with few descriptors, and check at the end that its log reports no lack of them."""
    usable = case.descriptors - RESERVED_DESCRIPTORS
    upstream_limit = int(usable * UPSTREAM_FRACTION)
    async with StalledBackend() as known_endpoint:
        names = [f"old{index}" for index in range(upstream_limit + 50)]
        fields = {
            "known": targets(**{name: (known_endpoint.endpoint, "Ready") for name in names}),
            "limits": {"sockets": case.descriptors},
            "bounds": {"maxOpen": 2000, "connectTimeoutMs": 30000.0},
            "settings": {"registryMode": "push"},
        }
        async with proxy_in_outage(folder, case.outage, case.descriptors, **fields) as process:
            yield LimitedProxy(process, known_endpoint, int(usable * DOWNSTREAM_FRACTION), upstream_limit)
            process.program.kill()
            _, log = await asyncio.to_thread(process.program.communicate)
    assert "out of system resource" not in log  # logged by asyncio if an accept gets no descriptor
    assert "Too many open files" not in log


async def connect_busy_clients(proxy: LimitedProxy) -> list[HttpClient]:
    """Clients whose requests use up the connections to clients and to endpoints."""
    clients = []
    for number in range(proxy.downstream_limit - 2):
        clients.append(await HttpClient.connect(proxy.address))
        clients[-1].writer.write(request(name=f"held{number}"))
    await until(lambda: proxy.known_endpoint.connections >= proxy.upstream_limit)
    return clients


async def connect_slow_clients(proxy: LimitedProxy) -> list[HttpClient]:
    """Clients that are in the middle of their second request."""
    clients = [await HttpClient.connect(proxy.address) for _ in range(2 * MAX_CANDIDATES_EXAMINED)]
    for client in clients:
        assert (await client.send(READINESS_REQUEST)).status == 200
        client.writer.write(PARTIAL_REQUEST)
    return clients


async def connect_earlier_clients(proxy: LimitedProxy, kind: str) -> list[HttpClient]:
    """The clients that connect before the idle ones, as `Case.earlier` says."""
    if kind == "busy":
        return await connect_busy_clients(proxy)
    return await connect_slow_clients(proxy) if kind == "slow" else []


@pytest.mark.parametrize("case", CASES)
async def test_idle_clients_do_not_exhaust_the_descriptors_of_discovery_and_endpoints(tmp_path, case):
    async with limited_proxy(tmp_path, case) as proxy, IdleClients(proxy.address, case.data) as idle:
        assert (await send_until_response(proxy.address, READINESS_REQUEST)).status == 200
        async with contextlib.AsyncExitStack() as earlier:
            clients = await connect_earlier_clients(proxy, case.earlier)
            for client in clients:
                await earlier.enter_async_context(client)
            for _ in range(BURSTS):
                await proxy.accept_burst(idle)
            if case.reconnecting:
                idle.reconnect()
            await proxy.process.discovery.end()
            proxy.known_endpoint.release.set()
            for client in clients if case.earlier == "busy" else []:
                assert (await client.read_response()).status in (200, 503)
        assert (await send_until_response(proxy.address, request(name="real"))).status == 200
        assert proxy.process.discovery.new_endpoint.request_ids == ["real"]


class WritingClients:
    """Unidentified clients of which each sends a byte in each iteration, so that bytes are always unread."""

    def __init__(self, proxy: Proxy, clients: list[HttpClient]) -> None:
        self._proxy = proxy
        self._sockets = [client.writer.get_extra_info("socket").dup() for client in clients]
        for client in self._sockets:
            client.send(PARTIAL_REQUEST + b"X-Slow: ")
        self.peak_connections = 0  # the proxy's highest number of connections in an iteration

    def start(self) -> None:
        self._next_iteration = self._proxy.loop.call_soon(self._write)

    def _write(self) -> None:
        self._next_iteration = self._proxy.loop.call_soon(self._write)
        self.peak_connections = max(self.peak_connections, len(self._proxy.listener.connections))
        for client in self._sockets:
            with contextlib.suppress(OSError):
                client.send(b"y")

    def stop(self) -> None:
        self._next_iteration.cancel()
        for client in self._sockets:
            client.close()


@pytest.fixture
def proxy_options():
    return {"limits": {"sockets": 132}}


async def test_unidentified_clients_that_keep_writing_do_not_let_connections_grow(proxy):
    """If each connection that could be evicted has unread bytes, a new one is closed without being read."""
    listener = proxy.listener
    writing = WritingClients(proxy, [await HttpClient.to(proxy) for _ in range(listener.limit)])
    await until(lambda: len(listener.connections) == listener.limit)
    writing.start()
    async with IdleClients(listener.address, b"") as idle:
        idle.connect_burst()
        listening = listener.listening_sockets[0].fileno()
        await until(lambda: writing.peak_connections > listener.limit and not is_readable(listening))
    writing.stop()
    excess = EXCESS_ACCEPT_BATCHES * listener.accept_batch
    assert writing.peak_connections - listener.limit == excess
