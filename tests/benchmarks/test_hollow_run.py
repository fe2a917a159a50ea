"""Runs of hollow nodes are complete: every change is delivered once, or counted as missed."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from typing import ClassVar

import pytest

from benchmarks.hollow import __main__ as hollow
from benchmarks.hollow import run as hollow_run
from benchmarks.hollow.messages import Acknowledgement, ChangeDelivery, ExpectChange, NodeCounters
from benchmarks.hollow.run import HollowRun, Plan
from benchmarks.hollow.servers_under_test import ServerKind
from benchmarks.support.processes import ProcessUsage


@pytest.mark.parametrize(
    ("server", "roles"),
    [(ServerKind.PLAIN, ["plain"]), (ServerKind.CHAIN, ["registry", "region", "zone"])],
    ids=["plain", "chain"],
)
def test_run_delivers_every_change_once_and_recovers_from_a_restart(tmp_path, monkeypatch, server, roles):
    monkeypatch.setattr(hollow_run, "SETTLE_S", 0.1)
    monkeypatch.setattr(hollow_run, "DOWNTIME_S", 0.1)
    short = Plan(server, processes=2, calm_s=0.5, rate_s=0.5, rate=8.0, bursts=1, restarts=1)
    record = asyncio.run(hollow.measure(replace(short, lists=2, servers=80, largest=50), 8, tmp_path))
    for phase in ("calm", "rate", "burst", "return", "restart"):
        assert record[f"{phase}_due"] > 0
        assert record[f"{phase}_missed"] == record[f"{phase}_again"] == record[f"{phase}_back"] == 0
        assert record[f"{phase}_last_ms"] >= record[f"{phase}_p99_ms"] >= record[f"{phase}_p50_ms"] > 0.0
    assert (record["rate_changes"], record["calm_failed"], record["burst_failed"]) == (4, 0, 0)
    assert record["restart_failed"] >= 8
    if server is ServerKind.PLAIN:  # which loses its change log
        assert record["restart_whole"] == 8
    for role in roles:
        assert record[f"{role}_rss_mib"] > 1.0
        assert record[f"rate_{role}_cpu_ms_per_s"] > 0.0


class LateNodes:
    """A process of hollow nodes whose one watch has each change only when its counters are read thrice."""

    def __init__(self, changes_arrive):
        self.changes_arrive = changes_arrive
        self.reads = 0
        self.serials = []

    async def request(self, message, answer_type):
        if isinstance(message, ExpectChange):
            self.serials.append(message.serial)
            return Acknowledgement()
        self.reads += 1
        moments = [time.monotonic()] if self.changes_arrive and self.reads >= 3 else []
        delivery = ChangeDelivery(1, len(moments), 0, moments, moments)
        return NodeCounters(dict.fromkeys(self.serials, delivery))

    def usage(self):
        return ProcessUsage(1, 0.0, 0.0)


class SourceWithoutProcesses:
    """A source of changes that needs no process."""

    roles: ClassVar[dict] = {}

    async def change(self, changes):
        return time.monotonic()


@pytest.mark.parametrize(("changes_arrive", "missed"), [(True, 0), (False, 2)])
def test_steady_phase_waits_for_late_changes_and_counts_lost_ones(
    tmp_path, monkeypatch, changes_arrive, missed
):
    monkeypatch.setattr(hollow_run, "SETTLE_S", 0.0)
    monkeypatch.setattr(hollow_run, "DELIVERY_TIMEOUT_S", 10.0 if changes_arrive else 0.3)
    run = HollowRun(Plan(lists=1, servers=10, largest=10), 1, tmp_path)
    run.server = SourceWithoutProcesses()
    run.node_processes = [LateNodes(changes_arrive)]
    record = asyncio.run(run.run_steady(0.02, 0.01)).deliveries.record()
    assert (record["due"], record["missed"], record["again"]) == (2, missed, 0)
