"""A discovery server process: its lists, put together from the configuration."""

from __future__ import annotations

import asyncio
import fcntl
import os
import resource
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from random import Random, SystemRandom

from structlog.stdlib import BoundLogger

from loadbalancer.discovery_server.config import Config, ListConfig
from loadbalancer.discovery_server.endpoint_store import EndpointStore
from loadbalancer.discovery_server.frontend import DiscoveryFrontend
from loadbalancer.discovery_server.records import Snapshot
from loadbalancer.discovery_server.revisions import TAG_BITS
from loadbalancer.discovery_server.snapshot_store import SnapshotStore
from loadbalancer.discovery_server.snapshot_writer import SnapshotWriter
from loadbalancer.discovery_server.update_pipeline import UpdatePipeline
from loadbalancer.discovery_server.upstream_follower import UpstreamFollower, UpstreamStatus
from loadbalancer.discovery_server.watch_registry import WatchRegistry
from loadbalancer.http.addresses import Address, parse_address

LINGER_TIMEOUT_S = 0.5  # at a shutdown, in which clients read their last responses
LINGER_POLL_S = 0.01
SNAPSHOT_THREADS = 4
RESERVED_DESCRIPTORS = 64  # for all but clients and lists
DESCRIPTORS_PER_LIST = 2  # its listener and its watch
CLIENT_DESCRIPTOR_FRACTION = 0.9  # of the others; a burst holds some beyond the limit until it is closed


