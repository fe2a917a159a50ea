"""Selects the next upstream, and the backoff before it is used. No I/O, no clock."""

from __future__ import annotations

from random import Random

INITIAL_BACKOFF_S = 0.25  # upper bound of the backoff after a first failure; each further one doubles it
# Including the time to connect and to request the list, a change arrives well within 8 s after an upstream
# recovers.
MAX_BACKOFF_S = 2.0
MAX_BACKOFF_DOUBLINGS = 8
REJECTED_UPDATE_FAILURES = 4  # the number of failures that a rejected update counts as, at minimum


class UpstreamSelector:
    """Selects the upstreams of a list in order of preference; each failure selects the next one, cyclically.

    Attributes:
        index: The selected upstream, counted from 0 in order of preference.
        consecutive_failures: Failures since the last success.
        backoff_s: Time to wait before the selected upstream is used, in seconds.
    """

    def __init__(self, count: int, rng: Random) -> None:
        """Select among `count` upstreams; the random source draws the backoff's jitter."""
        self.index = 0
        self.consecutive_failures = 0
        self.backoff_s = 0.0
        self._count = count
        self._rng = rng

    def record_success(self) -> None:
        """Keep the selected upstream, which has responded."""
        self.consecutive_failures = 0
        self.backoff_s = 0.0

    def record_failure(self) -> None:
        """Select the next upstream and draw the backoff before it is used."""
        # The followers of all lists and all servers lose an upstream at the same moment. Without jitter they
        # would all reconnect at the same moment too. Trade-off: the backoff is longer for some of them.
        doublings = min(self.consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        longest_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**doublings)
        self.backoff_s = self._rng.uniform(0.0, longest_s)
        self.consecutive_failures += 1
        self.index = (self.index + 1) % self._count

    def record_rejected_update(self) -> None:
        """Select the next upstream after an update that could not be applied."""
        # Each response counts as a success and resets the backoff, and a list that exceeds the limits is sent
        # complete on each new connection. Without a minimum number of failures it would be requested several
        # times a second. Trade-off: recovery is later once the list is within its limits again.
        self.consecutive_failures = max(self.consecutive_failures, REJECTED_UPDATE_FAILURES)
        self.record_failure()
