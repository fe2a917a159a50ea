"""The bytes of messages that connections hold in the process together, against a limit. No I/O."""

from __future__ import annotations

import math

# Fractions of the limit. Partly received requests and unread responses yield first, so that clients that
# never finish can't keep complete requests out; responses of endpoints may use all of it.
PARTIAL_FRACTION = 0.5
REQUEST_FRACTION = 0.75


class ByteBudget:
    """Bytes held by any number of connections; the connections report each change.

    Attributes:
        limit: the most bytes that may be held; infinite where the owner sets no limit.
        buffered: the bytes that are buffered.
        peak: the most bytes that have been held since the last `take_peak`.
    """

    __slots__ = ("_partial_limit", "_request_limit", "buffered", "limit", "peak")

    def __init__(self, limit: float = math.inf) -> None:
        self.limit = limit
        self._partial_limit = limit * PARTIAL_FRACTION
        self._request_limit = limit * REQUEST_FRACTION
        self.buffered = 0
        self.peak = 0

    def change(self, difference: int) -> None:
        """Add bytes that a connection holds in addition, or subtract released ones."""
        self.buffered += difference
        if self.buffered > self.peak:
            self.peak = self.buffered

    def take_peak(self) -> int:
        """Return the most bytes held since the last call, and start the measurement again."""
        peak, self.peak = self.peak, self.buffered
        return peak

    @property
    def allows_partial_requests(self) -> bool:
        """Whether partly received requests and unread responses may stay."""
        return self.buffered <= self._partial_limit

    @property
    def allows_requests(self) -> bool:
        """Whether one more complete request may be open."""
        return self.buffered <= self._request_limit

    @property
    def allows_responses(self) -> bool:
        """Whether a response may be received further."""
        return self.buffered <= self.limit
