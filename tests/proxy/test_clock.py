"""The clock that gives the policy its time."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time

from loadbalancer.proxy.clock import Clock


class SteppingLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances by half a second at each reading."""

    def __init__(self):
        self._times = itertools.count(100.0, 0.5)
        super().__init__()

    def time(self):
        return next(self._times)


def test_clock_is_anchored_to_unix_time_once_and_never_goes_back(monkeypatch):
    before_ms = time.time() * 1000.0
    with contextlib.closing(SteppingLoop()) as loop:
        clock = Clock(loop)
    assert abs(clock.now_ms() - before_ms) < 60_000
    monkeypatch.setattr(time, "time", lambda: 0.0)
    first, second = clock.now_ms(), clock.now_ms()
    assert first < second
