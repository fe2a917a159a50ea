"""Simulate the policy for several sizes of a service and depths of a chain: `python -m benchmarks.model`.

The first simulations are of one service with as many nodes as backends, on one list, at half the capacity:
the connections of the nodes' pools, the distribution of the load, and the restart of a tenth of the backends.
The second are of chains of tiers in which one tier rejects or fails a tenth of its attempts or clients. The
command prints tables and writes `benchmarks/results/model.json`; it takes about 4 minutes of a core.
"""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from pathlib import Path

import click

from benchmarks.models.chain_records import chain_records, chain_slopes
from benchmarks.models.fleet_records import (
    IDLE_TIMEOUTS_S,
    LOAD,
    MAX_NODES_FOR_LONG_TIMEOUT,
    FleetRecord,
    fleet_record,
    fleet_slopes,
)
from benchmarks.support.options import parse_integers
from benchmarks.support.records import Row
from benchmarks.support.report import format_table, write_results

RESULTS_FILE = Path(__file__).resolve().parent / "results" / "model.json"
DEFAULT_SIZES = "13,100,200,300,1000"
MIN_SIMULATED_NODES = 150  # over all runs of one size
DEPTHS = (1, 3, 6, 12)
SECOND_TABLE_FIRST_COLUMN = "cv"  # the first column of the fleets' second table


def fleet_records(sizes: Iterable[int], seed: int) -> list[FleetRecord]:
    """Simulate each number of nodes, small ones in several runs, and return the records."""
    records = []
    for nodes in sizes:
        timeouts_s = IDLE_TIMEOUTS_S if nodes <= MAX_NODES_FOR_LONG_TIMEOUT else IDLE_TIMEOUTS_S[:1]
        runs = max(1, round(MIN_SIMULATED_NODES / nodes))
        record = fleet_record(nodes, seed, runs, timeouts_s)
        cost = f"{record.requests} requests, {record.cpu_ms_per_request:.3f} ms each"
        click.echo(f"  {nodes} nodes: {cost}", err=True)
        records.append(record)
    return records


def print_tables(fleets: Sequence[Row], chains: Sequence[Row]) -> None:
    """Print two tables of fleets and one of chains."""
    columns = list(fleets[0])
    split = columns.index(SECOND_TABLE_FIRST_COLUMN)
    for names in (columns[:split], ["nodes", *columns[split:]]):
        shown = [{name: "-" if fleet[name] is None else fleet[name] for name in names} for fleet in fleets]
        click.echo(format_table(shown) + "\n")
    shown = [{name: figure for name, figure in chain.items() if name != "by tier"} for chain in chains]
    click.echo(format_table(shown) + "\n")


@click.command(help=__doc__)
@click.option(
    "--sizes",
    type=parse_integers,
    default=DEFAULT_SIZES,
    metavar="N,...",
    help="Numbers of nodes, separated by commas.",
)
@click.option("--seed", default=1)
@click.option("--out", type=click.Path(path_type=Path), default=RESULTS_FILE)
def main(sizes: tuple[int, ...], seed: int, out: Path) -> None:
    """Run the simulations, print their tables and write the result file."""
    started_s = time.process_time()
    fleets = fleet_records(sizes, seed)
    fleets_s = time.process_time() - started_s
    chains = chain_records(DEPTHS, seed)
    fleet_rows = [record.row() for record in fleets]
    chain_rows = [record.row() for record in chains]
    print_tables(fleet_rows, chain_rows)
    slopes = fleet_slopes(fleets) | chain_slopes(chains)
    click.echo(format_table([{"slope": name, **asdict(slope)} for name, slope in slopes.items()]))
    total_s = time.process_time() - started_s
    about = {"seed": seed, "load": LOAD, "fleets_processor_s": fleets_s, "processor_s": total_s}
    write_results(out, fleet_rows, slopes, chains=chain_rows, **about)
    click.echo(f"{total_s:.0f} s of processor time, {fleets_s:.0f} s of it for the first two tables")


if __name__ == "__main__":
    main()
