"""Translation between the simulator's wire messages and the policy's events and actions.

`EVENT_READERS` has a reader for each kind of event; `write_action` writes an action of any type. Nothing is
decided here. Times on the wire and in the policy are milliseconds on the simulator's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeAlias

from loadbalancer.actions import Action, Cancel, Fail, Reject, Send, StartTimer, StartWatch
from loadbalancer.events import (
    AttemptOutcome,
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    Event,
    HealthChecked,
    IncomingRequest,
    LoadReport,
    MembershipUpdate,
    ResponseStarted,
    TimerFired,
    UpdateKind,
)
from loadbalancer.platform_settings import parse_capacity

WireMessage: TypeAlias = Mapping[str, Any]
"""A decoded message, one line on the wire; the platform's protocol defines the fields of each kind."""

ATTEMPT_RESULTS = {
    0: AttemptResult.OK,
    255: AttemptResult.ERROR,
    254: AttemptResult.REJECTED,
    253: AttemptResult.TIMEOUT,
    252: AttemptResult.CONNECT_FAILED,
    251: AttemptResult.RESET,
    250: AttemptResult.CANCELLED,
    249: AttemptResult.NOT_SENT,
}
ENDPOINT_STATES = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}
UPDATE_KINDS = {
    "delta": UpdateKind.DELTA,
    "full": UpdateKind.COMPLETE,
    "cached": UpdateKind.CACHED,
    "failed": UpdateKind.UNAVAILABLE,
}


class MessageError(ValueError):
    """A message to one node is invalid, which stops that node only.

    Attributes:
        field: the invalid field of the message.
    """

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(f"{field}: {problem}")
        self.field = field


@dataclass(frozen=True, slots=True)
class NodeContext:
    """What is needed to read the messages to one node.

    Attributes:
        service_classes: the names of the node's service classes.
        load_report_fields: the names of the values in a load report, in their order on the wire.
        catalogs: the endpoint catalogs that all nodes share, the latest of each reference number.
    """

    service_classes: frozenset[str]
    load_report_fields: tuple[str, ...]
    catalogs: Mapping[int, tuple[Endpoint, ...]]

    def read_load_report(self, values: Sequence[float | None] | None) -> LoadReport | None:
        """Read a load report, in which None stands for an absent value; None if there is no report."""
        if not values:
            return None
        named_values = zip(self.load_report_fields, values, strict=False)
        return LoadReport.from_values({name: value for name, value in named_values if value is not None})


def read_endpoint(entry: WireMessage) -> Endpoint:
    """Read one entry of a catalog.

    Raises:
        MessageError: the endpoint has an unknown state.
    """
    state = ENDPOINT_STATES.get(entry["stageState"])
    if state is None:
        raise _unknown_value("stageState", entry["stageState"], ENDPOINT_STATES)
    return Endpoint(
        name=entry["server"],
        zone=entry.get("zone") or "",
        cell=entry.get("bay") or 0,
        state=state,
        started_ms=entry.get("launchedMs") or None,
        capacity=parse_capacity(entry.get("powerHint")),
    )


def _read_membership(node: NodeContext, message: WireMessage) -> MembershipUpdate:
    kind = UPDATE_KINDS.get(message["form"])
    if kind is None:
        raise _unknown_value("form", message["form"], UPDATE_KINDS)
    if kind is UpdateKind.UNAVAILABLE:
        return MembershipUpdate(kind)
    return MembershipUpdate(kind, node.catalogs[message["ref"]])


def _read_request(node: NodeContext, message: WireMessage) -> IncomingRequest:
    if message["lane"] not in node.service_classes:
        raise _unknown_value("lane", message["lane"], sorted(node.service_classes))
    return IncomingRequest(
        request_id=message["txn"],
        service_class=message["lane"],
        deadline_ms=message["giveUpAtMs"],
        tenant=message.get("billing") or None,
        cost_hint_ms=message.get("expectedMs"),
        is_retry=bool(message.get("isRetry")),
    )


def _read_response_start(_node: NodeContext, message: WireMessage) -> ResponseStarted:
    return ResponseStarted(message["txn"], message["attempt"])


def _read_outcome(node: NodeContext, message: WireMessage) -> AttemptOutcome:
    result = ATTEMPT_RESULTS.get(message["rc"])
    if result is None:
        raise _unknown_value("rc", message["rc"], ATTEMPT_RESULTS)
    return AttemptOutcome(
        request_id=message["txn"],
        attempt=message["attempt"],
        endpoint=message["server"],
        result=result,
        latency_ms=message["latencyMs"],
        done=bool(message.get("doneFlag")),
        load_report=node.read_load_report(message.get("telemetry")),
    )


def _read_disconnect(_node: NodeContext, message: WireMessage) -> ClientDisconnected:
    return ClientDisconnected(message["txn"])


def _read_timer(_node: NodeContext, message: WireMessage) -> TimerFired:
    return TimerFired(message["name"])


def _read_health_check(node: NodeContext, message: WireMessage) -> HealthChecked:
    return HealthChecked(
        endpoint=message["server"],
        result=ATTEMPT_RESULTS.get(message["rc"], AttemptResult.ERROR),
        latency_ms=message["latencyMs"],
        load_report=node.read_load_report(message.get("telemetry")),
    )


EVENT_READERS: dict[str, Callable[[NodeContext, WireMessage], Event]] = {
    "MEMBERSHIP": _read_membership,
    "NEW_REQUEST": _read_request,
    "FIRST": _read_response_start,
    "RETURNED": _read_outcome,
    "LAPSED": _read_disconnect,
    "ALARM": _read_timer,
    "HEALTH": _read_health_check,
}


def _unknown_value(field: str, value: object, known: Mapping[Any, object] | Sequence[str]) -> MessageError:
    return MessageError(
        field, f"{value!r} is not a known value, expected one of {', '.join(map(str, known))}"
    )


def write_action(node: int, action: Action) -> WireMessage:
    """Write an action of a node as a wire message."""
    match action:
        case Send():
            message: dict[str, object] = {
                "kind": "ISSUE",
                "txn": action.request_id,
                "server": action.endpoint,
            }
            message["timeoutMs"] = action.timeout_ms
        case Reject():
            message = {"kind": "DECLINE", "txn": action.request_id, "stayAwayMs": action.retry_after_ms}
        case Fail():
            message = {"kind": "FINISH_ERROR", "txn": action.request_id}
        case Cancel():
            message = {"kind": "RETRACT", "txn": action.request_id, "attempt": action.attempt}
        case StartTimer():
            message = {"kind": "SLEEP", "delayMs": action.delay_ms, "name": action.name}
        case StartWatch():
            message = {"kind": "OBSERVE", "enable": True}
    message["node"] = node
    return message
