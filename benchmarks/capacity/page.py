"""The table of docs/CAPACITY.md, which is between two markers."""

from __future__ import annotations

import re

from benchmarks.capacity.figures import all_figures
from benchmarks.capacity.result_files import ResultFiles
from benchmarks.support.processes import ROOT

PAGE = ROOT / "docs" / "CAPACITY.md"
TABLE_BEGIN = "<!-- worked out by python -m benchmarks.capacity -->"
TABLE_END = "<!-- end -->"
TABLE_HEAD = "| role | quantity | figure | budget | verdict | mechanism | run |\n| --- |" + " --- |" * 6


class PageMarkerError(ValueError):
    """The page does not contain the two markers of the table."""

    def __init__(self) -> None:
        super().__init__(f"{PAGE.name} has no table markers: expected {TABLE_BEGIN!r} and {TABLE_END!r}")


def render_table(results: ResultFiles) -> str:
    """Return the page's table."""
    return "\n".join([TABLE_HEAD, *(figure.line() for figure in all_figures(results))])


def replace_table(page: str, table: str) -> str:
    """Return the page with its table replaced by this one.

    Raises:
        PageMarkerError: The page has no markers.
    """
    marked = re.compile(re.escape(TABLE_BEGIN) + r".*?" + re.escape(TABLE_END), re.DOTALL)
    if not marked.search(page):
        raise PageMarkerError
    return marked.sub(lambda _: f"{TABLE_BEGIN}\n\n{table}\n\n{TABLE_END}", page)
