"""Measure a list server and hollow nodes as the number of watches grows: `python -m benchmarks.hollow`.

The command runs the real watch code of many nodes, without their data path, against a list server on
loopback: a plain one, a discovery server, or a chain of discovery servers. For each number of watches it
measures processor time, memory, bytes and the time until the last node has received a change: at steady rates
of change, at the loss of a zone, and after a restart of the server. It prints tables and writes a JSON file
with the slopes.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
from dataclasses import asdict, replace
from pathlib import Path

import click

from benchmarks.hollow.measurement import measure
from benchmarks.hollow.plan import ListLayout, Plan, with_layout
from benchmarks.hollow.report import format_report, regression_slopes
from benchmarks.hollow.server_under_test import ServerKind
from benchmarks.support.options import make_plan
from benchmarks.support.report import write_results

DEFAULT_SIZES = "250,500,1000,2000,4000"
RESULTS_FOLDER = Path("benchmarks/results")


def quick_plan(plan: Plan) -> Plan:
    """Return the plan with short phases, one burst and one restart."""
    return replace(plan, calm_s=6.0, rate_s=4.0, bursts=1, restarts=1)


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
    help="Which lists the server has.",
)
@click.option(
    "--sizes", default=DEFAULT_SIZES, show_default=True, help="Numbers of watches, separated by commas."
)
@click.option("--processes", default=4, show_default=True, help="Processes of hollow nodes.")
@click.option("--calm-s", default=24.0, show_default=True, help="Seconds at 7,200 changes a day.")
@click.option("--rate-s", default=15.0, show_default=True, help="Seconds at --rate.")
@click.option("--rate", default=1.0, show_default=True, help="Changes a second.")
@click.option(
    "--bursts", default=2, show_default=True, help="Losses of a zone, each followed by its recovery."
)
@click.option("--restarts", default=2, show_default=True, help="Restarts of the server that the nodes watch.")
@click.option("--balancer", "with_policy", is_flag=True, help="Each hollow node has a policy.")
@click.option("--quick", is_flag=True, help="Short phases, one burst and one restart.")
@click.option("--seed", default=7, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="The JSON file.")
def main(*, sizes: str, layout: str, quick: bool, out: Path | None, **plan_options: object) -> None:
    """Measure hollow nodes against a list server."""
    plan = make_plan(Plan, plan_options)
    if quick:
        plan = quick_plan(plan)
    rows = []
    for watches in map(int, sizes.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            sized_plan = with_layout(plan, ListLayout(layout), watches)
            record = asyncio.run(measure(sized_plan, watches, Path(folder)))
        rows.append(record.row())
        click.echo(f"{watches} watches measured", err=True)
    slopes = regression_slopes(rows)
    click.echo(format_report(rows, slopes))
    path = out or RESULTS_FOLDER / f"hollow-{plan.server}-{layout}.json"
    write_results(path, rows, slopes, plan=asdict(plan), shape=layout, cores=os.cpu_count())


if __name__ == "__main__":
    main()
