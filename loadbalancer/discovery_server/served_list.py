"""One endpoint list of a discovery server: restores it, follows its upstreams and applies their updates."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass
from pathlib import Path
from random import Random

from structlog.stdlib import BoundLogger

from loadbalancer.discovery_server.config import Config, ListConfig
from loadbalancer.discovery_server.endpoint_store import EndpointStore
from loadbalancer.discovery_server.records import Snapshot
from loadbalancer.discovery_server.revisions import TAG_BITS
from loadbalancer.discovery_server.snapshot_store import SnapshotStore
from loadbalancer.discovery_server.snapshot_writer import SnapshotWriter
from loadbalancer.discovery_server.update_pipeline import UpdateCallbacks, UpdatePipeline
from loadbalancer.discovery_server.upstream_follower import UpstreamFollower, UpstreamStatus
from loadbalancer.http.addresses import parse_address


@dataclass(slots=True, frozen=True, eq=False, repr=False)
class SharedResources:
    """The resources that all lists of one server share.

    Attributes:
        config: The configuration of the process.
        executor: Runs the writes of snapshots.
        rng: Draws the tags and the seeds of the lists' backoffs, in the order of the lists.
        clock_ms: Returns the Unix time in milliseconds, which never decreases.
        on_change: Called after each commit to a list.
        log: Receives the log events of all lists.
    """

    config: Config
    executor: Executor
    rng: Random
    clock_ms: Callable[[], float]
    on_change: Callable[[EndpointStore], None]
    log: BoundLogger


class ServedList:
    """An endpoint list with the pipeline that updates it and the follower that receives its updates.

    Attributes:
        config: The list's own configuration.
        pipeline: Applies the updates to the list's store.
        follower: Receives the updates from the list's upstreams.
    """

    def __init__(self, config: ListConfig, shared: SharedResources) -> None:
        """Restore the list from its newest valid snapshot; no upstream is contacted yet."""
        self.config = config
        self._shared = shared
        snapshot_store = SnapshotStore(Path(shared.config.state_dir), config.name)
        self.pipeline = UpdatePipeline(
            self._restore_store(snapshot_store),
            SnapshotWriter(snapshot_store, shared.executor, shared.log),
            UpdateCallbacks(shared.on_change, self._restart_follower),
            shared.clock_ms,
            shared.log,
        )
        self.follower = UpstreamFollower(
            [parse_address(address) for address in config.upstreams],
            shared.config.watch_timeout_ms,
            Random(shared.rng.getrandbits(64)),
            self.pipeline.submit,
            self._log_upstream_status,
        )

    @property
    def store(self) -> EndpointStore:
        """The list's state, to which only the pipeline commits."""
        return self.pipeline.store

    def _restart_follower(self) -> None:
        self.follower.restart_after_rejection()

    def _restore_store(self, snapshot_store: SnapshotStore) -> EndpointStore:
        """Create the store from the newest valid snapshot; it is uninitialized if there is none."""
        name, log = self.config.name, self._shared.log
        snapshot, errors = snapshot_store.load()
        for error in errors:
            log.error("snapshot rejected", list=name, error=error)
        tag = self._choose_tag(snapshot)
        store = EndpointStore(name, tag, self._shared.config.list_limits, self._shared.clock_ms())
        if snapshot is not None:
            store.restore(snapshot, self._shared.clock_ms())
            log.info("snapshot loaded", list=name, revision=store.revision, entries=len(store.records))
        return store

    def _choose_tag(self, snapshot: Snapshot | None) -> int:
        """The configured tag, the stored one, or a random one, in this order of preference."""
        if self._shared.config.tag is not None:
            return self._shared.config.tag
        return snapshot.tag if snapshot is not None else self._shared.rng.getrandbits(TAG_BITS)

    def _log_upstream_status(self, status: UpstreamStatus) -> None:
        log = self._shared.log
        host, port = status.address
        upstream = f"{host}:{port}"
        if status.connected:
            log.info("upstream connected", list=self.config.name, upstream=upstream)
        else:
            log.warning(
                "upstream lost, keeping last known good",
                list=self.config.name,
                upstream=upstream,
                cause=status.cause,
            )
