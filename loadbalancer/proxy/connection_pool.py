"""Pooled connections to the endpoints, with a limit on their total number."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from loadbalancer.http.addresses import Address
from loadbalancer.http.byte_budget import ByteBudget
from loadbalancer.http.client_connection import ClientConnection
from loadbalancer.http.message_sizes import MAX_BODY_BYTES
from loadbalancer.http.protocol import new_receive_buffer

# Fraction of the time after which an endpoint closes an idle connection; the pool closes it well before then.
IDLE_TIMEOUT_FRACTION = 0.5
REUSE_DELAY_S = 0.01  # after a response; a faulty endpoint may send a second one within this time
SWEEPS_PER_IDLE_TIMEOUT = 4


class EndpointConnections:
    """The connections to one endpoint; one object for each start of the endpoint.

    Attributes:
        address: the address that the endpoint listens on.
        started_ms: the endpoint's start in Unix time; None: long ago.
        removed: whether the endpoint has been removed from the pool, so that its connections are not reused.
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
        """The connections without a request, the one idle for longest first."""
        return self._idle

    def take_idle(self, now_s: float, idle_timeout_s: float) -> ClientConnection | None:
        """Remove and return the most recently idle usable connection; close the unusable ones before it."""
        # A faulty endpoint can send a second response 1 to 4 ms after the first. If the connection already
        # carries the next request, that request would be served the second response. A connection is
        # therefore not reused for `REUSE_DELAY_S` after its response. Trade-off: requests that follow each
        # other faster than that need a new connection.
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
        """Remove and return the connection idle for longest; raises IndexError if none is idle."""
        return self._idle.pop(0)

    def add_idle(self, connection: ClientConnection, now_s: float) -> None:
        """Add a connection that becomes idle now."""
        connection.idle_since = now_s
        self._idle.append(connection)

    def close_idle_since(self, limit_s: float) -> None:
        """Close the connections idle since before `limit_s`, a time of the event loop's clock."""
        while self._idle and self._idle[0].idle_since < limit_s:
            self._idle.pop(0).abort()

    def add_removal_callback(self, callback: Callable[[], None]) -> None:
        """Register a callback for the endpoint's removal; used by attempts that are connecting."""
        self._removal_callbacks.add(callback)

    def discard_removal_callback(self, callback: Callable[[], None]) -> None:
        """Unregister a removal callback; no effect if it is not registered."""
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
    """Connections to all endpoints, at most `limit` in total; the most recently idle one is reused first.

    Attributes:
        limit: the maximum number of connections that are open or being established.
        connect_timeout_s: the time within which a connection has to be established.
    """

    def __init__(
        self,
        limit: int,
        endpoint_idle_timeout_s: float,
        connect_timeout_s: float,
        budget: ByteBudget | None = None,
    ) -> None:
        """A pool whose connections' messages count against this budget, and else against none."""
        self.limit = limit
        self._budget = budget or ByteBudget()
        self._receive_buffer = new_receive_buffer()
        self.connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = endpoint_idle_timeout_s * IDLE_TIMEOUT_FRACTION
        self._endpoints: dict[str, EndpointConnections] = {}
        self._open: set[ClientConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._sweep_timer: asyncio.TimerHandle | None = None

    @property
    def size(self) -> int:
        """The number of connections that are open or being established."""
        return len(self._open) + len(self._connecting)

    def add(self, name: str, address: Address, started_ms: float | None = None) -> None:
        """Add an endpoint; if its address or start has changed, first remove its earlier connections."""
        # After a crash and restart, a machine resets the connections opened before the crash, and requests
        # sent on them are lost. The idle connections are therefore closed if the start has changed.
        known = self._endpoints.get(name)
        if known is None or (known.address, known.started_ms) != (address, started_ms):
            self.remove(name)
            self._endpoints[name] = EndpointConnections(address, started_ms)

    def remove(self, name: str) -> None:
        """Remove an endpoint: attempts in flight continue, those still connecting are withdrawn."""
        # An attempt that is connecting when the proxy is notified of the drain could send its first byte
        # after the endpoint's grace period. Such attempts are therefore withdrawn at once.
        endpoint = self._endpoints.pop(name, None)
        if endpoint is not None:
            endpoint.remove()

    def get(self, name: str) -> EndpointConnections | None:
        """The connections to this endpoint, None if it is not in the pool."""
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
        """Remove and return a usable idle connection; None if there is none."""
        return endpoint.take_idle(asyncio.get_running_loop().time(), self._idle_timeout_s)

    def release(self, endpoint: EndpointConnections, connection: ClientConnection) -> None:
        """Return a connection to the pool after its response; close it if it can't be reused."""
        if endpoint.removed or not connection.persistent:
            connection.abort()
            return
        endpoint.add_idle(connection, asyncio.get_running_loop().time())
        if self._sweep_timer is None:
            self._schedule_sweep()

    def ensure_capacity(self) -> bool:
        """Whether one more connection may be opened; at the limit, closes the one idle for longest first."""
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
        # Several attempts in one iteration of the event loop would all use the same free capacity if a
        # connection counted only once established. It therefore counts from the start of the task.
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def connect(self, address: Address) -> ClientConnection:
        """Open a connection.

        Raises:
            OSError: the connection can't be established.
        """
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: ClientConnection(self._open.discard, MAX_BODY_BYTES, self._budget, self._receive_buffer),
            *address,
        )
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
