"""The open-loop client avoids coordinated omission: latency counts from the scheduled send time."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.support.open_loop import NO_RESPONSE, OpenLoopClient, histogram
from loadbalancer.http.addresses import Address
from tests.support.loopback import StalledBackend, until


@pytest.fixture
async def stalled_backend():
    backend = await StalledBackend().start()
    yield backend
    backend.stop()


@pytest.fixture
async def open_client():
    """Returns a function that creates a client; its connections are closed after the test."""
    clients = []

    def create(**limits):
        clients.append(OpenLoopClient(7, **limits))
        return clients[-1]

    yield create
    for client in clients:
        client.close()
    await asyncio.sleep(0)  # lets the transports close


@pytest.mark.parametrize(
    "connections",
    [pytest.param(64, id="a connection for each request"), pytest.param(4, id="too few connections")],
)
async def test_stall_counts_in_latency_of_requests_scheduled_in_it(stalled_backend, open_client, connections):
    rate, count = 400.0, 40
    client = open_client(max_connections=connections, drain_timeout_s=60.0)
    address = Address("127.0.0.1", stalled_backend.port)
    run = asyncio.create_task(client.run([address], rate, count / rate))
    await until(lambda: client.outstanding == count)
    assert stalled_backend.connections <= connections
    stalled_backend.release.set()
    result = await run
    assert result.statuses == {200: count}
    # The server responds after the last scheduled send time, so each request waits at least until then.
    for index, latency_us in enumerate(sorted(result.latencies_us, reverse=True)):
        assert latency_us >= (count - 1 - index) / rate * 1e6
    assert histogram(result.latencies_us).get_max_value() >= (count - 1) / rate * 1e6


async def test_request_without_a_response_counts_until_the_run_ends(stalled_backend, open_client):
    client = open_client(drain_timeout_s=0.05)
    result = await client.run([Address("127.0.0.1", stalled_backend.port)], 100.0, 0.05)
    assert result.statuses == {NO_RESPONSE: 5}
    assert min(result.latencies_us) >= 0.05 * 1e6
