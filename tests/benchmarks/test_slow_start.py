"""The load of backends in slow start stays within their budget, over all nodes together.

A backend in slow start fails if the attempts of all nodes overload it for the length of a window. In seeded
simulations (`benchmarks/models/fleet_simulation.py`), it may get N + 2 x sqrt(N) + 2 requests in each window,
where N = overload factor x current capacity x window. Nodes have no figure for the work of a request, so the
limit is strict for the number of requests, and their work may exceed it at random: for the smallest backend
at its start (N = 5.6), a Poisson stream of half of N requests of this mix does so in 6 windows of a thousand,
and never by number (`python -m benchmarks.fleet_model --chance`).
"""

from __future__ import annotations

from dataclasses import replace
from functools import cache

import pytest

from benchmarks.models.fleet_metrics import RunMetrics
from benchmarks.models.fleet_scenario import NODE_COUNTS, SCENARIOS
from benchmarks.models.fleet_simulation import simulate
from loadbalancer.policy.slow_start import SlowStart

POISSON_EXCESS_PER_MILLE = 6.0  # windows over budget by work, of a Poisson stream


def run(nodes: int, scenario_name: str, seed: int = 1) -> RunMetrics:
    scenario = replace(SCENARIOS[scenario_name], nodes=nodes, start_ms=2500.0, seconds=7.0)
    return simulate(scenario, seed)


cached_run = cache(run)
SCENARIO_NAMES = list(SCENARIOS)


@pytest.mark.parametrize("scenario_name", SCENARIO_NAMES)
@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_warming_backends_do_not_exceed_their_budget_over_all_nodes(nodes, scenario_name):
    metrics = cached_run(nodes, scenario_name)
    assert metrics.windows >= 80
    assert metrics.budget_used > 0.1  # the nodes do send them attempts
    assert metrics.over_by_requests == 0


@pytest.mark.parametrize("nodes", NODE_COUNTS)
def test_warming_backends_exceed_their_budget_by_work_no_more_often_than_a_poisson_stream(nodes):
    runs = [cached_run(nodes, scenario_name) for scenario_name in SCENARIO_NAMES]
    over_by_work = sum(metrics.over_by_work for metrics in runs)
    windows = sum(metrics.windows for metrics in runs)
    assert 1000.0 * over_by_work / windows <= POISSON_EXCESS_PER_MILLE


def test_warming_backends_exceed_their_budget_without_pacing(monkeypatch):
    """Shows that the metrics detect an overload: without pacing, windows exceed the budget in both ways."""
    monkeypatch.setattr(SlowStart, "is_eligible", lambda *_: True)
    metrics = run(200, "all")
    assert metrics.over_by_requests > 0
    assert 1000.0 * metrics.over_by_work / metrics.windows > 3.0 * POISSON_EXCESS_PER_MILLE


def test_same_seed_gives_the_same_run():
    assert run(5, "steady") == cached_run(5, "steady")
    assert run(5, "steady", seed=2) != cached_run(5, "steady")
