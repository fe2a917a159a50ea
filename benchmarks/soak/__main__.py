"""Play soak runs: `python -m benchmarks.soak --seeds N`. Exit code 1 if a run breaks a rule."""

from __future__ import annotations

import asyncio
import resource
import sys
from pathlib import Path

import click
import msgspec

from benchmarks.soak.plan import make_plan
from benchmarks.soak.run import SoakResult, play
from benchmarks.support.options import out_option, seed_option

CLIENT_DESCRIPTORS = 8192  # of this process, which has all clients and endpoints
EXIT_BROKEN_RULE = 1
SHOWN_VIOLATIONS = 10


def raise_descriptor_limit() -> None:
    """Let this process have enough descriptors for all clients, as far as its hard limit allows."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, CLIENT_DESCRIPTORS)), hard))


def describe(result: SoakResult) -> str:
    """One line on a run, and its first broken rules."""
    plan = result.plan
    hostile = ", ".join(f"{group.clients} {group.kind}" for group in plan.hostile)
    statuses = " ".join(f"{status}={count}" for status, count in sorted(result.statuses.items()))
    line = (
        f"seed {plan.seed}: {len(result.violations)} broken; {statuses}; executions={result.executions};"
        f" memory {result.peak_memory_mb} of {plan.memory_mb} MB; lag {result.lag_s} s;"
        f" {plan.signals}, killed at the end {result.killed_at_end}; sockets {plan.sockets}; {hostile}"
    )
    return "\n".join([line, *[f"  {violation}" for violation in result.violations[:SHOWN_VIOLATIONS]]])


@click.command()
@seed_option
@click.option("--seeds", default=1, show_default=True, help="Runs, with consecutive seeds from --seed on.")
@click.option(
    "--seconds", default=4.0, show_default=True, help="Usual load of each run, without its signals."
)
@out_option("soak.json")
def main(seed: int, seeds: int, seconds: float, out: Path) -> None:
    """Play runs one after the other, and write their results."""
    raise_descriptor_limit()
    results = []
    for number in range(seed, seed + seeds):
        results.append(asyncio.run(play(make_plan(number, seconds))))
        print(describe(results[-1]), flush=True)
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    broken = [result.plan.seed for result in results if result.violations]
    print(f"{len(results)} runs, broken rules in {len(broken)}: {broken}")
    if broken:
        sys.exit(EXIT_BROKEN_RULE)


if __name__ == "__main__":
    main()
