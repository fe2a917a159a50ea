"""Tables, slopes and the result file of the control bench; the file's names are those of earlier runs."""

from __future__ import annotations

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.control.measurement import Cell, ChangeRate, FollowingNode, Plan
from benchmarks.support.open_loop import histogram
from benchmarks.support.processes import resident_mib
from benchmarks.support.regression import MIN_SLOPE_SIZES, Slope, linear_regression, standard_error
from benchmarks.support.report import format_table, write_results

BUDGET_CORES = 0.027
BUDGET_MIB = 128.0
BUDGET_BYTES_PER_S = 2000.0

Records = Sequence[Mapping[str, Any]]


@dataclass(frozen=True, slots=True)
class ControlResults:
    """The records of the three tables."""

    rates: Records  # a record for each size of list and rate of change
    complete_lists: Records  # a record for each size of list
    losses: Records  # a record for each number of entries lost at once


@dataclass(frozen=True, slots=True)
class _Points:
    """Rows and the columns that a line is fitted to."""

    records: Records
    x: str
    y: str


def rate_records(
    plan: Plan, cells: Mapping[ChangeRate, Cell], nodes: Sequence[FollowingNode]
) -> list[dict[str, Any]]:
    """Return a record for each size of list and rate of change, beside the budget."""
    memory_mib = {node.size: resident_mib(node.proxy.pid) for node in nodes}
    return [
        _rate_record(change_rate, cells[change_rate], memory_mib[change_rate.list_size])
        for change_rate in (ChangeRate(size, rate) for size in plan.sizes for rate in plan.rates)
    ]


def _rate_record(change_rate: ChangeRate, cell: Cell, memory_mib: float) -> dict[str, Any]:
    cores, bytes_per_s = statistics.mean(cell.cores), statistics.mean(cell.bytes_per_s)
    in_force = histogram(cell.in_force_us) if cell.in_force_us else None
    return {
        "list": change_rate.list_size,
        "changes_per_s": change_rate.per_s,
        "core": cores,
        "core_error": standard_error(cell.cores),
        "waited": statistics.mean(cell.run_queue),
        "of_budget": cores / BUDGET_CORES,
        "bytes_per_s": bytes_per_s,
        "bytes_of_budget": bytes_per_s / BUDGET_BYTES_PER_S,
        "mb": memory_mib,
        "mb_of_budget": memory_mib / BUDGET_MIB,
        "changes": len(cell.in_force_us),
        "in_force_p50_ms": in_force.get_value_at_percentile(50.0) / 1e3 if in_force else None,
        "in_force_p99_ms": in_force.get_value_at_percentile(99.0) / 1e3 if in_force else None,
        "load": statistics.mean(cell.load_average),
    }


def regression_slopes(plan: Plan, results: ControlResults) -> dict[str, Slope]:
    """Return lines over the list's size, the rate of change and the entries lost, where sizes are enough."""
    unchanging = [record for record in results.rates if not record["changes_per_s"]]
    lines = {
        "whole list: cpu_ms over servers": _Points(results.complete_lists, "list", "cpu_ms"),
        "whole list: bytes over servers": _Points(results.complete_lists, "list", "bytes"),
        "loss: cpu_ms over entries": _Points(results.losses, "lost", "cpu_ms"),
        "loss: bytes over entries": _Points(results.losses, "lost", "bytes"),
        "mb over servers": _Points(unchanging, "list", "mb"),
    }
    for rate in plan.rates:
        at_rate = [record for record in results.rates if record["changes_per_s"] == rate]
        lines[f"core over servers at {rate:.4g} changes a second"] = _Points(at_rate, "list", "core")
    for size in (plan.sizes[0], plan.sizes[-1]):
        of_size = [record for record in results.rates if record["list"] == size]
        for figure in ("core", "bytes_per_s"):
            name = f"{figure} over changes a second, {size} servers"
            lines[name] = _Points(of_size, "changes_per_s", figure)
    return {
        name: linear_regression(
            [record[line.x] for record in line.records], [record[line.y] for record in line.records]
        )
        for name, line in lines.items()
        if len({record[line.x] for record in line.records}) >= MIN_SLOPE_SIZES
    }


def report(plan: Plan, results: ControlResults, out: Path) -> None:
    """Print the tables and write the result file."""
    slopes = regression_slopes(plan, results)
    print(format_table(results.rates))
    print("\nThe whole list:\n" + format_table(results.complete_lists))
    print("\nEntries lost in one moment:\n" + format_table(results.losses))
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
