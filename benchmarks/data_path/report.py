"""Tables, slopes and the result file of the data path benchmark."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

from benchmarks.data_path.measurement import DataPathBenchmark, SliceMeasurements
from benchmarks.data_path.plan import SliceKind
from benchmarks.data_path.rate_limit import RateLimit
from benchmarks.data_path.records import CostRecord, cost_records, latency_records, rounds_records
from benchmarks.support.regression import MIN_SLOPE_SIZES, Slope, linear_regression
from benchmarks.support.report import format_table, write_results


def slopes_over_sizes(
    measurements: Mapping[SliceKind, SliceMeasurements], benchmark: DataPathBenchmark
) -> dict[str, Slope]:
    """Return regression lines over the list size, if there are enough sizes; each round is one point."""
    compared = {
        kind.list_size: measured
        for kind, measured in measurements.items()
        if kind.rate == benchmark.plan.comparison_rate
    }
    if len(compared) < MIN_SLOPE_SIZES:
        return {}
    points = [(size, cpu_us) for size, measured in compared.items() for cpu_us in measured.cpu_us]
    sizes = list(benchmark.idle_cores)
    return {
        "cpu_us_per_call": linear_regression([size for size, _ in points], [cpu_us for _, cpu_us in points]),
        "idle_core": linear_regression(sizes, [benchmark.idle_cores[size] for size in sizes]),
        "idle_mb": linear_regression(sizes, [benchmark.idle_mib[size] for size in sizes]),
    }


def cost_ratios(costs: Sequence[CostRecord], benchmark: DataPathBenchmark) -> dict[str, float]:
    """Return the ratio of processor time per request with the largest list to that with the smallest list."""
    smallest, largest = min(benchmark.plan.sizes), max(benchmark.plan.sizes)
    if smallest == largest:
        return {}
    cpu_us = {cost.list_size: cost.cpu_us for cost in costs if cost.rate == benchmark.plan.comparison_rate}
    return {f"cpu_us, {largest} servers to {smallest}": cpu_us[largest] / cpu_us[smallest]}


def report(
    benchmark: DataPathBenchmark,
    measurements: Mapping[SliceKind, SliceMeasurements],
    limits: Sequence[RateLimit],
    out: Path,
) -> None:
    """Print the tables and write the result file."""
    costs = cost_records(measurements, benchmark)
    latency_rows = [record.row() for record in latency_records(measurements)]
    cost_rows = [record.row() for record in costs]
    slopes, ratios = slopes_over_sizes(measurements, benchmark), cost_ratios(costs, benchmark)
    write_results(
        out,
        [cost | latency for cost, latency in zip(cost_rows, latency_rows, strict=True)],
        slopes,
        plan=benchmark.plan,
        limits=[limit.row_with_trials() for limit in limits],
        ratios=ratios,
        rounds=[record.row() for record in rounds_records(measurements)],
    )
    print(format_table(latency_rows), format_table(cost_rows), sep="\n\n")
    if limits:
        print("\n" + format_table([limit.row() for limit in limits]))
    for name, slope in slopes.items():
        print(f"{name}: {slope.describe('a server')}")
    for name, ratio in ratios.items():
        print(f"{name}: {ratio:.3f} times")
