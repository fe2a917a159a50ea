"""Known failing tests: KNOWN-RED.txt lists them, and a run expects only these to fail and prints them.

Each line is `test id: cause; issue`. A listed test that passes fails the run, and so does a line that names
no test, so that no line stays after its fault is fixed.
"""

from __future__ import annotations

from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3

pytest_plugins = ["tests.support.proxy_fixtures"]


def known_failures() -> dict[str, str]:
    """The listed tests' ids and causes; empty without the file."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    listed = dict(line.split(": ", 1) for line in lines if line.strip())
    if len(listed) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(f"{KNOWN_RED.name}: {len(listed)} tests, the limit is {MAX_KNOWN_FAILURES}")
    for test_id in listed:
        file, _, name = test_id.partition("::")
        if not (ROOT / file).is_file() or f"def {name.partition('[')[0]}(" not in (ROOT / file).read_text():
            raise pytest.UsageError(f"{KNOWN_RED.name} lists {test_id}, which is not a test of this project")
    return listed


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail."""
    listed = known_failures()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests after each run."""
    for test_id, cause in known_failures().items():
        terminalreporter.write_line(f"known red: {test_id}: {cause}")
