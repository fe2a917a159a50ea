"""Tables, slopes and the result file of the control benchmark."""

from __future__ import annotations

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from benchmarks.control.following_node import FollowingNode
from benchmarks.control.measurement import MICROSECONDS_PER_MS, RateMeasurements
from benchmarks.control.plan import ChangeRate, Plan
from benchmarks.support.open_loop import histogram
from benchmarks.support.processes import resident_mib
from benchmarks.support.records import Record, Row
from benchmarks.support.regression import Slope, has_enough_sizes, regress_columns, standard_error
from benchmarks.support.report import format_table, write_results

BUDGET_CORES = 0.027
BUDGET_MIB = 128.0
BUDGET_BYTES_PER_S = 2000.0


class RateRecord(Record, frozen=True, kw_only=True):
    """The cost of a rate of change, absolute and as a fraction of the budget; None: no changes."""

    list_size: int = msgspec.field(name="list")
    changes_per_s: float
    cores: float = msgspec.field(name="core")
    cores_error: float = msgspec.field(name="core_error")
    run_queue: float = msgspec.field(name="waited")  # seconds of waiting for a core, per second
    cores_of_budget: float = msgspec.field(name="of_budget")
    bytes_per_s: float
    bytes_of_budget: float
    memory_mib: float = msgspec.field(name="mb")
    memory_of_budget: float = msgspec.field(name="mb_of_budget")
    changes: int
    in_force_p50_ms: float | None
    in_force_p99_ms: float | None
    load_average: float = msgspec.field(name="load")


@dataclass(frozen=True, slots=True)
class ControlResults:
    """The rows of the three tables."""

    rates: Sequence[Row]  # one row for each list size and rate of change
    complete_lists: Sequence[Row]  # one row for each list size
    losses: Sequence[Row]  # one row for each number of lost entries


@dataclass(frozen=True, slots=True)
class _Line:
    """Rows, and the columns `x` and `y` of a regression over them."""

    rows: Sequence[Row]
    x: str
    y: str


def rate_rows(
    plan: Plan, measurements: Mapping[ChangeRate, RateMeasurements], nodes: Sequence[FollowingNode]
) -> list[dict[str, object]]:
    """Return a row for each list size and rate of change."""
    memory_mib = {node.size: resident_mib(node.proxy.pid) for node in nodes}
    change_rates = [ChangeRate(size, rate) for size in plan.sizes for rate in plan.rates]
    return [_rate_record(rate, measurements[rate], memory_mib[rate.list_size]).row() for rate in change_rates]


def _rate_record(change_rate: ChangeRate, measured: RateMeasurements, memory_mib: float) -> RateRecord:
    cores, bytes_per_s = statistics.mean(measured.cores), statistics.mean(measured.bytes_per_s)
    in_force = histogram(measured.in_force_us) if measured.in_force_us else None
    return RateRecord(
        list_size=change_rate.list_size,
        changes_per_s=change_rate.per_s,
        cores=cores,
        cores_error=standard_error(measured.cores),
        run_queue=statistics.mean(measured.run_queue),
        cores_of_budget=cores / BUDGET_CORES,
        bytes_per_s=bytes_per_s,
        bytes_of_budget=bytes_per_s / BUDGET_BYTES_PER_S,
        memory_mib=memory_mib,
        memory_of_budget=memory_mib / BUDGET_MIB,
        changes=len(measured.in_force_us),
        in_force_p50_ms=in_force.get_value_at_percentile(50.0) / MICROSECONDS_PER_MS if in_force else None,
        in_force_p99_ms=in_force.get_value_at_percentile(99.0) / MICROSECONDS_PER_MS if in_force else None,
        load_average=statistics.mean(measured.load_average),
    )


def regression_slopes(plan: Plan, results: ControlResults) -> dict[str, Slope]:
    """Return lines over list sizes, rates of change and lost entries, where there are enough sizes."""
    unchanging = [row for row in results.rates if not row["changes_per_s"]]
    lines = {
        "whole list: cpu_ms over servers": _Line(results.complete_lists, "list", "cpu_ms"),
        "whole list: bytes over servers": _Line(results.complete_lists, "list", "bytes"),
        "loss: cpu_ms over entries": _Line(results.losses, "lost", "cpu_ms"),
        "loss: bytes over entries": _Line(results.losses, "lost", "bytes"),
        "mb over servers": _Line(unchanging, "list", "mb"),
    }
    for rate in plan.rates:
        at_rate = [row for row in results.rates if row["changes_per_s"] == rate]
        lines[f"core over servers at {rate:.4g} changes a second"] = _Line(at_rate, "list", "core")
    for size in (plan.sizes[0], plan.sizes[-1]):
        of_size = [row for row in results.rates if row["list"] == size]
        for figure in ("core", "bytes_per_s"):
            name = f"{figure} over changes a second, {size} servers"
            lines[name] = _Line(of_size, "changes_per_s", figure)
    return {
        name: regress_columns(line.rows, line.x, line.y)
        for name, line in lines.items()
        if has_enough_sizes(line.rows, line.x)
    }


def report(plan: Plan, results: ControlResults, out: Path) -> None:
    """Print the tables and write the result file."""
    slopes = regression_slopes(plan, results)
    print(format_table(results.rates))
    print("\nComplete list:\n" + format_table(results.complete_lists))
    print("\nEntries lost at once:\n" + format_table(results.losses))
    for name, slope in slopes.items():
        print(f"{name}: {slope.describe()}")
    write_results(
        out,
        results.rates,
        slopes,
        plan=plan,
        budget={"core": BUDGET_CORES, "mb": BUDGET_MIB, "bytes_per_s": BUDGET_BYTES_PER_S},
        wholes=results.complete_lists,
        losses=results.losses,
    )
