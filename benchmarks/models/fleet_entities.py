"""What the simulated fleet consists of: backends, clients and attempts."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

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
    """How a node has answered a request."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class BackendArrival:
    """A request that has come to a backend."""

    at_ms: float
    work: float  # in requests of average work
    sender_notified: bool  # whether its node knew of the backends in slow start


@dataclass(slots=True, eq=False)
class SimulatedBackend:
    """A backend: its cores, its queue and what has come to it."""

    address: str
    core_speed: float
    started_ms: float | None = None  # None: warmed up since long ago
    up: bool = True
    slowdown: float = 1.0  # by which it is slower than its kind
    busy_cores: int = 0
    queue: deque[SimulatedAttempt] = field(default_factory=deque)
    incarnation: int = 0
    reported_ms: float = -math.inf  # when it last counted what it reports
    reported_in_flight: int = 0
    arrivals: list[BackendArrival] = field(default_factory=list)

    @property
    def in_flight(self) -> int:
        """Requests that it works on or queues."""
        return self.busy_cores + len(self.queue)

    def capacity_fraction(self, now_ms: float) -> float:
        """Return its present capacity as a fraction of that when warmed up."""
        if self.started_ms is None:
            return 1.0
        warming_ms = max(0.0, now_ms - self.started_ms)
        gained = (1.0 - SLOW_START_INITIAL_FRACTION) * warming_ms / SLOW_START_MS
        return min(1.0, SLOW_START_INITIAL_FRACTION + gained)

    def speed(self, now_ms: float) -> float:
        """Return the present speed of a core, with slow start and congestion."""
        congestion = max(0.0, self.in_flight / BACKEND_CORES / CONGESTION_THRESHOLD - 1.0)
        slowdown = 1.0 + CONGESTION_SLOWDOWN * congestion
        return self.core_speed * self.capacity_fraction(now_ms) / self.slowdown / slowdown

    def window_capacity(self, end_ms: float) -> float:
        """Return the requests of average work that it can do in the overload window that ends then.

        Its capacity is that in the window's centre.
        """
        centre_ms = max(end_ms - OVERLOAD_WINDOW_MS / 2.0, self.started_ms or 0.0)
        speed = BACKEND_CORES * self.core_speed * self.capacity_fraction(centre_ms)
        return speed * OVERLOAD_WINDOW_MS / AVERAGE_WORK_MS

    def stop(self) -> None:
        """End, with all work in progress."""
        self.up = False
        self.busy_cores = 0
        self.incarnation += 1
        self.queue.clear()

    def endpoint(self, state: EndpointState = EndpointState.READY) -> Endpoint:
        """Return its entry in the endpoint list."""
        return Endpoint(self.address, started_ms=self.started_ms, capacity=self.core_speed, state=state)


@dataclass(slots=True, eq=False)
class SimulatedClient:
    """A client with one request, which it may attempt several times."""

    service_class: str
    created_ms: float
    work_ms: float  # on a standard core
    attempts: int = 0
    last_outcome: FinalOutcome | None = None
    served_ms: float = math.inf  # when it was first served
    counted: bool = True  # in the metrics
    always_fails: bool = False  # at the faulty tier of a chain, whatever backend gets it

    def served_in_time(self, latency_ms: float) -> bool:
        """Return whether it was served within so long."""
        return self.served_ms - self.created_ms <= latency_ms


@dataclass(slots=True, eq=False)
class SimulatedAttempt:
    """One attempt of a node at one backend."""

    node: int
    request_id: str
    number: int
    backend: SimulatedBackend
    sent_ms: float
    timeout_ms: float
    client: SimulatedClient
    pending: bool = True  # no outcome yet

    @property
    def deadline_ms(self) -> float:
        """When its node gives it up."""
        return self.sent_ms + self.timeout_ms


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ends."""

    result: AttemptResult
    done: bool  # whether the request has its final answer
    load_report: LoadReport | None = None  # that came with the response


@dataclass(slots=True, eq=False)
class SimulatedRequest:
    """A client's request at a node, and the node's attempts for it."""

    client: SimulatedClient
    attempts: list[SimulatedAttempt] = field(default_factory=list)
