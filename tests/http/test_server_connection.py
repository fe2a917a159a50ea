"""Pipelined requests on a downstream connection, and the memory of closed connections."""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest

from loadbalancer.http.request import HttpRequest
from loadbalancer.http.request_queue import MAX_PIPELINED_REQUESTS
from loadbalancer.http.socket_state import has_unread_data
from tests.support.loopback import HttpClient, StalledBackend, always, until
from tests.support.messages import request, response_bytes
from tests.support.slow_reader import LARGE_BODY, slow_reader

NOISE = b"\x00 no request\r\n\r\n"


@pytest.fixture
def backend():
    return StalledBackend()


async def test_pipelined_requests_over_the_limit_get_429(backend, proxy):
    client = await HttpClient.to(proxy)
    client.writer.write(b"".join(request("post", f"q{number}") for number in range(500)))
    await until(lambda: backend.received)
    (connection,) = proxy.listener.connections
    assert len(connection._parser.requests) == MAX_PIPELINED_REQUESTS
    backend.release.set()
    statuses = [(await client.read_response()).status for _ in range(MAX_PIPELINED_REQUESTS + 1)]
    assert statuses == [200] * MAX_PIPELINED_REQUESTS + [429]
    assert await client.reader.read() == b""


async def test_disconnect_after_a_pipelined_request_cancels_both_requests(backend, proxy):
    client = await HttpClient.to(proxy)
    client.writer.write(request("post", "q1") + request("post", "q2"))
    await until(lambda: backend.received)
    client.writer.close()
    await until(lambda: not proxy.requests.by_id)
    assert len(backend.received) == 1


async def test_closed_connections_are_freed_without_the_garbage_collector(backend, proxy):
    backend.release.set()
    client = await HttpClient.to(proxy)
    assert (await client.send(request("post", "q1"))).status == 200
    (downstream,), (upstream,) = proxy.listener.connections, proxy.pool._open
    references = [weakref.ref(downstream), weakref.ref(upstream)]
    del downstream, upstream
    client.writer.close()
    proxy.pool.remove("s0")
    gc.disable()
    try:
        await until(lambda: [reference() for reference in references] == [None, None])
    finally:
        gc.enable()


@pytest.mark.parametrize("error", [OSError, ValueError])
async def test_error_in_handling_a_request_closes_only_its_connection_and_is_counted(
    error, backend, proxy, monkeypatch, caplog
):
    """asyncio drops an OSError of a protocol's callback without a log line."""
    handle = proxy.listener.on_request

    def fail_for_one(received: HttpRequest) -> None:
        if received.headers[b"req-id"] == b"fails":
            raise error("of this request")
        handle(received)

    monkeypatch.setattr(proxy.listener, "on_request", fail_for_one)
    backend.release.set()
    async with await HttpClient.to(proxy) as failing, await HttpClient.to(proxy) as client:
        failing.writer.write(request("post", "fails"))
        assert await failing.reader.read() == b""
        assert (await client.send(request("post", "q1"))).status == 200
    assert proxy.statistics.event_loop_errors == 1
    assert "event loop error cause=received bytes not handled" in caplog.text
    assert "of this request" in caplog.text


@pytest.mark.parametrize("reads", [True, False], ids=["client that reads late", "client that never reads"])
async def test_next_request_waits_until_the_client_has_read_the_response(reads, backend, proxy, monkeypatch):
    """Guards against responses to a client that does not read them piling up in memory."""
    monkeypatch.setattr(proxy.listener.timeouts, "unread_timeout_s", 20.0 if reads else 0.2)
    backend.release.set()
    backend.script = always(response_bytes(body=LARGE_BODY))
    async with slow_reader(proxy) as (client, connection):
        client.sendall(request("post", "q1") + request("post", "q2"))
        await until(lambda: connection.unsent_bytes)
        client.sendall(request("post", "q3") + NOISE)
        client.sendall(NOISE)
        await until(lambda: connection.open_request_count == 2 or not connection.is_open)
        await until(lambda: connection._parser.fault is not None)
        client.sendall(NOISE)
        await until(lambda: not connection.is_open or not has_unread_data(connection._transport))
        assert backend.request_ids == ["q1"]
        if reads:
            received = await asyncio.to_thread(client.makefile("rb").read, 3 * len(LARGE_BODY))
            assert received.startswith(b"HTTP/1.1 200")
            await until(lambda: backend.request_ids == ["q1", "q2", "q3"])
        else:
            await until(lambda: not connection.is_open)
            assert proxy.statistics.closed_connections == {"unread_response": 1}
            assert backend.request_ids == ["q1"]
