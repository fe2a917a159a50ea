"""The connection of a watch to discovery: reused from one request to the next, or replaced by another one."""

from __future__ import annotations

import asyncio

from loadbalancer.discovery.watch_timing import WATCH_CONNECT_MS
from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import ClientConnection

CONNECT_TIMEOUT_S = WATCH_CONNECT_MS / 1000.0
MAX_ENDPOINT_LIST_BYTES = 16 * 1024 * 1024


class WatchConnection:
    """At most one open connection, which the owner may detach.

    Attributes:
        address: The address that the next connection leads to.
        current: The open connection, or None.
        is_new: Whether the next request is the first one on the open connection.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.current: ClientConnection | None = None
        self.is_new = True

    def reuse(self) -> ClientConnection | None:
        """Return the open connection, if a request may be sent on it now."""
        connection = self.current
        if connection is None or not connection.reusable:
            return None
        self.is_new = False
        return connection

    async def open(self) -> ClientConnection:
        """Close the open connection, if any, and open another one.

        Raises:
            OSError: Discovery can't be reached, or is too slow to accept a connection (TimeoutError).
        """
        self.close()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, self.current = await loop.create_connection(_create_connection, *self.address)
        self.is_new = True
        return self.current

    def detach(self) -> None:
        """Hand the open connection over to its user: it is not closed here any more."""
        self.current = None

    def close(self) -> None:
        """Close the open connection, if any."""
        if self.current is not None:
            self.current.abort()
            self.current = None


def _create_connection() -> ClientConnection:
    # A truncated list isn't valid JSON, so that trailing bytes need not make a complete one unusable.
    return ClientConnection(lambda _: None, MAX_ENDPOINT_LIST_BYTES, tolerates_trailing_bytes=True)
