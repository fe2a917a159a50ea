"""Builders for tests of the policy: service classes, settings, endpoints and a policy with a model clock."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from loadbalancer.actions import Action, Send
from loadbalancer.events import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointState,
    Event,
    IncomingRequest,
    LoadReport,
    MembershipUpdate,
    TimerFired,
    UpdateKind,
)
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.load_estimator import PoolLoad
from loadbalancer.policy.policy import PERIOD_TIMER, LoadBalancingPolicy
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint
from loadbalancer.settings import DeduplicationScope, Idempotency, ServiceClass, Settings


def build_class(name: str, **fields: Any) -> ServiceClass:
    """A service class with an objective of 1 s and a client time-out of 2.5 s; `fields` override them."""
    return ServiceClass(name, **{"latency_objective_ms": 1000, "client_timeout_ms": 2500, **fields})


IDEMPOTENT_READ = build_class("read", priority_weight=12, idempotency=Idempotency.IDEMPOTENT)
NON_IDEMPOTENT_POST = build_class("post")
KEYED_POINTS = build_class(
    "points",
    latency_objective_ms=2000,
    client_timeout_ms=5000,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.ZONE,
    deduplication_window_ms=900,
)


def build_settings(**changes: Any) -> Settings:
    """Settings of a small pool with the three service classes; `changes` replaces single fields."""
    fields: dict[str, Any] = {
        "classes": (IDEMPOTENT_READ, NON_IDEMPOTENT_POST, KEYED_POINTS),
        "zone": "a",
        "replicas": 2,
        "can_cancel": True,
        "max_attempts": 3,
        "slow_start_initial_fraction": 0.2,
        "slow_start_ms": 10000.0,
        "overload_factor": 2.5,
    }
    return Settings(**{**fields, **changes})


def build_endpoints(count: int, **fields: Any) -> tuple[Endpoint, ...]:
    """Endpoints `s0`, `s1` and so on, alternately in zones `a` and `b`."""
    return tuple(Endpoint(name=f"s{index}", zone="ab"[index % 2], **fields) for index in range(count))


def allow_only(endpoints: EndpointSet, *names: str) -> None:
    """Mark these endpoints as ready and all others as draining, as a membership update would."""
    updated = [
        replace(endpoint.listed, state=EndpointState.READY if name in names else EndpointState.DRAINING)
        for name, endpoint in endpoints.by_name.items()
    ]
    endpoints.apply(MembershipUpdate(UpdateKind.DELTA, tuple(updated)))


def sends(actions: list[Action]) -> list[Send]:
    """The attempts that these actions send."""
    return [action for action in actions if isinstance(action, Send)]


def types(actions: list[Action]) -> list[type]:
    """The types of these actions, in order."""
    return [type(action) for action in actions]


@dataclass(frozen=True)
class SubmittedRequest:
    """A request that a policy has received, and the actions that the policy has returned for it."""

    request_id: str
    actions: list[Action]

    @property
    def is_sent(self) -> bool:
        """Whether the policy sends an attempt for it."""
        return bool(sends(self.actions))

    @property
    def endpoint(self) -> str:
        """The endpoint of its only attempt."""
        return self.send.endpoint

    @property
    def send(self) -> Send:
        """Its only attempt."""
        (send,) = sends(self.actions)
        return send


class PolicyHarness:
    """A policy under test, with a model clock and an endpoint list."""

    def __init__(self, endpoint_count: int = 4, seed: int = 7, **changes: Any) -> None:
        self.now_ms = 1000.0  # the model time
        self.policy = LoadBalancingPolicy(build_settings(**changes), seed=seed, now_ms=self.now_ms)
        self._submitted = 0
        self.list_endpoints(*build_endpoints(endpoint_count), kind=UpdateKind.CACHED)

    def handle(self, event: Event) -> list[Action]:
        """Give the policy an event at the current time."""
        return self.policy.handle(self.now_ms, event)

    def advance(self, duration_ms: float) -> None:
        """Advance the time without an event."""
        self.now_ms += duration_ms

    def list_endpoints(self, *endpoints: Endpoint, kind: UpdateKind = UpdateKind.COMPLETE) -> list[Action]:
        """Give the policy a membership update with these endpoints."""
        return self.handle(MembershipUpdate(kind, endpoints))

    def submit(
        self, service_class: str = "read", remaining_ms: float = 2000.0, **fields: Any
    ) -> SubmittedRequest:
        """Give the policy a new request."""
        self._submitted += 1
        request_id = f"r{self._submitted}"
        deadline_ms = self.now_ms + remaining_ms
        request = IncomingRequest(request_id, service_class, deadline_ms, **fields)
        return SubmittedRequest(request_id, self.handle(request))

    def finish(
        self,
        request: SubmittedRequest,
        result: AttemptResult,
        latency_ms: float = 100.0,
        attempt: int = 0,
        *,
        endpoint: str | None = None,
        **fields: Any,
    ) -> list[Action]:
        """Give the policy the outcome of an attempt, by default of the only one at its endpoint.

        By default a success ends the request, and no other result does.
        """
        return self.handle(
            AttemptOutcome(
                request.request_id,
                attempt,
                request.endpoint if endpoint is None else endpoint,
                result,
                latency_ms,
                fields.pop("done", result is AttemptResult.OK),
                **fields,
            )
        )

    def serve(self, service_class: str = "read", latency_ms: float = 100.0, **fields: Any) -> str:
        """Submit a request that succeeds after a latency; returns its endpoint."""
        request = self.submit(service_class)
        self.advance(latency_ms)
        self.finish(request, AttemptResult.OK, latency_ms, **fields)
        return request.endpoint

    def serve_period(self, count: int, latency_ms: float = 100.0, **fields: Any) -> None:
        """Serve requests one after the other, and end the period."""
        for _ in range(count):
            self.serve(latency_ms=latency_ms, **fields)
        self.end_period()

    def end_period(self, after_ms: float | None = None) -> list[Action]:
        """Fire the period's timer after its delay, or after another time."""
        self.advance(self.policy.period_ms if after_ms is None else after_ms)
        return self.handle(TimerFired(PERIOD_TIMER))

    def end_loaded_period(self, latency_ms: float, count: int = 30) -> None:
        """Submit requests, of which those that are sent succeed at once with this latency; end the period."""
        for _ in range(count):
            request = self.submit()
            if request.is_sent:
                self.finish(request, AttemptResult.OK, latency_ms)
        self.end_period()

    def report_load(self, endpoint: str, **values: float) -> None:
        """Give the policy a load report of an endpoint."""
        self.policy.endpoints.observe_load_report(self.now_ms, endpoint, LoadReport(**values))

    def tracked(self, name: str) -> TrackedEndpoint:
        """The policy's state of an endpoint."""
        return self.policy.endpoints.by_name[name]

    @property
    def cursor(self) -> int:
        """The position of the policy's cursor."""
        return self.policy.cursor

    def move_cursor_to(self, position: int) -> None:
        """Move the cursor to this position, by as many periods with a high or low load as that takes."""
        while self.cursor != position:
            target_ratio = 2.0 if self.cursor < position else 0.5
            self.policy.admission.move_cursor(PoolLoad(target_ratio, 0, 0.0, latency_saturated=True))
