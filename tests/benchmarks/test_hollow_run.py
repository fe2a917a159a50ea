"""Runs of hollow nodes deliver each change once or count it as missed, even if a slow disk delays it."""

from __future__ import annotations

import time
from typing import Any

import pytest

from benchmarks.hollow.measurement import measure
from benchmarks.hollow.messages import ChangeDelivery, NodeCounters
from benchmarks.hollow.node_processes import NodeProcesses
from benchmarks.hollow.plain_server_process import PlainServer
from benchmarks.hollow.plan import Plan
from benchmarks.hollow.run import HollowRun
from benchmarks.hollow.server_under_test import ServerKind
from benchmarks.hollow.written_changes import RunTiming


@pytest.mark.parametrize(
    ("server", "roles"),
    [
        pytest.param(ServerKind.PLAIN, ["plain"], id="plain"),
        pytest.param(ServerKind.CHAIN, ["registry", "region", "zone"], id="chain"),
    ],
)
async def test_run_delivers_every_change_once_and_recovers_from_a_restart(tmp_path, server, roles):
    plan = Plan(server, 2, 80, 50, processes=2, calm_s=0.5, rate_s=0.5, rate=8.0, bursts=1, restarts=1)
    measured = await measure(plan, 8, tmp_path, RunTiming(settle_s=0.1, downtime_s=0.1))
    record: dict[str, Any] = measured.row()
    for phase in ("calm", "rate", "burst", "return", "restart"):
        assert record[f"{phase}_due"] > 0
        assert record[f"{phase}_missed"] == record[f"{phase}_again"] == record[f"{phase}_back"] == 0
        assert record[f"{phase}_last_ms"] >= record[f"{phase}_p99_ms"] >= record[f"{phase}_p50_ms"] > 0.0
    assert (record["rate_changes"], record["calm_failed"], record["burst_failed"]) == (4, 0, 0)
    assert record["restart_failed"] >= 8
    if server is ServerKind.PLAIN:  # has no change log after a restart
        assert record["restart_whole"] == 8
    for role in roles:
        assert record[f"{role}_rss_mib"] > 1.0
        assert record[f"rate_{role}_cpu_ms_per_s"] > 0.0


class LateNodes(NodeProcesses):
    """One watch that has each change only from the third reading of the counters on, or never."""

    def __init__(self, changes_arrive):
        super().__init__()
        self.changes_arrive = changes_arrive
        self.reads = 0
        self.serials = []

    async def expect(self, change):
        self.serials.append(change.serial)

    async def read_counters(self, *, clear):
        self.reads += 1
        times_s = [time.monotonic()] if self.changes_arrive and self.reads >= 3 else []
        delivery = ChangeDelivery(1, len(times_s), 0, times_s, times_s)
        return [NodeCounters(dict.fromkeys(self.serials, delivery))]


@pytest.mark.parametrize(
    ("changes_arrive", "delivery_timeout_s", "missed"),
    [
        pytest.param(True, 30.0, 0, id="late changes"),
        pytest.param(False, 0.3, 2, id="lost changes"),
    ],
)
async def test_steady_phase_waits_for_late_changes_and_counts_lost_ones(
    tmp_path, changes_arrive, delivery_timeout_s, missed
):
    timing = RunTiming(settle_s=0.0, delivery_timeout_s=delivery_timeout_s)
    plan = Plan(lists=1, servers=10, largest=10)
    run = HollowRun(plan, 1, PlainServer(tmp_path), LateNodes(changes_arrive), timing)
    figures = (await run.run_steady(0.02, 0.01)).deliveries.figures()
    assert (figures.expected, figures.missed, figures.repeated) == (2, missed, 0)
