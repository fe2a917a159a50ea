"""Where the processor time of a request through a real proxy goes: `python -m benchmarks.call_profile`.

Proxies with lists of several sizes sample themselves while they are called in turn. A stage's microseconds a
request are its fraction of the samples times the processor time a request, the proxy's idle work included.
"""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import click
import msgspec

from benchmarks.call_profile.profiled_proxy import OUTPUT_VARIABLE, START_SIGNAL, STOP_SIGNAL, ProfileCounts
from benchmarks.support.node_setup import (
    DEFAULT_LIST_SIZES,
    ORDINARY_RATE,
    WARM_UP_S,
    NodeSetup,
    node_setup,
    stop_garbage_collection,
)
from benchmarks.support.open_loop import MICROSECONDS_PER_S, run_with_exact_timers
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

LISTED_FUNCTIONS = 12  # of each size, those with the most samples
PROFILE_POLL_S = 0.01


@dataclass(frozen=True, slots=True)
class Plan:
    """What is run."""

    seconds: float = 8.0  # of requests in each slice
    rounds: int = 4  # of all sizes
    rate: float = ORDINARY_RATE  # requests a second
    sizes: tuple[int, ...] = DEFAULT_LIST_SIZES
    service_ms: float = 0.0  # a backend's time for a request
    seed: int = 7


@dataclass(slots=True)
class Profile:
    """What was seen of the proxy with one size of list."""

    requests: int = 0
    cpu_s: float = 0.0
    opened: int = 0  # connections to backends
    stage_samples: Counter[str] = field(default_factory=Counter)
    function_samples: Counter[str] = field(default_factory=Counter)

    @property
    def samples(self) -> int:
        """All samples."""
        return self.stage_samples.total()

    def us_per_request(self, samples: int) -> float:
        """Return the microseconds a request that so many samples stand for."""
        cpu_us = self.cpu_s / max(1, self.requests) * MICROSECONDS_PER_S
        return samples / max(1, self.samples) * cpu_us


async def read_counts(path: Path) -> ProfileCounts:
    """Return the counts that a proxy writes to a file, as soon as they are there, and remove the file.

    Raises:
        TimeoutError: There is no file after `START_TIMEOUT_S`.
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
    """Run the plan, print its tables, write its result file."""
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
    """Run one slice of requests through a proxy that samples itself meanwhile, and add it to the profile."""
    proxy = setup.proxies[size]
    accepted = await setup.backends.accepted_connections()
    os.kill(proxy.pid, START_SIGNAL)
    cpu_s = cpu_seconds(proxy.pid)
    result = await setup.client.run([proxy.address], plan.rate, plan.seconds)
    profile.cpu_s += cpu_seconds(proxy.pid) - cpu_s
    os.kill(proxy.pid, STOP_SIGNAL)
    counts = await read_counts(output)  # of all slices so far
    profile.stage_samples = Counter(counts.stages)
    profile.function_samples = Counter(counts.functions)
    profile.requests += len(result.latencies_us)
    profile.opened += await setup.backends.accepted_connections() - accepted


def stage_records(profiles: Mapping[int, Profile]) -> list[dict[str, Any]]:
    """Return microseconds a request by stage and size of list, the most at the largest list first."""
    stages = set().union(*(profile.stage_samples for profile in profiles.values()))
    largest = profiles[max(profiles)]
    return [
        {"stage": stage}
        | {
            f"us_at_{size}": profile.us_per_request(profile.stage_samples[stage])
            for size, profile in sorted(profiles.items())
        }
        for stage in sorted(stages, key=lambda stage: -largest.stage_samples[stage])
    ]


def total_records(profiles: Mapping[int, Profile]) -> list[dict[str, Any]]:
    """Return a record for each size of list: requests, samples and processor time."""
    return [
        {
            "list": size,
            "calls": profile.requests,
            "samples": profile.samples,
            "cpu_us": profile.us_per_request(profile.samples),
            "opened_per_call": profile.opened / profile.requests,
            "load": os.getloadavg()[0],
        }
        for size, profile in sorted(profiles.items())
    ]


def function_records(profiles: Mapping[int, Profile]) -> list[dict[str, Any]]:
    """Return the functions with the most samples at each size of list."""
    return [
        {"list": size, "function": name, "us": profile.us_per_request(samples)}
        for size, profile in sorted(profiles.items())
        for name, samples in profile.function_samples.most_common(LISTED_FUNCTIONS)
    ]


def report(plan: Plan, out: Path, profiles: Mapping[int, Profile]) -> None:
    """Print the tables and write the result file."""
    stages, totals, functions = stage_records(profiles), total_records(profiles), function_records(profiles)
    print(format_table(totals), format_table(stages), sep="\n\n")
    print("\nFunctions, without what they call:\n" + format_table(functions))
    slopes: dict[str, Slope] = {}
    if len(profiles) >= MIN_SLOPE_SIZES:
        sizes = sorted(profiles)
        slopes = {
            record["stage"]: linear_regression(sizes, [record[f"us_at_{size}"] for size in sizes])
            for record in stages
        }
        for name, slope in slopes.items():
            print(f"{name}: {slope.base:.4g} + {slope.per_unit:.4g} ± {slope.error:.2g} us a server")
    write_results(out, totals, slopes, plan=plan, stages=stages, functions=functions)


@click.command()
@click.option("--rate", default=ORDINARY_RATE, show_default=True, help="Requests a second.")
@sizes_option("13,100,400,1000")
@click.option("--seconds", default=8.0, show_default=True, help="For each slice of requests.")
@click.option("--rounds", default=4, show_default=True, help="Of all sizes.")
@service_ms_option
@seed_option
@quick_option
@out_option("callprofile.json")
def main(*, quick: bool, out: Path, **plan_options: object) -> None:
    """Profile real proxies on this machine's loopback."""
    plan = make_plan(Plan, plan_options)
    plan = replace(plan, sizes=tuple(sorted(plan.sizes)))
    if quick:
        plan = replace(plan, seconds=1.0, rounds=1)
    run_with_exact_timers(measure(plan, out))


if __name__ == "__main__":
    main()
