"""The open-loop client leaves out no latency: what a stalled server delays counts from its due time."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.support import open_loop
from tests.support.loopback import StalledBackend, until


@pytest.mark.parametrize("connections", [64, 4])
def test_stall_shows_in_every_request_that_was_due_meanwhile(monkeypatch, connections):
    monkeypatch.setattr(open_loop, "MAX_CONNECTIONS", connections)
    rate, count = 400.0, 40

    async def case():
        server = await StalledBackend().start()
        client = open_loop.OpenLoopClient(7)
        run = asyncio.create_task(client.run([("127.0.0.1", server.port)], rate, count / rate))
        await until(lambda: client.outstanding == count)
        assert server.connections <= connections
        server.release.set()
        result = await run
        client.close()
        server.stop()
        assert result.statuses == {200: count}
        # The release came after the last request was due, so the first has waited for all the others.
        for index, latency_us in enumerate(sorted(result.latencies_us, reverse=True)):
            assert latency_us >= (count - 1 - index) / rate * 1e6
        assert open_loop.histogram(result.latencies_us).get_max_value() >= (count - 1) / rate * 1e6

    asyncio.run(case())


def test_request_without_a_response_counts_with_the_time_that_it_had(monkeypatch):
    monkeypatch.setattr(open_loop, "DRAIN_TIMEOUT_S", 0.05)

    async def case():
        server = await StalledBackend().start()
        client = open_loop.OpenLoopClient(7)
        result = await client.run([("127.0.0.1", server.port)], 100.0, 0.05)
        client.close()
        server.stop()
        assert result.statuses == {open_loop.NO_RESPONSE: 5}
        assert min(result.latencies_us) >= 0.05 * 1e6

    asyncio.run(case())
