"""Writes the snapshots of one list in a worker thread, with a time limit."""

from __future__ import annotations

import asyncio
from concurrent.futures import Executor

from structlog.stdlib import BoundLogger

from loadbalancer.discovery_server.records import Snapshot
from loadbalancer.discovery_server.revisions import STARTUP_LEAD_TICKS
from loadbalancer.discovery_server.snapshot_store import SnapshotStore

WRITE_TIMEOUT_S = 1.0  # the longest that a change set waits for its snapshot
FINAL_WRITE_TIMEOUT_S = 2.0  # the longest that a shutdown waits for a write in progress


class SnapshotWriter:
    """Writes one snapshot at a time.

    Attributes:
        outdated: Whether the last snapshot passed to `write` is not on the disk.
        durable_lead_ticks: The shortest lead over the clock with which the next process can start: from the
            newest snapshot, from the previous one or from neither.
    """

    def __init__(self, store: SnapshotStore, executor: Executor, log: BoundLogger) -> None:
        """Write to this store, in a thread of this executor."""
        self.outdated = False
        self.durable_lead_ticks = STARTUP_LEAD_TICKS
        self._newest_lead_ticks = STARTUP_LEAD_TICKS
        self._store = store
        self._executor = executor
        self._log = log
        self._write: asyncio.Future[None] | None = None

    async def write(self, snapshot: Snapshot) -> None:
        """Write the snapshot within the time limit; a failure is logged and sets `outdated`.

        The snapshot is skipped, and `outdated` set, while an earlier write is still in progress.
        """
        extends_lead = snapshot.lead_ticks > self.durable_lead_ticks
        await self._write_once(snapshot)
        # If the newest snapshot is damaged, the next process starts with the shorter lead of the previous one
        # and can issue the same revisions again. After a second write both snapshots state the longer lead.
        if extends_lead and not self.outdated:
            await self._write_once(snapshot)

    async def wait_for_write(self) -> None:
        """Wait for a write in progress, within a time limit."""
        if self._write is not None:
            await asyncio.wait({self._write}, timeout=FINAL_WRITE_TIMEOUT_S)

    async def _write_once(self, snapshot: Snapshot) -> None:
        if self._write is not None and not self._write.done():
            self.outdated = True
            return
        lead_ticks, previous_lead_ticks = snapshot.lead_ticks, self._newest_lead_ticks
        # A write that fails or times out may still replace the newest snapshot.
        self._newest_lead_ticks = min(previous_lead_ticks, lead_ticks)
        self.durable_lead_ticks = min(self.durable_lead_ticks, lead_ticks)
        loop = asyncio.get_running_loop()
        self._write = loop.run_in_executor(self._executor, self._store.write, snapshot)
        self._write.add_done_callback(_retrieve_exception)
        done, _ = await asyncio.wait({self._write}, timeout=WRITE_TIMEOUT_S)
        error = (
            self._write.exception() if done else TimeoutError(f"not finished within {WRITE_TIMEOUT_S:g} s")
        )
        self.outdated = error is not None
        if error is None:
            self._newest_lead_ticks = lead_ticks
            self.durable_lead_ticks = min(previous_lead_ticks, lead_ticks)
        else:
            self._log.error("snapshot write failed", list=self._store.name, error=str(error))


def _retrieve_exception(write: asyncio.Future[None]) -> None:
    """Retrieve the exception of a write that fails after its time-out; the time-out has been logged."""
    if not write.cancelled():
        write.exception()
