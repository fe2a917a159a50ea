"""Applies the updates of one list: writes each change set to the disk, then commits it to the store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from structlog.stdlib import BoundLogger

from loadbalancer.discovery_server.endpoint_store import EndpointStore
from loadbalancer.discovery_server.records import ChangeSet, EndpointUpdate
from loadbalancer.discovery_server.revisions import required_lead
from loadbalancer.discovery_server.snapshot_writer import SnapshotWriter
from loadbalancer.discovery_server.update_merge import UpdateError
from loadbalancer.supervised_task import SupervisedTask


class RevisionNotReservedError(Exception):
    """No revision above the client's can be issued until the snapshots state a longer lead.

    Attributes:
        revision: The client's revision.
    """

    def __init__(self, revision: int) -> None:
        super().__init__(
            f"no revision above {revision} can be issued until the snapshots state a longer lead"
        )
        self.revision = revision


@dataclass(slots=True, frozen=True)
class UpdateCallbacks:
    """The receivers of a pipeline's results.

    Attributes:
        on_change: Called with the store after each commit.
        on_update_rejected: Called after an update that could not be applied.
    """

    on_change: Callable[[EndpointStore], None]
    on_update_rejected: Callable[[], None]


class UpdatePipeline:
    """Applies updates in order and commits each change set once its snapshot is on the disk.

    Updates that arrive while a snapshot is being written are merged into the next change set. A write that
    fails or times out doesn't block a change: the writer logs the failure, and the lead over the clock
    prevents the next process from issuing the same revision.

    Attributes:
        store: The endpoint list, to which only the pipeline commits.
        writer: Writes the list's snapshots.
    """

    def __init__(
        self,
        store: EndpointStore,
        writer: SnapshotWriter,
        callbacks: UpdateCallbacks,
        clock_ms: Callable[[], float],
        log: BoundLogger,
    ) -> None:
        """Create the pipeline of a store; the store may be uninitialized.

        Args:
            store: The endpoint list.
            writer: Writes the list's snapshots.
            callbacks: The receivers of changes and rejections.
            clock_ms: Returns the Unix time in milliseconds, which never decreases.
            log: Receives the log events of the list.
        """
        self.store = store
        self.writer = writer
        self._callbacks = callbacks
        self._clock_ms = clock_ms
        self._log = log
        self._pending: list[EndpointUpdate] = []
        self._reserved_revision = 0  # the lead in each later snapshot covers it
        self._write_pending = False
        self._task = SupervisedTask(f"updates of {store.name}", self._run, self._discard_updates)

    def submit(self, update: EndpointUpdate) -> None:
        """Queue an update from the upstream; a complete list replaces the queued ones."""
        if update.complete:
            self._pending.clear()
        self._pending.append(update)
        self._task.start()

    def response_since(self, revision: int | None) -> bytes | None:
        """The response body for a client that holds this revision; None if the client is up to date.

        If the client's revision is a later one of another server, the list's revision is advanced above it.

        Raises:
            RevisionNotReservedError: A snapshot must be written first; the client has to repeat its request.
        """
        now_ms = self._clock_ms()
        store = self.store
        if revision is not None and store.initialized and store.is_outdated_for(revision, now_ms):
            # Without this, a client of another server would receive a revision below its own.
            self._advance_past(revision, now_ms)
        return store.responses.since(revision)

    async def drain(self) -> None:
        """Apply the queued updates, and write the snapshot again if the last write failed."""
        await self._task.wait()
        await self.writer.wait_for_write()
        if self.writer.outdated and self.store.initialized:
            await self._write()

    def retry_failed_write(self) -> None:
        """Start another write if the last one failed and no update is being applied."""
        if self.writer.outdated and not self._task.running:
            self._start_write()

    def _advance_past(self, revision: int, now_ms: float) -> None:
        next_revision = self.store.next_revision(now_ms, revision)
        # The change set isn't stored, since no entry changes. The next process could issue its revision for
        # another state unless it starts above it. A revision beyond the lead that both snapshots state is
        # therefore reserved first. Trade-off: the client has to repeat its request, for as long as writes to
        # the disk fail.
        if required_lead(next_revision, now_ms) > self.writer.durable_lead_ticks:
            self._reserve(next_revision)
            raise RevisionNotReservedError(revision)
        change_set = self.store.prepare((), now_ms, revision)
        assert change_set is not None, f"no change set for the minimum revision {revision}"
        self.store.commit(change_set)
        # Even an empty change set can remove the oldest revision from the change log. The watches at that
        # revision must get the complete list; without a notification they would get it only at their
        # deadline.
        self._callbacks.on_change(self.store)

    def _reserve(self, revision: int) -> None:
        self._reserved_revision = max(self._reserved_revision, revision)
        self._start_write()

    def _start_write(self) -> None:
        self._write_pending = True
        self._task.start()

    async def _run(self) -> None:
        while self._pending or self._write_pending:
            if self._write_pending:
                self._write_pending = False
                await self._write()
            updates, self._pending = self._pending, []
            await self._apply(updates)

    async def _apply(self, updates: list[EndpointUpdate]) -> None:
        try:
            change_set = self.store.prepare(updates, self._clock_ms())
        except UpdateError as error:
            self._reject(error)
            return
        if change_set is None:
            return
        await self._write(change_set)
        # A request from a client of another server can advance the list's revision during the write.
        if change_set.revision <= self.store.revision:
            change_set = self.store.prepare(updates, self._clock_ms()) or change_set
        self._commit(change_set)

    async def _write(self, prepared: ChangeSet | None = None) -> None:
        """Write a snapshot that includes the prepared change set and states the lead that it requires."""
        revision = self.store.revision if prepared is None else prepared.revision
        lead_ticks = required_lead(max(revision, self._reserved_revision), self._clock_ms())
        await self.writer.write(self.store.snapshot(prepared, lead_ticks))

    def _commit(self, change_set: ChangeSet) -> None:
        self.store.commit(change_set)
        self._log.info(
            "change committed",
            list=self.store.name,
            revision=change_set.revision,
            entries=len(change_set.records),
        )
        self._callbacks.on_change(self.store)

    def _reject(self, error: UpdateError) -> None:
        self._log.error("update rejected, keeping last known good", list=self.store.name, error=str(error))
        self._discard_updates()

    def _discard_updates(self) -> None:
        """Discard the queued updates, which may depend on a failed one; the upstream's list replaces them."""
        self._pending.clear()
        self._callbacks.on_update_rejected()
