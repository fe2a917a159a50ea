"""Applies one list's updates: from the upstream follower, by way of the disk, to the endpoint store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from structlog.stdlib import BoundLogger

from loadbalancer.discovery_server.endpoint_store import EndpointStore, UpdateError
from loadbalancer.discovery_server.records import ChangeSet, EndpointUpdate
from loadbalancer.discovery_server.revisions import required_lead
from loadbalancer.discovery_server.snapshot_writer import SnapshotWriter


class RevisionNotStoredError(Exception):
    """A client's revision is so far ahead that the disk has to be written before one above it is used.

    Attributes:
        revision: The client's revision.
    """

    def __init__(self, revision: int) -> None:
        super().__init__(f"the snapshots don't let the next process begin above {revision} yet")
        self.revision = revision


class UpdatePipeline:
    """Applies updates in order, each change set after its snapshot is on the disk.

    While one snapshot is written, further updates gather for the next. A disk that fails or takes too long
    doesn't hold a change back: the revision clock keeps revisions from being issued twice then, and the log
    says so.

    Attributes:
        store: The endpoint list, to which only the pipeline commits.
        writer: Writes the list's snapshots.
        on_update_rejected: Called after an update that could not be applied.
    """

    def __init__(
        self,
        store: EndpointStore,
        writer: SnapshotWriter,
        clock_ms: Callable[[], float],
        on_change: Callable[[EndpointStore], None],
        log: BoundLogger,
    ) -> None:
        """Commit to the store, by a clock of Unix milliseconds; `on_change` is called after each commit."""
        self.store = store
        self.writer = writer
        self.on_update_rejected: Callable[[], None] = _ignore
        self._clock_ms = clock_ms
        self._on_change = on_change
        self._log = log
        self._pending: list[EndpointUpdate] = []
        self._reserved_revision = 0  # covered by the lead of each snapshot; used once they are on the disk
        self._reservation_pending = False
        self._task: asyncio.Task[None] | None = None

    def submit(self, update: EndpointUpdate) -> None:
        """Take an update from the upstream; a complete list replaces what is pending."""
        if update.complete:
            self._pending.clear()
        self._pending.append(update)
        self._start()

    def response_since(self, revision: int | None) -> bytes | None:
        """The body for a client that holds this revision, None if nothing has changed for it yet.

        Raises:
            RevisionNotStoredError: The client has to send its request again once the disk has been written.
        """
        now_ms = self._clock_ms()
        store = self.store
        if revision is not None and store.initialized and store.is_outdated_for(revision, now_ms):
            # Guard: a client that comes from another server would see its revision go back.
            self._advance_past(revision, now_ms)
        return store.responses.since(revision)

    async def drain(self) -> None:
        """Finish what has been submitted, and have the disk hold what clients have received."""
        if self._task is not None:
            await self._task
        await self.writer.wait_for_write()
        if self.writer.outdated and self.store.initialized:
            await self._write()

    def retry_failed_write(self) -> None:
        """Try the disk again if it doesn't have the current list."""
        if self.writer.outdated and self._task is None:
            self._task = asyncio.create_task(self._retry_write())

    def _advance_past(self, revision: int, now_ms: float) -> None:
        # Guard: after a restart, a revision that is not on the disk could be issued again for another state.
        # It is therefore used only if every later process begins above it; otherwise the lead on the disk is
        # raised first. Trade-off: the client has to repeat its request, until the disk works if it fails.
        next_revision = self.store.next_revision(now_ms, revision)
        if required_lead(next_revision, now_ms) > self.writer.lead_ticks:
            self._reserved_revision = max(self._reserved_revision, next_revision)
            self._reservation_pending = True
            self._start()
            raise RevisionNotStoredError(revision)
        change_set = self.store.prepare((), now_ms, revision)
        assert change_set is not None, "a newer minimum revision always makes a change set"
        self.store.commit(change_set)
        # Guard: the change log drops its oldest revisions for an empty change set, too. A watch that waits at
        # one of them is due the complete list, which it would otherwise get at its deadline only.
        self._on_change(self.store)

    def _start(self) -> None:
        if self._task is None:
            self._task = asyncio.create_task(self._run())

    async def _retry_write(self) -> None:
        await self._write()
        await self._run()

    async def _run(self) -> None:
        try:
            while self._pending or self._reservation_pending:
                if self._reservation_pending:
                    self._reservation_pending = False
                    await self._write()
                updates, self._pending = self._pending, []
                await self._apply(updates)
        finally:
            self._task = None

    async def _apply(self, updates: list[EndpointUpdate]) -> None:
        try:
            change_set = self.store.prepare(updates, self._clock_ms())
        except UpdateError as error:
            self._reject(error)
            return
        if change_set is None:
            return
        await self._write(change_set)
        # The revision may have gone past a client's from another server meanwhile.
        if change_set.revision <= self.store.revision:
            change_set = self.store.prepare(updates, self._clock_ms()) or change_set
        self._commit(change_set)

    async def _write(self, prepared: ChangeSet | None = None) -> None:
        """Write a snapshot, with a prepared change set as if it were committed."""
        revision = prepared.revision if prepared is not None else self.store.revision
        lead_ticks = required_lead(max(revision, self._reserved_revision), self._clock_ms())
        snapshot = self.store.snapshot(prepared, lead_ticks)
        previous_lead_ticks = self.writer.lead_ticks
        await self.writer.write(snapshot)
        # Guard: if the newest snapshot is damaged, the next process loads the previous one, with a lead that
        # doesn't cover the revision. Once written twice, both have it.
        if lead_ticks > previous_lead_ticks and not self.writer.outdated:
            await self.writer.write(snapshot)

    def _commit(self, change_set: ChangeSet) -> None:
        self.store.commit(change_set)
        self._log.info(
            "change committed",
            list=self.store.name,
            revision=change_set.revision,
            entries=len(change_set.records),
        )
        self._on_change(self.store)

    def _reject(self, error: UpdateError) -> None:
        self._log.error("update rejected, keeping last known good", list=self.store.name, error=str(error))
        self._pending.clear()
        self.on_update_rejected()


def _ignore() -> None:
    pass
