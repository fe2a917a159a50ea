"""The backoff after a failed watch or poll of the endpoint list."""

from __future__ import annotations

import math
from random import Random

from loadbalancer.discovery.watch_timing import WATCH_CYCLE_MS, WATCH_INITIAL_BACKOFF_MS
from loadbalancer.events import UpdateKind
from loadbalancer.policy.parameters import MAX_BACKOFF_DOUBLINGS, MIN_BACKOFF_JITTER

# After the first refusal of discovery, for which refusals don't make the backoff longer.
REFUSAL_GRACE_MS = 3000.0


class DiscoveryBackoff:
    """Exponential backoff with jitter between watch requests, limited to the watch cycle."""

    def __init__(self, random: Random, now_ms: float) -> None:
        self._random = random
        self._consecutive_failures = 0
        self._refused_since_ms = math.inf  # the first refusal since the last list
        self._last_request_event_ms = now_ms  # latest start, success or failure of a watch request

    def start_request(self, now_ms: float) -> None:
        """Record that a watch request starts."""
        self._last_request_event_ms = now_ms

    def observe_success(self, now_ms: float, kind: UpdateKind) -> None:
        """Record that a list arrived; the duration of the next request counts from here or from its start.

        A cached list comes from the configuration, so it does not end a series of failures.
        """
        self._last_request_event_ms = now_ms
        if kind is not UpdateKind.CACHED:
            self._consecutive_failures = 0
            self._refused_since_ms = math.inf

    def observe_failure(self, now_ms: float) -> float:
        """Record that discovery did not respond; returns the time until the next request, in milliseconds."""
        return self._backoff_ms(now_ms)

    def observe_refusal(self, now_ms: float) -> float:
        """Record that discovery refused a request; returns the time until the next one, in milliseconds."""
        # After an outage, discovery may refuse some requests before it responds. The backoff of the outage
        # would then delay a change for several times its maximum. A refusal shows that discovery can be
        # reached, and starts the backoff again. Trade-off: a few more requests to a discovery that is busy.
        self._refused_since_ms = min(self._refused_since_ms, now_ms)
        if now_ms - self._refused_since_ms < REFUSAL_GRACE_MS:
            self._consecutive_failures = 0
        return self._backoff_ms(now_ms)

    def _backoff_ms(self, now_ms: float) -> float:
        request_ms = now_ms - self._last_request_event_ms
        self._last_request_event_ms = now_ms
        self._consecutive_failures += 1
        # A full backoff after a long request without a response would delay a change by more than 6 s after
        # discovery is available again. The backoff is limited to the remainder of the watch cycle after the
        # request. Trade-off: discovery gets more requests after slow failures.
        remaining_ms = WATCH_CYCLE_MS - max(WATCH_INITIAL_BACKOFF_MS, request_ms)
        # Without a limit on the doublings, the backoff would overflow after 1,024 failures, and raise.
        doublings = min(MAX_BACKOFF_DOUBLINGS, self._consecutive_failures - 1)
        backoff_ms = min(WATCH_INITIAL_BACKOFF_MS * 2.0**doublings, remaining_ms)
        return max(WATCH_INITIAL_BACKOFF_MS, backoff_ms) * self._random.uniform(MIN_BACKOFF_JITTER, 1.0)
