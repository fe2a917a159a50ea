"""Records of simulated fleets of several sizes, and slopes over the size."""

from __future__ import annotations

import math
import statistics
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

import msgspec

from benchmarks.models.fleet_metrics import RunMetrics
from benchmarks.models.fleet_scenario import Scenario
from benchmarks.models.pooled_fleet import PooledFleetSimulation
from benchmarks.support.records import Record, Row
from benchmarks.support.regression import Slope, regress_columns
from loadbalancer.proxy.connection_pool import IDLE_TIMEOUT_FRACTION

LOAD = 0.5  # fraction of the backends' capacity
IDLE_TIMEOUTS_S = (15.0, 30.0)  # after which a backend closes an idle connection; one pool for each
SETTLING_FACTOR = 1.35  # times the nodes' idle timeout: earlier, more connections are opened than closed
MAX_NODES_FOR_LONG_TIMEOUT = 300  # the largest fleet that is also simulated with the longer timeout
SECONDS_AFTER_RESTART = 4.0
RESTARTED_FRACTION = 0.1
SLOPE_FIGURES = ("opened/call 15s", "held 15s", "opened/call 30s", "held 30s", "cv", "served", "ms/call")


class ConnectionFigures(Record, frozen=True, kw_only=True):
    """Connections with one idle timeout; None if the timeout is not simulated."""

    opened_per_request: float | None = msgspec.field(name="opened/call")
    poisson_opened_per_request: float = msgspec.field(name="by chance")
    mean_open_connections: float | None = msgspec.field(name="held")
    max_per_node: int | None = msgspec.field(name="most/node")
    max_per_backend: int | None = msgspec.field(name="most/server")


class ServiceFigures(Record, frozen=True, kw_only=True):
    """The distribution of the load over the backends, and the fraction served, before the restart."""

    variation: float | None = msgspec.field(name="cv")  # coefficient of variation of the load
    poisson_variation: float | None = msgspec.field(name="cv by chance")
    max_over_mean: float = msgspec.field(name="worst/mean")
    served: float | None


class RestartFigures(Record, frozen=True, kw_only=True):
    """The load of the restarted backends, and the fractions served and rejected during their slow start."""

    windows: int = msgspec.field(name="cold windows")
    peak_utilization: float = msgspec.field(name="fullest")
    over_by_requests: int = msgspec.field(name="crowded")
    served: float | None = msgspec.field(name="served then")
    rejected: float | None = msgspec.field(name="refused then")


@dataclass(frozen=True, slots=True)
class FleetRecord:
    """The figures of a fleet with as many nodes as backends: means over the runs, and maxima."""

    nodes: int
    runs: int
    requests: int
    rate_per_s: float  # requests to each node
    connections: dict[float, ConnectionFigures]  # by the backends' idle timeout, in seconds
    service: ServiceFigures
    restart: RestartFigures
    cpu_ms_per_request: float

    def row(self) -> dict[str, object]:
        """Return the figures under their names in the result file."""
        row: dict[str, object] = {
            "nodes": self.nodes,
            "runs": self.runs,
            "calls": self.requests,
            "calls/s a node": self.rate_per_s,
        }
        for timeout_s, figures in self.connections.items():
            row |= {f"{name} {timeout_s:.0f}s": figure for name, figure in figures.row().items()}
        return row | self.service.row() | self.restart.row() | {"ms/call": self.cpu_ms_per_request}


@dataclass(frozen=True, slots=True)
class FleetRuns:
    """Several runs of a fleet with as many nodes as backends, each with its own seed."""

    fleets: list[PooledFleetSimulation]
    metrics: list[RunMetrics]
    cpu_s: float  # processor time of all runs

    @property
    def clients(self) -> int:
        """The number of clients in all runs."""
        return sum(len(fleet.clients.all) for fleet in self.fleets)


