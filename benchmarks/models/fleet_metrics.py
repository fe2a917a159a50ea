"""Metrics of a simulated run: the load of backends in slow start compared with their budget, and the service.

A backend in slow start fails when its load over an overload window exceeds the overload factor times its
current capacity. Each such window therefore has a budget; one window ends every `WINDOW_INTERVAL_MS`.
"""

from __future__ import annotations

import itertools
import math
from bisect import bisect_right
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from benchmarks.models.fleet_entities import FinalOutcome, SimulatedBackend, SimulatedClient
from benchmarks.models.fleet_scenario import (
    CLASSES_BY_NAME,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_MS,
    WINDOW_INTERVAL_MS,
)

UNCOUNTED_END_MS = 2500.0  # at the end: clients that arrive in it may not finish, and are not counted
MIN_NOTIFIED_FRACTION = 2.0 / 3.0  # of a window's work: with less, the nodes can't enforce the budget


def budget_with_tolerance(budget: float) -> float:
    """Return a budget plus a tolerance for random variation: two standard deviations, and two requests."""
    return budget + 2.0 * math.sqrt(budget) + 2.0


@dataclass(frozen=True, slots=True)
class BudgetWindow:
    """One overload window of a backend in slow start."""

    requests: int
    work: float  # of these requests, in requests of average work
    budget: float  # in requests of average work
    notified_fraction: float  # of the work: from nodes already notified of the backend's start

    @property
    def budget_applies(self) -> bool:
        """Whether enough of the work comes from nodes that can enforce the budget."""
        return self.notified_fraction >= MIN_NOTIFIED_FRACTION


@dataclass
class RunMetrics:
    """The metrics of a run, over all nodes."""

    windows: int = 0
    over_by_requests: int = 0  # windows with more requests than allowed, each counted as average work
    over_by_work: int = 0  # windows with more work than allowed
    over_before_notified: int = 0  # such windows with too little of the work from notified nodes
    peak_utilization: float = 0.0  # the maximum of a window's requests as a fraction of the allowed number
    clients: int = 0
    served_fraction: float = 0.0  # of the clients, within their latency objective
    rejected_fraction: float = 0.0  # of the clients, whose last attempt is rejected
    budget_used: float = 0.0  # the work of backends in slow start as a fraction of their budgets
    attempts_per_client: float = 0.0  # sent by the nodes

    def add_window(self, window: BudgetWindow) -> None:
        """Count one window."""
        self.windows += 1
        allowed = budget_with_tolerance(window.budget)
        if window.budget_applies:
            self.peak_utilization = max(self.peak_utilization, window.requests / allowed)
            self.over_by_requests += window.requests > allowed
        if window.work > allowed:
            self.over_by_work += window.budget_applies
            self.over_before_notified += not window.budget_applies

    def add_service(self, clients: Sequence[SimulatedClient]) -> None:
        """Add the outcomes of clients whose requests have all finished."""
        rejected = sum(
            client.served_ms == math.inf and client.last_outcome is FinalOutcome.REJECTED
            for client in clients
        )
        self.clients = len(clients)
        self.served_fraction = fraction_served_in_time(clients)
        self.rejected_fraction = rejected / max(1, len(clients))


def budget_windows(backend: SimulatedBackend, end_ms: float) -> Iterator[BudgetWindow]:
    """Yield each overload window of a backend in slow start, up to `end_ms`."""
    arrivals = backend.arrivals
    times_ms = [arrival.at_ms for arrival in arrivals]
    work_before = [0.0, *itertools.accumulate(arrival.work for arrival in arrivals)]
    notified_before = [
        0.0, *itertools.accumulate(arrival.work * arrival.sender_notified for arrival in arrivals)
    ]  # fmt: skip
    # The first arrivals can exhaust the budget, so the first counted window ends after one interval.
    window_end_ms = (backend.started_ms or 0.0) + WINDOW_INTERVAL_MS
    while window_end_ms < end_ms:
        first = bisect_right(times_ms, window_end_ms - OVERLOAD_WINDOW_MS)
        last = bisect_right(times_ms, window_end_ms)
        work = work_before[last] - work_before[first]
        notified = (notified_before[last] - notified_before[first]) / work if work else 1.0
        budget = OVERLOAD_FACTOR * backend.window_capacity(window_end_ms)
        yield BudgetWindow(last - first, work, budget, notified)
        window_end_ms += WINDOW_INTERVAL_MS


def fraction_served_in_time(clients: Sequence[SimulatedClient]) -> float:
    """Return the fraction of clients that are served within their class's latency objective."""
    served = sum(
        client.served_in_time(CLASSES_BY_NAME[client.service_class].latency_objective_ms)
        for client in clients
    )
    return served / max(1, len(clients))


def run_metrics(
    warming_backends: Sequence[SimulatedBackend],
    clients: Sequence[SimulatedClient],
    counted_attempts: int,
    end_ms: float,
) -> RunMetrics:
    """Return the metrics of a run.

    Args:
        warming_backends: The backends in slow start.
        clients: All clients.
        counted_attempts: The nodes' attempts for counted clients.
        end_ms: The end of the run.
    """
    metrics = RunMetrics()
    work = budget = 0.0
    for backend in warming_backends:
        for window in budget_windows(backend, end_ms):
            metrics.add_window(window)
            work, budget = work + window.work, budget + window.budget
    metrics.budget_used = work / budget if budget else 0.0
    metrics.add_service(
        [client for client in clients if client.counted and client.created_ms < end_ms - UNCOUNTED_END_MS]
    )
    metrics.attempts_per_client = counted_attempts / max(1, sum(client.counted for client in clients))
    return metrics
