"""The state of one endpoint list: its records, revision, change log and encoded responses. No I/O, no clock.

Only the store writes this state.
"""

from __future__ import annotations

from collections.abc import Sequence

from loadbalancer.discovery_server.change_log import ChangeLog
from loadbalancer.discovery_server.config import ListLimits
from loadbalancer.discovery_server.records import (
    ChangeSet,
    EndpointRecord,
    EndpointUpdate,
    Snapshot,
)
from loadbalancer.discovery_server.response_cache import ResponseCache
from loadbalancer.discovery_server.revisions import STARTUP_LEAD_TICKS, RevisionClock, is_plausible
from loadbalancer.discovery_server.update_merge import UpdateError, merge_updates


class ListLimitError(UpdateError):
    """An update with which the list would exceed its limits.

    Attributes:
        entries: The number of entries that the list would have.
        json_bytes: The size of their JSON, in bytes.
    """

    def __init__(self, entries: int, json_bytes: int, max_entries: int, max_bytes: int) -> None:
        super().__init__(
            f"the update would result in a list of {entries} entries with {json_bytes} bytes of JSON; "
            f"at most {max_entries} entries and {max_bytes} bytes are allowed"
        )
        self.entries = entries
        self.json_bytes = json_bytes


class EndpointStore:
    """One endpoint list. Its owner prepares a change set, stores it durably and then commits it.

    Attributes:
        name: The list's name in the configuration.
        revision: The current revision; 0 before the first list.
        initialized: Whether a list has been committed or restored. Until then no client may get a response,
            since an empty list would remove all of its endpoints.
        records: The listed endpoints by uid, without tombstones.
        responses: The encoded responses at the current revision.
    """

    def __init__(self, name: str, tag: int, limits: ListLimits, now_ms: float) -> None:
        """Create an uninitialized list.

        Args:
            name: The list's name in the configuration.
            tag: The server's own low bits of each revision.
            limits: The limits of the list and of its change log.
            now_ms: The Unix time in milliseconds.
        """
        self.name = name
        self.revision = 0
        self.initialized = False
        self.records: dict[str, EndpointRecord] = {}
        self._limits = limits
        self._json_bytes = 0
        self._clock = RevisionClock(tag, now_ms)
        self._change_log = ChangeLog(limits.max_log_entries, limits.max_log_bytes)
        self.responses = ResponseCache(self.records, self._change_log)

    def prepare(
        self, updates: Sequence[EndpointUpdate], now_ms: float, minimum_revision: int = 0
    ) -> ChangeSet | None:
        """Issue a revision for the changes of these updates; None if they change nothing.

        The list is unchanged until the change set is committed. On an initialized list, a minimum revision
        above the current one always produces a change set, which has no records if no entry changes.

        Args:
            updates: The updates, in the order of their arrival.
            now_ms: The Unix time in milliseconds.
            minimum_revision: The revision that the new one exceeds.

        Raises:
            MissingListError: An update with changes precedes the first complete list.
            ListLimitError: The list would exceed its limits.
        """
        initialized = self.initialized or any(update.complete for update in updates)
        changed = merge_updates(self.records, updates, initialized=self.initialized)
        self._check_limits(changed)
        if not initialized or (self.initialized and not changed and minimum_revision <= self.revision):
            return None
        return ChangeSet(self._clock.issue(now_ms, self.revision, minimum_revision), changed)

    def next_revision(self, now_ms: float, minimum_revision: int = 0) -> int:
        """The revision that `prepare` would issue now."""
        return self._clock.next_revision(now_ms, self.revision, minimum_revision)

    def commit(self, change_set: ChangeSet) -> None:
        """Apply a prepared change set to the list; all later responses include it."""
        assert change_set.revision > self.revision, (
            f"the change set's revision {change_set.revision} is not above the list's, {self.revision}"
        )
        for record in change_set.records:
            self._apply(record)
        # A client at revision 0 may hold a list of another server. A delta since revision 0 would not remove
        # the endpoints of that list, so the first list has no entry in the change log.
        if self.initialized:
            self._change_log.append(change_set, self.revision)
        self.revision = change_set.revision
        self.initialized = True
        self.responses.reset(self.revision, self._json_bytes)

    def is_outdated_for(self, revision: int, now_ms: float) -> bool:
        """Whether a client holds a newer revision: from another server, or lost with this server's disk."""
        return revision > self.revision and is_plausible(revision, now_ms)

    def snapshot(self, prepared: ChangeSet | None = None, lead_ticks: int = STARTUP_LEAD_TICKS) -> Snapshot:
        """The list as a snapshot.

        Args:
            prepared: A change set that is not committed yet; the snapshot includes it.
            lead_ticks: The lead over the clock with which the next process starts.
        """
        records = self.records
        change_sets = self._change_log.change_sets
        revision = self.revision
        base_revision = self._change_log.base_revision(self.revision)
        if prepared is not None:
            records = dict(records)
            for record in prepared.records:
                _replace(records, record)
            revision = prepared.revision
            if self.initialized:
                change_sets = (*change_sets, prepared)
            else:
                base_revision = revision
        return Snapshot(
            self.name,
            self._clock.tag,
            revision,
            tuple(records.values()),
            base_revision,
            change_sets,
            lead_ticks,
        )

    def restore(self, snapshot: Snapshot, now_ms: float) -> None:
        """Restore the list from the snapshot of an earlier process. Must precede the first commit."""
        assert not self.initialized, f"the list {self.name!r} is already initialized and can't be restored"
        self._clock.resume_after(snapshot.revision, snapshot.lead_ticks, now_ms)
        for record in snapshot.records:
            self._apply(record)
        self._change_log.restore(snapshot.change_sets, snapshot.base_revision)
        self.revision = snapshot.revision
        self.initialized = True
        self.responses.reset(self.revision, self._json_bytes)

    def _check_limits(self, changed: Sequence[EndpointRecord]) -> None:
        entries, json_bytes = len(self.records), self._json_bytes
        for record in changed:
            current = self.records.get(record.uid)
            if current is not None:
                entries -= 1
                json_bytes -= len(current.entry_json)
            if not record.removed:
                entries += 1
                json_bytes += len(record.entry_json)
        # After a restart with lower limits, a list may exceed them. Updates that shrink it must not be
        # rejected, so its current size is always allowed.
        max_entries = max(self._limits.max_entries, len(self.records))
        max_bytes = max(self._limits.max_bytes, self._json_bytes)
        if entries > max_entries or json_bytes > max_bytes:
            raise ListLimitError(entries, json_bytes, max_entries, max_bytes)

    def _apply(self, record: EndpointRecord) -> None:
        current = self.records.get(record.uid)
        if current is not None:
            self._json_bytes -= len(current.entry_json)
        if not record.removed:
            self._json_bytes += len(record.entry_json)
        _replace(self.records, record)


def _replace(records: dict[str, EndpointRecord], record: EndpointRecord) -> None:
    """Move the record to the end of the list, or remove its endpoint."""
    records.pop(record.uid, None)
    if not record.removed:
        records[record.uid] = record
