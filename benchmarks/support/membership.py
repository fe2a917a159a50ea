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
REMOVED = "Gone"  # the state that takes an entry out of the list


class EndpointEntry(TypedDict):
    """One endpoint as the discovery protocol writes it."""

    uid: str
    endpoint: str  # host and port
    az: str  # zone
    model: str
    pod_group: int
    state: str
    capacity_hint: float
    boot_ms: int  # Unix time of its start; 0 where it is not known


class EndpointListMessage(msgspec.Struct):
    """An endpoint list, or changes of one, with the keys of the discovery protocol."""

    rev: int
    all: bool  # whether the list is complete; else these are the changes
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

    Every watch response is encoded once for all watches that wait since the same revision.
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
        self._oldest_known_revision = revision  # the log has all changes since this one
        # At this revision: by the revision that a watch has, None for a complete list.
        self._encoded_responses: dict[int | None, bytes] = {}

    def apply(self, changed: Sequence[EndpointEntry]) -> int:
        """Put changed entries in force in one revision, those in state `REMOVED` out of the list.

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
        """Return the body of the response to a watch: what has changed, else the complete list.

        Args:
            since: The revision that the watch has; None: it needs the complete list.
        """
        if since is not None and not self._oldest_known_revision <= since <= self.revision:
            since = None
        if since not in self._encoded_responses:
            response = self.complete_list() if since is None else self._changes_since(since)
            self._encoded_responses[since] = msgspec.json.encode(response)
        return self._encoded_responses[since]

    def complete_list(self) -> EndpointListMessage:
        """Return the list as it is now."""
        return EndpointListMessage(rev=self.revision, all=True, targets=list(self.entries.values()))

    def forget_encoded_responses(self) -> None:
        """Have the next watch response encoded anew."""
        self._encoded_responses.clear()

    def _changes_since(self, since: int) -> EndpointListMessage:
        newest_by_uid: dict[str, EndpointEntry] = {}
        for revision, entry in reversed(self._change_log):
            if revision <= since:
                break
            newest_by_uid.setdefault(entry["uid"], entry)
        return EndpointListMessage(rev=self.revision, all=False, targets=list(newest_by_uid.values()))


class Churn:
    """Draws changes of a membership from a seed: endpoints that drain and come back restarted, and losses."""

    def __init__(self, membership: Membership, seed: int = 7) -> None:
        self._membership = membership
        self._rng = Random(seed)

    def next_changes(self, count: int, now_ms: int) -> list[EndpointEntry]:
        """Return changed entries: a ready one drains, a draining one is ready again.

        Args:
            count: Entries; no more than the list has.
            now_ms: Unix time, at which an endpoint that is ready again was started.
        """
        return [
            entry | {"state": TERMINATING}
            if entry["state"] == READY
            else entry | {"state": READY, "boot_ms": now_ms}
            for entry in self._sample(count)
        ]

    def next_losses(self, count: int) -> list[EndpointEntry]:
        """Return so many entries that are removed at once."""
        return [entry | {"state": REMOVED} for entry in self._sample(count)]

    def _sample(self, count: int) -> list[EndpointEntry]:
        entries = list(self._membership.entries.values())
        return self._rng.sample(entries, min(count, len(entries)))
