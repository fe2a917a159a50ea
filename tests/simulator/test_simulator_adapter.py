"""The simulator adapter's batches, its hosting of many nodes, and its errors."""

from __future__ import annotations

import io
import subprocess
import sys
from pathlib import Path

import pytest

from loadbalancer.simulator_adapter import SimulatorAdapter, WireError, WireFault, run
from loadbalancer.simulator_wire import WireMessage
from tests.simulator.wire_messages import (
    batch,
    catalog,
    handle_all,
    of_kind,
    outcome,
    request,
    run_batches,
    start,
    started_adapter,
)

ROOT = Path(__file__).parents[2]


def test_empty_batch_has_a_reply():
    assert run_batches(batch(8412.25, 1)) == [{"kind": "READY", "seq": 1}]


def test_first_batch_starts_the_watch_and_sends_an_attempt():
    replies = run_batches(batch(1000.0, 1, catalog(), *start(), request("q1")))
    assert replies[-1] == {"kind": "READY", "seq": 1}
    assert len(of_kind(replies, "OBSERVE")) == 1
    assert len(of_kind(replies, "SLEEP")) == 1
    sent = of_kind(replies, "ISSUE")[0]
    assert sent["node"] == 0
    assert sent["txn"] == "q1"
    assert sent["server"].startswith("10.0.0.")
    assert 0 < sent["timeoutMs"] <= 1000.0


def test_later_catalog_replaces_an_earlier_one_of_the_same_reference():
    adapter = SimulatorAdapter()
    handle_all(adapter, catalog(0, 2), *start(0), catalog(0, 5), *start(1))
    assert [len(adapter.hosted[node].policy.endpoints.by_name) for node in (0, 1)] == [2, 5]


def test_restart_in_one_batch_discards_all_requests():
    adapter = started_adapter(request("q"), {"kind": "STOP", "node": 0}, *start())
    assert adapter.hosted[0].policy.requests.open_requests == {}


def test_nodes_in_one_process_act_as_in_separate_ones():
    def events(node: int) -> list[WireMessage]:
        service_classes = ("read", "post", "points")
        requests = [request(f"n{node}-{index}", node, service_classes[index % 3]) for index in range(30)]
        return [catalog(), *start(node), *requests, {"kind": "ALARM", "node": node, "name": "period"}]

    def replies_by_node(nodes: list[int]) -> dict[int, list[WireMessage]]:
        adapter = SimulatorAdapter()
        rounds = zip(*(events(node) for node in nodes), strict=True)
        interleaved = [event for events_of_round in rounds for event in events_of_round]
        replies = handle_all(adapter, *interleaved)
        return {node: [reply for reply in replies if reply["node"] == node] for node in nodes}

    in_one_process = replies_by_node([0, 1, 2])
    assert in_one_process == {node: replies_by_node([node])[node] for node in range(3)}


@pytest.mark.parametrize(
    "event",
    [
        {"kind": "POWER_ON", "node": 3, "seed": 1, "config": {"categories": []}},
        {"kind": "NEW_REQUEST", "node": 3, "txn": "q", "lane": "read", "giveUpAtMs": 1.0},
        {"kind": "NONSENSE", "node": 3},
    ],
)
def test_failure_at_a_node_is_reported_as_its_panic(event, capsys):
    replies = handle_all(SimulatorAdapter(), event)
    assert [(reply["kind"], reply["node"]) for reply in replies] == [("PANIC", 3)]
    assert replies[0]["bodyText"]
    assert capsys.readouterr().out == ""


def test_unknown_kind_of_event_at_a_running_node_is_reported_as_its_panic():
    assert handle_all(started_adapter(), {"kind": "NONSENSE", "node": 0})[0]["kind"] == "PANIC"


def test_request_of_an_unknown_class_is_reported_as_a_panic():
    assert handle_all(started_adapter(), request("q", service_class="unheard of"))[0]["kind"] == "PANIC"


@pytest.mark.parametrize(
    ("event", "bad_value"),
    [
        (request("q", service_class="unheard of"), "lane: 'unheard of'"),
        (outcome("q", "10.0.0.0:1", 42, done=False), "rc: 42"),
    ],
)
def test_panic_names_the_event_and_the_bad_value(event, bad_value):
    (reply,) = handle_all(started_adapter(), event)
    assert reply["kind"] == "PANIC"
    assert event["kind"] in reply["bodyText"]
    assert bad_value in reply["bodyText"]


FRAME = b'{"kind":"FRAME","nowMs":1,"seq":1}\n'


@pytest.mark.parametrize(
    ("lines", "fault"),
    [
        pytest.param(b"not json\n", WireFault.NOT_JSON, id="not JSON"),
        pytest.param(b"[1]\n", WireFault.NOT_AN_OBJECT, id="not an object"),
        pytest.param(b'{"kind":"GO"}\n', WireFault.OUTSIDE_BATCH, id="outside a batch"),
        pytest.param(FRAME + b'{"kind":"ALARM"}\n', WireFault.NO_NODE, id="no node"),
        pytest.param(FRAME + b'{"kind":"CATALOG","ref":0}\n', WireFault.BAD_CATALOG, id="bad catalog"),
        pytest.param(FRAME + FRAME, WireFault.NESTED_BATCH, id="nested batch"),
        pytest.param(b'{"kind":"FRAME","seq":1}\n', WireFault.BAD_BATCH_START, id="bad start of a batch"),
        pytest.param(FRAME, WireFault.UNFINISHED_BATCH, id="unfinished batch"),
    ],
)
def test_error_of_bad_input_has_its_fault(lines, fault):
    with pytest.raises(WireError, match=fault.value) as raised:
        run(io.BytesIO(lines), io.BytesIO())
    assert raised.value.fault is fault


def test_process_exits_with_0_at_the_end_of_input_and_logs_one_line_on_bad_input():
    command = [sys.executable, "-m", "loadbalancer.simulator_adapter"]
    good = subprocess.run(command, input=batch(1.0, 1), capture_output=True, cwd=ROOT, check=False)
    assert (good.returncode, good.stdout, good.stderr) == (0, b'{"kind":"READY","seq":1}\n', b"")
    bad = subprocess.run(command, input=b"nonsense\n", capture_output=True, cwd=ROOT, check=False)
    assert bad.returncode != 0
    assert bad.stdout == b""
    assert b"input line is not valid JSON" in bad.stderr
