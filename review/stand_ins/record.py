"""The record of a run: what was sent, answered and run, with times in seconds from the start of the run."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import Self

HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes


def trouble() -> bool:
    """Whether the run has its disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes `record.txt`, and the lines that matter to standard output too."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._started = time.monotonic()
        self.say(f"TROUBLE={int(trouble())}")

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_error: object) -> None:
        self._file.close()

    def write(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started:8.3f} {text}\n")

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)
