"""Simulate backends in slow start: `python -m benchmarks.fleet_model`.

The command runs the real policy in model time, compares the load of the backends with the budget that the
settings allow, and prints the tables of docs/slow-start.md. `tests/benchmarks/test_slow_start.py` runs
shorter simulations of the same scenarios.
"""

from __future__ import annotations

import argparse
import itertools
import statistics
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from benchmarks.models.fleet_metrics import RunMetrics, budget_with_tolerance
from benchmarks.models.fleet_scenario import (
    AVERAGE_WORK_MS,
    MEAN_WORK_MS,
    NODE_COUNTS,
    SCENARIOS,
    TRAFFIC_MIX,
)
from benchmarks.models.fleet_simulation import simulate
from loadbalancer.policy.slow_start import SlowStart

TABLE_COLUMNS = (
    *("scenario", "nodes", "windows", "requests", "work", "unnotified", "fullest"),
    *("of N", "served", "rejected", "sent"),
)
TABLE_HEAD = f"| {' | '.join(TABLE_COLUMNS)} |\n|{' --- |' * len(TABLE_COLUMNS)}"
POISSON_TABLE_HEAD = "| N | share of N | by requests | by work |\n| --- | --- | --- | --- |"
POISSON_BUDGETS = (5.6, 14.0, 40.0)  # in requests of average work
POISSON_FRACTIONS = (0.3, 0.4, 0.5, 0.6, 0.85)  # of the budget
POISSON_WINDOWS = 40_000


def table_line(name: str, nodes: int, runs: Sequence[RunMetrics]) -> str:
    """Return one line of the table: windows over budget per thousand, and means over the runs."""
    windows = sum(run.windows for run in runs)
    cells = [
        name,
        str(nodes),
        str(windows),
        f"{1000.0 * sum(run.over_by_requests for run in runs) / windows:.2f}",
        f"{1000.0 * sum(run.over_by_work for run in runs) / windows:.2f}",
        f"{1000.0 * sum(run.over_before_notified for run in runs) / windows:.2f}",
        f"{max(run.peak_utilization for run in runs):.2f}",
        f"{statistics.fmean(run.budget_used for run in runs):.2f}",
        f"{statistics.fmean(run.served_fraction for run in runs):.3f}",
        f"{statistics.fmean(run.rejected_fraction for run in runs):.3f}",
        f"{statistics.fmean(run.attempts_per_client for run in runs):.2f}",
    ]
    return f"| {' | '.join(cells)} |"


@dataclass(frozen=True, slots=True)
class ExcessRates:
    """The rates of windows over their budget, per thousand."""

    by_requests: float
    by_work: float


def poisson_excess_rates(budget: float, fraction: float, windows: int = POISSON_WINDOWS) -> ExcessRates:
    """Return the rates at which a Poisson stream of requests exceeds a budget in a window.

    Args:
        budget: The budget of a window, in requests of average work.
        fraction: The stream's mean as a fraction of the budget.
        windows: The number of windows to draw.
    """
    rng = Random(1)
    allowed = budget_with_tolerance(budget)
    over_by_requests = over_by_work = 0
    for _ in range(windows):
        work, requests = 0.0, 0
        elapsed = rng.expovariate(1.0)
        while elapsed < fraction * budget:
            name = rng.choices(list(TRAFFIC_MIX), list(TRAFFIC_MIX.values()))[0]
            work += rng.expovariate(1.0 / MEAN_WORK_MS[name]) / AVERAGE_WORK_MS
            requests += 1
            elapsed += rng.expovariate(1.0)
        over_by_requests += requests > allowed
        over_by_work += work > allowed
    return ExcessRates(1000.0 * over_by_requests / windows, 1000.0 * over_by_work / windows)


def print_poisson_table() -> None:
    """Print the rates at which Poisson streams exceed budgets of several sizes."""
    print(POISSON_TABLE_HEAD)
    for budget, fraction in itertools.product(POISSON_BUDGETS, POISSON_FRACTIONS):
        excess = poisson_excess_rates(budget, fraction)
        print(f"| {budget} | {fraction} | {excess.by_requests:.2f} | {excess.by_work:.2f} |")


def print_scenario_table(options: argparse.Namespace) -> None:
    """Simulate the scenarios of the command line and print their table."""
    print(TABLE_HEAD)
    for name in options.only.split(","):
        for nodes in options.nodes:
            scenario = replace(SCENARIOS[name], nodes=nodes, servers=options.servers)
            if options.load is not None:
                scenario = replace(scenario, load=options.load)
            if options.cold is not None:
                scenario = replace(scenario, slow_start_fraction=options.cold)
            runs = [simulate(scenario, seed) for seed in range(options.seeds)]
            print(table_line(name, nodes, runs), flush=True)


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=6)
    parser.add_argument("--servers", type=int, default=20)
    parser.add_argument("--only", default=",".join(SCENARIOS), help="scenarios, separated by commas")
    parser.add_argument("--nodes", type=int, nargs="*", default=NODE_COUNTS)
    parser.add_argument("--load", type=float, help="the load; default: the scenario's")
    parser.add_argument(
        "--cold", type=float, help="the fraction of backends in slow start; default: the scenario's"
    )
    parser.add_argument("--unpaced", action="store_true", help="disable the pacing of slow start")
    parser.add_argument(
        "--chance", action="store_true", help="print how often a Poisson stream exceeds the budget"
    )
    options = parser.parse_args()
    if options.chance:
        print_poisson_table()
        return
    if options.unpaced:
        SlowStart.is_eligible = lambda *_: True  # type: ignore[method-assign]
    print_scenario_table(options)


if __name__ == "__main__":
    main()
