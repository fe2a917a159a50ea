"""Connection pools, attempts and servers for the tests of the proxy's modules."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from loadbalancer.actions import Action, Fail, Send
from loadbalancer.events import AttemptOutcome, AttemptResult, Event, IncomingRequest
from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import ClientConnection, HttpResponse
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.proxy import Proxy
from loadbalancer.proxy.upstream_attempt import UpstreamAttempt
from tests.support.loopback import LoopbackServer, until

OnResult = Callable[[AttemptResult, HttpResponse | None], object]

REQUEST_BYTES = b"GET /read/1 HTTP/1.1\r\nReq-Id: q\r\n\r\n"


class FixedRequest:
    """The request of an attempt, with given bytes; it always still has to be sent."""

    def __init__(self, data: bytes, on_result: OnResult) -> None:
        self.data = data
        self._on_result = on_result

    def encode(self, remaining_s: float) -> bytes:
        return self.data

    def is_needed(self) -> bool:
        return True

    def on_result(self, result: AttemptResult, response: HttpResponse | None) -> None:
        self._on_result(result, response)


def start_attempt(
    pool: ConnectionPool,
    endpoint: str,
    on_result: OnResult,
    data: bytes = REQUEST_BYTES,
    timeout_s: float = 20.0,
) -> UpstreamAttempt:
    """Send a request to the endpoint of this name, which has to be in the pool."""
    connections = pool.get(endpoint)
    assert connections is not None
    attempt = UpstreamAttempt(pool, FixedRequest(data, on_result), timeout_s)
    attempt.start(connections)
    return attempt


async def attempt_result(
    pool: ConnectionPool, endpoint: str = "s", data: bytes = REQUEST_BYTES, timeout_s: float = 20.0
) -> AttemptResult:
    """The result of one attempt; a second result raises InvalidStateError."""
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
    """A server whose test itself reads and writes the streams of each connection."""

    def __init__(self) -> None:
        super().__init__()
        self.streams: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.streams.append((reader, writer))


class BlockedConnects:
    """Blocks each connect of a proxy's pool after the first `allowed` ones until `unblock` is set."""

    def __init__(self, proxy: Proxy, allowed: int = 0) -> None:
        self.unblock = asyncio.Event()
        self.connect_count = 0
        self.allowed = allowed
        self.connect_now = proxy.pool.connect
        proxy.pool.connect = self._connect  # type: ignore[method-assign]
        proxy.pool.connect_timeout_s = 60.0

    async def _connect(self, address: Address) -> ClientConnection:
        self.connect_count += 1
        if self.connect_count > self.allowed:
            await self.unblock.wait()
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
