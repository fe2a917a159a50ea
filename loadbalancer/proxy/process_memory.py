"""The memory of the process, as the kernel reports it."""

from __future__ import annotations

STATUS_FILE = "/proc/self/status"
RESIDENT_FIELD = b"VmRSS:"
PEAK_RESIDENT_FIELD = b"VmHWM:"
BYTES_PER_KB = 1024
BYTES_PER_MB = 1024 * 1024


class ProcessMemory:
    """Resident memory in bytes, files that are mapped included; 0 where the kernel does not report it.

    Attributes:
        resident: the memory now.
        peak: the most since the start of the process.
    """

    __slots__ = ("peak", "resident")

    def __init__(self, resident: int, peak: int) -> None:
        self.resident = resident
        self.peak = peak

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
    return ProcessMemory(_bytes(RESIDENT_FIELD, status), _bytes(PEAK_RESIDENT_FIELD, status))


def _bytes(field: bytes, status: bytes) -> int:
    """The value of a field, which the kernel writes in kB; 0 without the field."""
    words = status.partition(field)[2].split(None, 1)
    return int(words[0]) * BYTES_PER_KB if words else 0
