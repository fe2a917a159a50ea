"""Serves endpoint lists to clients: one HTTP server, which listens at a separate address for each list."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from loadbalancer.discovery_server.endpoint_store import EndpointStore
from loadbalancer.discovery_server.unread_responses import UnreadResponses
from loadbalancer.discovery_server.update_pipeline import RevisionNotReservedError, UpdatePipeline
from loadbalancer.discovery_server.watch_query import QueryError, WatchQuery, parse_query
from loadbalancer.discovery_server.watch_registry import Watch, WatchRegistry
from loadbalancer.discovery_server.watch_scheduler import WatchScheduler
from loadbalancer.http.addresses import Address
from loadbalancer.http.listener import HttpListener
from loadbalancer.http.request import HttpRequest

PATH = b"/discovery/hosts"
RETRY_AFTER_MS = 1000.0
LINGER_TIMEOUT_S = 0.5  # the longest that a shutdown waits for clients to read their last responses
LINGER_POLL_S = 0.01


class DiscoveryFrontend:
    """Serves any number of lists within one connection limit. Must be created within a running event loop.

    Attributes:
        rejected_requests: Requests with a 4xx or 503 response since the start.
    """

    def __init__(self, max_connections: int, registry: WatchRegistry, unread: UnreadResponses) -> None:
        """Create a frontend that doesn't listen yet."""
        self.rejected_requests = 0
        self._unread = unread
        self._loop = asyncio.get_running_loop()
        self._listener = HttpListener(max_connections, self._on_request)
        timeouts = self._listener.timeouts
        timeouts.unread_timeout_s = max(timeouts.unread_timeout_s, unread.timeout_s)
        self._watches = WatchScheduler(registry, unread)

    @property
    def ready(self) -> bool:
        """Whether readiness requests get status 200."""
        return self._listener.ready

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._listener.connections)

    async def serve_list(self, pipeline: UpdatePipeline, address: Address) -> Address:
        """Serve a list at this address and return the bound address, which differs if the port is 0.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = address
        return await self._listener.listen(host, port, context=pipeline)

    def set_ready(self, *, ready: bool) -> None:
        """Set the status of readiness requests: 200 if ready, otherwise 503."""
        self._listener.ready = ready

    def notify(self, store: EndpointStore) -> None:
        """Respond to the watches that a change of this list affects."""
        self._watches.notify(store)

    async def drain(self) -> None:
        """Stop accepting, respond to all watches, and wait a bounded time until clients have read them."""
        self._listener.draining = True
        self._listener.close_listening_sockets()
        await self._watches.complete_all()
        self._listener.close_idle_connections()
        await self._wait_for_clients()

    def close(self) -> None:
        """Abort all connections, stop listening and cancel all deadlines."""
        for connection in list(self._listener.connections):
            connection.abort()
        self._listener.close()
        self._watches.close()

    async def _wait_for_clients(self) -> None:
        deadline = self._loop.time() + LINGER_TIMEOUT_S
        while self._loop.time() < deadline:
            if not self._listener.connections:
                return
            await asyncio.sleep(LINGER_POLL_S)

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
        assert isinstance(pipeline, UpdatePipeline), f"expected a pipeline as context, found {pipeline!r}"
        if not pipeline.store.initialized:
            self._reject(request, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        try:
            body = pipeline.response_since(query.since)
        except RevisionNotReservedError:
            self._reject(request, HTTPStatus.SERVICE_UNAVAILABLE)
            return
        if body is not None:
            self._respond_unless_over_limit(request, body)
        elif query.since is None or query.timeout_ms == 0 or self._listener.draining:
            self._respond(request, pipeline.store.responses.unchanged())
        else:
            self._add_watch(request, pipeline.store, query.since, query.timeout_ms)

    def _respond_unless_over_limit(self, request: HttpRequest, body: bytes) -> None:
        self._unread.enforce_limit()
        if self._unread.over_limit:
            self._reject(request, HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self._respond(request, body)

    def _add_watch(self, request: HttpRequest, store: EndpointStore, since: int, timeout_ms: int) -> None:
        watch = Watch(store, since, lambda body: self._respond(request, body))
        if self._watches.add(watch, timeout_ms):
            request.on_disconnect = lambda: self._watches.cancel(watch)
        else:
            self._reject(request, HTTPStatus.SERVICE_UNAVAILABLE)

    def _reject(self, request: HttpRequest, status: HTTPStatus) -> None:
        self.rejected_requests += 1
        retry_after_ms = RETRY_AFTER_MS if status is HTTPStatus.SERVICE_UNAVAILABLE else 0.0
        request.respond(status, b"", retry_after_ms)

    def _respond(self, request: HttpRequest, body: bytes) -> None:
        request.respond(HTTPStatus.OK, body)
        unsent_bytes = request.connection.unsent_bytes
        if unsent_bytes:
            self._unread.track(request.connection, unsent_bytes, len(body))
