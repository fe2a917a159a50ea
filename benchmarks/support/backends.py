"""Test backends: one process that serves HTTP at many endpoints, and endpoint lists of the first N of them.

Standard input takes one `StartBackends` message, then any number of `CountersRequest` messages.
"""

from __future__ import annotations

import asyncio
import contextlib

import httptools
import msgspec

from benchmarks.support.child_streams import open_standard_input, read_message, write_message
from benchmarks.support.list_server import ListServer
from benchmarks.support.membership import Membership, make_entries
from benchmarks.support.processes import ChildProcess
from benchmarks.support.transports import require_stream_transport

RESPONSE_BODY = b"x" * 128
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(RESPONSE_BODY), RESPONSE_BODY)
ADDRESSES_PER_SUBNET = 250  # addresses used in each 127.1.x.0/24
MESSAGE_TIMEOUT_S = 30.0  # for the reply to a message; long enough for a busy machine


class StartBackends(msgspec.Struct):
    """The first message: the endpoints and lists to serve. The reply is `BackendsStarted`."""

    endpoints: int
    list_sizes: list[int]  # each list has its own list server
    service_ms: float  # delay from a request's last byte to its response
    seed: int


class BackendsStarted(msgspec.Struct):
    """The addresses, as host and port, of all endpoints and of the list servers."""

    endpoints: list[str]
    list_servers: list[str]


class CountersRequest(msgspec.Struct):
    """Requests the counters. The reply is `BackendCounters`."""


class BackendCounters(msgspec.Struct):
    """Totals over all backends since the process started."""

    accepted: int = 0  # accepted connections
    closed: int = 0  # closed connections
    responses: int = 0


class BackendsProcess:
    """The parent process's handle on a process of backends."""

    def __init__(self, process: ChildProcess, started: BackendsStarted) -> None:
        self._process = process
        self.endpoints = started.endpoints
        self.list_servers = started.list_servers

    @classmethod
    async def start(cls, request: StartBackends) -> BackendsProcess:
        """Start the process and its backends.

        Raises:
            TimeoutError: It does not serve within `MESSAGE_TIMEOUT_S`; it is terminated.
        """
        process = await ChildProcess.start("benchmarks.support.backends")
        try:
            async with asyncio.timeout(MESSAGE_TIMEOUT_S):
                return cls(process, await process.request(request, BackendsStarted))
        except BaseException:
            await process.terminate()
            raise

    async def accepted_connections(self) -> int:
        """Return the number of connections that the backends have accepted since the start."""
        async with asyncio.timeout(MESSAGE_TIMEOUT_S):
            counters = await self._process.request(CountersRequest(), BackendCounters)
        return counters.accepted

    async def stop(self) -> None:
        """Terminate the process."""
        await self._process.terminate()


class _BackendConnection(asyncio.Protocol):
    """One client connection: responds 200 to every request."""

    def __init__(self, counters: BackendCounters, service_s: float) -> None:
        self._counters = counters
        self._service_s = service_s
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = require_stream_transport(transport)
        self._counters.accepted += 1

    def connection_lost(self, _exc: Exception | None) -> None:
        """Count the end of the connection."""
        self._transport = None
        self._counters.closed += 1
        del self._parser  # breaks the reference cycle with this object

    def data_received(self, data: bytes) -> None:
        """Parse the data; data that is not HTTP closes the connection."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.abort()

    def on_message_complete(self) -> None:
        """Parser callback: respond after the service time."""
        if self._service_s > 0.0:
            asyncio.get_running_loop().call_later(self._service_s, self._respond)
        else:
            self._respond()

    def _respond(self) -> None:
        if self._transport is not None:
            self._counters.responses += 1
            self._transport.write(RESPONSE)


async def open_endpoints(count: int, service_ms: float, counters: BackendCounters) -> list[str]:
    """Listen on `count` loopback addresses; return the host and port of each."""
    loop = asyncio.get_running_loop()
    endpoints = []
    for index in range(count):
        subnet, host_number = divmod(index, ADDRESSES_PER_SUBNET)
        host = f"127.1.{subnet}.{host_number + 1}"
        server = await loop.create_server(lambda: _BackendConnection(counters, service_ms / 1000.0), host, 0)
        host, port = server.sockets[0].getsockname()[:2]
        endpoints.append(f"{host}:{port}")
    return endpoints


async def _serve() -> None:
    requests = await open_standard_input()
    start = await read_message(requests, msgspec.json.Decoder(StartBackends))
    if start is None:
        return
    counters = BackendCounters()
    endpoints = await open_endpoints(start.endpoints, start.service_ms, counters)
    list_servers = []
    for size in start.list_sizes:
        server = ListServer(Membership(make_entries(endpoints[:size], start.seed)))
        list_servers.append(await server.listen())
    write_message(BackendsStarted(endpoints, list_servers))
    counters_requests = msgspec.json.Decoder(CountersRequest)
    while await read_message(requests, counters_requests) is not None:
        write_message(counters)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve())
