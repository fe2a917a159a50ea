"""A short run of each command that measures real proxies, and the options of the hollow nodes' command."""

from __future__ import annotations

import subprocess
import sys

import orjson
import pytest
from click.testing import CliRunner

from benchmarks.hollow import __main__ as hollow
from benchmarks.hollow.servers_under_test import ServerKind

COMMANDS = [
    ["data_path", "--servers", "13", "--rates", "50"],
    ["control", "--servers", "13,40"],
    ["call_profile", "--servers", "13"],
]


@pytest.mark.parametrize("command", COMMANDS, ids=lambda command: command[0])
def test_command_measures_and_writes_its_result_file(tmp_path, command):
    module, *options = command
    out = tmp_path / "run.json"
    arguments = [sys.executable, "-m", f"benchmarks.{module}", "--quick", "--out", str(out), *options]
    completed = subprocess.run(arguments, capture_output=True, text=True, timeout=120, check=False)
    assert completed.returncode == 0, completed.stderr
    results = orjson.loads(out.read_bytes())
    assert results["command"][2] == f"benchmarks.{module}"
    assert all(record["core" if module == "control" else "cpu_us"] > 0.0 for record in results["rows"])
    assert str(results["rows"][0]["list"]) in completed.stdout


def test_hollow_command_makes_its_plan_from_the_options(tmp_path, monkeypatch):
    plans = []

    async def measure(plan, watches, folder):
        plans.append(plan)
        return {"watches": watches}

    monkeypatch.setattr(hollow, "measure", measure)
    out = tmp_path / "run.json"
    options = ["--server", "chain", "--shape", "together", "--sizes", "380", "--calm-s", "2", "--balancer"]
    result = CliRunner().invoke(hollow.main, [*options, "--out", str(out)])
    assert result.exit_code == 0, result.output
    (plan,) = plans
    assert (plan.server, plan.servers, plan.lists) == (ServerKind.CHAIN, 380, 29)
    assert (plan.calm_s, plan.with_policy) == (2.0, True)
    assert orjson.loads(out.read_bytes())["about"]["shape"] == "together"
