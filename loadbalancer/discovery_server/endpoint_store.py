"""One endpoint list at its current revision. No I/O, no clock.

The store is the only writer of the list's records, of its change log and of its revision.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from loadbalancer.discovery_server.change_log import ChangeLog
from loadbalancer.discovery_server.config import ListLimits
from loadbalancer.discovery_server.records import (
    ChangeSet,
    EndpointRecord,
    EndpointUpdate,
    Snapshot,
    tombstone,
)
from loadbalancer.discovery_server.response_cache import ResponseCache
from loadbalancer.discovery_server.revisions import STARTUP_LEAD_TICKS, RevisionClock, is_plausible


class UpdateError(ValueError):
    """An update that can't be applied to the endpoint list."""


class MissingListError(UpdateError):
    """Changes that arrived before the complete list that they change."""

    def __init__(self) -> None:
        super().__init__("changes arrived before the complete list")


class ListLimitError(UpdateError):
    """An update that would make the list larger than its limits.

    Attributes:
        entries: The entries that the list would have.
        json_bytes: The bytes of their JSON.
    """

    def __init__(self, entries: int, json_bytes: int) -> None:
        super().__init__(f"{entries} entries of {json_bytes} bytes exceed the limits of this list")
        self.entries = entries
        self.json_bytes = json_bytes


class EndpointStore:
    """The state of an endpoint list. A change set is prepared, made durable elsewhere, then committed.

    Attributes:
        name: The list's name in the configuration.
        revision: The current revision; 0 before the first list.
        initialized: Whether a list has been committed or restored. Until then clients must get no response:
            an empty list would take all endpoints away.
        records: The listed endpoints by uid, without tombstones.
        responses: The encoded responses at the current revision.
    """

    def __init__(self, name: str, tag: int, limits: ListLimits, now_ms: float) -> None:
        """An uninitialized list of the server with this tag, at this Unix time in milliseconds."""
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
        self, updates: Iterable[EndpointUpdate], now_ms: float, minimum_revision: int = 0
    ) -> ChangeSet | None:
        """The change set that these updates make, at a revision above the minimum; None if nothing changes.

        Changes nothing but that no later change set gets this one's revision.

        Raises:
            MissingListError: Changes came before any complete list.
            ListLimitError: The list would grow beyond its limits.
        """
        changes: dict[str, EndpointRecord] = {}
        initialized = self.initialized
        for update in updates:
            if update.complete:
                initialized = True
                self._merge_complete_list(changes, update.records)
            elif not initialized:
                raise MissingListError
            else:
                changes.update((record.uid, record) for record in update.records)
        changed = tuple(record for record in changes.values() if self._differs(record))
        self._check_limits(changed)
        if not initialized or (self.initialized and not changed and minimum_revision <= self.revision):
            return None
        return ChangeSet(self._clock.issue(now_ms, self.revision, minimum_revision), changed)

    def next_revision(self, now_ms: float, minimum_revision: int = 0) -> int:
        """The revision that a change set prepared now would have."""
        return self._clock.next_revision(now_ms, self.revision, minimum_revision)

    def commit(self, change_set: ChangeSet) -> None:
        """Make a prepared change set part of all responses from now on."""
        assert change_set.revision > self.revision, "a revision must not go back"
        for record in change_set.records:
            self._apply(record)
        # Guard: a delta from revision 0, to a client with a list from another server, would leave the rest of
        # that list in place.
        if self.initialized:
            self._change_log.append(change_set, self.revision)
        self.revision = change_set.revision
        self.initialized = True
        self.responses.reset(self.revision, self._json_bytes)

    def is_outdated_for(self, revision: int, now_ms: float) -> bool:
        """Whether a client holds a newer revision: another server's, or one that this disk has lost."""
        return revision > self.revision and is_plausible(revision, now_ms)

    def snapshot(self, prepared: ChangeSet | None = None, lead_ticks: int = STARTUP_LEAD_TICKS) -> Snapshot:
        """All of the list, with a prepared change set as if it were committed, and with this lead."""
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
        """Continue from what an earlier process stored. Only before the first commit."""
        assert not self.initialized, "a list is restored before its first commit"
        self._clock.resume_after(snapshot.revision, snapshot.lead_ticks, now_ms)
        for record in snapshot.records:
            self._apply(record)
        self._change_log.restore(snapshot.change_sets, snapshot.base_revision)
        self.revision = snapshot.revision
        self.initialized = True
        self.responses.reset(self.revision, self._json_bytes)

    def _merge_complete_list(
        self, changes: dict[str, EndpointRecord], records: Sequence[EndpointRecord]
    ) -> None:
        """Add the changes that lead to this complete list: what it lacks becomes a tombstone."""
        listed = {record.uid: record for record in records if not record.removed}
        for current in [*self.records.values(), *changes.values()]:
            latest = changes.get(current.uid, current)
            if latest.uid not in listed and not latest.removed:
                changes[latest.uid] = tombstone(latest)
        changes.update(listed)

    def _differs(self, record: EndpointRecord) -> bool:
        current = self.records.get(record.uid)
        return current is not None if record.removed else current != record

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
        # Guard: a list that is over its limits already must still be able to shrink.
        max_entries = max(self._limits.max_entries, len(self.records))
        max_bytes = max(self._limits.max_bytes, self._json_bytes)
        if entries > max_entries or json_bytes > max_bytes:
            raise ListLimitError(entries, json_bytes)

    def _apply(self, record: EndpointRecord) -> None:
        current = self.records.get(record.uid)
        if current is not None:
            self._json_bytes -= len(current.entry_json)
        if not record.removed:
            self._json_bytes += len(record.entry_json)
        _replace(self.records, record)


def _replace(records: dict[str, EndpointRecord], record: EndpointRecord) -> None:
    """Put the record at the end of the list, or take its endpoint away."""
    records.pop(record.uid, None)
    if not record.removed:
        records[record.uid] = record
