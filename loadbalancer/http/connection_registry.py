"""Counts the open downstream connections, and keeps those without an open request by their phase."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class RegisteredConnection(Protocol):
    """A downstream connection, as the registry, eviction and the time-outs see it."""

    identified: bool  # whether a request on it has had a response other than 4xx
    phase: ConnectionPhase | None  # None while a request is open; written by the registry
    phase_since: float  # the event loop's time at which `phase` was last set, in seconds

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that wait for the client to read."""

    def close_if_idle(self, *, abort_partial_unidentified: bool = False) -> bool:
        """Abort the connection if that loses nothing, and return whether it did."""

    def expire(self) -> None:
        """End the connection because a request, or the rest of one, has not arrived in time."""

    def abort(self) -> None:
        """Close at once, and discard unsent bytes."""


class ConnectionPhase:
    """The connections in one phase, of those that have no open request.

    A connection awaits a request, is idle between two, or lingers after its last response. It is in one phase
    at most.
    """

    __slots__ = ("connections",)

    def __init__(self) -> None:
        self.connections: dict[RegisteredConnection, None] = {}  # in the order of entering the phase

    def __len__(self) -> int:
        return len(self.connections)

    def entered_until(self, latest: float) -> list[RegisteredConnection]:
        """The connections that entered the phase no later than `latest`, by the event loop's time."""
        overdue = []
        for connection in self.connections:
            if connection.phase_since > latest:
                break
            overdue.append(connection)
        return overdue


class ConnectionRegistry:
    """The open downstream connections of one listener.

    Attributes:
        limit: Connections that may be open; exceeding it makes the listener evict.
        clock: Returns the event loop's time in seconds.
        connections: All open connections.
        awaiting_request: The phase before the first request, and while a request is partly received.
        idle: The phase between two requests of an identified client, which had a response other than 4xx.
        lingering: The phase after the last response, in which what the client still sends is dropped.
    """

    def __init__(self, limit: int, clock: Callable[[], float]) -> None:
        self.limit = limit
        self.clock = clock
        self.connections: set[RegisteredConnection] = set()
        self.awaiting_request = ConnectionPhase()
        self.idle = ConnectionPhase()
        self.lingering = ConnectionPhase()

    @property
    def over_limit(self) -> bool:
        """Whether more connections are open than the limit."""
        return len(self.connections) > self.limit

    def add(self, connection: RegisteredConnection) -> None:
        """Count a new connection; it is in no phase yet."""
        self.connections.add(connection)

    def remove(self, connection: RegisteredConnection) -> None:
        """Stop counting a connection; no effect if it is not counted."""
        self.move_to_phase(connection, None)
        self.connections.discard(connection)

    def move_to_phase(self, connection: RegisteredConnection, phase: ConnectionPhase | None) -> None:
        """Move an open connection to a phase, None while a request is open; no effect if it is in it."""
        previous = connection.phase
        if previous is phase or connection not in self.connections:
            return
        if previous is not None:
            del previous.connections[connection]
        if phase is not None:
            phase.connections[connection] = None
        connection.phase = phase
        connection.phase_since = self.clock()

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in [*self.awaiting_request.connections, *self.idle.connections]:
            connection.close_if_idle()
