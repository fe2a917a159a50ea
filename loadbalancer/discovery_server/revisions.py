"""The revisions of an endpoint list: they never go back, and each belongs to one state. No I/O.

A revision is a number below 2**53: a count in its high bits and the server's tag in the low ones. The count
rises with each change set and never lags the wall clock, in ticks of 10 ms. The tag keeps the revisions of
two servers apart, so that a server recognises a client that comes from another one.

Each process begins ahead of the wall clock by a lead of at least one minute. While a list takes fewer than
100 change sets a second, all revisions of a process are therefore below those of the next one, even if the
disk is lost. A client may hold a revision of another server that is further ahead than the lead. A revision
above it is used only once the snapshots on the disk state a longer lead, with which the next process begins.
"""

from __future__ import annotations

TAG_BITS = 17
CLOCK_TICK_MS = 10.0
EPOCH_MS = 1_735_689_600_000.0  # 2025-01-01; 36 bits of ticks last 21 years
STARTUP_LEAD_TICKS = 6_000  # 60 s, the shortest lead over the clock at a start
REVISION_GAP_TICKS = 100  # 1 s, the distance from a revision that may not be the last one issued
MAX_TRUSTED_LEAD_TICKS = 8_640_000  # one day, the longest lead of a client's revision that a server accepts


def clock_ticks(now_ms: float) -> int:
    """The ticks from the epoch to this Unix time in milliseconds; 0 before the epoch."""
    return max(0, int((now_ms - EPOCH_MS) / CLOCK_TICK_MS))


def tick_count(revision: int) -> int:
    """The count in the high bits of a revision."""
    return revision >> TAG_BITS


def is_plausible(revision: int, now_ms: float) -> bool:
    """Whether a discovery server whose clock is less than a day off can have issued this revision."""
    return tick_count(revision) <= clock_ticks(now_ms) + MAX_TRUSTED_LEAD_TICKS


def required_lead(revision: int, now_ms: float) -> int:
    """The lead over the clock, in ticks, with which a process that starts now begins above this revision."""
    return max(STARTUP_LEAD_TICKS, tick_count(revision) + 1 - clock_ticks(now_ms))


class RevisionClock:
    """Issues the revisions of one endpoint list, each at most once.

    Attributes:
        tag: The low bits of each revision.
    """

    def __init__(self, tag: int, now_ms: float) -> None:
        """Create the clock of the server with this tag, at this Unix time in milliseconds."""
        self.tag = tag
        # Guard: a burst of changes runs ahead of the wall clock. A process that starts without a snapshot, or
        # from an old one, would issue the revisions of the burst again. It therefore begins with a lead.
        self._min_count = clock_ticks(now_ms) + STARTUP_LEAD_TICKS

    def issue(self, now_ms: float, current: int, minimum_revision: int = 0) -> int:
        """Issue a revision above `current` and `minimum_revision`."""
        revision = self.next_revision(now_ms, current, minimum_revision)
        # Guard: while the snapshot with this revision is written, a client of another server can require a
        # revision for the state before it. That one must not be the same.
        self._min_count = tick_count(revision) + 1
        return revision

    def next_revision(self, now_ms: float, current: int, minimum_revision: int = 0) -> int:
        """The revision that `issue` would return now."""
        # Guard: a client skips changes if a revision goes back or belongs to two states.
        count = max(tick_count(current) + 1, self._min_count, clock_ticks(now_ms))
        # Guard: a process that has lost its disk doesn't know which revisions its predecessor issued after
        # the client's. The gap skips them. Where the count exceeds the client's revision anyway, a jump would
        # only use up the lead.
        if tick_count(minimum_revision) >= count:
            count = tick_count(minimum_revision) + REVISION_GAP_TICKS
        return count << TAG_BITS | self.tag

    def resume_after(self, revision: int, lead_ticks: int, now_ms: float) -> None:
        """Continue above the revision and with the lead of a snapshot.

        Args:
            revision: The stored revision, after which the earlier process may have issued others.
            lead_ticks: The stored lead over the clock; 0 in a snapshot of a version that stored none.
            now_ms: The Unix time in milliseconds.
        """
        self._min_count = max(self._min_count, clock_ticks(now_ms) + lead_ticks)
        # Guard: without a stored lead, or with a clock that went back, the lead doesn't exceed the revisions
        # that the earlier process used and didn't store. The gap skips them.
        if not lead_ticks or self._min_count <= tick_count(revision):
            self._min_count = max(self._min_count, tick_count(revision) + REVISION_GAP_TICKS)
