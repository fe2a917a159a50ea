"""An open-loop client: requests at a constant rate, each latency counted from the request's due time.

A stall of the server shows in the latencies of all requests that are due meanwhile (no coordinated omission).
A request that finds no connection waits with its clock running, and a request without a response counts with
all the time it had.
"""

from __future__ import annotations

import asyncio
import selectors
from collections import Counter, deque
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import httptools
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from benchmarks.support.transports import require_stream_transport
from loadbalancer.http.addresses import Address

MAX_CONNECTIONS = 256  # open at once; further requests wait for one
DRAIN_TIMEOUT_S = 4.5  # from the last request's due time, for which the client waits for responses
FIRST_REQUEST_DELAY_S = 0.01  # from the encoding of the requests to the first one's due time
MICROSECONDS_PER_S = 1e6
MAX_RECORDED_US = 60_000_000
SIGNIFICANT_DIGITS = 3  # of the histograms
NO_RESPONSE = 0  # the status of a request without a response

REQUEST_MIX = {"read": 0.7, "post": 0.2, "move": 0.1}  # fraction of requests by service class
REQUEST_BODY = b"y" * 212


class MicrosecondEventLoop(asyncio.SelectorEventLoop):
    """An event loop with timers exact to the microsecond: the timeouts of epoll are whole milliseconds."""

    def __init__(self) -> None:
        super().__init__(selectors.SelectSelector())


def run_with_exact_timers(benchmark: Coroutine[Any, Any, None]) -> None:
    """Run a benchmark to its end in a `MicrosecondEventLoop`."""
    with asyncio.Runner(loop_factory=MicrosecondEventLoop) as runner:
        runner.run(benchmark)


