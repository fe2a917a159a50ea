"""Connections and requests over the proxy's limits."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import select
import socket
from pathlib import Path

import pytest

from loadbalancer.actions import Reject
from loadbalancer.events import IncomingRequest
from tests.support.loopback import HttpClient, StalledBackend, running_proxy, send_request, until
from tests.support.messages import request
from tests.support.model_time import stop_listener_clock
from tests.support.scripted_policy import script_policy


def open_descriptors() -> int:
    """File descriptors that this process has open."""
    return len(list(Path("/proc/self/fd").iterdir()))


@pytest.fixture
def proxy_options():
    """Few descriptors, which allow 67 connections to clients."""
    return {"limits": {"sockets": 132}}


async def test_requests_over_the_maximum_are_rejected_at_once():
    server = StalledBackend()
    async with running_proxy(server, bounds={"maxOpen": 1}) as proxy:
        first = asyncio.create_task(send_request(proxy, request(name="q1")))
        await until(lambda: server.received)
        assert (await send_request(proxy, request(name="q2"))).status == 503
        server.release.set()
        assert (await first).status == 200
        assert len(server.received) == 1


async def test_flood_of_connections_is_accepted_up_to_the_downstream_limit(proxy):
    stop_listener_clock(proxy)
    clients = [await HttpClient.to(proxy) for _ in range(200)]
    await until(lambda: len(proxy.listener.connections) <= proxy.listener.limit)
    assert proxy.listener.limit == 67
    assert (await clients[-1].send(request())).status == 200


async def test_burst_of_connections_keeps_to_the_descriptor_limit(proxy):
    with contextlib.ExitStack() as stack:
        gc.collect()  # a collection during the count could close descriptors of earlier tests
        before = open_descriptors()
        # All are in the kernel's queue before the next iteration of the event loop.
        burst = [stack.enter_context(socket.create_connection(proxy.listener.address)) for _ in range(200)]
        burst[-1].sendall(request())
        peak = 0
        while not select.select([burst[-1]], [], [], 0)[0]:
            peak = max(peak, open_descriptors() - before - len(burst))
            await asyncio.sleep(0)
        assert burst[-1].recv(12) == b"HTTP/1.1 200"
        assert proxy.listener.limit <= peak <= 100


async def test_request_over_the_connection_limit_is_rejected_and_its_connection_closed(proxy):
    scripted = script_policy(proxy)  # holds every request
    clients = [await HttpClient.to(proxy) for _ in range(proxy.listener.limit)]
    for index, client in enumerate(clients):
        client.writer.write(request(name=f"q{index}"))
    await until(lambda: proxy.requests.open_count == len(clients))
    late = await send_request(proxy, request(name="late"))
    assert (late.status, late.headers["connection"]) == (503, "close")
    assert len(scripted.events_of(IncomingRequest)) == len(clients)
    await until(lambda: len(proxy.listener.connections) == len(clients))
    for index, client in enumerate(clients):
        proxy.policy_runner.execute(Reject(f"q{index}"))
        assert (await client.read_response()).status == 503


async def test_request_evicts_a_connection_that_has_just_become_idle(proxy):
    """The grace period of idle connections applies to evictions for a new connection only."""
    stop_listener_clock(proxy)
    clients = [await HttpClient.to(proxy) for _ in range(proxy.listener.limit)]
    for index, client in enumerate(clients):
        assert (await client.send(request(name=f"q{index}"))).status == 200
    late = await HttpClient.to(proxy)
    await until(lambda: len(proxy.listener.connections) > proxy.listener.limit)  # all stay open
    assert (await late.send(request(name="late"))).status == 200
    assert proxy.statistics.requests_over_limit == 0
    assert await clients[0].reader.read() == b""  # the one idle for longest
    assert (await clients[1].send(request(name="again"))).status == 200
