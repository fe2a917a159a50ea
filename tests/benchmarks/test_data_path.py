"""Arithmetic of the data path benchmark: added latency, and the search for the highest sustained rate."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from benchmarks.data_path.measurement import SliceMeasurements
from benchmarks.data_path.plan import Plan, SliceKind
from benchmarks.data_path.rate_limit import (
    MAX_FAILED_RATES,
    RATE_GROWTH,
    SUSTAINED_LATENCY_US,
    ProxiedSlice,
    find_rate_limit,
)
from benchmarks.data_path.records import latency_records
from benchmarks.support.open_loop import LoadResult


def test_added_latency_is_the_proxied_less_the_direct_one_at_each_percentile():
    stalled = [9000.0] * 100  # the latencies of one round of three
    measured = SliceMeasurements(
        proxied_us=[[1000.0] * 99 + [9000.0], [1000.0] * 99 + [9000.0], stalled],
        direct_us=[[400.0] * 99 + [500.0]] * 3,
        send_delays_us=[1.0],
    )
    record: dict[str, Any] = latency_records({SliceKind(13, 170.0): measured})[0].row()
    assert (record["list"], record["rate_per_s"], record["calls"]) == (13, 170.0, 300)
    assert record["added_p50_us"] == pytest.approx(600, rel=0.002)
    assert record["added_p99_us"] == pytest.approx(8600, rel=0.002)
    assert record["added_p99.9_us"] == pytest.approx(8500, rel=0.002)
    assert record["round_added_p50_us"] == record["round_added_p99_us"] == pytest.approx(600, rel=0.002)
    assert record["round_added_p99.9_us"] == pytest.approx(8500, rel=0.002)


def modelled_node(highest_sustained, dip):
    """Slices on a model of a node that sustains rates up to a limit, except those just above `dip`."""

    async def run_slice(rate):
        in_dip = dip is not None and dip < rate < dip * RATE_GROWTH
        sustained = rate <= highest_sustained and not in_dip
        latency_us = SUSTAINED_LATENCY_US * (0.5 if sustained else 1.5)
        result = LoadResult([latency_us] * 100, [1.0], Counter({200: 100}), 0, 1.0)
        return ProxiedSlice(result, 500.0, 0.0, 10)

    return run_slice


@pytest.mark.parametrize(
    ("highest_sustained", "dip"),
    [
        pytest.param(500.0, None, id="no dip"),
        pytest.param(500.0, 300.0, id="one dip"),
        pytest.param(100.0, None, id="none sustained"),
    ],
)
async def test_rate_limit_is_the_highest_rate_sustained_before_two_failures_in_a_row(highest_sustained, dip):
    plan = Plan(limit_min_rate=250.0)
    limit = await find_rate_limit(plan, 13, 0.003, modelled_node(highest_sustained, dip))
    rates = [trial.rate for trial in limit.trials]
    sustained = [rate for rate in rates if rate <= highest_sustained]
    assert limit.sustained_rate == pytest.approx(max([0.0, *sustained]))
    assert sum(rate > highest_sustained for rate in rates) == MAX_FAILED_RATES
    record: dict[str, Any] = limit.row_with_trials()
    assert record["kept_per_s"] == limit.sustained_rate
    assert [trial["kept_per_s"] for trial in record["steps"]] == rates
