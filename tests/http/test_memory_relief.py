"""What yields when all connections together hold too many bytes: no complete request loses its response."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from loadbalancer.http.byte_budget import ByteBudget
from loadbalancer.http.listener import HttpListener
from loadbalancer.http.request import HttpRequest
from tests.support.loopback import HttpClient, until
from tests.support.messages import request

LIMIT_BYTES = 100_000  # partly received requests may hold half of it
BODY = b"b" * 33_000
LAST_PART_BYTES = 5_000


class Service:
    """A listener with a small budget, which holds each request until `release`."""

    def __init__(self) -> None:
        self.budget = ByteBudget(LIMIT_BYTES)
        self.listener = HttpListener(10, self._hold, self.budget)
        self.held: list[HttpRequest] = []

    def _hold(self, received: HttpRequest) -> None:
        self.held.append(received)

    def release(self) -> None:
        """Respond to the requests that are held."""
        held, self.held = self.held, []
        for received in held:
            received.respond(200, b"served")


@pytest.fixture
async def service():
    service = Service()
    await service.listener.listen("127.0.0.1", 0)
    yield service
    service.listener.close()
    for connection in list(service.listener.connections):
        connection.abort()


def parts(name: str) -> tuple[bytes, bytes]:
    """A request with a body of two parts, cut between them."""
    data = request("post", name, BODY)
    return data[:-LAST_PART_BYTES], data[-LAST_PART_BYTES:]


async def send_part(service: Service, client: HttpClient, data: bytes) -> None:
    """Send bytes, and wait until the listener holds them or has refused a request."""
    held = service.budget.buffered
    client.writer.write(data)
    await until(lambda: service.budget.buffered != held)


async def connect(service: Service, stack: contextlib.AsyncExitStack) -> HttpClient:
    return await stack.enter_async_context(await HttpClient.connect(service.listener.address))


async def test_oldest_partly_received_request_is_refused_first(service):
    async with contextlib.AsyncExitStack() as stack:
        first, second = await connect(service, stack), await connect(service, stack)
        await send_part(service, first, parts("q1")[0])
        await send_part(service, second, parts("second")[0])
        refused = await first.read_response()
        assert (refused.status, refused.headers["connection"]) == (503, "close")
        second.writer.write(parts("second")[1])
        await until(lambda: service.held)
        service.release()
        assert (await second.read_response()).status == 200
    await until(lambda: not service.listener.connections)
    assert service.budget.buffered == 0


async def test_request_that_the_exceeding_read_completes_is_not_refused(service):
    """Its connection is still in the phase of a partly received request as the read is handled."""
    first_part, last_part = parts("q1")
    async with contextlib.AsyncExitStack() as stack:
        first, second = await connect(service, stack), await connect(service, stack)
        await send_part(service, first, first_part)
        await send_part(service, second, parts("q2")[0][:19_000])
        first.writer.write(last_part)
        await until(lambda: service.held)
        assert (await second.read_response()).status == 503
        service.release()
        assert (await first.read_response()).status == 200


async def test_each_waiting_request_gets_a_response_and_its_content_is_released(service):
    async with await HttpClient.connect(service.listener.address) as client:
        pipelined = b"".join(request("post", f"q{number}", BODY[:20_000]) for number in range(3))
        client.writer.write(pipelined + request("post", "q3", BODY)[:-1])
        await until(lambda: service.held)
        await until(lambda: service.budget.peak > LIMIT_BYTES / 2 > service.budget.buffered)
        service.release()
        statuses = [(await client.read_response()).status for _ in range(4)]
        assert statuses == [200, 503, 503, 503]
        assert await client.reader.read() == b""


async def test_budget_is_exact_whatever_way_connections_end(service):
    async with contextlib.AsyncExitStack() as stack:
        clients = [await connect(service, stack) for _ in range(4)]
        for number, client in enumerate(clients):
            client.writer.write(request("post", f"q{number}", BODY[:5000]) + parts("rest")[0][:3000])
        await until(lambda: len(service.held) == 4)
        clients[0].writer.transport.abort()
        clients[1].writer.close()
        for connection in list(service.listener.connections)[:1]:
            connection.abort()
        await until(lambda: len(service.listener.connections) <= 2)
        service.release()
        await asyncio.sleep(0)
    await until(lambda: not service.listener.connections)
    assert service.budget.buffered == 0