class DiscoveryServer:
    """The lists of a configuration and what serves them. Made within a running event loop.

    Attributes:
        registry: The waiting watches of all lists.
        frontend: The clients' side.
        pipelines: The pipeline of each list, by name.
        followers: What follows the upstreams of each list, by name.
        addresses: Where each list is served, by name, once the server has started.
    """

    def __init__(self, config: Config, log: BoundLogger) -> None:
        """A server that has touched neither the disk nor a socket yet."""
        self.registry = WatchRegistry(config.process_limits.max_watches)
        self.frontend = DiscoveryFrontend(
            self.registry,
            _connection_limit(config, log),
            config.process_limits.max_unsent_bytes,
            config.process_limits.unread_timeout_ms,
        )
        self.pipelines: dict[str, UpdatePipeline] = {}
        self.followers: dict[str, UpstreamFollower] = {}
        self.addresses: dict[str, Address] = {}
        self._loop = asyncio.get_running_loop()
        self._config = config
        self._log = log
        self._clock_offset_s = time.time() - self._loop.time()
        self._executor = ThreadPoolExecutor(SNAPSHOT_THREADS, "snapshot")
        self._rng = SystemRandom() if config.seed is None else Random(config.seed)
        self._lock_descriptor: int | None = None
        self._statistics_timer: asyncio.TimerHandle | None = None

    def clock_ms(self) -> float:
        """Unix time in milliseconds that doesn't go back while the process runs."""
        return (self._loop.time() + self._clock_offset_s) * 1000.0

    async def start(self) -> None:
        """Serve what the disk holds and follow the upstreams.

        Raises:
            OSError: The state directory can't be used, or an address can't be bound.
        """
        state_dir = Path(self._config.state_dir)
        self._lock(state_dir)
        for list_config in self._config.lists:
            self._add_list(list_config, state_dir)
        for list_config in self._config.lists:
            pipeline = self.pipelines[list_config.name]
            address = await self.frontend.serve_list(pipeline, parse_address(list_config.listen))
            self.addresses[list_config.name] = address
        self._update_readiness()
        self.frontend.start()
        for follower in self.followers.values():
            follower.start()
        self._report_statistics()

    async def stop(self) -> None:
        """Shut down gracefully: all watches get a response, and the disk holds what clients have received."""
        for follower in self.followers.values():
            follower.close()
        for pipeline in self.pipelines.values():
            await pipeline.drain()
        await self.frontend.drain()
        await self._wait_for_clients()
        self.close()

    def close(self) -> None:
        """Release everything at once."""
        for follower in self.followers.values():
            follower.close()
        self.frontend.close()
        if self._statistics_timer is not None:
            self._statistics_timer.cancel()
        self._executor.shutdown(wait=False)
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None

    async def _wait_for_clients(self) -> None:
        """Give clients a moment to read their last response and to close their connections."""
        deadline = self._loop.time() + LINGER_TIMEOUT_S
        while self._loop.time() < deadline:
            if not self.frontend.listener.connections:
                return
            await asyncio.sleep(LINGER_POLL_S)

    def _lock(self, state_dir: Path) -> None:
        state_dir.mkdir(parents=True, exist_ok=True)
        self._lock_descriptor = os.open(state_dir / "lock", os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        # Guard: two processes with one state directory would overwrite each other's snapshots.
        fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)

    def _add_list(self, list_config: ListConfig, state_dir: Path) -> None:
        name = list_config.name
        snapshot_store = SnapshotStore(state_dir, name)
        store = self._restore_store(name, snapshot_store)
        pipeline = UpdatePipeline(
            store,
            SnapshotWriter(snapshot_store, self._executor, self._log),
            self.clock_ms,
            self._on_change,
            self._log,
        )
        follower = UpstreamFollower(
            [parse_address(address) for address in list_config.upstreams],
            self._config.watch_timeout_ms,
            Random(self._rng.getrandbits(64)),
            pipeline.submit,
            lambda status: self._log_upstream_status(name, status),
        )
        pipeline.on_update_rejected = follower.restart_after_rejection
        self.pipelines[name] = pipeline
        self.followers[name] = follower

    def _restore_store(self, name: str, snapshot_store: SnapshotStore) -> EndpointStore:
        """The list as its newest good snapshot has it; an uninitialized one if there is none."""
        snapshot, errors = snapshot_store.load()
        for error in errors:
            self._log.error("snapshot rejected", list=name, error=error)
        tag = self._choose_tag(snapshot)
        store = EndpointStore(name, tag, self._config.list_limits, self.clock_ms())
        if snapshot is not None:
            store.restore(snapshot, self.clock_ms())
            self._log.info("snapshot loaded", list=name, revision=store.revision, entries=len(store.records))
        return store

    def _choose_tag(self, snapshot: Snapshot | None) -> int:
        if self._config.tag is not None:
            return self._config.tag
        return snapshot.tag if snapshot is not None else self._rng.getrandbits(TAG_BITS)

    def _log_upstream_status(self, name: str, status: UpstreamStatus) -> None:
        host, port = status.address
        upstream = f"{host}:{port}"
        if status.connected:
            self._log.info("upstream connected", list=name, upstream=upstream)
        else:
            self._log.warning(
                "upstream lost, keeping last known good", list=name, upstream=upstream, cause=status.cause
            )

    def _on_change(self, store: EndpointStore) -> None:
        self.registry.notify(store)
        if not self.frontend.listener.ready:
            self._update_readiness()
        self.frontend.schedule_flush()

    def _update_readiness(self) -> None:
        self.frontend.listener.ready = all(pipeline.store.initialized for pipeline in self.pipelines.values())

    def _report_statistics(self) -> None:
        pipelines = self.pipelines.values()
        for pipeline in pipelines:
            pipeline.retry_failed_write()
        self._log.info(
            "statistics",
            lists=len(pipelines),
            initialized_lists=sum(pipeline.store.initialized for pipeline in pipelines),
            connected_upstreams=sum(follower.connected for follower in self.followers.values()),
            connections=len(self.frontend.listener.connections),
            waiting_watches=self.registry.count,
            completed_watches=self.registry.completed,
            encodings=sum(pipeline.store.responses.encodings for pipeline in pipelines),
            rejected_requests=self.frontend.rejected,
            dropped_clients=self.frontend.unread.dropped_clients,
            outdated_snapshots=sum(pipeline.writer.outdated for pipeline in pipelines),
        )
        interval_s = self._config.statistics_interval_ms / 1000.0
        self._statistics_timer = self._loop.call_later(interval_s, self._report_statistics)


def _connection_limit(config: Config, log: BoundLogger) -> int:
    """The connections that are configured, or as many as the process has descriptors for."""
    configured = config.process_limits.max_connections
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptors == resource.RLIM_INFINITY:
        return configured
    others = RESERVED_DESCRIPTORS + DESCRIPTORS_PER_LIST * len(config.lists)
    available = int((descriptors - others) * CLIENT_DESCRIPTOR_FRACTION)
    if available >= configured:
        return configured
    # Guard: an accept that finds no descriptor left keeps all lists waiting for a second.
    log.warning("fewer descriptors than connections", connections=configured, available=available)
    return max(1, available)
