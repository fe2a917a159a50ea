"""The rules of the policy package: the deploy file lists its modules, lines are short, there is no I/O."""

from __future__ import annotations

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "loadbalancer" / "policy"
LISTED = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
TEXTS = {name: (ROOT / name).read_text() for name in LISTED}
TREES = {name: ast.parse(text) for name, text in TEXTS.items()}
# The program's own modules outside the package that it may import; none of them does I/O.
ALLOWED_MODULES = {"actions", "events", "settings", "discovery.watch_timing"}


def test_deploy_file_lists_each_file_of_the_package():
    assert len(set(LISTED)) == len(LISTED)
    assert set(LISTED) == {str(file.relative_to(ROOT)) for file in PACKAGE.rglob("*.py")}


def test_lines_are_limited_to_110_characters():
    lines = [line for text in TEXTS.values() for line in text.splitlines()]
    assert max(len(line) for line in lines) <= 110


def test_first_module_names_its_interface_file_at_the_top():
    assert LISTED[0] == "loadbalancer/policy/policy.py"
    assert "loadbalancer/events.py" in TEXTS[LISTED[0]].split('"""')[1]


def test_every_constant_is_used():
    used = {
        node.id
        for tree in TREES.values()
        for node in ast.walk(tree)
        if isinstance(node, ast.Name) and isinstance(node.ctx, ast.Load)
    }
    for name, text in TEXTS.items():
        for constant in re.findall(r"^([A-Z][A-Z_0-9]+) = ", text, flags=re.MULTILINE):
            assert constant in used, f"{name}: {constant}"


@pytest.mark.parametrize("name", LISTED)
def test_module_reads_no_clock_no_environment_and_no_files(name):
    imports = set(re.findall(r"^(?:from|import) (\w+)", TEXTS[name], flags=re.MULTILINE))
    assert imports <= {"__future__", "math", "collections", "dataclasses", "random", "loadbalancer"}
    own_modules = set(re.findall(r"^(?:from|import) loadbalancer\.([\w.]+)", TEXTS[name], flags=re.MULTILINE))
    assert {module for module in own_modules if not module.startswith("policy.")} <= ALLOWED_MODULES
    assert "open(" not in TEXTS[name]
