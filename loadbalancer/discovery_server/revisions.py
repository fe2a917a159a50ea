"""Revisions of an endpoint list: they never decrease for a client, and each identifies one state. No I/O.

A revision is a number below 2**53: a count in its high bits and the server's tag in the low ones. The count
increases with each change set and is never below the wall clock, in ticks of 10 ms. The tag distinguishes the
revisions of two servers, so that a server recognizes a client that comes from another one.

The list's own revision decreases if a process restarts from an old snapshot. A client that holds a later one
then gets the list under a new revision above its own.

Each process starts with a lead of at least one minute over the wall clock. While a list has fewer than 100
change sets per second, all revisions of a process are therefore below those of the next one, even if the disk
is lost. A client may hold a revision of another server that is further ahead than the lead. For such a
client, a revision further ahead than the lead is issued only once both snapshots state a longer lead, with
which the next process starts.
"""

from __future__ import annotations

TAG_BITS = 17
CLOCK_TICK_MS = 10.0
EPOCH_MS = 1_735_689_600_000.0  # 2025-01-01; 36 bits of ticks last 21 years
STARTUP_LEAD_TICKS = 6_000  # 60 s, the shortest lead over the clock at startup
REVISION_GAP_TICKS = 100  # 1 s, the distance from a revision that may not be the last one issued
MAX_TRUSTED_LEAD_TICKS = 8_640_000  # 24 h, the longest lead of a client's revision that a server accepts


def clock_ticks(now_ms: float) -> int:
    """The ticks from the epoch to this Unix time in milliseconds; 0 before the epoch."""
    return max(0, int((now_ms - EPOCH_MS) / CLOCK_TICK_MS))


def tick_count(revision: int) -> int:
    """The count in the high bits of a revision."""
    return revision >> TAG_BITS


def is_plausible(revision: int, now_ms: float) -> bool:
    """Whether a discovery server whose clock is off by less than 24 h can have issued this revision."""
    return tick_count(revision) <= clock_ticks(now_ms) + MAX_TRUSTED_LEAD_TICKS


def required_lead(revision: int, now_ms: float) -> int:
    """The lead over the clock, in ticks, with which a process starting now issues only higher revisions."""
    return max(STARTUP_LEAD_TICKS, tick_count(revision) + 1 - clock_ticks(now_ms))


class RevisionClock:
    """Issues the revisions of one endpoint list, each at most once.

    Attributes:
        tag: The low bits of each revision.
    """

    def __init__(self, tag: int, now_ms: float) -> None:
        """Create the clock of the server with this tag, at this Unix time in milliseconds."""
        self.tag = tag
        # A burst of changes advances the count ahead of the wall clock. A process that starts without a
        # snapshot, or from an old one, would issue the revisions of the burst again. The lead prevents that.
        self._min_count = clock_ticks(now_ms) + STARTUP_LEAD_TICKS

    def issue(self, now_ms: float, current: int, minimum_revision: int = 0) -> int:
        """Issue a revision above `current` and `minimum_revision`."""
        revision = self.next_revision(now_ms, current, minimum_revision)
        # While the snapshot with this revision is being written, a client of another server can require a
        # revision for the previous state. The two must differ, so this count is not issued again.
        self._min_count = tick_count(revision) + 1
        return revision

    def next_revision(self, now_ms: float, current: int, minimum_revision: int = 0) -> int:
        """The revision that `issue` would return now."""
        # A client misses changes if a revision decreases or identifies two states.
        count = max(tick_count(current) + 1, self._min_count, clock_ticks(now_ms))
        # A process that has lost its disk has no record of the revisions that the previous process issued
        # after the client's. The gap skips them. If the count already exceeds the client's revision, a gap
        # would only use up the lead.
        if tick_count(minimum_revision) >= count:
            count = tick_count(minimum_revision) + REVISION_GAP_TICKS
        return count << TAG_BITS | self.tag

    def resume_after(self, revision: int, lead_ticks: int, now_ms: float) -> None:
        """Continue from a snapshot: above its revision and with its lead.

        Args:
            revision: The stored revision, after which the earlier process may have issued others.
            lead_ticks: The stored lead over the clock; 0 in a snapshot of a version that doesn't store it.
            now_ms: The Unix time in milliseconds.
        """
        self._min_count = max(self._min_count, clock_ticks(now_ms) + lead_ticks)
        # Without a stored lead, or after the clock is set back, the lead doesn't cover the revisions that the
        # earlier process issued without storing them. The gap skips them.
        if not lead_ticks or self._min_count <= tick_count(revision):
            self._min_count = max(self._min_count, tick_count(revision) + REVISION_GAP_TICKS)
