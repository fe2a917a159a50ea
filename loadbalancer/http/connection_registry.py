"""Registry of the open downstream connections; groups those without an open request by phase."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from loadbalancer.http.byte_budget import ByteBudget
from loadbalancer.http.close_reason import CloseReason


class RegisteredConnection(Protocol):
    """The interface of a downstream connection for the registry, eviction and the time-outs."""

    identified: bool  # whether a response other than 4xx has been written to the connection
    phase: ConnectionPhase | None  # None while a request is open; written by the registry
    phase_since: float  # the event loop's time of the latest change of `phase`, in seconds

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that are not sent yet because the client reads too slowly."""

    @property
    def buffered_bytes(self) -> int:
        """Bytes of requests and responses that the connection holds in the process."""

    @property
    def peer(self) -> str:
        """The client's address as `host:port`; "" if it is not known."""

    @property
    def open_request_count(self) -> int:
        """Complete requests without a response."""

    def close_if_idle(self, reason: CloseReason, *, abort_partial_unidentified: bool = False) -> bool:
        """Close the connection if no data is lost by it; return whether it is closed."""

    def close(self, reason: CloseReason) -> None:
        """Close at once and discard unsent bytes; `reason` is recorded."""

    def refuse_partial_request(self) -> None:
        """Respond with 503 to a request that is partly received, discard it and end the connection."""

    def reject_undispatched(self) -> None:
        """Respond with 503 to the requests that wait, unless one is dispatched, and end the connection."""

    def expire(self) -> None:
        """End the connection on the time-out of its phase, with 408 if a request is partly received."""

    def abort(self) -> None:
        """Close at once and discard unsent bytes."""


CloseCallback = Callable[[RegisteredConnection, CloseReason], None]
"""Receives a connection right before it is closed, and the reason."""


def _ignore_close(connection: RegisteredConnection, reason: CloseReason) -> None:
    """The callback of a registry whose owner records no reasons."""


class ConnectionPhase:
    """The connections that are in one phase.

    A connection without an open request awaits one, is idle between two, has a response that its client has
    not read, or lingers after its last response. A connection is in at most one phase, and in none while a
    request is open.
    """

    __slots__ = ("connections",)

    def __init__(self) -> None:
        self.connections: dict[RegisteredConnection, None] = {}  # in the order of entering the phase

    def __len__(self) -> int:
        return len(self.connections)

    def entered_until(self, latest: float) -> list[RegisteredConnection]:
        """Return the connections that have been in the phase since `latest` (event loop time) or earlier."""
        overdue = []
        for connection in self.connections:
            if connection.phase_since > latest:
                break
            overdue.append(connection)
        return overdue


class ConnectionRegistry:
    """The open downstream connections of one listener.

    Attributes:
        limit: Maximum number of open connections; beyond it the listener evicts connections.
        clock: Returns the event loop's time in seconds.
        budget: The bytes that connections hold; connections to endpoints share it.
        on_close: Called with each connection that the server side decides to close, and the reason.
        connections: All open connections.
        awaiting_request: The phase before the first request, and while a request is partly received.
        idle: The phase between two requests of an identified client.
        unread: The phase in which a response is not sent yet because the client reads too slowly; later
            requests of the connection wait until it is.
        lingering: The phase after the last response, in which received bytes are discarded.
    """

    def __init__(self, limit: int, clock: Callable[[], float], budget: ByteBudget) -> None:
        self.limit = limit
        self.budget = budget
        self.clock = clock
        self.on_close: CloseCallback = _ignore_close
        self.connections: set[RegisteredConnection] = set()
        self.awaiting_request = ConnectionPhase()
        self.idle = ConnectionPhase()
        self.unread = ConnectionPhase()
        self.lingering = ConnectionPhase()

    @property
    def over_limit(self) -> bool:
        """Whether more connections are open than the limit."""
        return len(self.connections) > self.limit

    def add(self, connection: RegisteredConnection) -> None:
        """Add a new connection, which is in no phase yet."""
        self.connections.add(connection)

    def remove(self, connection: RegisteredConnection) -> None:
        """Remove a connection; no effect if it is not registered."""
        self.move_to_phase(connection, None)
        self.connections.discard(connection)

    def move_to_phase(self, connection: RegisteredConnection, phase: ConnectionPhase | None) -> None:
        """Move an open connection to a phase, None while a request is open; no effect if already in it."""
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
        """Close the connections that await a request or are idle, unless data would be lost."""
        for connection in [*self.awaiting_request.connections, *self.idle.connections]:
            connection.close_if_idle(CloseReason.SHUTDOWN)
