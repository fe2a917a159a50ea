"""Measure the cost of a request through a real proxy: `python -m benchmarks.data_path`.

Proxies with lists of several sizes run at the same time and receive requests one after another: before each
slice of requests through a proxy there is a slice of direct requests at the same rate. A direct request goes
to one of a few backends over a keep-alive connection.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import click

from benchmarks.data_path.measurement import DIRECT_BACKENDS, DataPathBenchmark
from benchmarks.data_path.plan import Plan
from benchmarks.data_path.report import report
from benchmarks.support.node_setup import node_setup, stop_garbage_collection
from benchmarks.support.open_loop import run_with_exact_timers
from benchmarks.support.options import (
    make_plan,
    out_option,
    parse_numbers,
    quick_option,
    seed_option,
    service_ms_option,
    sizes_option,
    sockets_option,
)


async def measure(plan: Plan, out: Path) -> None:
    """Run the plan, print its tables and write its result file."""
    async with node_setup(
        plan.sizes, min_endpoints=DIRECT_BACKENDS, service_ms=plan.service_ms, seed=plan.seed
    ) as setup:
        for size, list_server in zip(plan.sizes, setup.backends.list_servers, strict=True):
            await setup.start_proxy(size, list_server, sockets=plan.sockets)
        benchmark = DataPathBenchmark(plan, setup, setup.backend_addresses(DIRECT_BACKENDS))
        stop_garbage_collection()
        await benchmark.warm_up()
        measurements = await benchmark.run_rounds()
        limit_sizes = dict.fromkeys((plan.sizes[0], plan.sizes[-1])) if plan.limit_s else ()
        limits = [await benchmark.find_rate_limit(size) for size in limit_sizes]
        report(benchmark, measurements, limits, out)


@click.command()
@click.option(
    "--rates",
    type=parse_numbers,
    default="50,170,500",
    metavar="N,...",
    show_default=True,
    help="Requests a second.",
)
@sizes_option("13,100,400,1000")
@click.option("--seconds", default=5.0, show_default=True, help="Length of each slice of requests.")
@click.option("--rounds", default=5, show_default=True, help="Rounds of all slices.")
@service_ms_option
@sockets_option
@click.option("--no-limit", is_flag=True, help="Don't search for the highest sustained rate.")
@seed_option
@quick_option
@out_option("datapath.json")
def main(*, no_limit: bool, quick: bool, out: Path, **plan_options: object) -> None:
    """Measure the data path of real proxies on this machine's loopback."""
    plan = make_plan(Plan, plan_options)
    if quick:
        plan = replace(plan, seconds=0.5, rounds=1, idle_s=0.5)
    if quick or no_limit:
        plan = replace(plan, limit_s=0.0)
    run_with_exact_timers(measure(plan, out))


if __name__ == "__main__":
    main()
