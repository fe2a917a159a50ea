"""Tables, slopes and the result file of the data path's bench; the file's names are those of earlier runs."""

from __future__ import annotations

import statistics
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from benchmarks.data_path.measurement import Cell, DataPathBench, RateLimit, SliceKind
from benchmarks.support.open_loop import histogram
from benchmarks.support.processes import resident_mib
from benchmarks.support.regression import MIN_SLOPE_SIZES, Slope, linear_regression, standard_error
from benchmarks.support.report import format_table, write_results

PERCENTILES = (50.0, 99.0, 99.9)


def latency_records(cells: Mapping[SliceKind, Cell]) -> list[dict[str, Any]]:
    """Return microseconds direct, through the proxy, and the difference of the two at each percentile.

    `added` is of all requests together, `round_added` the median of the rounds' own differences: seconds in
    which the machine stood still stay in the one and count as one round in the other.
    """
    return [_latency_record(kind, cell) for kind, cell in cells.items()]


def _latency_record(kind: SliceKind, cell: Cell) -> dict[str, Any]:
    record: dict[str, Any] = {"list": kind.list_size, "rate_per_s": kind.rate, "calls": cell.requests}
    direct = histogram([latency_us for in_round in cell.direct_us for latency_us in in_round])
    proxied = histogram([latency_us for in_round in cell.proxied_us for latency_us in in_round])
    direct_rounds = [histogram(in_round) for in_round in cell.direct_us]
    proxied_rounds = [histogram(in_round) for in_round in cell.proxied_us]
    for percent in PERCENTILES:
        record[f"direct_p{percent:g}_us"] = direct.get_value_at_percentile(percent)
    for percent in PERCENTILES:
        record[f"node_p{percent:g}_us"] = proxied.get_value_at_percentile(percent)
    for percent in PERCENTILES:
        record[f"added_p{percent:g}_us"] = record[f"node_p{percent:g}_us"] - record[f"direct_p{percent:g}_us"]
    for percent in PERCENTILES:
        record[f"round_added_p{percent:g}_us"] = statistics.median(
            proxied_round.get_value_at_percentile(percent) - direct_round.get_value_at_percentile(percent)
            for direct_round, proxied_round in zip(direct_rounds, proxied_rounds, strict=True)
        )
    record["late_sent_p99_us"] = histogram(cell.send_delays_us).get_value_at_percentile(99.0)
    return record


def cost_records(cells: Mapping[SliceKind, Cell], bench: DataPathBench) -> list[dict[str, Any]]:
    """Return what the node used: processor microseconds a request, with the rounds' standard error."""
    return [
        {
            "list": kind.list_size,
            "rate_per_s": kind.rate,
            "cpu_us": statistics.mean(cell.cpu_us),
            "cpu_error_us": standard_error(cell.cpu_us),
            "waited_us": statistics.mean(cell.run_queue_us),
            "idle_core": bench.idle_cores[kind.list_size],
            "idle_mb": bench.idle_mib[kind.list_size],
            "end_mb": resident_mib(bench.setup.proxies[kind.list_size].pid),
            "opened_per_call": sum(cell.opened) / cell.requests,
            "ok_share": cell.succeeded / cell.requests,
            "load": statistics.mean(cell.load_average),
        }
        for kind, cell in cells.items()
    ]


def slopes_over_sizes(cells: Mapping[SliceKind, Cell], bench: DataPathBench) -> dict[str, Slope]:
    """Return lines over the list's size, if there are sizes enough; each round is a point of its own."""
    compared = {
        kind.list_size: cell for kind, cell in cells.items() if kind.rate == bench.plan.comparison_rate
    }
    if len(compared) < MIN_SLOPE_SIZES:
        return {}
    points = [(size, cpu_us) for size, cell in compared.items() for cpu_us in cell.cpu_us]
    sizes = list(bench.idle_cores)
    return {
        "cpu_us_per_call": linear_regression([size for size, _ in points], [cpu_us for _, cpu_us in points]),
        "idle_core": linear_regression(sizes, [bench.idle_cores[size] for size in sizes]),
        "idle_mb": linear_regression(sizes, [bench.idle_mib[size] for size in sizes]),
    }


def cost_ratios(costs: Sequence[Mapping[str, Any]], bench: DataPathBench) -> dict[str, float]:
    """Return the ratio of the largest list's processor time a request to the smallest one's."""
    smallest, largest = min(bench.plan.sizes), max(bench.plan.sizes)
    if smallest == largest:
        return {}
    compared = [record for record in costs if record["rate_per_s"] == bench.plan.comparison_rate]
    cpu_us = {record["list"]: record["cpu_us"] for record in compared}
    return {f"cpu_us, {largest} servers to {smallest}": cpu_us[largest] / cpu_us[smallest]}


def report(
    bench: DataPathBench, cells: Mapping[SliceKind, Cell], limits: Sequence[RateLimit], out: Path
) -> None:
    """Print the tables and write the result file."""
    latencies, costs = latency_records(cells), cost_records(cells, bench)
    slopes, ratios = slopes_over_sizes(cells, bench), cost_ratios(costs, bench)
    limit_records = [limit.record() for limit in limits]
    write_results(
        out,
        [cost | latency for cost, latency in zip(costs, latencies, strict=True)],
        slopes,
        plan=bench.plan,
        limits=limit_records,
        ratios=ratios,
        rounds=_round_records(cells),
    )
    print(format_table(latencies), format_table(costs), sep="\n\n")
    if limits:
        shown = [{key: value for key, value in record.items() if key != "steps"} for record in limit_records]
        print("\n" + format_table(shown))
    for name, slope in slopes.items():
        print(f"{name}: {slope.describe('a server')}")
    for name, ratio in ratios.items():
        print(f"{name}: {ratio:.3f} times")


def _round_records(cells: Mapping[SliceKind, Cell]) -> list[dict[str, Any]]:
    return [
        {"list": kind.list_size, "rate_per_s": kind.rate, "cpu_us": cell.cpu_us, "opened": cell.opened}
        for kind, cell in cells.items()
    ]
