"""Limits the bytes of responses that clients have not read, and disconnects clients that don't read.

A byte is unsent until the kernel accepts it, and a response is unread while it has unsent bytes. Bytes that
the kernel has accepted count as read, whether or not the client has read them.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from loadbalancer.discovery_server.periodic_task import PeriodicTask

MIN_READ_TIME_S = 1.0  # for each client to read a response, even while the total limit is exceeded
MAX_CHECK_INTERVAL_S = 0.5
CHECKS_PER_TIMEOUT = 4.0


class BufferedConnection(Protocol):
    """A connection that buffers the bytes that the kernel has not accepted yet."""

    @property
    def is_open(self) -> bool:
        """Whether the connection has been neither closed nor aborted."""

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that the kernel has not accepted yet."""

    def abort(self) -> None:
        """Close the connection immediately, and discard its unsent bytes."""


class UnreadResponses:
    """Tracks the connections that have an unread response. Must be created within a running event loop.

    Attributes:
        dropped_clients: Clients disconnected since the start because they have not read a response in time.
    """

    def __init__(self, max_unsent_bytes: int, unread_timeout_ms: float) -> None:
        """Limit the unsent bytes over all clients, and the time in ms for which a response may be unread."""
        self.dropped_clients = 0
        self._loop = asyncio.get_running_loop()
        self._max_unsent_bytes = max_unsent_bytes
        self._unread_timeout_s = unread_timeout_ms / 1000.0
        # For each connection, the loop's time in seconds since which its response is unread; oldest first.
        self._unsent_since: dict[BufferedConnection, float] = {}
        # An upper bound: bytes that have been sent since the last check are still counted.
        self._unsent_bytes = 0
        check_interval_s = min(MAX_CHECK_INTERVAL_S, self._unread_timeout_s / CHECKS_PER_TIMEOUT)
        self._check = PeriodicTask(check_interval_s, self._drop_timed_out_clients)

    @property
    def connection_count(self) -> int:
        """The number of tracked connections; each check removes those without an unread response."""
        return len(self._unsent_since)

    @property
    def timeout_s(self) -> float:
        """The time for which a response may be unread, in seconds."""
        return self._unread_timeout_s

    @property
    def over_limit(self) -> bool:
        """Whether the unsent bytes of all clients exceed the limit."""
        return self._unsent_bytes > self._max_unsent_bytes

    def start(self) -> None:
        """Start the regular checks."""
        self._check.start()

    def close(self) -> None:
        """Stop the regular checks."""
        self._check.close()

    def track(self, connection: BufferedConnection, unsent_bytes: int, response_bytes: int) -> None:
        """Track a connection with this number of unsent bytes after a response of this length."""
        earlier_responses_sent = unsent_bytes <= response_bytes
        if earlier_responses_sent:
            self._unsent_since.pop(connection, None)  # the time-out restarts with this response
        self._unsent_since.setdefault(connection, self._loop.time())
        self._unsent_bytes += unsent_bytes

    def enforce_limit(self) -> None:
        """Disconnect slow clients early if the limit is exceeded; it may still be exceeded afterwards."""
        if self.over_limit:
            self._drop_slow_clients(min(MIN_READ_TIME_S, self._unread_timeout_s))

    def _drop_timed_out_clients(self) -> None:
        self._drop_slow_clients(self._unread_timeout_s)

    def _drop_slow_clients(self, timeout_s: float) -> None:
        """Disconnect clients whose response is unread for longer, and sum the others' unsent bytes."""
        latest_start = self._loop.time() - timeout_s
        self._unsent_bytes = 0
        for connection, since in list(self._unsent_since.items()):
            unsent_bytes = connection.unsent_bytes if connection.is_open else 0
            # The buffer of a client that never reads would grow without limit. Disconnecting it frees the
            # buffer; the trade-off is that a slow client has to reconnect and request its list again.
            if unsent_bytes and since < latest_start:
                self.dropped_clients += 1
                connection.abort()
                unsent_bytes = 0
            if unsent_bytes:
                self._unsent_bytes += unsent_bytes
            else:
                del self._unsent_since[connection]
