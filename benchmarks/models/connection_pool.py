"""A simulated fleet with its nodes' connections: how many they open and hold by the connection pool's rules.

The connections cost no time here, so several idle timeouts can be counted in one run: each is a way of
counting the same attempts.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

from benchmarks.models.event_queue import EventQueue
from benchmarks.models.fleet_entities import AttemptEnd, SimulatedAttempt
from benchmarks.models.fleet_metrics import LAST_REQUESTS_MS, fraction_served_in_time
from benchmarks.models.fleet_scenario import Scenario
from benchmarks.models.fleet_simulation import FleetSimulation
from loadbalancer.actions import Send
from loadbalancer.events import AttemptResult
from loadbalancer.proxy.connection_pool import IDLE_TIMEOUT_FRACTION, REUSE_DELAY_S

RESULTS_WITH_RESPONSE = (  # after which a connection may be used again
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
)
SWEEPS_PER_IDLE_TIMEOUT = 4
SAMPLE_INTERVAL_MS = 125.0
SETTLED_MS = 3000.0  # from which the load's spread is counted
MILLISECONDS_PER_S = 1000.0
BEFORE_START_MS = 0.01  # before the slow start, at which the counts end
BEFORE_FIRST_SAMPLE_MS = 0.1  # before the first sample, at which the counts begin


class ModelledConnectionPool:
    """One node's connections, without a limit."""

    def __init__(self, queue: EventQueue, backend_idle_timeout_s: float) -> None:
        """Make an empty pool.

        Args:
            queue: The event queue of the simulation.
            backend_idle_timeout_s: When a backend closes an idle connection; the pool closes it earlier.
        """
        self.opened = 0
        self.reused = 0
        self.idle_since_ms: dict[str, list[float]] = {}  # by backend, an item a connection, newest last
        self.connections: Counter[str] = Counter()  # by backend, in use and idle
        self.sweep_scheduled = False
        self._queue = queue
        self._idle_timeout_ms = backend_idle_timeout_s * IDLE_TIMEOUT_FRACTION * MILLISECONDS_PER_S
        self._incarnations: Counter[str] = Counter()  # of each backend

    def acquire(self, backend: str) -> int:
        """Use a connection for an attempt: the newest idle one whose idle period is over, else a new one.

        Returns:
            The backend's incarnation, which `release` takes.
        """
        idle_since_ms = self.idle_since_ms.get(backend, [])
        for index in reversed(range(len(idle_since_ms))):
            idle_ms = self._queue.now_ms - idle_since_ms[index]
            if idle_ms < REUSE_DELAY_S * MILLISECONDS_PER_S:
                continue
            del idle_since_ms[index]
            if idle_ms < self._idle_timeout_ms:
                self.reused += 1
                return self._incarnations[backend]
            self.connections[backend] -= 1
        self.opened += 1
        self.connections[backend] += 1
        return self._incarnations[backend]

    def release(self, backend: str, incarnation: int, *, reusable: bool) -> None:
        """End the use of a connection: it is idle from now on, or closed."""
        if incarnation != self._incarnations[backend]:
            return
        if not reusable:
            self.connections[backend] -= 1
            return
        self.idle_since_ms.setdefault(backend, []).append(self._queue.now_ms)
        self._schedule_sweep()

    def drop_backend(self, backend: str) -> None:
        """Lose all connections to a backend that has ended."""
        self.idle_since_ms.pop(backend, None)
        self.connections.pop(backend, None)
        self._incarnations[backend] += 1

    def _schedule_sweep(self) -> None:
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self._queue.schedule(self._idle_timeout_ms / SWEEPS_PER_IDLE_TIMEOUT, self._sweep)

    def _sweep(self) -> None:
        self.sweep_scheduled = False
        oldest_reusable_ms = self._queue.now_ms - self._idle_timeout_ms
        for backend, idle_since_ms in list(self.idle_since_ms.items()):
            while idle_since_ms and idle_since_ms[0] < oldest_reusable_ms:
                idle_since_ms.pop(0)
                self.connections[backend] -= 1
            if not idle_since_ms:
                del self.idle_since_ms[backend]
        if self.idle_since_ms:
            self._schedule_sweep()


@dataclass
class PoolUsage:
    """Connections by one idle timeout, between two sweeps before the slow start."""

    opened: int = 0
    clients: int = 0  # that came meanwhile
    samples: list[int] = field(default_factory=list)  # connections of all nodes together, regularly
    by_node: list[int] = field(default_factory=list)  # connections at the end
    by_backend: Counter[str] = field(default_factory=Counter)  # connections at the end


@dataclass(frozen=True, slots=True)
class LoadSpread:
    """How evenly the backends are loaded: requests by capacity."""

    variation: float  # coefficient of variation
    chance_variation: float  # that of independent draws in proportion to capacity
    max_over_mean: float


