"""Closes connections that hold incomplete requests or unread responses while too many bytes are held."""

from __future__ import annotations

from loadbalancer.http.close_reason import CloseReason
from loadbalancer.http.connection_registry import ConnectionPhase, ConnectionRegistry


def relieve_memory(registry: ConnectionRegistry) -> None:
    """Close connections, the longest in its phase first, until the budget allows partial requests.

    A partly received request gets 503, since it has not been forwarded. A response that its client does not
    read is truncated, which the client detects by its length. Connections with an open request stay.
    """
    _refuse_partial_requests(registry)
    _close_unread(registry, registry.lingering)
    _close_unread(registry, registry.unread)


def _refuse_partial_requests(registry: ConnectionRegistry) -> None:
    # A client that is slow or has stopped is longest in this phase; the others complete their requests soon.
    for connection in list(registry.awaiting_request.connections):
        if registry.budget.allows_partial_requests:
            return
        if connection.buffered_bytes:
            connection.refuse_partial_request()


def _close_unread(registry: ConnectionRegistry, phase: ConnectionPhase) -> None:
    for connection in list(phase.connections):
        if registry.budget.allows_partial_requests:
            return
        if connection.unsent_bytes:
            connection.close(CloseReason.MEMORY)
