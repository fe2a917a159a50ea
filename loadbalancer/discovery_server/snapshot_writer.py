"""Writes one list's snapshots in a worker thread, and doesn't let a slow disk hold the list back."""

from __future__ import annotations

import asyncio
from concurrent.futures import Executor

from structlog.stdlib import BoundLogger

from loadbalancer.discovery_server.records import Snapshot
from loadbalancer.discovery_server.revisions import STARTUP_LEAD_TICKS
from loadbalancer.discovery_server.snapshot_store import SnapshotStore

WRITE_TIMEOUT_S = 1.0  # for which a change set waits for the disk
FINAL_WRITE_TIMEOUT_S = 2.0  # for which the shutdown waits for a write in progress


class SnapshotWriter:
    """Writes one snapshot at a time.

    Attributes:
        outdated: Whether the disk lacks the last snapshot that was to be written.
        lead_ticks: The lead over the clock with which the next process begins at the least, even if it finds
            the newest snapshot damaged.
    """

    def __init__(self, store: SnapshotStore, executor: Executor, log: BoundLogger) -> None:
        """Write to this store, in a thread of this executor."""
        self.outdated = False
        self.lead_ticks = STARTUP_LEAD_TICKS
        self._newest_lead_ticks = STARTUP_LEAD_TICKS
        self._store = store
        self._executor = executor
        self._log = log
        self._write: asyncio.Future[None] | None = None

    async def write(self, snapshot: Snapshot) -> None:
        """Write the snapshot within the time limit; a failure is logged and leaves `outdated` set.

        A write that is still in progress from an earlier call has this one skipped.
        """
        if self._write is not None and not self._write.done():
            self.outdated = True
            return
        # A write that fails may still have replaced the newest snapshot.
        newest_lead_ticks = self._newest_lead_ticks
        self.lead_ticks = min(self.lead_ticks, snapshot.lead_ticks)
        self._newest_lead_ticks = min(newest_lead_ticks, snapshot.lead_ticks)
        loop = asyncio.get_running_loop()
        self._write = loop.run_in_executor(self._executor, self._store.write, snapshot)
        self._write.add_done_callback(_retrieve_exception)
        done, _ = await asyncio.wait({self._write}, timeout=WRITE_TIMEOUT_S)
        error = self._write.exception() if done else TimeoutError("the disk takes too long")
        self.outdated = error is not None
        if error is None:
            self.lead_ticks = min(newest_lead_ticks, snapshot.lead_ticks)
            self._newest_lead_ticks = snapshot.lead_ticks
        else:
            self._log.error("snapshot write failed", list=self._store.name, error=str(error))

    async def wait_for_write(self) -> None:
        """Wait for a write in progress, for a bounded time."""
        if self._write is not None:
            await asyncio.wait({self._write}, timeout=FINAL_WRITE_TIMEOUT_S)


def _retrieve_exception(write: asyncio.Future[None]) -> None:
    """Mark a late failure as seen: it has been logged as a timeout."""
    if not write.cancelled():
        write.exception()
