"""Accepts downstream connections within a limit, from any number of listening sockets."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from loadbalancer.http.addresses import Address, socket_address
from loadbalancer.http.byte_budget import ByteBudget
from loadbalancer.http.close_reason import CloseReason
from loadbalancer.http.connection_registry import ConnectionRegistry, RegisteredConnection
from loadbalancer.http.downstream_connection import DownstreamConnection
from loadbalancer.http.eviction import IDLE_GRACE_S, evict_over_limit
from loadbalancer.http.listening_sockets import ListeningSockets
from loadbalancer.http.protocol import new_receive_buffer
from loadbalancer.http.request import HttpRequest
from loadbalancer.http.request_timeouts import RequestTimeouts
from loadbalancer.http.server_connection import ServerConnection

ACCEPT_BATCH_DIVISOR = 50  # a socket accepts at most the limit divided by this per event loop iteration
EXCESS_ACCEPT_BATCHES = 3  # accept batches by which connections may exceed the limit when none can be evicted


class HttpListener:
    """Listens on any number of sockets under one connection limit.

    `on_request` is called with each complete request, except readiness requests: the connection itself
    responds to these, with 200 while `ready` is set, else 503. While `draining` is set, or the limit is
    exceeded, each response closes its connection. Once `rejecting` is set, no request is passed on any more.

    Attributes:
        registry: The open connections by phase.
        receive_buffer: The buffer of the connections' reads.
        timeouts: Ends connections that exceed the time-out of their phase.
        accept_batch: Maximum number of connections accepted per event loop iteration and listening socket.
    """

    def __init__(
        self, limit: int, on_request: Callable[[HttpRequest], None], budget: ByteBudget | None = None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.on_request = on_request
        self.ready = False
        self.draining = False
        self.rejecting = False
        self.registry = ConnectionRegistry(limit, self.loop.time, budget or ByteBudget())
        self.receive_buffer = new_receive_buffer()
        self.timeouts = RequestTimeouts(self.registry, self.loop)
        self.accept_batch = max(1, limit // ACCEPT_BATCH_DIVISOR)
        self._listening = ListeningSockets(self.loop, self.accept_batch)

    @property
    def limit(self) -> int:
        """Maximum number of open connections."""
        return self.registry.limit

    @property
    def connections(self) -> set[RegisteredConnection]:
        """The open connections."""
        return self.registry.connections

    @property
    def over_limit(self) -> bool:
        """Whether more connections are open than the limit."""
        return self.registry.over_limit

    @property
    def address(self) -> Address:
        """The address of the first listening socket; IndexError while none is open."""
        return socket_address(self.listening_sockets[0])

    @property
    def listening_sockets(self) -> list[socket.socket]:
        """The open listening sockets, in the order of the calls of `listen`."""
        return self._listening.sockets

    async def listen(self, host: str, port: int, context: object = None) -> Address:
        """Open another listening socket under the common connection limit, and start the time-outs.

        Each connection that this socket accepts carries `context`. Returns the address, with the port that
        the kernel chose where `port` is 0.

        Raises:
            OSError: if the address can't be bound.
        """
        address = await self._listening.open(host, port, lambda: ServerConnection(self, context))
        self.timeouts.start()
        return address

    async def stop_listening(self) -> None:
        """Accept the connections in the kernel's queues, which may carry requests, then stop accepting."""
        await self._listening.drain()

    def close_listening_sockets(self) -> None:
        """Stop accepting at once; connections in the kernel's queues are reset."""
        self._listening.close()

    def close(self) -> None:
        """Stop accepting and stop the time-outs; connections stay open."""
        self._listening.close()
        self.timeouts.stop()

    def close_idle_connections(self) -> None:
        """Close the connections that await a request or are idle, unless data would be lost."""
        self.registry.close_idle()

    def reject_undispatched(self) -> None:
        """Reject each request that has been received and not passed on, and all that are still received.

        Requests that wait behind one that is passed on get their 503 in the same call as its response.
        """
        self.draining = self.rejecting = True
        for connection in list(self.connections):
            connection.reject_undispatched()

    def ensure_capacity(self, grace_s: float = IDLE_GRACE_S) -> bool:
        """Evict connections without an open request until the limit is met; return False if it can't be.

        Connections of identified clients that have been idle for less than `grace_s` seconds stay open.
        """
        return evict_over_limit(self.registry, grace_s)

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """Register a new connection; evict another or abort the new one if the limit requires it."""
        registry = self.registry
        registry.add(connection)
        # asyncio never stops accepting. If every candidate for eviction has unread bytes, nothing can be
        # evicted, and accepted connections would use up the descriptors that discovery needs. Beyond a fixed
        # excess a new connection is therefore aborted.
        highest = registry.limit + EXCESS_ACCEPT_BATCHES * self.accept_batch
        if not self.ensure_capacity() and len(registry.connections) > highest:
            connection.close(CloseReason.OVER_LIMIT)
        else:
            registry.move_to_phase(connection, registry.awaiting_request)
