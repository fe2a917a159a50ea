"""Closes connections without an open request to keep the number of connections within the limit."""

from __future__ import annotations

from itertools import islice

from loadbalancer.http.close_reason import CloseReason
from loadbalancer.http.connection_registry import ConnectionRegistry

IDLE_GRACE_S = 2.0  # idle time before a new connection may evict one; a request may evict it earlier
MAX_CANDIDATES_EXAMINED = 16  # connections of each phase that one eviction examines


def evict_over_limit(registry: ConnectionRegistry, idle_grace_s: float) -> bool:
    """Evict connections until their number is within the limit; return False if that can't be reached.

    Connections of identified clients that have been idle for less than `idle_grace_s` seconds stay open.
    """
    while registry.over_limit:
        if not evict_one(registry, idle_grace_s):
            return False
    return True


def evict_one(registry: ConnectionRegistry, idle_grace_s: float) -> bool:
    """Evict the connection whose loss harms clients least; return False if none can be evicted."""
    return (
        _evict_finished(registry)
        or _evict_unidentified(registry)
        or _evict_longest_idle(registry, idle_grace_s)
        or _evict_unread(registry)
    )


def _evict_finished(registry: ConnectionRegistry) -> bool:
    """Abort a connection whose last response has been sent."""
    for connection in islice(registry.lingering.connections, MAX_CANDIDATES_EXAMINED):
        if not connection.unsent_bytes:
            connection.close(CloseReason.EVICTED)
            return True
    return False


def _evict_unidentified(registry: ConnectionRegistry) -> bool:
    """Close a connection to which no response other than 4xx has been written."""
    # Identified clients that send a request slowly come first in this phase, and a few of them would use up
    # the examined candidates. They are therefore filtered out before the candidates are counted.
    unidentified = (
        connection for connection in registry.awaiting_request.connections if not connection.identified
    )
    for connection in islice(unidentified, MAX_CANDIDATES_EXAMINED):
        if connection.close_if_idle(CloseReason.EVICTED, abort_partial_unidentified=True):
            return True
    return False


def _evict_longest_idle(registry: ConnectionRegistry, grace_s: float) -> bool:
    """Close the connection with the longest idle time, if that is at least the grace period."""
    latest = registry.clock() - grace_s
    for connection in islice(registry.idle.connections, MAX_CANDIDATES_EXAMINED):
        if connection.phase_since <= latest and connection.close_if_idle(CloseReason.EVICTED):
            return True
    return False


def _evict_unread(registry: ConnectionRegistry) -> bool:
    """Abort the connection that lingers longest, although its client is still reading the last response."""
    for connection in registry.lingering.connections:
        connection.close(CloseReason.EVICTED)
        return True
    return False
