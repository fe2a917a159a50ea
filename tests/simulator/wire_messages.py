"""Builders for messages of the simulator's protocol, and functions that deliver them to an adapter."""

from __future__ import annotations

import io
from typing import Any

import orjson

from loadbalancer.simulator_adapter import SimulatorAdapter, run
from loadbalancer.simulator_wire import WireMessage

BATCH_TIME_MS = 1000.0
CONFIG: dict[str, Any] = {
    "accounts": [{"name": "t", "quotaPerS": 10.0, "fraction": 1.0}],
    "bounds": {"cancel": True, "maxAttempts": 3, "maxRetryAfterMs": 500.0, "retryAfter": True},
    "categories": [
        {
            "name": "read",
            "aimMs": 1000.0,
            "giveUpMs": 2500.0,
            "credit": 12.0,
            "lateWorth": 0.0,
            "effect": "free",
        },
        {"name": "post", "aimMs": 1000.0, "giveUpMs": 2500.0, "credit": 1.0, "effect": "single_shot"},
        {
            "name": "points",
            "aimMs": 2000.0,
            "giveUpMs": 5000.0,
            "credit": 1.0,
            "effect": "guarded",
            "keyScope": "cell",
            "memorySpanMs": 900.0,
        },
    ],
    "feedback": {"fields": ["depth", "load_share"], "via": "inline"},
    "invariants": {"coldFrom": 0.2, "coldMs": 9000.0, "tipAfterMs": 1500.0, "overloadFactor": 3.0},
    "prices": {"crossZone": 0.01},
    "registryMode": "ask",
    "siblings": 2,
    "tier": 0,
    "valueBy": "request",
    "locality": "a",
    "unheardOf": {"x": 1},
}


def catalog(ref: int = 0, count: int = 3, **fields: Any) -> WireMessage:
    """A catalog of `count` endpoints that are up; `fields` replace those of each entry."""
    ready = {"zone": "a", "bay": 0, "stageState": "up", "launchedMs": None}
    entries = [{"server": f"10.0.0.{index}:1"} | ready | fields for index in range(count)]
    return {"kind": "CATALOG", "ref": ref, "rows": entries}


def start(node: int = 0, ref: int = 0) -> list[WireMessage]:
    """The start of a node and its cached endpoint list."""
    return [
        {"kind": "POWER_ON", "node": node, "seed": 5 + node, "config": CONFIG},
        {"kind": "MEMBERSHIP", "node": node, "form": "cached", "generation": 1, "ref": ref},
    ]


def request(request_id: str, node: int = 0, service_class: str = "read") -> WireMessage:
    """A client's request."""
    message = {
        "kind": "NEW_REQUEST",
        "node": node,
        "txn": request_id,
        "lane": service_class,
        "giveUpAtMs": 9000.0,
    }
    return message | {"billing": None, "resource": None, "expectedMs": None, "isRetry": False, "write": False}


def outcome(
    request_id: str, endpoint: str, code: int, *, done: bool, load_report: list[float | None] | None = None
) -> WireMessage:
    """The outcome of a request's first attempt."""
    return {
        "kind": "RETURNED",
        "node": 0,
        "txn": request_id,
        "attempt": 0,
        "latencyMs": 80.0,
        "server": endpoint,
        "rc": code,
        "doneFlag": done,
        "telemetry": load_report,
    }


def batch(now_ms: float, sequence: int, *events: WireMessage) -> bytes:
    """An encoded batch."""
    messages = [{"kind": "FRAME", "nowMs": now_ms, "seq": sequence}, *events, {"kind": "GO"}]
    return b"".join(orjson.dumps(message) + b"\n" for message in messages)


def run_batches(*batches: bytes) -> list[dict[str, Any]]:
    """Run the adapter on the batches and return the lines of its replies."""
    output = io.BytesIO()
    run(io.BytesIO(b"".join(batches)), output)
    return [orjson.loads(line) for line in output.getvalue().splitlines()]


def of_kind(messages: list[Any], kind: str) -> list[Any]:
    """The messages of one kind."""
    return [message for message in messages if message["kind"] == kind]


def handle_all(adapter: SimulatorAdapter, *events: WireMessage) -> list[WireMessage]:
    """Deliver the events to the adapter and return all replies."""
    return [reply for event in events for reply in adapter.handle(BATCH_TIME_MS, event)]


def started_adapter(*events: WireMessage) -> SimulatorAdapter:
    """An adapter whose node 0 runs with three endpoints and has received these events."""
    adapter = SimulatorAdapter()
    handle_all(adapter, catalog(), *start(), *events)
    return adapter


def send_request(adapter: SimulatorAdapter, request_id: str, service_class: str = "read") -> str:
    """Deliver a request to node 0 and return the endpoint of its attempt."""
    (sent,) = of_kind(handle_all(adapter, request(request_id, service_class=service_class)), "ISSUE")
    endpoint: str = sent["server"]
    return endpoint
