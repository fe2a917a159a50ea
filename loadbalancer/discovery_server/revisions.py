"""The revision clock: numbers that never go back, over restarts and between discovery servers. No I/O.

A revision is a number below 2**53: a count in its high bits, the server's tag in the low ones. The count goes
up by at least one with each change set and is never behind the wall clock, in ticks of 10 ms. Two servers
therefore give different revisions at the same moment, and a client that changes servers is recognised by the
tag. A process starts a minute ahead of the wall clock: while a list takes fewer than 100 change sets a
second, every revision of one process stays below those of the next, even if nothing is left on the disk.
A client can carry another server's revision that is further ahead than that. A revision above it is used
only once the snapshots on the disk hold a longer lead, with which the next process starts.
"""

from __future__ import annotations

TAG_BITS = 17
CLOCK_TICK_MS = 10.0
EPOCH_MS = 1_735_689_600_000.0  # 2025-01-01; 36 bits of ticks last for 21 years from there
STARTUP_LEAD_TICKS = 6_000  # ahead of the clock for the first revision after a start: 60 s
REVISION_GAP_TICKS = 100  # by which a revision is exceeded that may not have been the last one issued
MAX_TRUSTED_LEAD_TICKS = 8_640_000  # ahead of the clock, up to which a client's revision is believed: a day


def clock_ticks(now_ms: float) -> int:
    """The ticks from the epoch to this Unix time in milliseconds, 0 before the epoch."""
    return max(0, int((now_ms - EPOCH_MS) / CLOCK_TICK_MS))


def tick_count(revision: int) -> int:
    """The count in a revision's high bits."""
    return revision >> TAG_BITS


def is_plausible(revision: int, now_ms: float) -> bool:
    """Whether a discovery server with a clock less than a day off can have issued this revision."""
    return tick_count(revision) <= clock_ticks(now_ms) + MAX_TRUSTED_LEAD_TICKS


def required_lead(revision: int, now_ms: float) -> int:
    """The lead over the clock, in ticks, with which a process that starts now begins above this revision."""
    return max(STARTUP_LEAD_TICKS, tick_count(revision) + 1 - clock_ticks(now_ms))


class RevisionClock:
    """Issues the revisions of one endpoint list, each at most once."""

    def __init__(self, tag: int, now_ms: float) -> None:
        """Start the clock of the server with this tag, at this Unix time in milliseconds."""
        self.tag = tag
        # Guard: after a start from an older snapshot, or from none, the first revisions by the wall clock
        # could be ones that the last process had issued already, ahead of the clock in a burst.
        self._min_count = clock_ticks(now_ms) + STARTUP_LEAD_TICKS

    def issue(self, now_ms: float, current: int, minimum_revision: int = 0) -> int:
        """A revision above `current` and `minimum_revision`, never to be issued again."""
        revision = self.next_revision(now_ms, current, minimum_revision)
        # Guard: while the snapshot with this revision was written, a client of another server had the
        # revision go up to this very one, and got the list as it was before.
        self._min_count = tick_count(revision) + 1
        return revision

    def next_revision(self, now_ms: float, current: int, minimum_revision: int = 0) -> int:
        """The revision that `issue` would return now."""
        # Guard: a revision that goes back, or stands for two states, makes a client skip changes.
        count = max(tick_count(current) + 1, self._min_count, clock_ticks(now_ms))
        # Guard: a jump by the gap that a restart resumes by leads to the revision that the next process
        # issues first. The count therefore jumps only if it would not exceed the client's revision otherwise.
        # The gap covers revisions that an earlier process issued after that one and lost with its disk.
        if tick_count(minimum_revision) >= count:
            count = tick_count(minimum_revision) + REVISION_GAP_TICKS
        return count << TAG_BITS | self.tag

    def resume_after(self, revision: int, lead_ticks: int, now_ms: float) -> None:
        """Continue from a stored revision, which may not have been the last one issued, and its lead.

        A lead of 0 is that of a snapshot which an earlier version wrote.
        """
        self._min_count = max(self._min_count, clock_ticks(now_ms) + lead_ticks)
        # Guard: revisions above the stored one were used without the disk. A clock that went back, or a
        # snapshot without a lead, doesn't show how many.
        if not lead_ticks or self._min_count <= tick_count(revision):
            self._min_count = max(self._min_count, tick_count(revision) + REVISION_GAP_TICKS)
