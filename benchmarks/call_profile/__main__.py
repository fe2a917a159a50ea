"""Profile a request through a real proxy by stage: `python -m benchmarks.call_profile`.

Proxies with lists of several sizes sample themselves while they receive requests, one proxy at a time. The
microseconds per request of a stage are its fraction of the samples times the processor time per request,
which includes the proxy's idle work.
"""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

import click
import msgspec

from benchmarks.call_profile.profile import Profile, function_records, stage_records, total_records
from benchmarks.call_profile.profiled_proxy import (
    OUTPUT_VARIABLE,
    START_SIGNAL,
    STOP_SIGNAL,
    ProfileCounts,
)
from benchmarks.support.node_setup import (
    DEFAULT_LIST_SIZES,
    ORDINARY_RATE,
    WARM_UP_S,
    NodeSetup,
    node_setup,
    stop_garbage_collection,
)
from benchmarks.support.open_loop import run_with_exact_timers
from benchmarks.support.options import (
    make_plan,
    out_option,
    quick_option,
    seed_option,
    service_ms_option,
    sizes_option,
)
from benchmarks.support.processes import cpu_seconds
from benchmarks.support.proxy_process import START_TIMEOUT_S
from benchmarks.support.regression import MIN_SLOPE_SIZES, Slope, linear_regression
from benchmarks.support.report import format_table, write_results

PROFILE_POLL_S = 0.01


@dataclass(frozen=True, slots=True)
class Plan:
    """The parameters of a run, which consists of slices: periods of requests to one proxy."""

    seconds: float = 8.0  # of requests in each slice
    rounds: int = 4  # of all sizes
    rate: float = ORDINARY_RATE  # requests per second
    sizes: tuple[int, ...] = DEFAULT_LIST_SIZES
    service_ms: float = 0.0  # a backend's service time for a request
    seed: int = 7


async def read_counts(path: Path) -> ProfileCounts:
    """Wait for the file to which a proxy writes its counts, remove the file, and return the counts.

    Raises:
        TimeoutError: The file does not exist after `START_TIMEOUT_S`.
    """
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            counts = _remove_counts(path)
            if counts is not None:
                return counts
            await asyncio.sleep(PROFILE_POLL_S)


def _remove_counts(path: Path) -> ProfileCounts | None:
    if not path.exists():
        return None
    counts = msgspec.json.decode(path.read_bytes(), type=ProfileCounts)
    path.unlink()
    return counts


async def measure(plan: Plan, out: Path) -> None:
    """Run the plan, print its tables and write its result file."""
    profiles = {size: Profile() for size in plan.sizes}
    async with node_setup(plan.sizes, service_ms=plan.service_ms, seed=plan.seed) as setup:
        outputs = {size: setup.folder / f"profile{size}.json" for size in plan.sizes}
        for size, list_server in zip(plan.sizes, setup.backends.list_servers, strict=True):
            proxy = await setup.start_proxy(
                size,
                list_server,
                module="benchmarks.call_profile.profiled_proxy",
                environment={OUTPUT_VARIABLE: str(outputs[size])},
            )
            await setup.client.run([proxy.address], plan.rate, WARM_UP_S)
        stop_garbage_collection()
        for _ in range(plan.rounds):
            for size in plan.sizes:
                await profile_slice(plan, setup, size, outputs[size], profiles[size])
    report(plan, out, profiles)


async def profile_slice(plan: Plan, setup: NodeSetup, size: int, output: Path, profile: Profile) -> None:
    """Send a slice of requests through a proxy that samples itself, and update its profile."""
    proxy = setup.proxies[size]
    accepted = await setup.backends.accepted_connections()
    os.kill(proxy.pid, START_SIGNAL)
    cpu_s = cpu_seconds(proxy.pid)
    result = await setup.client.run([proxy.address], plan.rate, plan.seconds)
    profile.cpu_s += cpu_seconds(proxy.pid) - cpu_s
    os.kill(proxy.pid, STOP_SIGNAL)
    counts = await read_counts(output)  # totals of all slices up to this one
    profile.stage_samples = Counter(counts.stages)
    profile.function_samples = Counter(counts.functions)
    profile.requests += len(result.latencies_us)
    profile.opened_connections += await setup.backends.accepted_connections() - accepted


def report(plan: Plan, out: Path, profiles: Mapping[int, Profile]) -> None:
    """Print the tables and write the result file."""
    stages = stage_records(profiles)
    stage_rows = [record.row() for record in stages]
    total_rows = [record.row() for record in total_records(profiles)]
    function_rows = [record.row() for record in function_records(profiles)]
    print(format_table(total_rows), format_table(stage_rows), sep="\n\n")
    print("\nFunctions, without the functions that they call:\n" + format_table(function_rows))
    slopes: dict[str, Slope] = {}
    if len(profiles) >= MIN_SLOPE_SIZES:
        slopes = {
            record.stage: linear_regression(list(record.us_by_size), list(record.us_by_size.values()))
            for record in stages
        }
    for name, slope in slopes.items():
        print(f"{name}: {slope.base:.4g} + {slope.per_unit:.4g} ± {slope.error:.2g} us a server")
    write_results(out, total_rows, slopes, plan=plan, stages=stage_rows, functions=function_rows)


@click.command()
@click.option("--rate", default=ORDINARY_RATE, show_default=True, help="Requests per second.")
@sizes_option("13,100,400,1000")
@click.option("--seconds", default=8.0, show_default=True, help="Duration of each slice of requests.")
@click.option("--rounds", default=4, show_default=True, help="Number of slices per list size.")
@service_ms_option
@seed_option
@quick_option
@out_option("callprofile.json")
def main(*, quick: bool, out: Path, **plan_options: object) -> None:
    """Profile real proxies over this machine's loopback interface."""
    plan = make_plan(Plan, plan_options)
    plan = replace(plan, sizes=tuple(sorted(plan.sizes)))
    if quick:
        plan = replace(plan, seconds=1.0, rounds=1)
    run_with_exact_timers(measure(plan, out))


if __name__ == "__main__":
    main()
