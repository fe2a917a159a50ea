"""The encoded responses of one endpoint list at its current revision. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import orjson

from loadbalancer.discovery_server.change_log import ChangeLog
from loadbalancer.discovery_server.records import EndpointRecord

MAX_CACHED_DELTAS = 64  # deltas to the current revision; the oldest is discarded first


class ResponseCache:
    """Encodes each response once, for all clients that hold the same revision.

    The cache reads the records and the change log of the endpoint store, which calls `reset` after each
    change.

    Attributes:
        encodings: The number of responses encoded since the start.
    """

    def __init__(self, records: Mapping[str, EndpointRecord], change_log: ChangeLog) -> None:
        """Create an empty cache that reads these records, by uid, and this change log."""
        self.encodings = 0
        self._records = records
        self._change_log = change_log
        self._revision = 0
        self._list_bytes = 0
        self._complete: bytes | None = None
        self._unchanged: bytes | None = None
        self._deltas: dict[int, bytes | None] = {}

    def reset(self, revision: int, list_bytes: int) -> None:
        """Discard the responses; the records are now those of this revision, with `list_bytes` of JSON."""
        self._revision = revision
        self._list_bytes = list_bytes
        self._complete = self._unchanged = None
        self._deltas.clear()

    def since(self, revision: int | None) -> bytes | None:
        """The body for a client at this revision (None: it has no list), or None if the client is up to date.

        The body is a delta merged by uid if the change log covers the revision and the delta is not longer
        than the list, otherwise the complete list.
        """
        if revision == self._revision:
            return None
        if revision is None or revision not in self._change_log.resumable_revisions:
            return self.complete()
        if revision not in self._deltas:
            if len(self._deltas) >= MAX_CACHED_DELTAS:
                del self._deltas[next(iter(self._deltas))]
            self._deltas[revision] = self._delta_since(revision)
        return self._deltas[revision]

    def complete(self) -> bytes:
        """The body with the complete list."""
        if self._complete is None:
            self._complete = self._encode(self._records.values(), complete=True)
        return self._complete

    def unchanged(self) -> bytes:
        """The body without entries, for a watch that reaches its deadline without a change."""
        if self._unchanged is None:
            self._unchanged = self._encode((), complete=False)
        return self._unchanged

    def _delta_since(self, revision: int) -> bytes | None:
        changed = self._change_log.merged_since(revision)
        if not changed:
            return None
        if sum(len(record.entry_json) for record in changed.values()) > self._list_bytes:
            return self.complete()
        return self._encode(changed.values(), complete=False)

    def _encode(self, records: Iterable[EndpointRecord], *, complete: bool) -> bytes:
        self.encodings += 1
        entries = [orjson.Fragment(record.entry_json) for record in records]
        return orjson.dumps({"rev": self._revision, "all": complete, "targets": entries})
