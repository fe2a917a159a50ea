"""A short run of each command that measures real proxies, and the options of the hollow nodes' command."""

from __future__ import annotations

import subprocess
import sys

import orjson
import pytest
from click.testing import CliRunner

from benchmarks.hollow import __main__ as hollow_command
from benchmarks.hollow.servers_under_test import ServerKind


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
    """A record of the hollow nodes' command with the number of watches alone."""

    def __init__(self, watches):
        self.watches = watches

    def row(self):
        return {"watches": self.watches}


def test_hollow_command_makes_its_plan_from_the_options(tmp_path, monkeypatch):
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
