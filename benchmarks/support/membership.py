"""A versioned endpoint list with a bounded change log, and a generator of random changes to it.

The module does no I/O and reads no clock. Entries have the keys of the discovery protocol.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from random import Random
from typing import TypedDict

import msgspec

ZONES = ("a", "b", "c")
MODELS = 3  # number of server models
POD_GROUPS = 8
MAX_LOGGED_CHANGES = 10_000  # changed entries; a watch that is further behind receives the complete list
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
    boot_ms: int  # Unix time of the endpoint's start; 0: unknown


class EndpointListMessage(msgspec.Struct):
    """An endpoint list, or a delta of one, with the keys of the discovery protocol."""

    rev: int
    all: bool  # True: a complete list; False: a delta
    targets: list[EndpointEntry]


def make_entries(addresses: Iterable[str], seed: int = 7) -> list[EndpointEntry]:
    """Return ready endpoints at these addresses, with seeded random zones, models and pod groups."""
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
    """An endpoint list, its revision and a bounded change log.

    A watch response is encoded once and shared by all watches with the same revision.
    """

    def __init__(
        self,
        entries: Iterable[EndpointEntry],
        revision: int = 1,
        max_logged_changes: int = MAX_LOGGED_CHANGES,
    ) -> None:
        self.revision = revision
        self.entries = {entry["uid"]: entry for entry in entries}
        self._change_log: deque[tuple[int, EndpointEntry]] = deque()  # (revision, entry), oldest first
        self._max_logged_changes = max_logged_changes
        self._oldest_known_revision = revision  # the log has all changes after this one
        # Responses at the current revision, by the watch's revision; None: the complete list.
        self._encoded_responses: dict[int | None, bytes] = {}

    def apply(self, changed: Sequence[EndpointEntry]) -> int:
        """Apply changed entries as one revision; entries in state `REMOVED` are removed from the list.

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
        """Discard the change log: watches at an earlier revision receive the complete list."""
        self._change_log.clear()
        self._encoded_responses.clear()
        self._oldest_known_revision = self.revision

    def watch_response(self, since: int | None) -> bytes:
        """Return the body of the response to a watch: a delta, or the complete list if there is none.

        Args:
            since: The watch's revision; None: the watch requests the complete list.
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
        """Discard the cached responses, so that the next one is encoded again."""
        self._encoded_responses.clear()

    def _changes_since(self, since: int) -> EndpointListMessage:
        newest_by_uid: dict[str, EndpointEntry] = {}
        for revision, entry in reversed(self._change_log):
            if revision <= since:
                break
            newest_by_uid.setdefault(entry["uid"], entry)
        return EndpointListMessage(rev=self.revision, all=False, targets=list(newest_by_uid.values()))


class Churn:
    """Generates seeded random changes to a membership: endpoints that drain and restart, and losses."""

    def __init__(self, membership: Membership, seed: int = 7) -> None:
        self._membership = membership
        self._rng = Random(seed)

    def next_changes(self, count: int, now_ms: int) -> list[EndpointEntry]:
        """Return changed entries: a ready endpoint drains, a draining one is ready again.

        Args:
            count: Number of entries; limited to the length of the list.
            now_ms: Unix time, which becomes the start time of an endpoint that is ready again.
        """
        return [
            entry | {"state": TERMINATING}
            if entry["state"] == READY
            else entry | {"state": READY, "boot_ms": now_ms}
            for entry in self._sample(count)
        ]

    def next_losses(self, count: int) -> list[EndpointEntry]:
        """Return `count` random entries in state `REMOVED`, for removal in one change."""
        return [entry | {"state": REMOVED} for entry in self._sample(count)]

    def _sample(self, count: int) -> list[EndpointEntry]:
        entries = list(self._membership.entries.values())
        return self._rng.sample(entries, min(count, len(entries)))
