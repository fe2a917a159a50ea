"""Applies one list's updates: from the upstream follower, by way of the disk, to the endpoint store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from structlog.stdlib import BoundLogger

from loadbalancer.discovery_server.endpoint_store import EndpointStore, UpdateError
from loadbalancer.discovery_server.records import ChangeSet, EndpointUpdate
from loadbalancer.discovery_server.revisions import is_below_next_start
from loadbalancer.discovery_server.snapshot_writer import SnapshotWriter


class RevisionNotStoredError(Exception):
    """A client's revision is so far ahead that one above it has to be on the disk before it is used.

    Attributes:
        revision: The client's revision.
    """

    def __init__(self, revision: int) -> None:
        super().__init__(f"no revision above {revision} is on the disk yet")
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
        self._minimum_revision = 0  # a client's, above which the list's has to go
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
            await self.writer.write(self.store.snapshot())

    def retry_failed_write(self) -> None:
        """Try the disk again if it doesn't have the current list."""
        if self.writer.outdated and self._task is None:
            self._task = asyncio.create_task(self._retry_write())

    def _advance_past(self, revision: int, now_ms: float) -> None:
        # Guard: after a restart, a revision that is not on the disk could be issued again for another state.
        # It is therefore used at once only if every later process begins above it; otherwise it is stored
        # first. Trade-off: the client has to repeat its request.
        next_revision = self.store.next_revision(now_ms, revision)
        if not is_below_next_start(next_revision, now_ms, self.writer.stored_revision):
            self._minimum_revision = max(self._minimum_revision, revision)
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
        await self.writer.write(self.store.snapshot())
        await self._run()

    async def _run(self) -> None:
        try:
            while self._pending or self._minimum_revision > self.store.revision:
                updates, self._pending = self._pending, []
                await self._apply(updates)
        finally:
            self._task = None

    async def _apply(self, updates: list[EndpointUpdate]) -> None:
        try:
            change_set = self.store.prepare(updates, self._clock_ms(), self._minimum_revision)
        except UpdateError as error:
            self._reject(error)
            return
        if change_set is None:
            return
        await self.writer.write(self.store.snapshot(change_set))
        # The revision may have gone past a client's from another server meanwhile.
        if change_set.revision <= self.store.revision:
            change_set = self.store.prepare(updates, self._clock_ms()) or change_set
        self._commit(change_set)

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
