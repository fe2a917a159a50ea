"""The proxy process of a soak run: start, signals, and its memory and log."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import resource
import signal
import sys
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.support.health_check import responds_ok
from benchmarks.support.processes import ROOT
from loadbalancer.http.addresses import Address

READY_TIMEOUT_S = 10.0
EXIT_TIMEOUT_S = 0.5  # that the process may take beyond the earliest SIGKILL before it is killed here
PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")
FAULTS = ("Traceback", "policy fault", "event loop error", "Too many open files", "out of system resource")
KB_PER_MB = 1024


class SoakNode:
    """One proxy under one address, restarted after each end."""

    def __init__(self, folder: Path, address: Address, document: dict[str, Any], sockets: int) -> None:
        self._config = folder / "node.json"
        self._log = folder / "node.log"
        self._address = address
        self._document = document
        self._sockets = sockets
        self._process: asyncio.subprocess.Process | None = None
        self.peak_memory_mb = 0.0

    async def start(self) -> bool:
        """Start the process; return whether it is ready in time."""
        self._config.write_bytes(msgspec.json.encode(self._document))
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "loadbalancer"),
                cwd=ROOT,
                env=os.environ | {"PROXY_CONFIG": str(self._config)},
                stderr=log,
                preexec_fn=self._limit_descriptors,
            )
        loop = asyncio.get_running_loop()
        give_up_s = loop.time() + READY_TIMEOUT_S
        while loop.time() < give_up_s:
            with contextlib.suppress(OSError):
                if await responds_ok(self._address, "/up"):
                    return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, after the peak memory is read."""
        self.read_memory()
        assert self._process is not None
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Wait for the end of the process; return its exit code, None if it still runs."""
        assert self._process is not None
        try:
            async with asyncio.timeout(timeout_s):
                return await self._process.wait()
        except TimeoutError:
            return None

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        assert self._process is not None
        return self._process.returncode

    def read_memory(self) -> None:
        """Update the peak memory."""
        assert self._process is not None
        try:
            found = PEAK_MEMORY.search(Path(f"/proc/{self._process.pid}/status").read_text())
        except OSError:
            return
        if found:
            self.peak_memory_mb = max(self.peak_memory_mb, int(found[1]) / KB_PER_MB)

    def faults(self) -> list[str]:
        """Lines of the log that report a fault of the program."""
        lines = self._log.read_text(errors="replace").splitlines()
        return [line for line in lines if any(fault in line for fault in FAULTS)]

    def _limit_descriptors(self) -> None:
        _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._sockets, hard))
