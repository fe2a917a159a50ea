"""Periodically ends the connections that exceed the time-out of their phase."""

from __future__ import annotations

import asyncio

from loadbalancer.http.close_reason import CloseReason
from loadbalancer.http.connection_registry import ConnectionRegistry

REQUEST_TIMEOUT_S = 2.5  # for a complete request, from connecting or from its first byte
IDLE_TIMEOUT_S = 8.0  # after which an idle connection is closed
LINGER_TIMEOUT_S = 0.5  # for which bytes from a client after its last response are read and discarded
UNREAD_TIMEOUT_S = 8.0  # after which a response that its client does not read is truncated
SWEEP_INTERVAL_S = 0.1


class RequestTimeouts:
    """Sweeps the connections of a registry every `SWEEP_INTERVAL_S` seconds.

    Attributes:
        unread_timeout_s: The time within which a client has to read a response; the owner may change it.
    """

    def __init__(self, registry: ConnectionRegistry, loop: asyncio.AbstractEventLoop) -> None:
        self.unread_timeout_s = UNREAD_TIMEOUT_S
        self._registry = registry
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Run the first sweep at once and schedule the next ones; no effect after the first call."""
        if self._timer is None:
            self._sweep()

    def stop(self) -> None:
        """Stop the sweeps."""
        if self._timer is not None:
            self._timer.cancel()

    def end_overdue(self) -> None:
        """End each connection that has been in its phase for the phase's time-out."""
        registry = self._registry
        now = registry.clock()
        for connection in registry.awaiting_request.entered_until(now - REQUEST_TIMEOUT_S):
            connection.expire()
        for connection in registry.idle.entered_until(now - IDLE_TIMEOUT_S):
            connection.expire()
        for connection in registry.unread.entered_until(now - self.unread_timeout_s):
            connection.close(CloseReason.UNREAD_RESPONSE)
        for connection in registry.lingering.entered_until(now - LINGER_TIMEOUT_S):
            # Ending the connection truncates a last response that its client reads slowly. A connection with
            # unsent bytes therefore has the longer time-out.
            if not connection.unsent_bytes:
                connection.abort()
            elif connection.phase_since <= now - self.unread_timeout_s:
                connection.close(CloseReason.UNREAD_RESPONSE)

    def _sweep(self) -> None:
        # The next sweep is scheduled first, so that an error in this one does not end the time-outs.
        self._timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        self.end_overdue()
