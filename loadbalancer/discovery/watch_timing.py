"""Time budget of the discovery watch, in milliseconds, and the time limits of its requests. No I/O.

A node counts as notified of a change `NOTIFICATION_DEADLINE_MS` after discovery has it and can be reached,
regardless of earlier failures. After a failed watch request the next one therefore starts at most
`WATCH_CYCLE_MS` after the start of the failed one, both where endpoint lists are pushed and where they are
polled.
"""

from __future__ import annotations

NOTIFICATION_DEADLINE_MS = 6000.0
WATCH_CONNECT_MS = 1200.0  # to establish a connection: the kernel repeats a lost SYN after 1 s
WATCH_NOTIFY_ALLOWANCE_MS = 300.0  # for the response with the change and the delay of a node's event loop
WATCH_CYCLE_MS = NOTIFICATION_DEADLINE_MS - WATCH_CONNECT_MS - WATCH_NOTIFY_ALLOWANCE_MS
# The longest backoff after a first failure; reserved regardless of how long the failed request takes.
WATCH_INITIAL_BACKOFF_MS = 500.0
# A watch request fails if its response is later than its wait by more than this.
WATCH_RESPONSE_GRACE_MS = 1000.0
# The longest wait of a watch request.
WATCH_WAIT_MS = WATCH_CYCLE_MS - WATCH_INITIAL_BACKOFF_MS - WATCH_RESPONSE_GRACE_MS
# The longest wait of the first watch request on a connection: shorter, because discovery may accept
# connections and never respond. The time to connect is added to it.
WATCH_FIRST_WAIT_MS = min(1000.0, WATCH_WAIT_MS - WATCH_CONNECT_MS)


class RequestLimits:
    """The time limits of one watch request, in milliseconds.

    Attributes:
        wait_ms: for which discovery may delay a response without changes; 0 for the complete list.
        grace_ms: after the wait, until which the response is not late.
    """

    __slots__ = ("grace_ms", "wait_ms")  # creating a dataclass would take longer than the rest of the import

    def __init__(self, wait_ms: float, grace_ms: float) -> None:
        self.wait_ms = wait_ms
        self.grace_ms = grace_ms


class RequestTiming:
    """The time limits of a node's watch, which accepts late responses in parallel with the next request.

    After a change of address, a discovery server that accepts connections and never responds would be
    detected too late. The first request on a connection therefore has a shorter wait.
    """

    def __init__(self, wait_ms: float) -> None:
        """Limits of a watch whose requests wait this long, in milliseconds."""
        self._wait_ms = wait_ms
        self._slow = False  # whether responses arrive later than the grace period

    def limits(self, *, first: bool) -> RequestLimits:
        """The limits of the next request; `first`: on its connection."""
        wait_ms = min(self._wait_ms, WATCH_FIRST_WAIT_MS) if first else self._wait_ms
        if self._slow:
            # A change within the grace period is noticed only by the next request. If responses are late
            # anyway, the request waits instead until the next one starts.
            return RequestLimits(wait_ms + WATCH_RESPONSE_GRACE_MS, 0.0)
        return RequestLimits(wait_ms, WATCH_RESPONSE_GRACE_MS)

    def observe(self, delay_ms: float, *, unchanged: bool, late: bool) -> None:
        """Update the limits from a response that arrives this long after its request's wait."""
        if late:
            self._slow = not unchanged or delay_ms > WATCH_RESPONSE_GRACE_MS


class RefreshingTiming(RequestTiming):
    """The time limits of a watch whose first request on each connection is for the complete list.

    Each request that is given up costs another complete list. The grace period therefore grows with the
    latency, so that a slow upstream keeps its connection. Trade-off: one that stops responding is detected
    later by its latency.
    """

    def __init__(self, wait_ms: float) -> None:
        """Limits of a watch whose requests wait this long, in milliseconds."""
        super().__init__(wait_ms)
        self._latency_ms = 0.0

    def limits(self, *, first: bool) -> RequestLimits:
        """The limits of the next request; `first`: on its connection."""
        grace_ms = self._latency_ms + WATCH_RESPONSE_GRACE_MS
        if first:
            shortest_ms = min(self._wait_ms, WATCH_FIRST_WAIT_MS) + WATCH_RESPONSE_GRACE_MS
            return RequestLimits(0.0, max(grace_ms, shortest_ms))
        return RequestLimits(self._wait_ms, grace_ms)

    def observe(self, delay_ms: float, *, unchanged: bool, late: bool) -> None:
        """Update the limits from a response that arrives this long after its request's wait."""
        del late
        if unchanged:
            self._latency_ms = min(max(0.0, delay_ms), NOTIFICATION_DEADLINE_MS)