def run_fleets(nodes: int, seed: int, runs: int, idle_timeouts_s: Sequence[float]) -> FleetRuns:
    """Simulate as many nodes as backends at half the capacity, then restart a tenth of the backends."""
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
) -> FleetRecord:
    """Simulate a fleet with as many nodes as backends, and return its figures.

    Args:
        nodes: The number of nodes, which is also the number of backends.
        seed: The seed of the first run; each further run has the next one.
        runs: The number of runs.
        idle_timeouts_s: The timeouts to simulate; the figures of the others are None.
    """
    fleet_runs = run_fleets(nodes, seed, runs, idle_timeouts_s)
    fleets = fleet_runs.fleets
    rate_per_s = LOAD * 1000.0 * fleets[0].capacity / nodes
    return FleetRecord(
        nodes=nodes,
        runs=runs,
        requests=fleet_runs.clients,
        rate_per_s=rate_per_s,
        connections={
            timeout_s: _connection_figures(fleets, timeout_s, rate_per_s) for timeout_s in IDLE_TIMEOUTS_S
        },
        service=_service_figures(fleets),
        restart=_restart_figures(fleet_runs.metrics),
        cpu_ms_per_request=1000.0 * fleet_runs.cpu_s / fleet_runs.clients,
    )


def _connection_figures(
    fleets: Sequence[PooledFleetSimulation], timeout_s: float, rate_per_s: float
) -> ConnectionFigures:
    """Return the figures of one idle timeout.

    `poisson_opened_per_request` is the fraction of requests that open a connection if each node sends each
    backend a Poisson stream, one request at a time and at the same rate to all backends.
    """
    usages = [fleet.usage[timeout_s] for fleet in fleets if timeout_s in fleet.usage]
    nodes = fleets[0].scenario.nodes
    return ConnectionFigures(
        opened_per_request=_mean(usage.opened / usage.clients for usage in usages),
        poisson_opened_per_request=math.exp(-rate_per_s / nodes * timeout_s * IDLE_TIMEOUT_FRACTION),
        mean_open_connections=_mean(_mean(usage.samples) for usage in usages),
        max_per_node=max((max(usage.by_node) for usage in usages), default=None),
        max_per_backend=max((max(usage.by_backend.values()) for usage in usages), default=None),
    )


def _service_figures(fleets: Sequence[PooledFleetSimulation]) -> ServiceFigures:
    spreads = [fleet.load_spread() for fleet in fleets]
    return ServiceFigures(
        variation=_mean(spread.variation for spread in spreads),
        poisson_variation=_mean(spread.poisson_variation for spread in spreads),
        max_over_mean=max(spread.max_over_mean for spread in spreads),
        served=_mean(fleet.served_before_slow_start() for fleet in fleets),
    )


def _restart_figures(metrics: Sequence[RunMetrics]) -> RestartFigures:
    return RestartFigures(
        windows=sum(run.windows for run in metrics),
        peak_utilization=max(run.peak_utilization for run in metrics),
        over_by_requests=sum(run.over_by_requests for run in metrics),
        served=_mean(run.served_fraction for run in metrics),
        rejected=_mean(run.rejected_fraction for run in metrics),
    )


def _mean(figures: Iterable[float | None]) -> float | None:
    """Return the mean of the figures that are not None; None if there are none."""
    measured = [figure for figure in figures if figure is not None]
    return statistics.fmean(measured) if measured else None


def fleet_slopes(records: Sequence[FleetRecord]) -> dict[str, Slope]:
    """Return lines fitted over the number of nodes, which equals the number of backends."""
    rows = [record.row() for record in records]
    slopes = {f"{name} over nodes": _regress_measured(rows, name) for name in SLOPE_FIGURES}
    for timeout_s in IDLE_TIMEOUTS_S:
        name = f"held a node {timeout_s:.0f}s"
        open_per_node = [
            {"nodes": record.nodes, name: mean_open_connections / record.nodes}
            for record in records
            if (mean_open_connections := record.connections[timeout_s].mean_open_connections) is not None
        ]
        slopes[f"{name} over nodes"] = regress_columns(open_per_node, "nodes", name)
    return slopes


def _regress_measured(rows: Sequence[Row], name: str) -> Slope:
    return regress_columns([row for row in rows if row[name] is not None], "nodes", name)
