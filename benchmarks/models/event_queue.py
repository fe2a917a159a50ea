"""The event queue of a discrete-event simulation, in model time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TypeVarTuple

Arguments = TypeVarTuple("Arguments")


class EventQueue:
    """Model time in milliseconds, and the scheduled events.

    Events with the same time run in the order of their `schedule` calls.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []  # a heap by time, then order
        self._order = itertools.count()

    def schedule(self, delay_ms: float, action: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Schedule a call of the action with these arguments after a delay."""
        event = (self.now_ms + delay_ms, next(self._order), lambda: action(*arguments))
        heapq.heappush(self._events, event)

    def run_until(self, end_ms: float) -> None:
        """Run all events before `end_ms`."""
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, run_event = heapq.heappop(self._events)
            run_event()
