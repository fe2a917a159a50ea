"""The bounded change log of one endpoint list. No I/O, no clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from loadbalancer.discovery_server.records import ChangeSet, EndpointRecord


class ChangeLog:
    """The latest change sets, from which deltas since earlier revisions are computed.

    A change set counts as one entry, plus one for each of its records. When a limit is exceeded, the oldest
    change sets are discarded, even the only one, so the log may be empty after an append.

    Attributes:
        resumable_revisions: The revisions since which the log contains every change.
    """

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        """Create an empty log with limits on its entries and on the bytes of the records' JSON."""
        self.resumable_revisions: set[int] = set()
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._change_sets: deque[ChangeSet] = deque()
        self._base_revision = 0  # the revision before the oldest change set
        self._entries = 0
        self._bytes = 0

    @property
    def change_sets(self) -> tuple[ChangeSet, ...]:
        """The change sets of the log, oldest first."""
        return tuple(self._change_sets)

    def base_revision(self, current: int) -> int:
        """The revision before the oldest change set; `current` if the log is empty."""
        return self._base_revision if self.resumable_revisions else current

    def append(self, change_set: ChangeSet, previous_revision: int) -> None:
        """Append the change set that follows this revision, and discard the oldest ones over the limits."""
        if not self.resumable_revisions:
            self._base_revision = previous_revision
        self.resumable_revisions.add(previous_revision)
        self._change_sets.append(change_set)
        self._entries += 1 + len(change_set.records)
        self._bytes += change_set.json_bytes
        while self._entries > self._max_entries or self._bytes > self._max_bytes:
            self._discard_oldest()

    def restore(self, change_sets: Iterable[ChangeSet], base_revision: int) -> None:
        """Append stored change sets; the first one follows the base revision."""
        previous_revision = base_revision
        for change_set in change_sets:
            self.append(change_set, previous_revision)
            previous_revision = change_set.revision

    def merged_since(self, revision: int) -> dict[str, EndpointRecord]:
        """The last record, by uid, of each endpoint that has changed since this resumable revision."""
        records: dict[str, EndpointRecord] = {}
        for change_set in reversed(self._change_sets):
            if change_set.revision <= revision:
                break
            for record in change_set.records:
                records.setdefault(record.uid, record)
        return records

    def _discard_oldest(self) -> None:
        oldest = self._change_sets.popleft()
        self._entries -= 1 + len(oldest.records)
        self._bytes -= oldest.json_bytes
        self.resumable_revisions.discard(self._base_revision)
        self._base_revision = oldest.revision
