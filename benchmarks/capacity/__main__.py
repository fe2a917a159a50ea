"""Compute the load of each role at the target size: `python -m benchmarks.capacity`.

The command prints the table from the files in benchmarks/results/; with `--write` it also puts the table into
docs/CAPACITY.md. A test compares the two.
"""

from __future__ import annotations

import click

from benchmarks.capacity.page import PAGE, render_table, replace_table
from benchmarks.capacity.result_files import ResultFiles


@click.command()
@click.option("--write", is_flag=True, help="Put the table into docs/CAPACITY.md.")
def main(*, write: bool) -> None:
    """Print the load of each role at the target size."""
    table = render_table(ResultFiles())
    click.echo(table)
    if write:
        PAGE.write_text(replace_table(PAGE.read_text(), table))


if __name__ == "__main__":
    main()
