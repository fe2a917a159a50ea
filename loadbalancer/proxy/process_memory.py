"""The memory of the process, as the kernel reports it."""

from __future__ import annotations

import re
from typing import NamedTuple

STATUS_FILE = "/proc/self/status"
RESIDENT_KB = re.compile(rb"VmRSS:\s+([0-9]+) kB")
PEAK_RESIDENT_KB = re.compile(rb"VmHWM:\s+([0-9]+) kB")
BYTES_PER_KB = 1024
BYTES_PER_MB = 1024 * 1024


class ProcessMemory(NamedTuple):
    """Resident memory in bytes, files that are mapped included; 0 where the kernel does not report it.

    Attributes:
        resident: the memory now.
        peak: the most since the start of the process.
    """

    resident: int
    peak: int

    def fields(self) -> dict[str, int]:
        """Each value by its name in the log, in whole MiB."""
        return {
            "memory_mb": round(self.resident / BYTES_PER_MB),
            "peak_memory_mb": round(self.peak / BYTES_PER_MB),
        }


def read_process_memory() -> ProcessMemory:
    """Read the memory of this process; zeros if the file can't be read."""
    try:
        # Importing pathlib would take longer at a start than the rest of this module.
        with open(STATUS_FILE, "rb") as file:  # noqa: PTH123
            status = file.read()
    except OSError:
        return ProcessMemory(0, 0)
    return ProcessMemory(_bytes(RESIDENT_KB, status), _bytes(PEAK_RESIDENT_KB, status))


def _bytes(pattern: re.Pattern[bytes], status: bytes) -> int:
    match = pattern.search(status)
    return int(match[1]) * BYTES_PER_KB if match else 0
