"""A node's connection pool in model time: how many connections it opens and has open.

Opening a connection takes no model time, so the pool does not affect the attempts, and one run can count the
connections with several idle timeouts for the same attempts.
"""

from __future__ import annotations

from collections import Counter

from benchmarks.models.event_queue import EventQueue
from loadbalancer.proxy.connection_pool import IDLE_TIMEOUT_FRACTION, REUSE_DELAY_S

SWEEPS_PER_IDLE_TIMEOUT = 4
MILLISECONDS_PER_S = 1000.0


class ModelledConnectionPool:
    """One node's connections by the rules of `ConnectionPool`, without a limit on their number."""

    def __init__(self, queue: EventQueue, backend_idle_timeout_s: float) -> None:
        """Create an empty pool.

        Args:
            queue: The event queue of the simulation.
            backend_idle_timeout_s: Idle time after which a backend closes a connection; the pool closes it
                earlier.
        """
        self.opened = 0
        self.reused = 0
        self.idle_since_ms: dict[str, list[float]] = {}  # by backend, one item per connection, newest last
        self.connections: Counter[str] = Counter()  # by backend, in use and idle
        self.sweep_scheduled = False
        self._queue = queue
        self._idle_timeout_ms = backend_idle_timeout_s * IDLE_TIMEOUT_FRACTION * MILLISECONDS_PER_S
        self._incarnations: Counter[str] = Counter()  # of each backend

    def acquire(self, backend: str) -> int:
        """Use the newest connection idle for at least `REUSE_DELAY_S` for an attempt, or a new connection.

        Returns:
            The backend's incarnation, to be passed to `release`.
        """
        idle_since_ms = self.idle_since_ms.get(backend, [])
        for index in reversed(range(len(idle_since_ms))):
            idle_ms = self._queue.now_ms - idle_since_ms[index]
            if idle_ms < REUSE_DELAY_S * MILLISECONDS_PER_S:
                continue
            del idle_since_ms[index]
            if idle_ms < self._idle_timeout_ms:
                self.reused += 1
                return self._incarnations[backend]
            self.connections[backend] -= 1
        self.opened += 1
        self.connections[backend] += 1
        return self._incarnations[backend]

    def release(self, backend: str, incarnation: int, *, reusable: bool) -> None:
        """End the use of a connection: it becomes idle, or is closed if it is not reusable."""
        if incarnation != self._incarnations[backend]:
            return
        if not reusable:
            self.connections[backend] -= 1
            return
        self.idle_since_ms.setdefault(backend, []).append(self._queue.now_ms)
        self._schedule_sweep()

    def drop_backend(self, backend: str) -> None:
        """Drop all connections to a backend that has ended."""
        self.idle_since_ms.pop(backend, None)
        self.connections.pop(backend, None)
        self._incarnations[backend] += 1

    def _schedule_sweep(self) -> None:
        if not self.sweep_scheduled:
            self.sweep_scheduled = True
            self._queue.schedule(self._idle_timeout_ms / SWEEPS_PER_IDLE_TIMEOUT, self._sweep)

    def _sweep(self) -> None:
        self.sweep_scheduled = False
        oldest_reusable_ms = self._queue.now_ms - self._idle_timeout_ms
        for backend, idle_since_ms in list(self.idle_since_ms.items()):
            while idle_since_ms and idle_since_ms[0] < oldest_reusable_ms:
                idle_since_ms.pop(0)
                self.connections[backend] -= 1
            if not idle_since_ms:
                del self.idle_since_ms[backend]
        if self.idle_since_ms:
            self._schedule_sweep()
