"""Events that the policy takes.

Times are milliseconds on one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    REJECTED = "rejected"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"

    @property
    def not_processed(self) -> bool:
        """Whether the result proves that the endpoint did not start to execute the request."""
        return self in (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)

    @property
    def measures_latency(self) -> bool:
        """Whether the attempt's latency measures the endpoint's speed; that of a fast error does not."""
        return self is AttemptResult.OK or self is AttemptResult.TIMEOUT


class EndpointState(Enum):
    """Whether an endpoint may get new attempts: only a ready one may."""

    READY = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class UpdateKind(Enum):
    """The kind of a membership update: changes, a complete list, a cached list, or a failed watch."""

    DELTA = "delta"
    COMPLETE = "full"
    CACHED = "cached"
    UNAVAILABLE = "failed"


@dataclass(slots=True)
class Endpoint:
    """One process in the endpoint list."""

    name: str
    zone: str = ""
    cell: int = 0
    state: EndpointState = EndpointState.READY
    started_ms: float | None = None  # None: so long ago that it has warmed up
    capacity: float = 1.0  # relative to the other endpoints, where `Settings.uses_capacity` is set


@dataclass(slots=True)
class LoadReport:
    """An endpoint's report of its own load; None for a value that it does not report."""

    in_flight: float | None = None  # requests, from all replicas
    queue: float | None = None  # requests that wait there
    utilisation: float | None = None  # 1: at capacity

    @classmethod
    def from_values(cls, values: Mapping[str, float]) -> LoadReport | None:
        """The report with these values, named as in `Settings.load_report_fields`; None without values.

        Values that the policy does not use are left out.
        """
        if not values:
            return None
        return cls(values.get("inflight"), values.get("queue"), values.get("util"))


@dataclass(slots=True)
class MembershipUpdate:
    """Endpoints that were listed, changed or removed; empty if the watch failed."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)
class IncomingRequest:
    """A client's request, which gets one final response."""

    request_id: str
    service_class: str  # by name
    deadline_ms: float
    tenant: str | None = None
    cost_hint_ms: float | None = None
    is_retry: bool = False


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has begun: no other attempt may respond to the request any more."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class AttemptOutcome:
    """An attempt has ended; each attempt sent has exactly one outcome, also if it was cancelled."""

    request_id: str
    attempt: int
    endpoint: str  # by name
    result: AttemptResult
    latency_ms: float
    done: bool  # the request has its final response, from this attempt or an earlier one
    load_report: LoadReport | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected or timed out; no final response is due any more."""

    request_id: str


@dataclass(slots=True)
class ShutdownStarted:
    """Graceful shutdown starts: no more attempts, and requests get their final response as attempts end."""


@dataclass(slots=True)
class TimerFired:
    """A timer that the policy started has expired."""

    name: str


@dataclass(slots=True)
class HealthChecked:
    """A health check of an endpoint has ended."""

    endpoint: str  # by name
    result: AttemptResult
    latency_ms: float
    load_report: LoadReport | None = None


Event = (
    MembershipUpdate
    | IncomingRequest
    | ResponseStarted
    | AttemptOutcome
    | ClientDisconnected
    | ShutdownStarted
    | TimerFired
    | HealthChecked
)
