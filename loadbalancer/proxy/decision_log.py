"""Counts and logs why connections are closed and requests refused before the policy decides on them."""

from __future__ import annotations

import asyncio
import logging
from enum import Enum

from loadbalancer.http.close_reason import CloseReason
from loadbalancer.http.connection_registry import RegisteredConnection
from loadbalancer.http.request import HttpRequest
from loadbalancer.proxy.request_parsing import ID_HEADER, REQUEST_ID
from loadbalancer.proxy.statistics import LOG_INTERVAL_S, Statistics

logger = logging.getLogger(__name__)

LINES_PER_REASON = 3  # in each interval of the statistics; the counters have the total


class RefusalReason(Enum):
    """Why a valid request gets 503 before the policy decides on it."""

    OPEN_REQUESTS = "open_requests"  # too many are open
    MEMORY = "memory"  # connections hold too many bytes together
    CONNECTIONS = "connections"  # over the limit, and none can be evicted


class DecisionLog:
    """Counts every decision, and logs the first ones of each reason in each interval of the statistics."""

    def __init__(self, name: str, statistics: Statistics) -> None:
        self._name = name
        self._statistics = statistics
        self._loop = asyncio.get_running_loop()
        self._lines: dict[str, int] = {}  # in the current interval, by reason
        self._interval_ends_s = 0.0

    def record_close(self, connection: RegisteredConnection, reason: CloseReason) -> None:
        """Record that the proxy closes a client's connection."""
        self._statistics.closed_connections[reason.value] += 1
        if self._may_log(f"close {reason.value}"):
            logger.info(
                "connection closed name=%s reason=%s client=%s open_requests=%d buffered_bytes=%d",
                self._name,
                reason.value,
                connection.peer,
                connection.open_request_count,
                connection.buffered_bytes,
            )

    def record_refusal(self, request: HttpRequest, reason: RefusalReason) -> None:
        """Record that a valid request gets 503 before the policy decides on it."""
        self._statistics.requests_over_limit += 1
        self._statistics.refused_requests[reason.value] += 1
        self._log_request(request, reason.value)

    def record_bad_request(self, request: HttpRequest, status: int, field: str) -> None:
        """Record a request that is invalid; `field` is the part at fault."""
        self._statistics.bad_requests[status] += 1
        self._log_request(request, f"invalid {field}")

    def _log_request(self, request: HttpRequest, reason: str) -> None:
        if self._may_log(reason):
            request_id = request.headers.get(ID_HEADER, b"").decode("latin-1")
            logger.info(
                "request refused name=%s id=%s reason=%s",
                self._name,
                request_id if REQUEST_ID.fullmatch(request_id) else "",  # others could forge log lines
                reason,
            )

    def _may_log(self, reason: str) -> bool:
        """Count a line of this reason; return whether the interval allows one more."""
        now_s = self._loop.time()
        if now_s >= self._interval_ends_s:
            self._interval_ends_s = now_s + LOG_INTERVAL_S
            self._lines.clear()
        self._lines[reason] = self._lines.get(reason, 0) + 1
        return self._lines[reason] <= LINES_PER_REASON
