"""Limits the bytes of responses that clients have not read, and disconnects clients that don't read.

Unread and unsent mean one thing here: bytes that the kernel has not accepted yet. A response is unread while
it has unsent bytes. What the kernel has accepted counts as read, whether or not the client has read it.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from loadbalancer.discovery_server.periodic_task import PeriodicTask

MIN_READ_TIME_S = 1.0  # that each client has to read a response, also while the total limit is exceeded
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
        """Close the connection at once, and discard its unsent bytes."""


class UnreadResponses:
    """Tracks the connections that have an unread response. Must be created within a running event loop.

    Attributes:
        dropped_clients: Clients disconnected since the start because they did not read.
    """

    def __init__(self, max_unsent_bytes: int, unread_timeout_ms: float) -> None:
        """Limit the unsent bytes of all clients together, and the time in ms for which one may not read."""
        self.dropped_clients = 0
        self._loop = asyncio.get_running_loop()
        self._max_unsent_bytes = max_unsent_bytes
        self._unread_timeout_s = unread_timeout_ms / 1000.0
        # The loop's time in seconds since when each connection's response is unread, oldest first.
        self._unsent_since: dict[BufferedConnection, float] = {}
        # An upper bound: bytes that have been sent since the last check are still counted.
        self._unsent_bytes = 0
        check_interval_s = min(MAX_CHECK_INTERVAL_S, self._unread_timeout_s / CHECKS_PER_TIMEOUT)
        self._check = PeriodicTask(check_interval_s, self._drop_timed_out_clients)

    @property
    def connection_count(self) -> int:
        """The number of connections that had an unread response at the last check, or since."""
        return len(self._unsent_since)

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
        """Disconnect slow clients early if the limit is exceeded; `over_limit` may still be true after it."""
        if self.over_limit:
            self._drop_slow_clients(min(MIN_READ_TIME_S, self._unread_timeout_s))

    def _drop_timed_out_clients(self) -> None:
        self._drop_slow_clients(self._unread_timeout_s)

    def _drop_slow_clients(self, timeout_s: float) -> None:
        """Disconnect clients that leave a response unread for longer, and count the others' unsent bytes."""
        latest_start = self._loop.time() - timeout_s
        self._unsent_bytes = 0
        for connection, since in list(self._unsent_since.items()):
            unsent_bytes = connection.unsent_bytes if connection.is_open else 0
            # Guard: the buffer of a client that never reads would grow without limit. Disconnecting it frees
            # the buffer; a slow client that is disconnected has to connect and request its list again.
            if unsent_bytes and since < latest_start:
                self.dropped_clients += 1
                connection.abort()
                unsent_bytes = 0
            if unsent_bytes:
                self._unsent_bytes += unsent_bytes
            else:
                del self._unsent_since[connection]
