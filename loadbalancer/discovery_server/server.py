"""A discovery server process: creates its components, starts them and shuts them down."""

from __future__ import annotations

import asyncio
import time
import traceback
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

from structlog.stdlib import BoundLogger

from loadbalancer.discovery_server import descriptor_budget
from loadbalancer.discovery_server.config import Config
from loadbalancer.discovery_server.endpoint_store import EndpointStore
from loadbalancer.discovery_server.frontend import DiscoveryFrontend
from loadbalancer.discovery_server.periodic_task import PeriodicTask
from loadbalancer.discovery_server.served_list import ServedList, SharedResources
from loadbalancer.discovery_server.state_directory import StateDirectory
from loadbalancer.discovery_server.statistics import ServerStatistics
from loadbalancer.discovery_server.unread_responses import UnreadResponses
from loadbalancer.discovery_server.watch_registry import WatchRegistry
from loadbalancer.http.addresses import Address, parse_address

SNAPSHOT_THREADS = 4


class DiscoveryServer:
    """Serves the lists of a configuration. Must be created within a running event loop."""

    def __init__(self, config: Config, log: BoundLogger) -> None:
        """Create the components; `start` opens the files and sockets."""
        self._config = config
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._clock_offset_s = time.time() - self._loop.time()
        limits = config.process_limits
        self._registry = WatchRegistry(limits.max_watches)
        self._unread = UnreadResponses(limits.max_unsent_bytes, limits.unread_timeout_ms)
        connection_limit = _connection_limit(config, log)
        self._frontend = DiscoveryFrontend(connection_limit, self._registry, self._unread)
        self._state_directory = StateDirectory(Path(config.state_dir))
        self._executor = ThreadPoolExecutor(SNAPSHOT_THREADS, "snapshot")
        self._rng = SystemRandom() if config.seed is None else Random(config.seed)
        self._lists: list[ServedList] = []
        self._addresses: dict[str, Address] = {}
        self._event_loop_errors = 0
        self._maintenance = PeriodicTask(config.statistics_interval_ms / 1000.0, self._run_maintenance)

    @property
    def addresses(self) -> dict[str, Address]:
        """The address at which each list is served, by name; empty before the start."""
        return dict(self._addresses)

    @property
    def ready(self) -> bool:
        """Whether every list can be served."""
        return self._frontend.ready

    @property
    def unread(self) -> UnreadResponses:
        """The responses that clients have not read yet."""
        return self._unread

    def statistics(self) -> ServerStatistics:
        """The current gauges and counters."""
        return ServerStatistics(
            lists=len(self._lists),
            initialized_lists=sum(served.store.initialized for served in self._lists),
            connected_upstreams=sum(served.follower.connected for served in self._lists),
            connections=self._frontend.connection_count,
            waiting_watches=self._registry.count,
            completed_watches=self._registry.completed,
            encodings=sum(served.store.responses.encodings for served in self._lists),
            rejected_requests=self._frontend.rejected_requests,
            dropped_clients=self._unread.dropped_clients,
            outdated_snapshots=sum(served.pipeline.writer.outdated for served in self._lists),
            event_loop_errors=self._event_loop_errors,
        )

    async def start(self) -> None:
        """Restore the lists from their snapshots, serve them, and follow the upstreams.

        Raises:
            OSError: The state directory can't be used, or an address can't be bound.
        """
        self._loop.set_exception_handler(self._on_event_loop_error)
        self._state_directory.lock()
        shared = self._shared_resources()
        self._lists = [ServedList(list_config, shared) for list_config in self._config.lists]
        for served in self._lists:
            listen_address = parse_address(served.config.listen)
            address = await self._frontend.serve_list(served.pipeline, listen_address)
            self._addresses[served.config.name] = address
        self._update_readiness()
        self._unread.start()
        for served in self._lists:
            served.follower.start()
        self._maintenance.start()

    async def stop(self) -> None:
        """Shut down gracefully: store the lists that clients have received, and respond to all watches.

        The lists are drained one after the other. Each waits for its queued updates and its writes, which
        takes seconds if the disk is slow or fails. The total grows with the number of lists and has no bound.
        """
        for served in self._lists:
            served.follower.close()
        for served in self._lists:
            await served.pipeline.drain()
        await self._frontend.drain()
        self.close()

    def close(self) -> None:
        """Release all resources immediately, without waiting for clients or the disk."""
        for served in self._lists:
            served.follower.close()
        self._frontend.close()
        self._unread.close()
        self._maintenance.close()
        self._executor.shutdown(wait=False)
        self._state_directory.unlock()

    def _shared_resources(self) -> SharedResources:
        return SharedResources(
            self._config, self._executor, self._rng, self._clock_ms, self._on_change, self._log
        )

    def _clock_ms(self) -> float:
        """Unix time in milliseconds, which doesn't decrease while the process runs."""
        return (self._loop.time() + self._clock_offset_s) * 1000.0

    def _on_change(self, store: EndpointStore) -> None:
        self._frontend.notify(store)
        if not self._frontend.ready:
            self._update_readiness()

    def _update_readiness(self) -> None:
        self._frontend.set_ready(ready=all(served.store.initialized for served in self._lists))

    def _on_event_loop_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Count and log an error that a task or a callback has not handled; the server continues."""
        self._event_loop_errors += 1
        error = context.get("exception")
        trace = "" if error is None else "".join(traceback.format_exception(error))
        self._log.error("event loop error", cause=context["message"], traceback=trace)

    def _run_maintenance(self) -> None:
        """Retry the writes of snapshots that have failed, and log the statistics."""
        for served in self._lists:
            served.pipeline.retry_failed_write()
        self._log.info("statistics", **self.statistics().as_log_fields())


def _connection_limit(config: Config, log: BoundLogger) -> int:
    """The configured number of connections, or a lower one that the process has descriptors for."""
    configured = config.process_limits.max_connections
    descriptors = descriptor_budget.descriptor_limit()
    if descriptors is None:
        return configured
    available = descriptor_budget.available_connections(descriptors, len(config.lists))
    if available >= configured:
        return configured
    # When `accept` fails for lack of a descriptor, asyncio stops accepting on all lists for a second. The
    # lower limit prevents that; the trade-off is that fewer connections than configured are accepted.
    log.warning("fewer descriptors than connections", connections=configured, available=available)
    return max(1, available)
