"""The state of one downstream connection for the registry, eviction and time-outs, and its end."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from loadbalancer.http.close_reason import CloseReason
from loadbalancer.http.connection_registry import ConnectionPhase, ConnectionRegistry
from loadbalancer.http.memory_relief import relieve_memory
from loadbalancer.http.protocol import HttpProtocol
from loadbalancer.http.request import HttpRequest
from loadbalancer.http.request_parser import RequestParser
from loadbalancer.http.socket_state import has_unread_data, peer_has_closed


class ConnectionOwner(Protocol):
    """The interface of a connection's listener."""

    loop: asyncio.AbstractEventLoop
    registry: ConnectionRegistry
    receive_buffer: memoryview
    on_request: Callable[[HttpRequest], None]
    ready: bool  # whether a readiness request gets the status 200, not 503
    draining: bool  # whether each response closes its connection
    rejecting: bool  # whether each request that is not dispatched is rejected

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """Register a new connection, or abort it if the limit requires that."""


class DownstreamConnection(HttpProtocol):
    """A connection from a client, without the handling of its requests."""

    def __init__(self, owner: ConnectionOwner, context: object = None) -> None:
        super().__init__(owner.registry.budget, owner.receive_buffer)
        self.context = context  # of the listening socket that accepted this connection
        self.identified = False  # whether a response other than 4xx has been written to the connection
        self.phase: ConnectionPhase | None = None  # None while a request is open; written by the registry
        self.phase_since = 0.0  # the event loop's time of the latest change of `phase`, in seconds
        self._owner = owner
        self._registry = owner.registry
        self._parser = RequestParser(owner.loop.time)
        self._waiting_for_input: HttpRequest | None = None  # not dispatched while its client goes on sending
        self._closing = False  # the last response has been written, or the client has disconnected

    @property
    def is_open(self) -> bool:
        """Whether the connection is in the registry, that is, neither lost nor aborted."""
        return self in self._registry.connections

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not delivered that yet."""
        return self._transport.is_closing() or peer_has_closed(self._transport)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of requests and responses that the connection holds in the process."""
        return self._parser.buffered_bytes + self._transport.get_write_buffer_size()

    @property
    def open_request_count(self) -> int:
        """Complete requests without a response."""
        return len(self._parser.requests)

    def close_if_idle(self, reason: CloseReason, *, abort_partial_unidentified: bool = False) -> bool:
        """Close the connection if no data is lost by it; return whether it is closed.

        It stays open if a request is open or partly received, or if there are unsent or unread bytes. With
        `abort_partial_unidentified` a partly received request of an unidentified client is discarded.
        """
        parser = self._parser
        partial = parser.partial is not None and (self.identified or not abort_partial_unidentified)
        # Aborting discards the part of a response that a slow client has not read yet.
        if parser.requests or partial or self.unsent_bytes or has_unread_data(self._transport):
            return False
        self.close(reason)
        return True

    def close(self, reason: CloseReason) -> None:
        """Close at once and discard unsent bytes; `reason` is recorded."""
        self._registry.on_close(self, reason)
        self.abort()

    def abort(self) -> None:
        """Close at once and discard unsent bytes."""
        self._closing = True
        self._registry.remove(self)
        self._transport.abort()
        self._parser.discard_partial()
        self._count_buffered_bytes()

    @abstractmethod
    def reject_undispatched(self) -> None:
        """Reject the requests that wait, and end the connection."""

    @abstractmethod
    def expire(self) -> None:
        """End the connection on the time-out of its phase."""

    @abstractmethod
    def refuse_partial_request(self) -> None:
        """Refuse a request that is partly received, and end the connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the owner, which may abort the connection at once."""
        super().connection_made(transport)
        self._owner.connection_opened(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Release the connection and cancel its requests."""
        self._registry.remove(self)
        self._release_buffered_bytes()
        self._parser.close()
        self._closing = True
        self._parser.requests.cancel_all()

    def _enter_phase_of_request(self) -> None:
        """Enter the phase in which a request is open, or partly received."""
        if self._parser.requests:
            self._registry.move_to_phase(self, None)
        elif self._parser.partial is not None:
            # A client that keeps sending single bytes would hold its connection open without end. One
            # time-out therefore covers the complete request, and only its first byte restarts it.
            self._registry.move_to_phase(self, self._registry.awaiting_request)

    def _yield_memory(self) -> None:
        """Free memory if all connections together hold too many bytes."""
        if self._budget.allows_partial_requests:
            return
        parser, registry = self._parser, self._registry
        if parser.requests:
            # The requests before the partly received one still get their responses.
            parser.requests.refuse_waiting()
            if parser.partial is not None:
                parser.refuse_rest(HTTPStatus.SERVICE_UNAVAILABLE)
            self._count_buffered_bytes()
        relieve_memory(registry)
