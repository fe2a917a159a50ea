"""Runs a function at regular intervals on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class PeriodicTask:
    """Calls a function at the start and then once per interval. Must be created within a running loop."""

    def __init__(self, interval_s: float, function: Callable[[], None]) -> None:
        """Prepare a task that doesn't run yet; `interval_s` is in seconds."""
        self._loop = asyncio.get_running_loop()
        self._interval_s = interval_s
        self._function = function
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Call the function now, and again after each interval."""
        # The next call is scheduled first, so that an error in this one does not end the calls.
        self._timer = self._loop.call_later(self._interval_s, self.start)
        self._function()

    def close(self) -> None:
        """Stop the calls; no effect before the start."""
        if self._timer is not None:
            self._timer.cancel()
