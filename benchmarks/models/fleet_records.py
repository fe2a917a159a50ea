"""Records of simulated fleets by their size, and slopes over it; the names are those of the result file."""

from __future__ import annotations

import math
import statistics
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any

from benchmarks.models.connection_pool import PooledFleetSimulation
from benchmarks.models.fleet_metrics import RunMetrics
from benchmarks.models.fleet_scenario import Scenario
from benchmarks.support.report import Slope, linear_regression
from loadbalancer.proxy.connection_pool import IDLE_TIMEOUT_FRACTION

LOAD = 0.5  # fraction of what the backends can do
IDLE_TIMEOUTS_S = (15.0, 30.0)  # after which a backend closes an idle connection
SETTLING_FACTOR = 1.35  # times the nodes' idle timeout: until then more are opened than closed
MAX_NODES_FOR_LONG_TIMEOUT = 300  # up to which a run is long enough for the longer timeout
SECONDS_AFTER_RESTART = 4.0
RESTARTED_FRACTION = 0.1
SLOPE_FIGURES = ("opened/call 15s", "held 15s", "opened/call 30s", "held 30s", "cv", "served", "ms/call")

Record = dict[str, Any]


@dataclass(frozen=True, slots=True)
class FleetRuns:
    """Runs of as many nodes as backends, which differ in their seed."""

    fleets: list[PooledFleetSimulation]
    metrics: list[RunMetrics]
    cpu_s: float  # processor time of all runs

    @property
    def clients(self) -> int:
        """Clients of all runs."""
        return sum(len(fleet.clients) for fleet in self.fleets)


def run_fleets(nodes: int, seed: int, runs: int, idle_timeouts_s: Sequence[float]) -> FleetRuns:
    """Simulate as many nodes as backends, at half of what these can do, and then restart a tenth of them."""
    start_s = SETTLING_FACTOR * IDLE_TIMEOUT_FRACTION * max(idle_timeouts_s)
    scenario = replace(
        Scenario(nodes, nodes, load=LOAD, slow_start_fraction=RESTARTED_FRACTION, restart=True),
        start_ms=start_s * 1000.0,
        seconds=start_s + SECONDS_AFTER_RESTART,
    )
    started_s = time.process_time()
    fleets = [PooledFleetSimulation(scenario, seed + index, idle_timeouts_s) for index in range(runs)]
    metrics = [fleet.run() for fleet in fleets]
    return FleetRuns(fleets, metrics, time.process_time() - started_s)


def fleet_record(
    nodes: int, seed: int, runs: int, idle_timeouts_s: Sequence[float] = IDLE_TIMEOUTS_S
) -> Record:
    """Return figures of as many nodes as backends: means over the runs, and maxima.

    Names end in the time after which a backend closes an idle connection. `by chance` is the fraction of
    requests that would open one if each node's requests to each backend came at random, one at a time and to
    all alike.

    Args:
        nodes: How many nodes, and how many backends.
        seed: Of the first run; the others have the following ones.
        runs: How many runs.
        idle_timeouts_s: Those that are simulated; the others' figures are None.
    """
    fleet_runs = run_fleets(nodes, seed, runs, idle_timeouts_s)
    fleets, metrics = fleet_runs.fleets, fleet_runs.metrics
    rate_per_s = LOAD * 1000.0 * fleets[0].capacity / nodes
    record: Record = {
        "nodes": nodes,
        "runs": runs,
        "calls": fleet_runs.clients,
        "calls/s a node": rate_per_s,
    }
    for timeout_s in IDLE_TIMEOUTS_S:
        figures = _connection_figures(fleets, timeout_s, rate_per_s)
        record |= {f"{name} {timeout_s:.0f}s": figure for name, figure in figures.items()}
    record |= _service_figures(fleets)
    record |= _restart_figures(metrics)
    return record | {"ms/call": 1000.0 * fleet_runs.cpu_s / fleet_runs.clients}


def _service_figures(fleets: Sequence[PooledFleetSimulation]) -> Record:
    spreads = [fleet.load_spread() for fleet in fleets]
    return {
        "cv": _mean(spread.variation for spread in spreads),
        "cv by chance": _mean(spread.chance_variation for spread in spreads),
        "worst/mean": max(spread.max_over_mean for spread in spreads),
        "served": _mean(fleet.served_before_slow_start() for fleet in fleets),
    }


def _restart_figures(metrics: Sequence[RunMetrics]) -> Record:
    return {
        "cold windows": sum(run.windows for run in metrics),
        "fullest": max(run.peak_fill for run in metrics),
        "crowded": sum(run.over_by_requests for run in metrics),
        "served then": _mean(run.served_fraction for run in metrics),
        "refused then": _mean(run.rejected_fraction for run in metrics),
    }


def _connection_figures(
    fleets: Sequence[PooledFleetSimulation], timeout_s: float, rate_per_s: float
) -> Record:
    usages = [fleet.usage[timeout_s] for fleet in fleets if timeout_s in fleet.usage]
    nodes = fleets[0].scenario.nodes
    return {
        "opened/call": _mean(usage.opened / usage.clients for usage in usages),
        "by chance": math.exp(-rate_per_s / nodes * timeout_s * IDLE_TIMEOUT_FRACTION),
        "held": _mean(_mean(usage.samples) for usage in usages),
        "most/node": max((max(usage.by_node) for usage in usages), default=None),
        "most/server": max((max(usage.by_backend.values()) for usage in usages), default=None),
    }


def _mean(figures: Iterable[float | None]) -> float | None:
    """Return the mean of the figures that were measured; None if there are none."""
    measured = [figure for figure in figures if figure is not None]
    return statistics.fmean(measured) if measured else None


def fleet_slopes(records: Sequence[Record]) -> dict[str, Slope]:
    """Return lines over the number of nodes, which is that of backends."""
    slopes = {}
    for name in SLOPE_FIGURES:
        measured = [record for record in records if record[name] is not None]
        slopes[f"{name} over nodes"] = linear_regression(
            [record["nodes"] for record in measured], [record[name] for record in measured]
        )
    for timeout in ("15s", "30s"):
        measured = [record for record in records if record[f"held {timeout}"] is not None]
        slopes[f"held a node {timeout} over nodes"] = linear_regression(
            [record["nodes"] for record in measured],
            [record[f"held {timeout}"] / record["nodes"] for record in measured],
        )
    return slopes
