"""A minimal discovery server for tests: serves one endpoint list to watches over the discovery protocol."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from benchmarks.support.membership import EndpointEntry, Membership
from benchmarks.support.transports import require_stream_transport

MAX_WAIT_MS = 60_000  # longest delay of the response to a watch while the list does not change
LISTEN_BACKLOG = 4096
LIST_PATH = "/discovery/hosts"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
NOT_FOUND_RESPONSE = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
UNUSED_ADDRESS = "127.0.0.1:9"  # for endpoints that receive no requests


class ListServerStatistics(msgspec.Struct):
    """Counters since the start, and the current connections."""

    revision: int
    entries: int
    connections: int
    waiting: int  # watches that wait for a change
    accepted: int  # accepted connections
    responses: int = msgspec.field(name="answers")
    bytes_in: int
    bytes_out: int
    cpu_s: float  # processor time of the server's process
    at_s: float  # Unix time


class _WatchConnection(asyncio.Protocol):
    """One watch: a request at a time, with a response when the list changes or the requested wait ends."""

    def __init__(self, server: ListServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._wait_timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._since: int | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the server."""
        self._transport = require_stream_transport(transport)
        self._server.accepted += 1
        self._server.connections.add(self)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Unregister from the server."""
        self._stop_waiting()
        self._server.connections.discard(self)
        self._transport = None
        del self._parser  # breaks the reference cycle with this object

    def data_received(self, data: bytes) -> None:
        """Parse the data; data that is not HTTP or an invalid number in the query closes the connection."""
        self._server.bytes_in += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError):
            self.close()

    def on_message_begin(self) -> None:
        """Parser callback: a request begins."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Parser callback: a part of the request's target."""
        self._target += url

    def on_message_complete(self) -> None:
        """Parser callback: respond at once if the list has changed, else when it changes or the wait ends."""
        target = urlsplit(self._target.decode("ascii"))
        query = parse_qs(target.query)
        if target.path != LIST_PATH:
            self._write(NOT_FOUND_RESPONSE)
            return
        self._since = int(query["since"][0]) if "since" in query else None
        if self._server.on_poll is not None:
            self._server.on_poll(self._since)
        if self._since != self._server.membership.revision:
            self.respond()
            return
        wait_ms = min(MAX_WAIT_MS, int(query.get("timeout_ms", ["0"])[0]))
        self._server.waiting.add(self)
        self._wait_timer = asyncio.get_running_loop().call_later(wait_ms / 1000.0, self.respond)

    def respond(self) -> None:
        """Send the changes since the watch's revision, or the complete list."""
        self._stop_waiting()
        body = self._server.membership.watch_response(self._since)
        self._write(RESPONSE_HEAD % len(body) + body)
        self._server.responses += 1

    def close(self) -> None:
        """Abort the connection."""
        self._stop_waiting()
        if self._transport is not None:
            self._transport.abort()

    def _stop_waiting(self) -> None:
        self._server.waiting.discard(self)
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._server.bytes_out += len(data)
            self._transport.write(data)


class ListServer:
    """Serves a membership to watches.

    A watch polls with a revision only after its node has applied that revision, so `on_poll`, which is called
    with the revision of each poll, also reports when a change is in force. `bytes_in` and `bytes_out` count
    HTTP bytes, without TCP and IP headers.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.on_poll: Callable[[int | None], None] | None = None
        self.connections: set[_WatchConnection] = set()
        self.waiting: set[_WatchConnection] = set()
        self.accepted = 0
        self.responses = 0
        self.bytes_in = 0
        self.bytes_out = 0
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to listen; return the host and port."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: _WatchConnection(self), host, port, backlog=LISTEN_BACKLOG
        )
        host, port = self._listener.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def change(self, changed: Sequence[EndpointEntry], *, compact: bool = False) -> int:
        """Apply changed entries and respond to every waiting watch.

        Args:
            changed: The entries.
            compact: Discard the change log, so that each watch receives the complete list.

        Returns:
            The new revision.
        """
        revision = self.membership.apply(changed)
        if compact:
            self.membership.compact()
        for connection in list(self.waiting):
            connection.respond()
        return revision

    def drop_connections(self) -> None:
        """Abort all connections, as a restart of the server does."""
        for connection in list(self.connections):
            connection.close()

    def statistics(self) -> ListServerStatistics:
        """Return the current counters."""
        return ListServerStatistics(
            revision=self.membership.revision,
            entries=len(self.membership.entries),
            connections=len(self.connections),
            waiting=len(self.waiting),
            accepted=self.accepted,
            responses=self.responses,
            bytes_in=self.bytes_in,
            bytes_out=self.bytes_out,
            cpu_s=time.process_time(),
            at_s=time.time(),
        )

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._listener is not None:
            self._listener.close()
        self.drop_connections()
