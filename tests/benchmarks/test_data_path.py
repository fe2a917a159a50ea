"""The arithmetic of the data path's bench: added latency and the search for a node's limit."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from benchmarks.data_path import measurement as data_path_measurement
from benchmarks.data_path.measurement import Cell, DataPathBench, Plan, ProxiedSlice, SliceKind
from benchmarks.data_path.report import latency_records
from benchmarks.support import open_loop


def test_added_latency_is_the_proxied_less_the_direct_one_at_each_percentile():
    stalled = [9000.0] * 100  # in one round of three
    cell = Cell(
        proxied_us=[[1000.0] * 99 + [9000.0], [1000.0] * 99 + [9000.0], stalled],
        direct_us=[[400.0] * 99 + [500.0]] * 3,
        send_delays_us=[1.0],
    )
    record = latency_records({SliceKind(13, 170.0): cell})[0]
    assert (record["list"], record["rate_per_s"], record["calls"]) == (13, 170.0, 300)
    assert record["added_p50_us"] == pytest.approx(600, rel=0.002)
    assert record["added_p99_us"] == pytest.approx(8600, rel=0.002)
    assert record["added_p99.9_us"] == pytest.approx(8500, rel=0.002)
    assert record["round_added_p50_us"] == record["round_added_p99_us"] == pytest.approx(600, rel=0.002)
    assert record["round_added_p99.9_us"] == pytest.approx(8500, rel=0.002)


class ModelledBench(DataPathBench):
    """A bench whose node sustains every rate up to one, but for those just above a dip."""

    def __init__(self, plan, highest_sustained, dip):
        super().__init__(plan, None, [])
        self.highest_sustained = highest_sustained
        self.dip = dip
        self.idle_cores[13] = 0.003

    async def run_proxied(self, size, rate, seconds):
        in_dip = self.dip and self.dip < rate < self.dip * data_path_measurement.RATE_GROWTH
        sustained = rate <= self.highest_sustained and not in_dip
        latency_us = data_path_measurement.SUSTAINED_LATENCY_US * (0.5 if sustained else 1.5)
        result = open_loop.LoadResult([latency_us] * 100, [1.0], Counter({200: 100}), 0, 1.0)
        return ProxiedSlice(result, 500.0, 0.0, 10)


@pytest.mark.parametrize(
    ("highest_sustained", "dip"),
    [(500.0, None), (500.0, 300.0), (100.0, None)],
    ids=["plain", "one dip", "none sustained"],
)
def test_rate_limit_is_the_highest_rate_sustained_before_two_are_not(highest_sustained, dip):
    bench = ModelledBench(Plan(limit_min_rate=250.0), highest_sustained, dip)
    limit = asyncio.run(bench.find_rate_limit(13))
    rates = [trial.rate for trial in limit.trials]
    sustained = [rate for rate in rates if rate <= highest_sustained]
    assert limit.sustained_rate == pytest.approx(max([0.0, *sustained]))
    assert sum(rate > highest_sustained for rate in rates) == data_path_measurement.MAX_FAILED_RATES
    record = limit.record()
    assert record["kept_per_s"] == limit.sustained_rate
    assert [trial["kept_per_s"] for trial in record["steps"]] == rates