class PooledFleetSimulation(FleetSimulation):
    """The fleet, each node with a connection pool for each of several idle timeouts of the backends."""

    def __init__(self, scenario: Scenario, seed: int, backend_idle_timeouts_s: Sequence[float]) -> None:
        """Prepare a run; see `FleetSimulation`."""
        super().__init__(scenario, seed)
        self.pools = {
            timeout_s: [ModelledConnectionPool(self.queue, timeout_s) for _ in range(scenario.nodes)]
            for timeout_s in backend_idle_timeouts_s
        }
        self.usage = {timeout_s: PoolUsage() for timeout_s in backend_idle_timeouts_s}
        # By request and attempt number: the backend's incarnation at each pool.
        self._incarnations: dict[tuple[str, int], list[int]] = defaultdict(list)
        self._settled_requests: Counter[str] = Counter()  # by backend, from SETTLED_MS to the slow start
        for timeout_s in backend_idle_timeouts_s:
            self._schedule_counts(timeout_s)
        self.schedule(scenario.start_ms - BEFORE_START_MS, self._count_requests)

    def _schedule_counts(self, timeout_s: float) -> None:
        start_ms = self.scenario.start_ms
        sweep_interval_ms = timeout_s * IDLE_TIMEOUT_FRACTION * MILLISECONDS_PER_S / SWEEPS_PER_IDLE_TIMEOUT
        first_sample_ms = start_ms - sweep_interval_ms
        self.schedule(first_sample_ms - BEFORE_FIRST_SAMPLE_MS, self._begin_counts, timeout_s)
        for index in range(round(sweep_interval_ms / SAMPLE_INTERVAL_MS)):
            self.schedule(first_sample_ms + index * SAMPLE_INTERVAL_MS, self._sample, timeout_s)
        self.schedule(start_ms - BEFORE_START_MS, self._end_counts, timeout_s)

    def send_attempt(self, node: int, action: Send) -> None:
        """See `FleetSimulation`; the attempt uses a connection of each pool."""
        super().send_attempt(node, action)
        attempt = self.requests[action.request_id].attempts[-1]
        self._incarnations[action.request_id, attempt.number] = [
            pools[node].acquire(attempt.backend.address) for pools in self.pools.values()
        ]

    def end_attempt(self, attempt: SimulatedAttempt, end: AttemptEnd) -> None:
        """See `FleetSimulation`; the attempt's connections are idle or closed."""
        if attempt.pending:
            incarnations = self._incarnations.pop((attempt.request_id, attempt.number))
            reusable = end.result in RESULTS_WITH_RESPONSE
            for pools, incarnation in zip(self.pools.values(), incarnations, strict=True):
                pools[attempt.node].release(attempt.backend.address, incarnation, reusable=reusable)
        super().end_attempt(attempt, end)

    def begin_slow_start(self) -> None:
        """See `FleetSimulation`; the connections to backends that have ended are lost."""
        super().begin_slow_start()
        for backend in self.initial_backends:
            if not backend.up:
                for pools in self.pools.values():
                    for pool in pools:
                        pool.drop_backend(backend.address)

    def served_before_slow_start(self) -> float:
        """Return the fraction of clients served in time between SETTLED_MS and the slow start."""
        end_ms = self.scenario.start_ms - LAST_REQUESTS_MS
        return fraction_served_in_time(
            [client for client in self.clients if SETTLED_MS <= client.created_ms < end_ms]
        )

    def load_spread(self) -> LoadSpread:
        """Return the spread of the requests over the backends from SETTLED_MS to the slow start."""
        backends, total = self.initial_backends, self._settled_requests.total()
        speeds = sum(backend.core_speed for backend in backends)
        loads = [self._settled_requests[backend.address] / backend.core_speed for backend in backends]
        mean = sum(loads) / len(loads)
        variance = sum((load - mean) ** 2 for load in loads) / len(loads)
        expected = [total * backend.core_speed / speeds for backend in backends]
        chance_variance = sum(1.0 / requests for requests in expected) / len(expected)
        return LoadSpread(math.sqrt(variance) / mean, math.sqrt(chance_variance), max(loads) / mean)

    def _begin_counts(self, timeout_s: float) -> None:
        usage = self.usage[timeout_s]
        usage.opened -= sum(pool.opened for pool in self.pools[timeout_s])
        usage.clients -= len(self.clients)

    def _end_counts(self, timeout_s: float) -> None:
        usage, pools = self.usage[timeout_s], self.pools[timeout_s]
        usage.opened += sum(pool.opened for pool in pools)
        usage.clients += len(self.clients)
        usage.by_node = [pool.connections.total() for pool in pools]
        for pool in pools:
            usage.by_backend.update(pool.connections)

    def _sample(self, timeout_s: float) -> None:
        connections = sum(pool.connections.total() for pool in self.pools[timeout_s])
        self.usage[timeout_s].samples.append(connections)

    def _count_requests(self) -> None:
        for backend in self.initial_backends:
            settled = sum(arrival.at_ms >= SETTLED_MS for arrival in backend.arrivals)
            self._settled_requests[backend.address] = settled
