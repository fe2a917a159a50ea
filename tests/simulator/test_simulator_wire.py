"""The translation of the simulator's messages to events of the policy, and of its actions to messages."""

from __future__ import annotations

import pytest

from loadbalancer.discovery.endpoint_list import parse_endpoint_list
from loadbalancer.simulator_wire import read_endpoint
from tests.simulator.wire_messages import catalog, handle_all, outcome, send_request, started_adapter


@pytest.mark.parametrize(
    ("service_class", "code", "reply_kind"),
    [
        ("read", 255, "ISSUE"),
        ("post", 255, "FINISH_ERROR"),
        ("post", 251, "FINISH_ERROR"),
        ("post", 253, "FINISH_ERROR"),
        ("post", 250, "FINISH_ERROR"),
        ("post", 254, "ISSUE"),
        ("post", 252, "ISSUE"),
        ("post", 249, "ISSUE"),
        ("points", 255, "ISSUE"),
    ],
)
def test_reply_to_an_outcome_depends_on_its_code_and_the_idempotency(service_class, code, reply_kind):
    adapter = started_adapter()
    endpoint = send_request(adapter, "q", service_class)
    replies = handle_all(adapter, outcome("q", endpoint, code, done=False))
    assert [reply["kind"] for reply in replies] == [reply_kind]


def test_outcomes_and_disconnects_of_an_ended_request_have_no_reply():
    adapter = started_adapter()
    endpoint = send_request(adapter, "q")
    disconnect = {"kind": "LAPSED", "node": 0, "txn": "q"}
    assert [reply["kind"] for reply in handle_all(adapter, disconnect)] == ["RETRACT"]
    assert handle_all(adapter, disconnect) == []
    assert handle_all(adapter, outcome("q", endpoint, 0, done=True, load_report=[3, 0.5])) == []


def test_load_reports_are_read_in_the_order_of_the_settings():
    adapter = started_adapter()
    endpoint = send_request(adapter, "q")
    handle_all(adapter, outcome("q", endpoint, 0, done=True, load_report=[3, None]))
    state = adapter.hosted[0].policy.endpoints.by_name[endpoint]
    assert state.reported_queue == 3
    assert state.utilisation is None


def test_each_form_of_a_membership_update_is_applied():
    adapter = started_adapter()
    update = {"kind": "MEMBERSHIP", "node": 0}
    failed = handle_all(adapter, update | {"form": "failed", "generation": 2, "ref": None})
    assert [reply["kind"] for reply in failed] == ["SLEEP"]
    handle_all(
        adapter,
        catalog(1, 1, stageState="removed"),
        update | {"form": "delta", "generation": 3, "ref": 1},
    )
    assert len(adapter.hosted[0].policy.endpoints.by_name) == 2
    handle_all(adapter, catalog(2, 1), update | {"form": "full", "generation": 4, "ref": 2})
    assert list(adapter.hosted[0].policy.endpoints.by_name) == ["10.0.0.0:1"]


def test_events_without_a_reply_are_accepted():
    adapter = started_adapter()
    common_fields = {"node": 0, "latencyMs": 1.0, "server": "10.0.0.1:1"}
    events = [
        {"kind": "PEER", "node": 0, "by": 1, "contents": "aGk="},
        common_fields | {"kind": "HEALTH", "rc": 0, "telemetry": [4, 0.2]},
        common_fields | {"kind": "FIRST", "txn": "unknown", "attempt": 0},
        {"kind": "ALARM", "node": 0, "name": "unknown"},
    ]
    assert [handle_all(adapter, event) for event in events] == [[], [], [], []]
    assert adapter.hosted[0].policy.endpoints.by_name["10.0.0.1:1"].reported_queue == 4


def test_listed_capacity_is_read_from_discovery_and_from_the_simulator():
    """If the listed capacities are not read, all endpoints get the same share of attempts."""
    target = {"uid": "s0", "endpoint": "127.0.0.1:9", "state": "Ready", "capacity_hint": 2.5}
    assert parse_endpoint_list({"rev": 1, "all": True, "targets": [target]}).endpoints[0].capacity == 2.5
    assert read_endpoint({"server": "s0", "stageState": "up", "powerHint": 2.5}).capacity == 2.5


@pytest.mark.parametrize("unusable", [None, 0, -1.0, "4", True])
def test_unusable_capacity_is_read_as_1(unusable):
    assert read_endpoint({"server": "s0", "stageState": "up", "powerHint": unusable}).capacity == 1.0
