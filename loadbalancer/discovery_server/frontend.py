"""The clients' side: one HTTP server for all lists, each at an address of its own."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from loadbalancer.discovery_server.endpoint_store import EndpointStore
from loadbalancer.discovery_server.unread_responses import UnreadResponses
from loadbalancer.discovery_server.update_pipeline import RevisionNotStoredError, UpdatePipeline
from loadbalancer.discovery_server.watch_query import QueryError, WatchQuery, parse_query
from loadbalancer.discovery_server.watch_registry import Watch, WatchRegistry
from loadbalancer.http.addresses import Address
from loadbalancer.http.listener import HttpListener
from loadbalancer.http.request import HttpRequest

PATH = b"/discovery/hosts"
RETRY_AFTER_MS = 1000.0
FLUSH_BATCH_SIZE = 64  # responses written in one turn of the event loop
UNREAD_RECHECK_S = 0.02  # between two checks whether clients have read, while too much is unread
EXPIRY_LEAD_MS = 1.0  # a timer may fire early by the resolution of the loop's clock


class DiscoveryFrontend:
    """Serves any number of lists within one limit of connections.

    Attributes:
        listener: Accepts the connections of all lists; each carries its list's pipeline as its context.
        registry: The waiting watches.
        rejected: Requests answered 4xx or 503 since the start.
        unread: The responses that clients have not read yet.
    """

    def __init__(
        self,
        registry: WatchRegistry,
        max_connections: int,
        max_unsent_bytes: int,
        unread_timeout_ms: float,
    ) -> None:
        """A frontend that listens nowhere yet; needs a running event loop."""
        self.registry = registry
        self.listener = HttpListener(max_connections, self._on_request)
        self.rejected = 0
        self._loop = asyncio.get_running_loop()
        self.unread = UnreadResponses(self._loop, max_unsent_bytes, unread_timeout_ms)
        self._flush_scheduled = False
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._expiry_ms: float | None = None

    async def serve_list(self, pipeline: UpdatePipeline, address: Address) -> Address:
        """Serve a list at this address; returns the bound one, which differs where the port is 0.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = address
        return await self.listener.listen(host, port, context=pipeline)

    def start(self) -> None:
        """Begin to drop clients who do not read."""
        self.unread.start()

    def close(self) -> None:
        """Abort all connections, stop listening and end all timers."""
        for connection in list(self.listener.connections):
            connection.abort()
        self.listener.close()
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self.unread.close()

    async def drain(self) -> None:
        """Respond to all watches, and accept no more connections."""
        self.listener.draining = True
        self.listener.close_listening_sockets()
        self.registry.complete_all()
        while self.registry.outbox_size:
            self.registry.flush(FLUSH_BATCH_SIZE)
            await asyncio.sleep(0)
        self.listener.close_idle_connections()

    # ------------------------------------------------------------------- requests

    def _on_request(self, request: HttpRequest) -> None:
        path, _, query = request.target.partition(b"?")
        if path != PATH:
            self._reject(request, HTTPStatus.NOT_FOUND)
        elif request.method != b"GET":
            self._reject(request, HTTPStatus.METHOD_NOT_ALLOWED)
        else:
            try:
                watch_query = parse_query(query)
            except QueryError:
                self._reject(request, HTTPStatus.BAD_REQUEST)
                return
            self._serve_query(request, watch_query)

    def _serve_query(self, request: HttpRequest, query: WatchQuery) -> None:
        pipeline = request.connection.context
        assert isinstance(pipeline, UpdatePipeline), "`serve_list` gives no other context"
        if not pipeline.store.initialized:
            self._reject(request, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        since, timeout_ms = query
        try:
            body = pipeline.response_since(since)
        except RevisionNotStoredError:
            self._reject(request, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        if body is not None and self.unread.over_limit():
            self._reject(request, HTTPStatus.SERVICE_UNAVAILABLE)
        elif body is not None:
            self._respond(request, body)
        elif since is None or timeout_ms == 0 or self.listener.draining:
            self._respond(request, pipeline.store.responses.unchanged())
        else:
            self._add_watch(pipeline.store, request, since, timeout_ms)

    def _add_watch(self, store: EndpointStore, request: HttpRequest, since: int, timeout_ms: int) -> None:
        watch = Watch(store, since, lambda body: self._respond(request, body))
        now_ms = self._loop.time() * 1000.0
        if not self.registry.add(watch, now_ms + timeout_ms):
            self._reject(request, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        request.on_disconnect = lambda: self.registry.cancel(watch)
        self._schedule_expiry()

    def _reject(self, request: HttpRequest, status: HTTPStatus) -> None:
        self.rejected += 1
        retry_after_ms = RETRY_AFTER_MS if status is HTTPStatus.SERVICE_UNAVAILABLE else 0.0
        request.respond(status, b"", retry_after_ms)

    def _respond(self, request: HttpRequest, body: bytes) -> None:
        request.respond(HTTPStatus.OK, body)
        unsent_bytes = request.connection.unsent_bytes
        if unsent_bytes:
            self.unread.add(request.connection, unsent_bytes, len(body))

    # ---------------------------------------------------------- batches and expiry

    def schedule_flush(self) -> None:
        """Begin to write the responses that the registry has ready."""
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        if self.registry.outbox_size and self.unread.over_limit():
            self._loop.call_later(UNREAD_RECHECK_S, self._flush)
            return
        # Guard: one change for thousands of watches held the loop until the last of them was written.
        self._flush_scheduled = self.registry.flush(FLUSH_BATCH_SIZE)
        if self._flush_scheduled:
            self._loop.call_soon(self._flush)

    def _schedule_expiry(self) -> None:
        deadline_ms = self.registry.next_deadline_ms
        if deadline_ms is not None and (self._expiry_ms is None or deadline_ms < self._expiry_ms):
            if self._expiry_timer is not None:
                self._expiry_timer.cancel()
            self._expiry_ms = deadline_ms
            self._expiry_timer = self._loop.call_at(deadline_ms / 1000.0, self._expire)

    def _expire(self) -> None:
        self._expiry_timer = self._expiry_ms = None
        self.registry.expire(self._loop.time() * 1000.0 + EXPIRY_LEAD_MS)
        self.schedule_flush()
        self._schedule_expiry()
