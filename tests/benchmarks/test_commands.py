"""Benchmark commands: documentation, short runs, and the plan created from the hollow nodes' options."""

from __future__ import annotations

import re
import subprocess
import sys
from importlib.util import find_spec

import orjson
import pytest
from click.testing import CliRunner

import benchmarks
from benchmarks.hollow import __main__ as hollow_command
from benchmarks.hollow.server_under_test import ServerKind
from benchmarks.support.processes import ROOT

COMMANDS = re.findall(r"^- `(\w+)`:", benchmarks.__doc__ or "", re.MULTILINE)


def test_commands_of_the_readme_are_documented_in_the_package():
    named = re.findall(r"`benchmarks\.(\w+)`", (ROOT / "README.md").read_text())
    assert len(named) >= 9
    assert set(named) <= set(COMMANDS)


@pytest.mark.parametrize("command", COMMANDS)
def test_documented_command_is_a_module_or_a_package_with_a_main_module(command):
    spec = find_spec(f"benchmarks.{command}")
    assert spec is not None
    if spec.submodule_search_locations is not None:
        assert find_spec(f"benchmarks.{command}.__main__") is not None


def test_list_server_confirms_each_command_with_its_counters():
    completed = subprocess.run(
        [sys.executable, "-m", "benchmarks.list_server", "--servers", "5"],
        input="lose 2\nfigures\n",
        capture_output=True,
        text=True,
        check=True,
        cwd=ROOT,
    )
    address, after_loss, unchanged = map(orjson.loads, completed.stdout.splitlines())
    assert address["address"].startswith("127.0.0.1:")
    assert (after_loss["revision"], after_loss["entries"], after_loss["answers"]) == (2, 3, 0)
    assert (unchanged["revision"], unchanged["entries"]) == (2, 3)


@pytest.mark.parametrize(
    ("module", "options", "cost"),
    [
        pytest.param("data_path", ["--servers", "13", "--rates", "50"], "cpu_us", id="data_path"),
        pytest.param("control", ["--servers", "13,40"], "core", id="control"),
        pytest.param("call_profile", ["--servers", "13"], "cpu_us", id="call_profile"),
    ],
)
def test_command_measures_and_writes_its_result_file(tmp_path, module, options, cost):
    out = tmp_path / "run.json"
    arguments = [sys.executable, "-m", f"benchmarks.{module}", "--quick", "--out", str(out), *options]
    completed = subprocess.run(arguments, capture_output=True, text=True, check=False)
    assert completed.returncode == 0, completed.stderr
    results = orjson.loads(out.read_bytes())
    assert set(results) == {"command", "at", "python", "about", "rows", "slopes"}
    assert results["command"][2] == f"benchmarks.{module}"
    assert all(record[cost] > 0.0 for record in results["rows"])
    assert str(results["rows"][0]["list"]) in completed.stdout


class StubRecord:
    """A record of the hollow nodes' command that has only the number of watches."""

    def __init__(self, watches):
        self.watches = watches

    def row(self):
        return {"watches": self.watches}


def test_hollow_command_creates_its_plan_from_the_options(tmp_path, monkeypatch):
    plans = []

    async def measure(plan, watches, folder):
        plans.append(plan)
        return StubRecord(watches)

    monkeypatch.setattr(hollow_command, "measure", measure)
    out = tmp_path / "run.json"
    options = ["--server", "chain", "--shape", "together", "--sizes", "380", "--calm-s", "2", "--balancer"]
    result = CliRunner().invoke(hollow_command.main, [*options, "--out", str(out)])
    assert result.exit_code == 0, result.output
    (plan,) = plans
    assert (plan.server, plan.servers, plan.lists) == (ServerKind.CHAIN, 380, 29)
    assert (plan.calm_s, plan.with_policy) == (2.0, True)
    assert orjson.loads(out.read_bytes())["about"]["shape"] == "together"
