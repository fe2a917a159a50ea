"""The pages' tables, read for the tests that compare pages with the code."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
EXAMPLES = DOCS / "examples"


def section(page: Path, heading: str) -> str:
    """The text under a heading of the second level, with the sections inside it."""
    _, found, rest = page.read_text().partition(f"\n## {heading}\n")
    if not found:
        raise ValueError(f"{page.name} has no section {heading!r}")
    return rest.partition("\n## ")[0]


def table_rows(text: str, columns: tuple[str, ...]) -> list[list[str]]:
    """The cells, without their code quotes, of all tables with these columns."""
    rows = []
    in_table = False
    for line in text.splitlines():
        cells = [_unquoted(cell) for cell in re.split(r"(?<!\\)\|", line)[1:-1]]
        if tuple(cells) == columns:
            in_table = True
        elif not cells:
            in_table = False
        elif in_table and not set(cells[0]) <= {"-"}:
            rows.append(cells)
    return rows


def _unquoted(cell: str) -> str:
    """A cell's text; a cell that is one code span loses its quotes."""
    cell = cell.strip().replace(r"\|", "|")
    span = re.fullmatch(r"(`+)(.*)\1", cell)
    if span is None or span[1] in span[2]:
        return cell
    return span[2].strip()
