"""Child processes of the benchmarks: resource usage, and the error if one ends before it replies."""

from __future__ import annotations

import os
import signal

import pytest

from benchmarks import start
from benchmarks.support.backends import BackendsStarted
from benchmarks.support.processes import ROOT, ChildProcess, ChildProcessEndedError, ProcessUsage


def test_usage_of_a_running_process_is_read():
    usage = ProcessUsage.of(os.getpid())
    assert usage.pid == os.getpid()
    assert usage.cpu_s > 0.0
    assert usage.resident_mib > 1.0


async def test_process_that_ends_before_it_replies_is_an_error():
    process = await ChildProcess.start("benchmarks.support.backends")
    await process.kill()
    with pytest.raises(ChildProcessEndedError) as error:
        await process.receive(BackendsStarted)
    assert (error.value.pid, error.value.exit_code) == (process.pid, -signal.SIGKILL)


def test_proxy_that_ends_before_it_serves_is_an_error(tmp_path):
    ended = start.Measurement("ends at once", ("-c", "raise SystemExit(3)"), until_serving=True)
    with pytest.raises(start.StartFailedError) as error:
        ended.cpu_seconds(ROOT, tmp_path / "none.json")
    assert error.value.exit_code == 3
