"""The pages name things that are in the code, and the operations page leaves no log event out."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGES = (
    "README.md",
    "docs/architecture.md",
    "docs/configuration.md",
    "docs/limits.md",
    "docs/operations.md",
    "docs/races.md",
    "docs/slow-start.md",
)
LOG_METHODS = {"info", "warning", "error", "exception"}


def sources() -> list[Path]:
    """All Python files of the program, the benchmarks and the tests."""
    return [path for part in ("loadbalancer", "benchmarks", "tests") for path in (ROOT / part).rglob("*.py")]


def code_spans(page: str) -> Iterator[str]:
    """What stands between backquotes in the page's text and tables."""
    text = re.sub(r"```.*?```", "", (ROOT / page).read_text(), flags=re.DOTALL)
    yield from re.findall(r"`([^`\n]+)`", text)


@pytest.mark.parametrize("page", PAGES)
def test_files_on_the_pages_exist(page):
    paths = [path.relative_to(ROOT).as_posix() for path in [*ROOT.glob("docs/*.md"), *sources()]]
    named = [span for span in code_spans(page) if re.fullmatch(r"[\w/-]+\.(py|md)", span)]
    assert [name for name in named if not any(f"/{path}".endswith(f"/{name}") for path in paths)] == []


@pytest.mark.parametrize("page", PAGES)
def test_names_on_the_pages_are_in_the_code(page):
    """Classes, methods, constants and tests: `Name`, `Name.method`, `NAME`, `test_name`."""
    known = set(re.findall(r"\w+", "\n".join(path.read_text() for path in sources())))
    named = [span for span in code_spans(page) if re.fullmatch(r"([A-Z]\w+(\.\w+)*|test_\w+)", span)]
    assert [name for name in named if not set(name.split(".")) <= known] == []


def log_events(path: Path) -> Iterator[str]:
    """The event of each log call in a file: its text up to the first field."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute) or not node.args:
            continue
        text = node.args[0]
        logger = ast.unparse(node.func.value)
        if (
            node.func.attr in LOG_METHODS
            and re.search(r"log(ger)?$", logger)
            and isinstance(text, ast.Constant)
        ):
            yield re.split(r" \w+=|: %|%", text.value)[0].strip()


def test_every_log_event_is_on_the_operations_page():
    spans = set(code_spans("docs/operations.md"))
    events = {event for path in (ROOT / "loadbalancer").rglob("*.py") for event in log_events(path)}
    assert {"statistics", "endpoint list unavailable, keeping last known good"} <= events
    assert {event for event in events if event not in spans} == set()
