"""The number of client connections that the process's file descriptors allow."""

from __future__ import annotations

import pytest
from structlog.testing import capture_logs

from loadbalancer.discovery_server import descriptor_budget
from tests.discovery_server.cluster import get


@pytest.mark.parametrize(
    ("descriptors", "list_count", "connections"),
    [
        pytest.param(1024, 1, 862, id="one list"),
        pytest.param(1024, 480, 0, id="only what the lists need"),
        pytest.param(64, 100, -180, id="fewer than the lists need"),
    ],
)
def test_connections_get_nine_tenths_of_the_descriptors_left_by_lists_and_reserve(
    descriptors, list_count, connections
):
    assert descriptor_budget.available_connections(descriptors, list_count) == connections


@pytest.mark.parametrize(
    ("descriptors", "warnings"),
    [
        pytest.param(None, [], id="no limit"),
        pytest.param(100_000, [], id="enough"),
        pytest.param(96, [{"connections": 4000, "available": 27}], id="too few"),
        pytest.param(8, [{"connections": 4000, "available": -52}], id="fewer than the reserve"),
    ],
)
async def test_server_short_of_descriptors_warns_and_serves(cluster, monkeypatch, descriptors, warnings):
    monkeypatch.setattr(descriptor_budget, "descriptor_limit", lambda: descriptors)
    registry = await cluster.registry("a")
    with capture_logs() as logs:
        server = await cluster.ready_server(registry.endpoint)
    assert (await get(server)).status == 200
    event = {"event": "fewer descriptors than connections", "log_level": "warning"}
    assert [line for line in logs if line["event"] == event["event"]] == [event | item for item in warnings]
