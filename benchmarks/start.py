"""Measure the processor time that a proxy needs to start: `python -m benchmarks.start [other checkout ...]`.

The table shows the parts of a start. On the operators' bench a start takes its processor time divided by the
node's fraction of a core, so the last column is the fraction below which one start in ten is not ready within
10 s. The runs of several checkouts are interleaved.
"""

from __future__ import annotations

import json
import math
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUNS = 25
READY_LIMIT_S = 10.0
HIGH_QUANTILE = 0.9
PROCESS_CPU_CLOCK = 2  # selects the clock of a process's processor time, as in clock_getcpuclockid(3)
SERVING_LOG_TEXTS = ("proxy serving", "serves on")  # in this checkout, and in earlier ones
DISCOVERY_ADDRESS = "127.0.0.1:1"  # no server listens at this address
ADDRESSES_PER_SUBNET = 250


class StartFailedError(ChildProcessError):
    """A proxy ends before it is ready to serve."""

    def __init__(self, exit_code: int) -> None:
        super().__init__(f"the proxy ended with exit code {exit_code} before it was ready to serve")
        self.exit_code = exit_code


@dataclass(frozen=True, slots=True)
class Measurement:
    """A process whose processor time is measured."""

    name: str
    arguments: tuple[str, ...]  # to the interpreter
    cached_endpoints: int = 13
    until_serving: bool = False  # whether the measurement ends when the process serves; else when it ends

    def cpu_seconds(self, checkout: Path, configuration: Path) -> float:
        """Run the process in a checkout and return its processor time.

        Raises:
            StartFailedError: The process ends before it serves, in a measurement until it serves.
        """
        with subprocess.Popen(
            [sys.executable, *self.arguments],
            cwd=checkout,
            env=os.environ | {"PROXY_CONFIG": str(configuration)},
            stderr=subprocess.PIPE,
            text=True,
        ) as process:
            if self.until_serving:
                return _cpu_seconds_until_serving(process)
            _, _, usage = os.wait4(process.pid, 0)
            process.returncode = 0
            return usage.ru_utime + usage.ru_stime


PROXY_ARGUMENTS = ("-m", "loadbalancer")
MEASUREMENTS = (
    Measurement("interpreter", ("-c", "pass")),
    Measurement("+ asyncio, orjson, httptools", ("-c", "import asyncio, orjson, httptools")),
    Measurement("+ all modules", ("-c", "import loadbalancer.__main__")),
    Measurement("ready, 13 servers known", PROXY_ARGUMENTS, 13, until_serving=True),
    Measurement("ready, 200 servers known", PROXY_ARGUMENTS, 200, until_serving=True),
    Measurement("ready, 2000 servers known", PROXY_ARGUMENTS, 2000, until_serving=True),
)


@dataclass(slots=True)
class StartTimes:
    """The processor times of the runs of a measurement in a checkout."""

    measurement: Measurement
    checkout: Path
    cpu_s: list[float] = field(default_factory=list)  # of each run

    def line(self) -> str:
        """Return the line of the table."""
        ordered = sorted(self.cpu_s)
        high = ordered[math.floor(HIGH_QUANTILE * len(ordered))]
        figures = (ordered[0], statistics.median(ordered), high)
        columns = " ".join(f"{1000.0 * figure:7.1f}" for figure in figures)
        return f"{self.measurement.name:30} {columns} {high / READY_LIMIT_S:9.4f}  {self.checkout.name}"


def _cpu_seconds_until_serving(process: subprocess.Popen[str]) -> float:
    if process.stderr is None:
        raise ValueError("cannot read the proxy's log: the process has no pipe as standard error")
    for line in process.stderr:
        if any(text in line for text in SERVING_LOG_TEXTS):
            cpu_s = time.clock_gettime((~process.pid << 3) | PROCESS_CPU_CLOCK)
            process.kill()
            return cpu_s
    raise StartFailedError(process.wait())


def proxy_configuration(endpoints: int) -> bytes:
    """Return a configuration with a cached list, so that the proxy is ready without a discovery server."""
    targets = [
        {
            "uid": f"s{number}",
            "endpoint": f"10.0.{number // ADDRESSES_PER_SUBNET}.{number % ADDRESSES_PER_SUBNET}:80",
            "az": "ab"[number % 2],
            "state": "Ready",
        }
        for number in range(endpoints)
    ]
    service_class = {"name": "read", "aimMs": 500.0, "giveUpMs": 2000.0, "effect": "free"}
    configuration = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": DISCOVERY_ADDRESS,
        "seed": "7",
        "known": {"rev": 1, "all": True, "targets": targets},
        "settings": {"categories": [service_class], "registryMode": "push"},
    }
    return json.dumps(configuration).encode()


def measure(checkouts: Sequence[Path], runs: int = RUNS) -> list[StartTimes]:
    """Run all measurements, interleaved so that other load on the machine affects all checkouts equally."""
    results = [StartTimes(measurement, checkout) for measurement in MEASUREMENTS for checkout in checkouts]
    with tempfile.TemporaryDirectory() as folder:
        configurations = {
            endpoints: Path(folder) / f"{endpoints}.json"
            for endpoints in {measurement.cached_endpoints for measurement in MEASUREMENTS}
        }
        for endpoints, path in configurations.items():
            path.write_bytes(proxy_configuration(endpoints))
        for _ in range(runs):
            for times in results:
                configuration = configurations[times.measurement.cached_endpoints]
                times.cpu_s.append(times.measurement.cpu_seconds(times.checkout, configuration))
    return results


def main() -> None:
    """Measure this checkout and those named on the command line, and print the table."""
    results = measure([ROOT, *(Path(name).resolve() for name in sys.argv[1:])])
    print(
        f"{'processor time, ms':30} {'minimum':>7} {'median':>7} {'p90':>7}  core for {READY_LIMIT_S:.0f} s"
    )
    for times in results:
        print(times.line())


if __name__ == "__main__":
    main()
