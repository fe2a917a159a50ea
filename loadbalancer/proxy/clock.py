"""The policy's clock."""

from __future__ import annotations

import asyncio
import time

MS_PER_S = 1000.0


class Clock:
    """Monotonic Unix time in milliseconds: the event loop's clock plus an offset fixed at creation."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop_time = loop.time
        self._offset_s = time.time() - loop.time()

    def now_ms(self) -> float:
        """The current Unix time in milliseconds."""
        return (self._loop_time() + self._offset_s) * MS_PER_S

    def to_unix_ms(self, loop_time_s: float) -> float:
        """Convert a time of the event loop's clock in seconds to Unix time in milliseconds."""
        return (loop_time_s + self._offset_s) * MS_PER_S
