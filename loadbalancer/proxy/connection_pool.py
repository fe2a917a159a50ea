"""Pooled connections to the endpoints, with a limit on their total number."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import ClientConnection

# Of the time after which an endpoint closes an idle connection; the pool closes it well before that.
IDLE_TIMEOUT_FRACTION = 0.5
REUSE_DELAY_S = 0.01  # after a response, in which a faulty second one may follow it
SWEEPS_PER_IDLE_TIMEOUT = 4


class EndpointConnections:
    """The connections to one endpoint, from one start of the endpoint to the next.

    Attributes:
        address: the endpoint listens there.
        started_ms: the endpoint's start in Unix time; None: long ago.
        removed: whether the endpoint has left the pool, so that no connection to it may be kept.
    """

    __slots__ = ("_idle", "_removal_callbacks", "address", "removed", "started_ms")

    def __init__(self, address: Address, started_ms: float | None) -> None:
        self.address = address
        self.started_ms = started_ms
        self.removed = False
        self._idle: list[ClientConnection] = []
        self._removal_callbacks: set[Callable[[], None]] = set()

    @property
    def idle(self) -> Sequence[ClientConnection]:
        """Connections that carry no request, the one idle for longest first."""
        return self._idle

    def take_idle(self, now_s: float, idle_timeout_s: float) -> ClientConnection | None:
        """Take out the usable connection that became idle last; close those that are found unusable."""
        # Guard: a faulty endpoint can send a second response 1 to 4 ms after the first. On a connection that
        # already carries the next request it would be served to that request. A connection is therefore not
        # reused for `REUSE_DELAY_S` after its response. Trade-off: requests that come closer together than
        # that need a new connection.
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            if now_s - connection.idle_since < REUSE_DELAY_S:
                continue
            del self._idle[index]
            if now_s - connection.idle_since < idle_timeout_s and connection.reusable:
                return connection
            connection.abort()
        return None

    def take_longest_idle(self) -> ClientConnection:
        """Take out the connection that has been idle for longest; IndexError if none is idle."""
        return self._idle.pop(0)

    def add_idle(self, connection: ClientConnection, now_s: float) -> None:
        """Keep a connection that has become idle now."""
        connection.idle_since = now_s
        self._idle.append(connection)

    def close_idle_since(self, limit_s: float) -> None:
        """Close the connections that became idle before `limit_s`, on the event loop's clock."""
        while self._idle and self._idle[0].idle_since < limit_s:
            self._idle.pop(0).abort()

    def add_removal_callback(self, callback: Callable[[], None]) -> None:
        """Have `callback` called when the endpoint is removed; used by attempts that are connecting."""
        self._removal_callbacks.add(callback)

    def discard_removal_callback(self, callback: Callable[[], None]) -> None:
        """Cancel `add_removal_callback`; no effect without it."""
        self._removal_callbacks.discard(callback)

    def remove(self) -> None:
        """Close the idle connections and withdraw the attempts that are connecting."""
        self.removed = True
        for connection in self._idle:
            connection.abort()
        self._idle.clear()
        for callback in list(self._removal_callbacks):
            callback()


class ConnectionPool:
    """Connections to all endpoints, at most `limit` of them; the last one to become idle is reused first.

    Attributes:
        limit: connections that may be open or being established.
        connect_timeout_s: time in which a connection has to be established.
    """

    def __init__(self, limit: int, endpoint_idle_timeout_s: float, connect_timeout_s: float) -> None:
        self.limit = limit
        self.connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = endpoint_idle_timeout_s * IDLE_TIMEOUT_FRACTION
        self._endpoints: dict[str, EndpointConnections] = {}
        self._open: set[ClientConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def size(self) -> int:
        """Connections that are open or being established."""
        return len(self._open) + len(self._connecting)

    def add(self, name: str, address: Address, started_ms: float | None = None) -> None:
        """Add an endpoint; one whose address or start has changed loses its connections."""
        # Guard: a machine that crashed and restarted resets connections from before its crash, and requests
        # on them are lost. A changed start therefore drops the connections.
        known = self._endpoints.get(name)
        if known is None or (known.address, known.started_ms) != (address, started_ms):
            self.remove(name)
            self._endpoints[name] = EndpointConnections(address, started_ms)

    def remove(self, name: str) -> None:
        """Remove an endpoint: attempts in flight go on, those that are connecting to it are withdrawn."""
        # Guard: an attempt that is connecting when the drain is notified could send its first byte after the
        # endpoint's grace period, so it is withdrawn at once.
        endpoint = self._endpoints.pop(name, None)
        if endpoint is not None:
            endpoint.remove()

    def get(self, name: str) -> EndpointConnections | None:
        """The connections of this endpoint, None if it is not in the pool."""
        return self._endpoints.get(name)

    def close(self) -> None:
        """Remove all endpoints and close all connections."""
        for name in list(self._endpoints):
            self.remove(name)
        for connection in list(self._open):
            connection.abort()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    def acquire_idle(self, endpoint: EndpointConnections) -> ClientConnection | None:
        """Take a usable idle connection out of the pool; None if there is none."""
        return endpoint.take_idle(asyncio.get_running_loop().time(), self._idle_timeout_s)

    def release(self, endpoint: EndpointConnections, connection: ClientConnection) -> None:
        """Return a connection after its response; it is closed if no other request can use it."""
        if endpoint.removed or not connection.reusable:
            connection.abort()
            return
        endpoint.add_idle(connection, asyncio.get_running_loop().time())
        if self._sweep_timer is None:
            self._schedule_sweep()

    def ensure_capacity(self) -> bool:
        """Return whether one more connection may be opened; at the limit, close the one idle for longest."""
        if self.size < self.limit:
            return True
        with_idle = [endpoint for endpoint in self._endpoints.values() if endpoint.idle]
        if not with_idle:
            return False
        endpoint = min(with_idle, key=lambda endpoint: endpoint.idle[0].idle_since)
        connection = endpoint.take_longest_idle()
        self._open.discard(connection)
        connection.abort()
        return True

    def count_connecting(self, task: asyncio.Task[None]) -> None:
        """Count a task that establishes a connection, until it is done."""
        # Guard: several attempts of one turn of the event loop would all see the same free capacity if a
        # connection counted only once established. It counts from the start of the task.
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def connect(self, address: Address) -> ClientConnection:
        """Open a connection.

        Raises:
            OSError: the connection can't be established.
        """
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: ClientConnection(self._open.discard), *address)
        self._open.add(connection)
        return connection

    def _schedule_sweep(self) -> None:
        delay_s = self._idle_timeout_s / SWEEPS_PER_IDLE_TIMEOUT
        self._sweep_timer = asyncio.get_running_loop().call_later(delay_s, self._sweep)

    def _sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        self._sweep_timer = None
        idle_since_limit_s = asyncio.get_running_loop().time() - self._idle_timeout_s
        for endpoint in self._endpoints.values():
            endpoint.close_idle_since(idle_since_limit_s)
        if any(endpoint.idle for endpoint in self._endpoints.values()):
            self._schedule_sweep()
