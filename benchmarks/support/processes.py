"""Child processes of a benchmark: start, termination, messages over pipes, and resource usage.

A message is a line of JSON; `benchmarks.support.child_streams` implements the child's side. Resource usage is
read from /proc.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import TypeVar

import msgspec

from benchmarks.support.child_streams import MAX_LINE_BYTES

PROC = Path("/proc")
ROOT = Path(__file__).resolve().parents[2]
TERMINATION_TIMEOUT_S = 5.0  # between SIGTERM and SIGKILL
KIB_PER_MIB = 1024.0
NANOSECONDS_PER_S = 1e9
STAT_USER_TIME_FIELD = 11  # index in /proc/PID/stat, counted from the field after the command's name
STAT_SYSTEM_TIME_FIELD = 12

Reply = TypeVar("Reply")


class ChildProcessEndedError(ChildProcessError):
    """A child process ended before it replied to a message."""

    def __init__(self, pid: int, exit_code: int) -> None:
        super().__init__(f"process {pid} ended with exit code {exit_code} before it replied")
        self.pid = pid
        self.exit_code = exit_code


class ProcessUsageError(LookupError):
    """The kernel reports no memory usage for a process, because the process has ended."""

    def __init__(self, pid: int) -> None:
        super().__init__(f"no VmRSS line in {PROC}/{pid}/status: process {pid} has ended")
        self.pid = pid


class _SchedstatField(IntEnum):
    """Fields of /proc/PID/task/TID/schedstat, both in nanoseconds."""

    RUNNING = 0
    RUNNABLE = 1


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """The resource usage of a process since its start."""

    pid: int
    cpu_s: float  # processor time
    resident_mib: float  # current resident memory

    @staticmethod
    def of(pid: int) -> ProcessUsage:
        """Read the resource usage of a running process."""
        return ProcessUsage(pid, cpu_seconds(pid), resident_mib(pid))


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds.

    The resolution is a nanosecond if the kernel has scheduler statistics, else a clock tick.
    """
    try:
        return _schedstat_seconds(pid, _SchedstatField.RUNNING)
    except FileNotFoundError:
        fields = (PROC / str(pid) / "stat").read_text().rpartition(")")[2].split()
        ticks = int(fields[STAT_USER_TIME_FIELD]) + int(fields[STAT_SYSTEM_TIME_FIELD])
        return ticks / float(os.sysconf("SC_CLK_TCK"))


def run_queue_seconds(pid: int) -> float:
    """Return the time that a process has waited, runnable, for a core, in seconds.

    0 if the kernel has no scheduler statistics.
    """
    try:
        return _schedstat_seconds(pid, _SchedstatField.RUNNABLE)
    except FileNotFoundError:
        return 0.0


def _schedstat_seconds(pid: int, field: _SchedstatField) -> float:
    tasks = (PROC / str(pid) / "task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[field]) for task in tasks) / NANOSECONDS_PER_S


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB.

    Raises:
        ProcessUsageError: The process has ended.
    """
    for line in (PROC / str(pid) / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KIB_PER_MIB
    raise ProcessUsageError(pid)


async def terminate(process: asyncio.subprocess.Process) -> None:
    """Terminate a process with SIGTERM, then with SIGKILL if it still runs after `TERMINATION_TIMEOUT_S`."""
    if process.returncode is not None:
        return
    with contextlib.suppress(ProcessLookupError):
        process.terminate()
    try:
        await asyncio.wait_for(process.wait(), TERMINATION_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()


class ChildProcess:
    """A Python module of this repository that runs as a child process."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self.pid = process.pid

    @classmethod
    async def start(cls, *module_and_arguments: str, log: Path | None = None) -> ChildProcess:
        """Run `python -m MODULE ARGUMENTS`.

        Args:
            module_and_arguments: The module's name, then its command-line arguments.
            log: A file to which the output is appended. A process with a log file has no message pipes.
        """
        command = (sys.executable, "-m", *module_and_arguments)
        if log is None:
            pipe = asyncio.subprocess.PIPE
            return cls(
                await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, stdin=pipe, stdout=pipe, limit=MAX_LINE_BYTES
                )
            )
        null = asyncio.subprocess.DEVNULL
        with log.open("ab") as output:
            return cls(
                await asyncio.create_subprocess_exec(
                    *command, cwd=ROOT, stdin=null, stdout=output, stderr=output
                )
            )

    async def send(self, message: object) -> None:
        """Write a message to the process."""
        if self._process.stdin is None:
            raise ValueError(f"cannot send to process {self.pid}: it has a log file and no message pipes")
        self._process.stdin.write(msgspec.json.encode(message) + b"\n")
        await self._process.stdin.drain()

    async def receive(self, reply_type: type[Reply]) -> Reply:
        """Return the next message from the process.

        Raises:
            ChildProcessEndedError: The process has ended.
            msgspec.DecodeError: The message has another type.
        """
        if self._process.stdout is None:
            raise ValueError(
                f"cannot receive from process {self.pid}: it has a log file and no message pipes"
            )
        line = await self._process.stdout.readline()
        if not line:
            raise ChildProcessEndedError(self.pid, await self._process.wait())
        return msgspec.json.decode(line, type=reply_type)

    async def request(self, message: object, reply_type: type[Reply]) -> Reply:
        """Send a message and return the reply to it."""
        await self.send(message)
        return await self.receive(reply_type)

    def usage(self) -> ProcessUsage:
        """Read the resource usage of the process since its start."""
        return ProcessUsage.of(self.pid)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()

    async def terminate(self) -> None:
        """Terminate the process; see the function `terminate`."""
        await terminate(self._process)
