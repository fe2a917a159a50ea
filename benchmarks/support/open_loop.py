"""An open-loop client: sends requests at a constant rate and measures latency from the scheduled send time.

A stall of the server therefore appears in the latencies of all requests scheduled during it (no coordinated
omission). The time that a request waits for a connection is included, and a request without a response counts
with the time from its scheduled send time to the end of the run.
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

MAX_CONNECTIONS = 256  # open at the same time; further requests wait for a free one
DRAIN_TIMEOUT_S = 4.5  # wait for responses after the last request is scheduled
FIRST_REQUEST_DELAY_S = 0.01  # from the encoding of all requests to the first scheduled send time
MICROSECONDS_PER_S = 1e6
MAX_RECORDED_US = 60_000_000
SIGNIFICANT_DIGITS = 3  # of the histograms
NO_RESPONSE = 0  # status recorded for a request without a response

REQUEST_MIX = {"read": 0.7, "post": 0.2, "move": 0.1}  # fraction of requests by service class
REQUEST_BODY = b"y" * 212


class MicrosecondEventLoop(asyncio.SelectorEventLoop):
    """An event loop with microsecond timers; it uses select, since epoll rounds timeouts to milliseconds."""

    def __init__(self) -> None:
        super().__init__(selectors.SelectSelector())


def run_with_exact_timers(benchmark: Coroutine[Any, Any, None]) -> None:
    """Run a benchmark to completion in a `MicrosecondEventLoop`."""
    with asyncio.Runner(loop_factory=MicrosecondEventLoop) as runner:
        runner.run(benchmark)


def encode_request(rng: Random) -> bytes:
    """Return a random request of `REQUEST_MIX`, with random class, id and idempotency key."""
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
    scheduled_at: float  # scheduled send time, by the loop's clock
    address: Address
    data: bytes
    repeats: int = 0


@dataclass(slots=True)
class LoadResult:
    """The outcome of one run of requests; latencies are in microseconds from the scheduled send time."""

    latencies_us: list[float] = field(default_factory=list)  # in the order of the responses
    send_delays_us: list[float] = field(default_factory=list)  # from scheduled to actual send time
    statuses: Counter[int] = field(default_factory=Counter)
    opened: int = 0  # opened connections
    seconds: float = 0.0  # from the first scheduled send time to the last response


def histogram(latencies_us: Sequence[float]) -> HdrHistogram:
    """Return an HDR histogram of microseconds; values are clamped to the range 1 to `MAX_RECORDED_US`."""
    recorded = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
    for latency_us in latencies_us:
        recorded.record_value(min(MAX_RECORDED_US, max(1, round(latency_us))))
    return recorded


class _Connection(asyncio.Protocol):
    """One connection, with at most one request in flight."""

    def __init__(self, client: OpenLoopClient, address: Address, request: _Request) -> None:
        self.address = address
        self.request: _Request | None = request
        self.reused = False  # whether it has already delivered a response
        self._client = client
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request that the connection is opened for, unless the run has ended without it."""
        self._transport = require_stream_transport(transport)
        if self.request is None:
            self._transport.abort()
        else:
            self._transport.write(self.request.data)

    def send(self, request: _Request) -> None:
        """Send a request on this connection, which must be open and idle."""
        if self._transport is None:
            raise ConnectionError(f"cannot send a request: the connection to {self.address} is not open")
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
        """Return the request in flight to the client."""
        request, self.request = self.request, None
        self._client.on_connection_lost(self, request)
        del self._parser  # breaks the reference cycle with this object

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()


class OpenLoopClient:
    """Sends requests on keep-alive connections; opens another connection if all to an address are busy."""

    def __init__(
        self,
        seed: int,
        *,
        max_connections: int = MAX_CONNECTIONS,
        drain_timeout_s: float = DRAIN_TIMEOUT_S,
    ) -> None:
        """Create a client without connections.

        Args:
            seed: Seed of the random requests.
            max_connections: Limit on open connections; further requests wait for a free one.
            drain_timeout_s: How long a run waits for responses after its last request is scheduled.
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
        """Requests past their scheduled send time that have no response yet."""
        return len(self._outstanding)

    async def run(self, addresses: Sequence[Address], rate: float, seconds: float) -> LoadResult:
        """Send requests at a constant rate, round-robin over the addresses, and wait for the responses.

        Args:
            addresses: The destinations of the requests.
            rate: Requests a second.
            seconds: How long to send requests; the run ends at most the drain timeout later.
        """
        self._result = result = LoadResult()
        count = max(1, round(rate * seconds))
        requests = [encode_request(self._rng) for _ in range(count)]
        started = self._loop.time() + FIRST_REQUEST_DELAY_S
        for index, data in enumerate(requests):
            scheduled_at = started + index / rate
            # A late request is sent at once; the sleep of 0 s still lets the loop read responses in between.
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
        """Abort all connections."""
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
        """Abort an idle connection to another address, so that a queued request can open its own."""
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
        """Record a response. Called by connections.

        Args:
            request: The request that the response belongs to.
            status: The response's status code.
            connection: The connection if it can be reused, else None.
        """
        self._finish(request, status)
        if connection is not None:
            self._idle.setdefault(connection.address, []).append(connection)
            if self._queue:
                self._dispatch(self._queue.popleft())

    def on_connection_lost(self, connection: _Connection, request: _Request | None) -> None:
        """Remove a connection; resend its request in flight or record it as failed. Called by connections."""
        self._connections.discard(connection)
        idle = self._idle.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)
        if request is not None and request in self._outstanding:
            # The server may close a reused connection while the request is on its way: resend it once.
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
