"""An endpoint list by revision with a bounded change log, and seeded changes to it; no I/O and no clock.

Entries have the keys of the discovery protocol.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from random import Random
from typing import TypedDict

import msgspec

ZONES = ("a", "b", "c")
MODELS = 3  # kinds of servers
POD_GROUPS = 8
MAX_LOGGED_CHANGES = 10_000  # changed entries, for watches that lag behind
READY = "Ready"
TERMINATING = "Terminating"
REMOVED = "Gone"  # the state that removes an entry from the list


class EndpointEntry(TypedDict):
    """One endpoint as the discovery protocol writes it."""

    uid: str
    endpoint: str  # host and port
    az: str  # zone
    model: str
    pod_group: int
    state: str
    capacity_hint: float
    boot_ms: int  # Unix time of its start; 0: unknown


class EndpointListMessage(msgspec.Struct):
    """An endpoint list, or a delta of one, with the keys of the discovery protocol."""

    rev: int
    all: bool  # whether the list is complete; else it is a delta
    targets: list[EndpointEntry]


def make_entries(addresses: Iterable[str], seed: int = 7) -> list[EndpointEntry]:
    """Return ready endpoints at these addresses, with zones and models drawn from the seed."""
    rng = Random(seed)
    return [
        {
            "uid": f"s-{rng.getrandbits(32):08x}-{index}",
            "endpoint": address,
            "az": rng.choice(ZONES),
            "model": f"m{rng.randrange(MODELS)}",
            "pod_group": rng.randrange(POD_GROUPS),
            "state": READY,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for index, address in enumerate(addresses)
    ]


class Membership:
    """An endpoint list, its revision and a bounded log of its changes.

    Each watch response is encoded once for all watches with the same revision.
    """

    def __init__(
        self,
        entries: Iterable[EndpointEntry],
        revision: int = 1,
        max_logged_changes: int = MAX_LOGGED_CHANGES,
    ) -> None:
        self.revision = revision
        self.entries = {entry["uid"]: entry for entry in entries}
        self._change_log: deque[tuple[int, EndpointEntry]] = deque()  # revision and entry, oldest first
        self._max_logged_changes = max_logged_changes
        self._oldest_known_revision = revision  # the log holds all changes since this one
        # At the current revision: by the watch's revision, None for a complete list.
        self._encoded_responses: dict[int | None, bytes] = {}

    def apply(self, changed: Sequence[EndpointEntry]) -> int:
        """Apply changed entries in one revision; entries in state `REMOVED` leave the list.

        Returns:
            The new revision.
        """
        self.revision += 1
        self._encoded_responses.clear()
        for entry in changed:
            if entry["state"] == REMOVED:
                self.entries.pop(entry["uid"], None)
            else:
                self.entries[entry["uid"]] = entry
            self._change_log.append((self.revision, entry))
        while len(self._change_log) > self._max_logged_changes:
            self._oldest_known_revision = self._change_log.popleft()[0]
        return self.revision

    def compact(self) -> None:
        """Drop the change log: a watch since an earlier revision gets the complete list."""
        self._change_log.clear()
        self._encoded_responses.clear()
        self._oldest_known_revision = self.revision

    def watch_response(self, since: int | None) -> bytes:
        """Return the body of the response to a watch: the changes, or else the complete list.

        Args:
            since: The watch's revision; None: the watch needs the complete list.
        """
        if since is not None and not self._oldest_known_revision <= since <= self.revision:
            since = None
        if since not in self._encoded_responses:
            response = self.complete_list() if since is None else self._changes_since(since)
            self._encoded_responses[since] = msgspec.json.encode(response)
        return self._encoded_responses[since]

    def complete_list(self) -> EndpointListMessage:
        """Return the current list."""
        return EndpointListMessage(rev=self.revision, all=True, targets=list(self.entries.values()))

    def discard_encoded_responses(self) -> None:
        """Discard the cached encodings, so that the next watch response is encoded again."""
        self._encoded_responses.clear()

    def _changes_since(self, since: int) -> EndpointListMessage:
        newest_by_uid: dict[str, EndpointEntry] = {}
        for revision, entry in reversed(self._change_log):
            if revision <= since:
                break
            newest_by_uid.setdefault(entry["uid"], entry)
        return EndpointListMessage(rev=self.revision, all=False, targets=list(newest_by_uid.values()))


class Churn:
    """Draws changes of a membership from a seed: endpoints that drain and restart, and losses."""

    def __init__(self, membership: Membership, seed: int = 7) -> None:
        self._membership = membership
        self._rng = Random(seed)

    def next_changes(self, count: int, now_ms: int) -> list[EndpointEntry]:
        """Return changed entries: a ready endpoint drains, a draining one is ready again.

        Args:
            count: Entries; at most all of the list.
            now_ms: Unix time: the start time of an endpoint that is ready again.
        """
        return [
            entry | {"state": TERMINATING}
            if entry["state"] == READY
            else entry | {"state": READY, "boot_ms": now_ms}
            for entry in self._sample(count)
        ]

    def next_losses(self, count: int) -> list[EndpointEntry]:
        """Return `count` entries that are removed at once."""
        return [entry | {"state": REMOVED} for entry in self._sample(count)]

    def _sample(self, count: int) -> list[EndpointEntry]:
        entries = list(self._membership.entries.values())
        return self._rng.sample(entries, min(count, len(entries)))
