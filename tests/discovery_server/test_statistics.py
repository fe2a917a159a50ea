"""The statistics of a server, and its log event with them."""

from __future__ import annotations

import re
from pathlib import Path

from structlog.testing import capture_logs

from loadbalancer.discovery_server.statistics import ServerStatistics
from tests.discovery_server.cluster import get, get_list
from tests.support.loopback import until

PAGE = Path(__file__).parents[2] / "docs" / "operations.md"


async def test_statistics_count_lists_connections_watches_and_rejections(cluster):
    registry = await cluster.registry("a")
    server = await cluster.ready_server(registry.endpoint)
    await cluster.start_watch(server, (await get_list(server)).revision)
    await get(server, "/discovery/other")
    await until(lambda: server.statistics().connections == 1)
    assert server.statistics() == ServerStatistics(
        lists=1,
        initialized_lists=1,
        connected_upstreams=1,
        connections=1,
        waiting_watches=1,
        completed_watches=0,
        encodings=1,
        rejected_requests=1,
        dropped_clients=0,
        outdated_snapshots=0,
    )


async def test_log_event_has_the_fields_of_the_operations_page(cluster):
    registry = await cluster.registry("a")
    with capture_logs() as logs:
        server = await cluster.server(registry.endpoint)
    (event,) = [line for line in logs if line["event"] == "statistics"]
    fields = [name for name in event if name not in ("event", "log_level")]
    assert fields == list(server.statistics().as_log_fields())
    section = PAGE.read_text().partition("### Its counters")[2].partition("\n## ")[0]
    assert set(fields) <= set(re.findall(r"`(\w+)`", section))
