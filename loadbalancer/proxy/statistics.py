"""Counters and gauges of the proxy, logged every few seconds as one line of names and values."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from loadbalancer.events import UpdateKind
from loadbalancer.proxy.process_memory import read_process_memory

logger = logging.getLogger(__name__)

LOG_INTERVAL_S = 10.0
LAG_CHECK_INTERVAL_S = 0.1


class Statistics:
    """Counters since the last statistics line in the log.

    Attributes:
        requests_received: complete requests, including those that are not passed to the policy.
        requests_over_limit: requests that get 503 because too many requests or connections are open.
        refused_requests: those of them, by the value of their `RefusalReason`.
        closed_connections: connections that the proxy decides to close, by the value of their `CloseReason`.
        bad_requests: requests that are refused as invalid, by status.
        responses: final responses to requests that are passed to the policy, by status.
        attempts: ended attempts, by the value of their result.
        client_disconnects: requests whose client disconnects before the final response.
        unread_client_disconnects: those of them that are detected only right before an attempt is sent.
        missed_deadlines: requests that the proxy ends itself because the policy has not done so in time.
        policy_faults: events on which the policy raises an exception.
        event_loop_errors: exceptions that a callback of the event loop does not handle.
        endpoint_lists: updates from the watch, by kind.
        event_loop_lag_s: the longest delay of a timer by the event loop.
    """

    __slots__ = (
        "attempts",
        "bad_requests",
        "client_disconnects",
        "closed_connections",
        "endpoint_lists",
        "event_loop_errors",
        "event_loop_lag_s",
        "missed_deadlines",
        "policy_faults",
        "refused_requests",
        "requests_over_limit",
        "requests_received",
        "responses",
        "unread_client_disconnects",
    )

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Set all counters to zero."""
        self.requests_received = 0
        self.requests_over_limit = 0
        self.refused_requests: Counter[str] = Counter()
        self.closed_connections: Counter[str] = Counter()
        self.bad_requests: Counter[int] = Counter()
        self.responses: Counter[int] = Counter()
        self.attempts: Counter[str] = Counter()
        self.client_disconnects = 0
        self.unread_client_disconnects = 0
        self.missed_deadlines = 0
        self.policy_faults = 0
        self.event_loop_errors = 0
        self.endpoint_lists: Counter[UpdateKind] = Counter()
        self.event_loop_lag_s = 0.0

    def fields(self) -> dict[str, int]:
        """Each counter by its name in the log; those by status, result or kind only if not zero."""
        return {
            "requests_received": self.requests_received,
            "requests_over_limit": self.requests_over_limit,
            "client_disconnects": self.client_disconnects,
            "unread_client_disconnects": self.unread_client_disconnects,
            "missed_deadlines": self.missed_deadlines,
            "policy_faults": self.policy_faults,
            "event_loop_errors": self.event_loop_errors,
            **{f"refused_{reason}": count for reason, count in sorted(self.refused_requests.items())},
            **{f"closed_{reason}": count for reason, count in sorted(self.closed_connections.items())},
            **{f"bad_requests_{status}": count for status, count in sorted(self.bad_requests.items())},
            **{f"responses_{status}": count for status, count in sorted(self.responses.items())},
            **{f"attempts_{result}": count for result, count in sorted(self.attempts.items())},
            **{f"endpoint_lists_{kind.name.lower()}": count for kind, count in self.endpoint_lists.items()},
            "event_loop_lag_ms": round(self.event_loop_lag_s * 1000.0),
        }


class Gauges(NamedTuple):
    """Current values, read when a statistics line is logged.

    Attributes:
        open_requests: requests without a final response.
        cursor: the position of the policy's cursor; 0 admits the most.
        downstream_connections: open connections from clients.
        upstream_connections: connections to endpoints that are open or being established.
        buffered_bytes: bytes of requests and responses that connections hold in the process.
        peak_buffered_bytes: the most of them since the last statistics line.
    """

    open_requests: int
    cursor: int
    downstream_connections: int
    upstream_connections: int
    buffered_bytes: int = 0
    peak_buffered_bytes: int = 0

    def fields(self) -> dict[str, int]:
        """Each gauge by its name in the log."""
        return {
            "open_requests": self.open_requests,
            "cursor": self.cursor,
            "downstream_connections": self.downstream_connections,
            "upstream_connections": self.upstream_connections,
            "buffered_bytes": self.buffered_bytes,
            "peak_buffered_bytes": self.peak_buffered_bytes,
        }


class StatisticsLog:
    """Logs the counters and the gauges every `LOG_INTERVAL_S`, and then resets the counters."""

    def __init__(self, name: str, statistics: Statistics, gauges: Callable[[], Gauges]) -> None:
        self._name = name
        self._statistics = statistics
        self._gauges = gauges
        self._loop = asyncio.get_running_loop()
        self._lag_timer: asyncio.TimerHandle | None = None
        self._log_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Log the first line now, and start the timers."""
        self._check_lag(self._loop.time())
        self._log_statistics()

    def close(self) -> None:
        """Stop logging."""
        for timer in (self._lag_timer, self._log_timer):
            if timer is not None:
                timer.cancel()

    def _check_lag(self, scheduled_s: float) -> None:
        """Measure how late the event loop runs a timer."""
        now_s = self._loop.time()
        self._statistics.event_loop_lag_s = max(self._statistics.event_loop_lag_s, now_s - scheduled_s)
        next_s = now_s + LAG_CHECK_INTERVAL_S
        self._lag_timer = self._loop.call_at(next_s, self._check_lag, next_s)

    def _log_statistics(self) -> None:
        self._log_timer = self._loop.call_later(LOG_INTERVAL_S, self._log_statistics)
        # The memory is first, so that a line that a log collector cuts still has it.
        fields = read_process_memory().fields() | self._statistics.fields() | self._gauges().fields()
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        logger.info("statistics name=%s %s", self._name, values)
        self._statistics.reset()
