"""Tables of the documentation and log calls of the program, for tests that compare the two."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
EXAMPLES = DOCS / "examples"
LOG_METHODS = {"info", "warning", "error", "exception"}


@dataclass(frozen=True)
class LogCall:
    """A log call's message, as written in the code, and the names of its fields; `**` for a mapping."""

    message: str
    fields: list[str]


def log_calls(path: Path) -> Iterator[LogCall]:
    """The log calls with a constant message in a Python file."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute) or not node.args:
            continue
        message = node.args[0]
        is_logger = re.search(r"log(ger)?$", ast.unparse(node.func.value))
        if node.func.attr in LOG_METHODS and is_logger and isinstance(message, ast.Constant):
            yield LogCall(str(message.value), [keyword.arg or "**" for keyword in node.keywords])


def section(page: Path, heading: str) -> str:
    """The text under a heading of the second level, with the sections inside it."""
    _, found, rest = page.read_text().partition(f"\n## {heading}\n")
    if not found:
        raise ValueError(f"{page.name} has no section {heading!r}")
    return rest.partition("\n## ")[0]


def table_rows(text: str, columns: tuple[str, ...]) -> list[list[str]]:
    """The cells of all tables with these columns, code spans without their backquotes."""
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
    """A cell's text, without its backquotes if it is one code span."""
    cell = cell.strip().replace(r"\|", "|")
    span = re.fullmatch(r"(`+)(.*)\1", cell)
    if span is None or span[1] in span[2]:
        return cell
    return span[2].strip()
