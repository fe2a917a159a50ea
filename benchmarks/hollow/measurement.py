"""The measurement of one number of watches: start, steady phases, events, and the resulting record."""

from __future__ import annotations

import os
from pathlib import Path

from benchmarks.hollow.change_deliveries import MILLISECONDS_PER_S
from benchmarks.hollow.discovery_server_chain import DiscoveryServerChain
from benchmarks.hollow.node_processes import NodeProcesses
from benchmarks.hollow.phases import Phase
from benchmarks.hollow.plain_server_process import PlainServer
from benchmarks.hollow.plan import CHANGES_PER_DAY, DAY_S, Plan
from benchmarks.hollow.records import EventsRecord, HollowRecord, WatchCounts, event_figures, steady_figures
from benchmarks.hollow.run import HollowRun
from benchmarks.hollow.server_under_test import ServerKind, ServerUnderTest
from benchmarks.hollow.written_changes import DEFAULT_TIMING, RunTiming


async def measure(plan: Plan, watches: int, folder: Path, timing: RunTiming = DEFAULT_TIMING) -> HollowRecord:
    """Run the plan with one number of watches and return its record; server files are written to `folder`."""
    run = HollowRun(plan, watches, create_server(plan.server, folder), NodeProcesses(), timing)
    try:
        counts = WatchCounts(
            watches=watches,
            lists=plan.lists,
            lists_watched=len(set(run.watches)),
            entries=plan.servers,
            load_before=os.getloadavg()[0],
        )
        return await _measure_run(run, counts)
    finally:
        await run.close()


async def _measure_run(run: HollowRun, counts: WatchCounts) -> HollowRecord:
    plan = run.plan
    memory_before_mib = await run.start()
    memory_mib = run.memory_mib()
    baseline = await run.run_steady(plan.calm_s, DAY_S / CHANGES_PER_DAY)
    rate = await run.run_steady(plan.rate_s, 1.0 / plan.rate)
    return HollowRecord(
        counts=counts,
        memory_before_mib=memory_before_mib,
        memory_mib=memory_mib,
        baseline=steady_figures(baseline, baseline),
        rate=steady_figures(rate, baseline),
        events=await _measure_events(run, baseline),
        end_memory_mib=run.memory_mib(),
        logged_problems=run.server.logged_problems(),
        load_after=os.getloadavg()[0],
    )


async def _measure_events(run: HollowRun, baseline: Phase) -> EventsRecord:
    bursts = [await run.run_burst(zone_number) for zone_number in range(run.plan.bursts)]
    restarts = [await run.run_restart() for _ in range(run.plan.restarts)]
    serving_after_s = max((restart.serving_after_s for restart in restarts), default=None)
    return EventsRecord(
        burst=event_figures([burst.loss for burst in bursts], baseline),
        recovery=event_figures([burst.recovery for burst in bursts], baseline),
        restart=event_figures([restart.phase for restart in restarts], baseline),
        restart_serving_ms=None if serving_after_s is None else serving_after_s * MILLISECONDS_PER_S,
    )


def create_server(kind: ServerKind, folder: Path) -> ServerUnderTest:
    """Create a server of this kind without starting it; its files are written to `folder`."""
    match kind:
        case ServerKind.PLAIN:
            return PlainServer(folder)
        case ServerKind.DISCOVERY_SERVER:
            return DiscoveryServerChain(folder, ["directory"])
        case ServerKind.CHAIN:
            return DiscoveryServerChain(folder, ["region", "zone"])
