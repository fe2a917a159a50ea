"""Measure the cost of endpoint list changes for a real proxy: `python -m benchmarks.control`.

The proxies receive no requests. Proxies with lists of several sizes run at the same time, each with its own
list server in this process.
"""

from __future__ import annotations

import gc
import statistics
import tempfile
from collections.abc import Sequence
from dataclasses import replace
from functools import partial
from pathlib import Path

import click

from benchmarks.control.following_node import FollowingNode
from benchmarks.control.measurement import measure_change, run_rounds
from benchmarks.control.plan import ChangeRate, Plan
from benchmarks.control.report import ControlResults, rate_rows, report
from benchmarks.support.open_loop import run_with_exact_timers
from benchmarks.support.options import make_plan, out_option, quick_option, seed_option, sizes_option


async def measure(plan: Plan, out: Path) -> None:
    """Run the plan, print its tables and write its result file."""
    nodes = [FollowingNode(size, plan.seed) for size in plan.sizes]
    with tempfile.TemporaryDirectory() as folder:
        try:
            for node in nodes:
                await node.start(Path(folder), plan.seed)
            gc.collect()
            gc.freeze()
            results = await measure_all(plan, nodes)
            report(plan, results, out)
        finally:
            for node in nodes:
                await node.stop()


async def measure_all(plan: Plan, nodes: Sequence[FollowingNode]) -> ControlResults:
    """Measure steady rates of change, then complete lists, then losses from the largest list."""
    measurements = await run_rounds(plan, nodes)
    for node in nodes:
        node.idle_cores = statistics.mean(measurements[ChangeRate(node.size, 0.0)].cores)
    rates = rate_rows(plan, measurements, nodes)
    complete_lists = [await measure_complete_list(plan, node) for node in nodes]
    largest = nodes[-1]
    losses = [await measure_loss(plan, largest, count) for count in plan.losses if count <= largest.size]
    return ControlResults(rates, complete_lists, losses)


async def measure_complete_list(plan: Plan, node: FollowingNode) -> dict[str, object]:
    """Measure updates with a node's complete list; return their table row."""
    cost = await measure_change(node, list, plan.repeats, compact=True)
    return {"list": node.size} | cost.record().row()


async def measure_loss(plan: Plan, node: FollowingNode, count: int) -> dict[str, object]:
    """Measure losses of `count` entries in one change; return their table row."""
    next_losses = partial(node.churn.next_losses, count)
    cost = await measure_change(node, next_losses, plan.repeats, restore=True)
    return {"list": node.size, "lost": count} | cost.record().row()


@click.command()
@sizes_option("13,100,400,1000,2000")
@click.option("--seconds", default=24.0, show_default=True, help="Seconds at each rate of change.")
@click.option("--rounds", default=2, show_default=True, help="Rounds of all rates.")
@seed_option
@quick_option
@out_option("control.json")
def main(*, quick: bool, out: Path, **plan_options: object) -> None:
    """Measure the control path of real proxies on this machine's loopback."""
    plan = make_plan(Plan, plan_options)
    plan = replace(plan, sizes=tuple(sorted(plan.sizes)))
    if quick:
        plan = replace(plan, seconds=0.5, rounds=1, repeats=1)
    run_with_exact_timers(measure(plan, out))


if __name__ == "__main__":
    main()
