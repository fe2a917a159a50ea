"""A simulated fleet whose nodes have connection pools, and the counts of their connections."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from benchmarks.models.connection_pool import (
    MILLISECONDS_PER_S,
    SWEEPS_PER_IDLE_TIMEOUT,
    ModelledConnectionPool,
)
from benchmarks.models.fleet_entities import AttemptEnd, SimulatedAttempt, SimulatedBackend
from benchmarks.models.fleet_metrics import UNCOUNTED_END_MS, fraction_served_in_time
from benchmarks.models.fleet_scenario import Scenario
from benchmarks.models.fleet_simulation import FleetSimulation
from benchmarks.models.simulation_context import FleetObserver, SimulationContext
from loadbalancer.events import AttemptResult
from loadbalancer.proxy.connection_pool import IDLE_TIMEOUT_FRACTION

RESULTS_WITH_RESPONSE = (  # after which a connection can be reused
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
)
SAMPLE_INTERVAL_MS = 125.0
STEADY_STATE_START_MS = 3000.0  # the steady state, in which the load is counted, ends with the slow start
BEFORE_START_MS = 0.01  # the counts end this long before the slow start
BEFORE_FIRST_SAMPLE_MS = 0.1  # the counts begin this long before the first sample


@dataclass
class PoolUsage:
    """Connections with one idle timeout, over one sweep interval before the slow start."""

    opened: int = 0
    clients: int = 0  # arrivals in the same period
    samples: list[int] = field(default_factory=list)  # connections of all nodes, at regular intervals
    by_node: list[int] = field(default_factory=list)  # connections at the end
    by_backend: Counter[str] = field(default_factory=Counter)  # connections at the end


class ConnectionObserver(FleetObserver):
    """Gives each node a connection pool per idle timeout; each attempt uses a connection of each pool."""

    def __init__(self, context: SimulationContext, backend_idle_timeouts_s: Sequence[float]) -> None:
        self.pools = {
            timeout_s: [
                ModelledConnectionPool(context.queue, timeout_s) for _ in range(context.scenario.nodes)
            ]
            for timeout_s in backend_idle_timeouts_s
        }
        # By attempt: the backend's incarnation in each pool.
        self._incarnations: dict[SimulatedAttempt, list[int]] = {}

    def on_attempt_sent(self, attempt: SimulatedAttempt) -> None:
        """Acquire a connection of each pool."""
        self._incarnations[attempt] = [
            pools[attempt.node.number].acquire(attempt.backend.address) for pools in self.pools.values()
        ]

    def on_attempt_end(self, attempt: SimulatedAttempt, end: AttemptEnd) -> None:
        """Release the attempt's connections, which become idle or are closed."""
        address, reusable = attempt.backend.address, end.result in RESULTS_WITH_RESPONSE
        incarnations = self._incarnations.pop(attempt)
        for pools, incarnation in zip(self.pools.values(), incarnations, strict=True):
            pools[attempt.node.number].release(address, incarnation, reusable=reusable)

    def on_backends_stopped(self, backends: Sequence[SimulatedBackend]) -> None:
        """Drop the connections to backends that have ended."""
        for pools in self.pools.values():
            for pool in pools:
                for backend in backends:
                    pool.drop_backend(backend.address)


@dataclass(frozen=True, slots=True)
class LoadSpread:
    """The distribution over the backends of their requests divided by their capacity."""

    variation: float  # coefficient of variation
    poisson_variation: float  # that of independent random choices in proportion to capacity
    max_over_mean: float


class PooledFleetSimulation(FleetSimulation):
    """The fleet, each node with a connection pool for each of several idle timeouts of backends."""

    def __init__(self, scenario: Scenario, seed: int, backend_idle_timeouts_s: Sequence[float]) -> None:
        """Prepare a run.

        Args:
            scenario: The run's scenario.
            seed: The seed of all random draws.
            backend_idle_timeouts_s: Idle times after which backends close a connection; each has its own
                counts in the same run.
        """
        super().__init__(scenario, seed)
        self.connections = ConnectionObserver(self.context, backend_idle_timeouts_s)
        self.context.observers.append(self.connections)
        self.usage = {timeout_s: PoolUsage() for timeout_s in backend_idle_timeouts_s}
        self._steady_state_requests: Counter[str] = Counter()  # by backend
        for timeout_s in backend_idle_timeouts_s:
            self._schedule_counts(timeout_s)
        self.queue.schedule(scenario.start_ms - BEFORE_START_MS, self._count_requests)

    def _schedule_counts(self, timeout_s: float) -> None:
        start_ms = self.scenario.start_ms
        sweep_interval_ms = timeout_s * IDLE_TIMEOUT_FRACTION * MILLISECONDS_PER_S / SWEEPS_PER_IDLE_TIMEOUT
        first_sample_ms = start_ms - sweep_interval_ms
        self.queue.schedule(first_sample_ms - BEFORE_FIRST_SAMPLE_MS, self._begin_counts, timeout_s)
        for index in range(round(sweep_interval_ms / SAMPLE_INTERVAL_MS)):
            self.queue.schedule(first_sample_ms + index * SAMPLE_INTERVAL_MS, self._sample, timeout_s)
        self.queue.schedule(start_ms - BEFORE_START_MS, self._end_counts, timeout_s)

    def served_before_slow_start(self) -> float:
        """Return the fraction of the clients in the steady state that are served in time."""
        end_ms = self.scenario.start_ms - UNCOUNTED_END_MS
        return fraction_served_in_time(
            [client for client in self.clients.all if STEADY_STATE_START_MS <= client.created_ms < end_ms]
        )

    def load_spread(self) -> LoadSpread:
        """Return the distribution over the backends of the requests in the steady state."""
        backends, total = self.backends.initial, self._steady_state_requests.total()
        speeds = sum(backend.core_speed for backend in backends)
        loads = [self._steady_state_requests[backend.address] / backend.core_speed for backend in backends]
        mean = sum(loads) / len(loads)
        variance = sum((load - mean) ** 2 for load in loads) / len(loads)
        expected = [total * backend.core_speed / speeds for backend in backends]
        poisson_variance = sum(1.0 / requests for requests in expected) / len(expected)
        return LoadSpread(math.sqrt(variance) / mean, math.sqrt(poisson_variance), max(loads) / mean)

    def _begin_counts(self, timeout_s: float) -> None:
        usage = self.usage[timeout_s]
        usage.opened -= sum(pool.opened for pool in self.connections.pools[timeout_s])
        usage.clients -= len(self.clients.all)

    def _end_counts(self, timeout_s: float) -> None:
        usage, pools = self.usage[timeout_s], self.connections.pools[timeout_s]
        usage.opened += sum(pool.opened for pool in pools)
        usage.clients += len(self.clients.all)
        usage.by_node = [pool.connections.total() for pool in pools]
        for pool in pools:
            usage.by_backend.update(pool.connections)

    def _sample(self, timeout_s: float) -> None:
        connections = sum(pool.connections.total() for pool in self.connections.pools[timeout_s])
        self.usage[timeout_s].samples.append(connections)

    def _count_requests(self) -> None:
        for backend in self.backends.initial:
            steady_state = sum(arrival.at_ms >= STEADY_STATE_START_MS for arrival in backend.arrivals)
            self._steady_state_requests[backend.address] = steady_state
