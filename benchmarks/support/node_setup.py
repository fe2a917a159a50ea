"""What benches of complete nodes start: backends, a proxy for each size of list, and a client."""

from __future__ import annotations

import contextlib
import gc
import tempfile
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

from benchmarks.support.backends import BackendsProcess, StartBackends
from benchmarks.support.membership import Membership, make_entries
from benchmarks.support.nodes import DEPLOYED_SOCKETS, PROXY_MODULE, ProxyProcess, proxy_configuration
from benchmarks.support.open_loop import Address, OpenLoopClient

DEFAULT_LIST_SIZES = (13, 100, 400, 1000)
ORDINARY_RATE = 170.0  # requests a second: a node's ordinary load, at which lists are compared
WARM_UP_S = 1.0  # of requests to each node and backend that are not counted


class NodeSetup:
    """Running backends, the proxies started so far by the size of their list, and a client."""

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
            sockets: File descriptors that the proxy may hold.
            module: The module that is run as the proxy.
            environment: Variables added to this process's own.
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
        """Return the addresses of the first backends."""
        parts = (endpoint.rpartition(":") for endpoint in self.backends.endpoints[:count])
        return [(host, int(port)) for host, _, port in parts]

    async def close(self) -> None:
        """End the client's connections, the proxies and the backends."""
        self.client.close()
        for proxy in self.proxies.values():
            await proxy.stop()
        await self.backends.stop()


@contextlib.asynccontextmanager
async def node_setup(
    list_sizes: Sequence[int], *, min_endpoints: int = 0, service_ms: float, seed: int
) -> AsyncIterator[NodeSetup]:
    """Start backends with a list server for each size, and end all that runs in the end.

    Args:
        list_sizes: The sizes of the lists.
        min_endpoints: Backends that there are at least, whatever the lists need.
        service_ms: A backend's time for a request.
        seed: Of the lists' entries and the client's requests.
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
    """Keep the client's own collection pauses out of the node's latencies, for the rest of the process."""
    gc.collect()
    gc.freeze()
    gc.disable()
