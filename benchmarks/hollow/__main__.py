"""Hollow nodes: what a list server, and the nodes' watches, cost as the number of watches grecords.

`python -m benchmarks.hollow` runs the real watch code of many nodes, without their data path, against a list
server on loopback: a plain one, a discovery server, or a chain of discovery servers. For each number of
watches it measures processor time, memory, bytes and the time until the last node has a change: with few
changes, in a zone's loss, and after the server's restart. It prints tables and writes a JSON file with the
slopes.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
from dataclasses import asdict, replace
from enum import StrEnum
from pathlib import Path
from typing import Any

import click

from benchmarks.hollow.change_deliveries import MILLISECONDS_PER_S
from benchmarks.hollow.report import event_record, format_report, regression_slopes, steady_record
from benchmarks.hollow.run import CHANGES_PER_DAY, DAY_S, HollowRun, Phase, Plan
from benchmarks.hollow.servers_under_test import ServerKind
from benchmarks.hollow.service_lists import LARGEST_SERVICE, SERVERS, SERVICES
from benchmarks.support.options import make_plan
from benchmarks.support.report import write_results

DEFAULT_SIZES = "250,500,1000,2000,4000"
QUICK_OPTIONS: dict[str, Any] = {"calm_s": 6.0, "rate_s": 4.0, "bursts": 1, "restarts": 1}
RESULTS_FOLDER = Path("benchmarks/results")


class ListLayout(StrEnum):
    """Which lists there are."""

    ONE = "one"  # one list of the largest size
    FLEET = "fleet"  # all of the fleet's
    TOGETHER = "together"  # as many as the watches make up


def with_layout(plan: Plan, layout: ListLayout, watches: int) -> Plan:
    """Return the plan with the lists of a layout."""
    match layout:
        case ListLayout.ONE:
            return replace(plan, lists=1, servers=LARGEST_SERVICE, largest=LARGEST_SERVICE)
        case ListLayout.FLEET:
            return replace(plan, lists=SERVICES, servers=SERVERS, largest=LARGEST_SERVICE)
        case ListLayout.TOGETHER:
            services = max(1, watches * SERVICES // SERVERS)
            largest = min(LARGEST_SERVICE, max(1, watches // 4))
            return replace(plan, lists=services, servers=watches, largest=largest)


async def measure(plan: Plan, watches: int, folder: Path) -> dict[str, Any]:
    """Return the record of one number of watches."""
    run = HollowRun(plan, watches, folder)
    try:
        record: dict[str, Any] = {
            "watches": watches,
            "lists": plan.lists,
            "lists_watched": len(set(run.watches)),
            "entries": plan.servers,
            "load_before": os.getloadavg()[0],
        }
        record |= await run.start()
        record |= run.memory_mib()
        calm = await run.run_steady(plan.calm_s, DAY_S / CHANGES_PER_DAY)
        rate = await run.run_steady(plan.rate_s, 1.0 / plan.rate)
        record |= {f"calm_{key}": value for key, value in steady_record(calm, calm).items()}
        record |= {f"rate_{key}": value for key, value in steady_record(rate, calm).items()}
        record |= await measure_events(run, calm)
        record |= {f"end_{key}": value for key, value in run.memory_mib().items()}
        record |= {f"log_{name}": count for name, count in run.server.logged_problems().items()}
        record["load_after"] = os.getloadavg()[0]
        return record
    finally:
        await run.close()


async def measure_events(run: HollowRun, calm: Phase) -> dict[str, Any]:
    """Run the plan's bursts and restarts, and return their figures."""
    bursts = [await run.run_burst(zone_number) for zone_number in range(run.plan.bursts)]
    record = event_record("burst", [burst.loss for burst in bursts], calm)
    record |= event_record("return", [burst.recovery for burst in bursts], calm)
    restarts = [await run.run_restart() for _ in range(run.plan.restarts)]
    record |= event_record("restart", [restart.phase for restart in restarts], calm)
    if restarts:
        serving_after_s = max(restart.serving_after_s for restart in restarts)
        record["restart_serving_ms"] = serving_after_s * MILLISECONDS_PER_S
    return record


@click.command()
@click.option(
    "--server",
    type=click.Choice([kind.value for kind in ServerKind]),
    default=ServerKind.PLAIN.value,
    show_default=True,
)
@click.option(
    "--shape",
    "layout",
    type=click.Choice([layout.value for layout in ListLayout]),
    default=ListLayout.ONE.value,
    show_default=True,
    help="Which lists there are.",
)
@click.option("--sizes", default=DEFAULT_SIZES, show_default=True, help="Watches, separated by commas.")
@click.option("--processes", default=4, show_default=True, help="In which the hollow nodes are.")
@click.option("--calm-s", default=24.0, show_default=True, help="Seconds at 7,200 changes a day.")
@click.option("--rate-s", default=15.0, show_default=True, help="Seconds at --rate.")
@click.option("--rate", default=1.0, show_default=True, help="Changes a second.")
@click.option("--bursts", default=2, show_default=True, help="Zones lost and returned.")
@click.option("--restarts", default=2, show_default=True, help="Of the server that the nodes watch.")
@click.option("--balancer", "with_policy", is_flag=True, help="Each hollow node has its policy.")
@click.option("--quick", is_flag=True, help="Short phases, one burst and one restart.")
@click.option("--seed", default=7, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="The JSON file.")
def main(*, sizes: str, layout: str, quick: bool, out: Path | None, **plan_options: object) -> None:
    """Measure hollow nodes against a list server."""
    plan = make_plan(Plan, plan_options | (QUICK_OPTIONS if quick else {}))
    records = []
    for watches in map(int, sizes.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            sized_plan = with_layout(plan, ListLayout(layout), watches)
            records.append(asyncio.run(measure(sized_plan, watches, Path(folder))))
        click.echo(f"{watches} watches measured", err=True)
    slopes = regression_slopes(records)
    click.echo(format_report(records, slopes))
    path = out or RESULTS_FOLDER / f"hollow-{plan.server}-{layout}.json"
    write_results(path, records, slopes, plan=asdict(plan), shape=layout, cores=os.cpu_count())


if __name__ == "__main__":
    main()
