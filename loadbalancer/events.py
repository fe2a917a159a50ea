"""Events that the host, the proxy or the simulator adapter, delivers to the policy.

Times are milliseconds on one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # a response that reports an error
    REJECTED = "rejected"  # the endpoint declined the request without executing it
    TIMEOUT = "timeout"  # no complete response within the time-out
    CONNECT_FAILED = "connect_failed"  # the connection failed before the request was sent completely
    RESET = "reset"  # the connection was lost after the request was sent
    CANCELLED = "cancelled"  # stopped after the request was sent
    NOT_SENT = "not_sent"  # dropped before anything was sent

    @property
    def not_processed(self) -> bool:
        """Whether the endpoint certainly did not start to execute the request, so that a retry is safe."""
        return self in (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)

    @property
    def measures_latency(self) -> bool:
        """Whether the latency of the attempt measures the speed of the endpoint; an error can be fast."""
        return self is AttemptResult.OK or self is AttemptResult.TIMEOUT


class EndpointState(Enum):
    """State of an endpoint in the endpoint list; only a ready one gets new attempts."""

    READY = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class UpdateKind(Enum):
    """What a membership update contains."""

    DELTA = "delta"  # the endpoints that have changed
    COMPLETE = "full"  # the whole endpoint list
    CACHED = "cached"  # an endpoint list from an earlier time, in force until discovery responds
    UNAVAILABLE = "failed"  # the watch or poll has failed; no endpoints
    REFUSED = "refused"  # the same, but discovery has responded, with an error status

    @property
    def failed(self) -> bool:
        """Whether there is no list in the update."""
        return self in (UpdateKind.UNAVAILABLE, UpdateKind.REFUSED)


@dataclass(slots=True)
class Endpoint:
    """One server process in the endpoint list."""

    name: str
    zone: str = ""
    cell: int = 0  # a group of endpoints within the zone
    state: EndpointState = EndpointState.READY
    started_ms: float | None = None  # start of the process; None: long ago, counts as warmed up
    capacity: float = 1.0  # relative to the other endpoints; ignored unless `Settings.uses_capacity`


@dataclass(slots=True)
class LoadReport:
    """The load that an endpoint reports of itself; a value that it does not report is None."""

    in_flight: float | None = None  # requests in flight at the endpoint, from all replicas
    queue: float | None = None  # requests that wait at the endpoint
    utilisation: float | None = None  # fraction of its capacity in use; 1: at capacity

    @classmethod
    def from_values(cls, values: Mapping[str, float]) -> LoadReport | None:
        """Make a report of values named as in `Settings.load_report_fields`; None if there are none.

        Values that the policy does not use are dropped.
        """
        if not values:
            return None
        return cls(values.get("inflight"), values.get("queue"), values.get("util"))


@dataclass(slots=True)
class MembershipUpdate:
    """A change of the endpoint list, or a failed watch."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()  # listed, changed or removed


@dataclass(slots=True)
class IncomingRequest:
    """A client's request, which gets one final response."""

    request_id: str
    service_class: str  # its name
    deadline_ms: float  # time by which the client needs the final response
    tenant: str | None = None  # its name; None: no quota applies
    cost_hint_ms: float | None = None  # processing time that the client expects
    is_retry: bool = False  # the client marked it as a repeat of an earlier request


@dataclass(slots=True)
class ResponseStarted:
    """A streamed response has begun; only this attempt may respond to the request from now on."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class AttemptOutcome:
    """An attempt has ended. Each attempt sent has exactly one outcome, also a cancelled one."""

    request_id: str
    attempt: int
    endpoint: str  # its name
    result: AttemptResult
    latency_ms: float  # from the `Send` to the end of the attempt
    done: bool  # whether the request has its final response, from this attempt or an earlier one
    load_report: LoadReport | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected or timed out; it takes no response, so none is sent."""

    request_id: str


@dataclass(slots=True)
class ShutdownStarted:
    """Graceful shutdown starts: no attempt is sent from now on; requests end as their attempts end."""


@dataclass(slots=True)
class TimerFired:
    """A timer that the policy started with `StartTimer` has expired."""

    name: str  # of the timer


@dataclass(slots=True)
class HealthChecked:
    """A health check of an endpoint has ended."""

    endpoint: str  # its name
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
