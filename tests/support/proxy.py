"""Builders for the tests of the proxy's own modules."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from typing import Any

from loadbalancer.actions import Action, Fail, Send
from loadbalancer.events import AttemptOutcome, AttemptResult, Event, IncomingRequest
from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import ClientConnection, HttpResponse
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.proxy.upstream_attempt import UpstreamAttempt
from tests.support.loopback import LoopbackServer, Message, until

OnResult = Callable[[AttemptResult, HttpResponse | None], object]

REQUEST_BYTES = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"


class FixedRequest:
    """A request of given bytes that is always needed."""

    def __init__(self, data: bytes, on_result: OnResult) -> None:
        self.data = data
        self._on_result = on_result

    def encode(self, remaining_s: float) -> bytes:
        return self.data

    def is_needed(self) -> bool:
        return True

    def on_result(self, result: AttemptResult, response: HttpResponse | None) -> None:
        self._on_result(result, response)


class SkippingEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock a test advances; its timers fire accordingly."""

    def __init__(self) -> None:
        self._skipped_s = 0.0
        super().__init__()

    def time(self) -> float:
        """The event loop's time, in seconds."""
        return super().time() + self._skipped_s

    def skip(self, seconds: float) -> None:
        """Advance the clock."""
        self._skipped_s += seconds


def run_on_skipping_loop(main: Callable[[SkippingEventLoop], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine function on a new event loop, which it gets as its argument."""
    with asyncio.Runner(loop_factory=SkippingEventLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, SkippingEventLoop)
        runner.run(main(loop))


def start_attempt(
    pool: ConnectionPool,
    endpoint: str,
    on_result: OnResult,
    data: bytes = REQUEST_BYTES,
    timeout_s: float = 20.0,
) -> UpstreamAttempt:
    """Send a request to the endpoint of this name; the test names one that the pool has."""
    connections = pool.get(endpoint)
    assert connections is not None
    attempt = UpstreamAttempt(pool, FixedRequest(data, on_result), timeout_s)
    attempt.start(connections)
    return attempt


async def attempt_result(
    pool: ConnectionPool, endpoint: str = "s", data: bytes = REQUEST_BYTES, timeout_s: float = 20.0
) -> AttemptResult:
    """The result of one attempt; a second result of it would raise."""
    ended: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    start_attempt(pool, endpoint, lambda result, _: ended.set_result(result), data, timeout_s)
    return await ended


def policy_sending_to(*endpoints: str) -> Callable[[Event], list[Action]]:
    """A scripted policy that sends each request to the first endpoint, and on each failure to the next."""
    attempts: dict[str, int] = {}

    def act(event: Event) -> list[Action]:
        if isinstance(event, IncomingRequest) or (isinstance(event, AttemptOutcome) and not event.done):
            request_id = event.request_id
            number = attempts[request_id] = attempts.get(request_id, -1) + 1
            failed = number >= len(endpoints)
            return [Fail(request_id) if failed else Send(request_id, endpoints[number])]
        return []

    return act


class ManualServer(LoopbackServer):
    """A server whose test reads and writes each of its connections itself."""

    def __init__(self) -> None:
        super().__init__()
        self.links: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.append((reader, writer))


class GatedConnects:
    """Holds back the connections that a proxy's pool opens, after the first few, until the gate is set."""

    def __init__(self, proxy: Proxy, at_once: int = 0) -> None:
        self.gate = asyncio.Event()
        self.connects = 0
        self.at_once = at_once
        self.connect_now = proxy.pool.connect
        proxy.pool.connect = self._connect  # type: ignore[method-assign]
        proxy.pool.connect_timeout_s = 60.0

    async def _connect(self, address: Address) -> ClientConnection:
        self.connects += 1
        if self.connects > self.at_once:
            await self.gate.wait()
        return await self.connect_now(address)


def make_pool(
    limit: int = 10, endpoint_idle_timeout_s: float = 10.0, connect_timeout_s: float = 20.0
) -> ConnectionPool:
    return ConnectionPool(limit, endpoint_idle_timeout_s, connect_timeout_s)


@contextlib.asynccontextmanager
async def open_pool(
    limit: int = 10, endpoint_idle_timeout_s: float = 10.0, connect_timeout_s: float = 20.0
) -> AsyncIterator[ConnectionPool]:
    """A connection pool that is closed, with all its connections, at the end of the context."""
    pool = make_pool(limit, endpoint_idle_timeout_s, connect_timeout_s)
    try:
        yield pool
    finally:
        pool.close()
        await until(lambda: pool.size == 0)


def answering(response: bytes | None) -> LoopbackServer:
    """A server with one response to every request; None closes the connection."""

    async def script(_message: Message) -> bytes | None:
        return response

    return LoopbackServer(script)


@contextlib.contextmanager
def unaccepting_listener() -> Iterator[socket.socket]:
    """A listener where connections are never established: its queue is full and nobody accepts."""
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        yield listener
