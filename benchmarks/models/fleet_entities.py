"""The entities of the simulated fleet: backends, clients, requests and attempts."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from benchmarks.models.fleet_scenario import (
    AVERAGE_WORK_MS,
    BACKEND_CORES,
    CONGESTION_SLOWDOWN,
    CONGESTION_THRESHOLD,
    OVERLOAD_WINDOW_MS,
    SLOW_START_INITIAL_FRACTION,
    SLOW_START_MS,
)
from loadbalancer.events import AttemptResult, Endpoint, EndpointState, LoadReport


class FinalOutcome(Enum):
    """The outcome of a request by its node's final response."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class BackendArrival:
    """The arrival of an attempt at a backend."""

    at_ms: float
    work: float  # in requests of average work
    sender_notified: bool  # whether its node has already been notified of the backends in slow start


@dataclass(slots=True, eq=False)
class SimulatedBackend:
    """A backend: its cores, its queue and the attempts that have reached it."""

    address: str
    core_speed: float
    started_ms: float | None = None  # None: already warmed up at the start of the run
    up: bool = True
    slowdown: float = 1.0  # factor by which it is slower than other backends of its kind
    busy_cores: int = 0
    queue: deque[SimulatedAttempt] = field(default_factory=deque)
    incarnation: int = 0
    reported_ms: float = -math.inf  # time of the last count of attempts in flight for a load report
    reported_in_flight: int = 0
    arrivals: list[BackendArrival] = field(default_factory=list)

    @property
    def in_flight(self) -> int:
        """The number of attempts in progress or in the queue."""
        return self.busy_cores + len(self.queue)

    def capacity_fraction(self, now_ms: float) -> float:
        """Return the current capacity as a fraction of the capacity when warmed up."""
        if self.started_ms is None:
            return 1.0
        elapsed_ms = max(0.0, now_ms - self.started_ms)
        gained = (1.0 - SLOW_START_INITIAL_FRACTION) * elapsed_ms / SLOW_START_MS
        return min(1.0, SLOW_START_INITIAL_FRACTION + gained)

    def speed(self, now_ms: float) -> float:
        """Return the current speed of a core, with slow start and congestion."""
        congestion = max(0.0, self.in_flight / BACKEND_CORES / CONGESTION_THRESHOLD - 1.0)
        slowdown = 1.0 + CONGESTION_SLOWDOWN * congestion
        return self.core_speed * self.capacity_fraction(now_ms) / self.slowdown / slowdown

    def window_capacity(self, end_ms: float) -> float:
        """Return the requests of average work that fit into the overload window that ends at `end_ms`.

        The capacity is that at the window's midpoint, or at the backend's start if that is later.
        """
        centre_ms = max(end_ms - OVERLOAD_WINDOW_MS / 2.0, self.started_ms or 0.0)
        speed = BACKEND_CORES * self.core_speed * self.capacity_fraction(centre_ms)
        return speed * OVERLOAD_WINDOW_MS / AVERAGE_WORK_MS

    def stop(self) -> None:
        """End the backend and drop all work in progress."""
        self.up = False
        self.busy_cores = 0
        self.incarnation += 1
        self.queue.clear()

    def endpoint(self, state: EndpointState = EndpointState.READY) -> Endpoint:
        """Return the backend's entry in the endpoint list."""
        return Endpoint(self.address, started_ms=self.started_ms, capacity=self.core_speed, state=state)


@dataclass(slots=True, eq=False)
class SimulatedClient:
    """A client with one request, which it may send several times."""

    service_class: str
    created_ms: float
    work_ms: float  # on a standard core
    attempts: int = 0
    last_outcome: FinalOutcome | None = None
    served_ms: float = math.inf  # time of the first response that serves the request
    counted: bool = True  # in the metrics
    always_fails: bool = False  # at the faulty tier of a chain, at every backend

    def served_in_time(self, latency_objective_ms: float) -> bool:
        """Return whether the client is served within its latency objective."""
        return self.served_ms - self.created_ms <= latency_objective_ms

    def record_outcome(self, outcome: FinalOutcome, now_ms: float) -> None:
        """Record the final response to the client's request."""
        self.last_outcome = outcome
        if outcome is FinalOutcome.SERVED:
            self.served_ms = min(self.served_ms, now_ms)


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The result of an attempt, and whether it ends the request."""

    result: AttemptResult
    done: bool  # whether the request has its final response
    load_report: LoadReport | None = None  # of the response


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A client's request to a node, and the node's attempts for it."""

    request_id: str
    client: SimulatedClient
    deadline_ms: float
    on_final_response: Callable[[SimulatedRequest, FinalOutcome], None]
    attempts: list[SimulatedAttempt] = field(default_factory=list)

    def finish(self, outcome: FinalOutcome) -> None:
        """Deliver the node's final response."""
        self.on_final_response(self, outcome)


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """One attempt of a node at one backend."""

    node: AttemptOwner
    request: SimulatedRequest
    number: int
    backend: SimulatedBackend
    sent_ms: float
    timeout_ms: float
    pending: bool = True  # no outcome yet

    @property
    def client(self) -> SimulatedClient:
        """The client whose request the attempt serves."""
        return self.request.client

    @property
    def deadline_ms(self) -> float:
        """The time at which the attempt times out."""
        return self.sent_ms + self.timeout_ms


class AttemptOwner(Protocol):
    """The interface of a node for its attempts."""

    number: int
    notified: bool  # whether it has been notified of the backends in slow start

    def end_attempt(self, attempt: SimulatedAttempt, end: AttemptEnd) -> None:
        """Pass an attempt's outcome to the node's policy, unless the attempt has already ended."""
        ...
