"""The test environment for benchmarks of real proxies: backends, a proxy for each list size, and a client."""

from __future__ import annotations

import contextlib
import gc
import tempfile
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

from benchmarks.support.backends import BackendsProcess, StartBackends
from benchmarks.support.membership import Membership, make_entries
from benchmarks.support.open_loop import OpenLoopClient
from benchmarks.support.proxy_process import DEPLOYED_SOCKETS, PROXY_MODULE, ProxyProcess, proxy_configuration
from loadbalancer.http.addresses import Address, parse_address

DEFAULT_LIST_SIZES = (13, 100, 400, 1000)
ORDINARY_RATE = 170.0  # requests a second: a node's typical load, at which list sizes are compared
WARM_UP_S = 1.0  # duration of the uncounted requests to each node and to the backends


class NodeSetup:
    """Running backends, the started proxies by the size of their list, and a client."""

    def __init__(self, folder: Path, backends: BackendsProcess, seed: int) -> None:
        self.folder = folder
        self.backends = backends
        self.client = OpenLoopClient(seed)
        self.proxies: dict[int, ProxyProcess] = {}
        self._seed = seed

    async def start_proxy(
        self,
        size: int,
        list_server: str,
        *,
        sockets: int = DEPLOYED_SOCKETS,
        module: str = PROXY_MODULE,
        environment: dict[str, str] | None = None,
    ) -> ProxyProcess:
        """Start a proxy with the first `size` backends in its list.

        Args:
            size: Endpoints in the list.
            list_server: Host and port of the server of that list.
            sockets: The proxy's limit on open file descriptors.
            module: The module that runs as the proxy.
            environment: Variables added to this process's environment.
        """
        name = f"n{size}"
        cached_list = Membership(make_entries(self.backends.endpoints[:size], self._seed)).complete_list()
        configuration = proxy_configuration(name, list_server, cached_list, seed=self._seed, sockets=sockets)
        proxy = await ProxyProcess.start(
            self.folder, name, configuration, module=module, environment=environment
        )
        self.proxies[size] = proxy
        return proxy

    def backend_addresses(self, count: int) -> list[Address]:
        """Return the addresses of the first `count` backends."""
        return [parse_address(endpoint) for endpoint in self.backends.endpoints[:count]]

    async def close(self) -> None:
        """Close the client's connections and stop the proxies and the backends."""
        self.client.close()
        for proxy in self.proxies.values():
            await proxy.stop()
        await self.backends.stop()


@contextlib.asynccontextmanager
async def node_setup(
    list_sizes: Sequence[int], *, min_endpoints: int = 0, service_ms: float, seed: int
) -> AsyncIterator[NodeSetup]:
    """Start backends with a list server for each size; stop all processes on exit.

    Args:
        list_sizes: The sizes of the lists.
        min_endpoints: The minimum number of backends, even if all lists are shorter.
        service_ms: A backend's service time of a request.
        seed: Seed of the lists' entries and the client's requests.
    """
    endpoints = max(*list_sizes, min_endpoints)
    with tempfile.TemporaryDirectory() as folder:
        backends = await BackendsProcess.start(StartBackends(endpoints, list(list_sizes), service_ms, seed))
        setup = NodeSetup(Path(folder), backends, seed)
        try:
            yield setup
        finally:
            await setup.close()


def stop_garbage_collection() -> None:
    """Disable garbage collection in this process: its pauses would count as latency of the tested node."""
    gc.collect()
    gc.freeze()
    gc.disable()