def encode_request(rng: Random) -> bytes:
    """Return one request of the mix; its class, id and idempotency key are drawn."""
    service_class = rng.choices(list(REQUEST_MIX), list(REQUEST_MIX.values()))[0]
    lines = [
        f"{'GET' if service_class == 'read' else 'POST'} /{service_class}/{rng.getrandbits(32):08x} HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {rng.getrandbits(64):016x}",
        "Req-Owner: acme",
        "Req-Deadline-Ms: 4000",
    ]
    if service_class == "move":
        lines.append(f"Idempotency-Key: {rng.getrandbits(128):032x}")
    if service_class == "read":
        return "\r\n".join(lines).encode() + b"\r\n\r\n"
    lines.append(f"Content-Length: {len(REQUEST_BODY)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + REQUEST_BODY


@dataclass(slots=True, eq=False)
class _Request:
    scheduled_at: float  # when it is to be sent, by the loop's clock
    address: Address
    data: bytes
    repeats: int = 0


@dataclass(slots=True)
class LoadResult:
    """The outcome of one run of requests; latencies are in microseconds from each request's due time."""

    latencies_us: list[float] = field(default_factory=list)  # in the order of the responses
    send_delays_us: list[float] = field(default_factory=list)  # from each request's due time to its sending
    statuses: Counter[int] = field(default_factory=Counter)
    opened: int = 0  # connections
    seconds: float = 0.0  # from the first request's due time to the last response


def histogram(latencies_us: Sequence[float]) -> HdrHistogram:
    """Return an HDR histogram of microseconds, limited to 1 to `MAX_RECORDED_US`."""
    recorded = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    for latency_us in latencies_us:
        recorded.record_value(min(MAX_RECORDED_US, max(1, round(latency_us))))
    return recorded


class _Connection(asyncio.Protocol):
    """One connection, with at most one request in flight."""

    def __init__(self, client: OpenLoopClient, address: Address, request: _Request) -> None:
        self.address = address
        self.request: _Request | None = request
        self.reused = False  # whether it has carried a response before
        self._client = client
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request that the connection was opened for, unless it has been given up."""
        self._transport = require_stream_transport(transport)
        if self.request is None:
            self._transport.abort()
        else:
            self._transport.write(self.request.data)

    def send(self, request: _Request) -> None:
        """Send a request; the connection is open and idle."""
        if self._transport is None:
            raise ConnectionError("a request was given to a connection that is not open")
        self.request = request
        self._transport.write(request.data)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Parser callback: the response is complete."""
        request, self.request = self.request, None
        keep_alive = self._parser.should_keep_alive() and request is not None
        if request is not None:
            self.reused = True
            reusable = self if keep_alive else None
            self._client.on_response(request, self._parser.get_status_code(), reusable)
        if not keep_alive:
            self.abort()

    def connection_lost(self, _exc: Exception | None) -> None:
        """Hand the request that is in flight back to the client."""
        request, self.request = self.request, None
        self._client.on_connection_lost(self, request)
        del self._parser  # it refers to this object

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class OpenLoopClient:
    """Keeps connections alive to the addresses of its requests, and opens one more where all are busy."""

    def __init__(
        self,
        seed: int,
        *,
        max_connections: int = MAX_CONNECTIONS,
        drain_timeout_s: float = DRAIN_TIMEOUT_S,
    ) -> None:
        """Create a client without connections.

        Args:
            seed: Of the requests' random draws.
            max_connections: Connections open at once; further requests wait for one.
            drain_timeout_s: For how long a run waits for responses after its last request is due.
        """
        self._max_connections = max_connections
        self._drain_timeout_s = drain_timeout_s
        self._loop = asyncio.get_running_loop()
        self._rng = Random(seed)
        self._idle: dict[Address, list[_Connection]] = {}
        self._connections: set[_Connection] = set()
        self._queue: deque[_Request] = deque()  # requests that wait for a connection
        self._outstanding: set[_Request] = set()
        self._result = LoadResult()
        self._opening: set[asyncio.Task[None]] = set()
        self._request_finished = asyncio.Event()

    @property
    def outstanding(self) -> int:
        """Requests that are past their due time and have no response yet."""
        return len(self._outstanding)

    async def run(self, addresses: Sequence[Address], rate: float, seconds: float) -> LoadResult:
        """Send requests at a constant rate, to the addresses in turn, and wait for their responses.

        Args:
            addresses: Where the requests go.
            rate: Requests a second.
            seconds: For how long; the run ends the drain time-out later at the latest.
        """
        self._result = result = LoadResult()
        count = max(1, round(rate * seconds))
        requests = [encode_request(self._rng) for _ in range(count)]
        started = self._loop.time() + FIRST_REQUEST_DELAY_S
        for index, data in enumerate(requests):
            scheduled_at = started + index / rate
            # A late request is sent at once, but the loop has to read responses in between.
            await asyncio.sleep(max(0.0, scheduled_at - self._loop.time()))
            result.send_delays_us.append((self._loop.time() - scheduled_at) * MICROSECONDS_PER_S)
            request = _Request(scheduled_at, addresses[index % len(addresses)], data)
            self._outstanding.add(request)
            self._dispatch(request)
        await self._drain(started + count / rate + self._drain_timeout_s)
        result.seconds = self._loop.time() - started
        return result

    async def _drain(self, deadline: float) -> None:
        while self._outstanding and self._loop.time() < deadline:
            self._request_finished.clear()
            try:
                async with asyncio.timeout_at(deadline):
                    await self._request_finished.wait()
            except TimeoutError:
                break
        self._queue.clear()
        for request in list(self._outstanding):
            self._finish(request, NO_RESPONSE)
        for connection in list(self._connections):
            if connection.request is not None:
                connection.request = None
                connection.abort()

    def close(self) -> None:
        """End every connection at once."""
        for connection in list(self._connections):
            connection.abort()

    def _dispatch(self, request: _Request) -> None:
        idle = self._idle.get(request.address)
        if idle:
            idle.pop().send(request)
        elif len(self._connections) < self._max_connections:
            self._open(request)
        else:
            self._queue.append(request)
            self._close_one_idle()

    def _close_one_idle(self) -> None:
        """End an idle connection to another address; the request in the queue takes its place."""
        connection = next((idle[0] for idle in self._idle.values() if idle), None)
        if connection is not None:
            self._idle[connection.address].remove(connection)
            connection.abort()

    def _open(self, request: _Request) -> None:
        connection = _Connection(self, request.address, request)
        self._connections.add(connection)
        self._result.opened += 1
        task = asyncio.create_task(self._connect(connection))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self, connection: _Connection) -> None:
        try:
            await self._loop.create_connection(lambda: connection, *connection.address)
        except OSError:
            request, connection.request = connection.request, None
            connection.reused = False
            self.on_connection_lost(connection, request)

    def on_response(self, request: _Request, status: int, connection: _Connection | None) -> None:
        """Record a response; called by connections.

        Args:
            request: The request that the response ends.
            status: The response's status code.
            connection: The connection, if it can be reused.
        """
        self._finish(request, status)
        if connection is not None:
            self._idle.setdefault(connection.address, []).append(connection)
            if self._queue:
                self._dispatch(self._queue.popleft())

    def on_connection_lost(self, connection: _Connection, request: _Request | None) -> None:
        """Remove a connection; send its request in flight again or end it. Called by connections."""
        self._connections.discard(connection)
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        if request is not None and request in self._outstanding:
            # The server's close and the request on a reused connection may cross: the request is repeated.
            if connection.reused and not request.repeats:
                request.repeats += 1
                self._open(request)
            else:
                self._finish(request, NO_RESPONSE)
        if self._queue and len(self._connections) < self._max_connections:
            self._dispatch(self._queue.popleft())

    def _finish(self, request: _Request, status: int) -> None:
        if request in self._outstanding:
            self._outstanding.discard(request)
            self._result.latencies_us.append((self._loop.time() - request.scheduled_at) * MICROSECONDS_PER_S)
            self._result.statuses[status] += 1
            self._request_finished.set()
