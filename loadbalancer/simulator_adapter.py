"""The simulator's adapter: a program that reads batches of events from standard input and writes replies.

It hosts the policies of many simulated nodes, which share no state. It decides nothing itself;
`simulator_wire` translates between the messages and the types of the policy.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Mapping
from enum import Enum
from typing import Any, BinaryIO

import orjson

from loadbalancer.events import Endpoint
from loadbalancer.platform_settings import parse_settings
from loadbalancer.policy.policy import LoadBalancingPolicy
from loadbalancer.simulator_wire import (
    EVENT_READERS,
    MessageError,
    NodeContext,
    WireMessage,
    read_endpoint,
    write_action,
)

EXIT_OK = 0
EXIT_BAD_INPUT = 2
MAX_PANIC_CHARACTERS = 500  # of the error message in a PANIC
MAX_QUOTED_BYTES = 200  # of an invalid line, in the error message

IGNORED_KINDS = ("PEER",)  # gossip between replicas, which the policy does not use


class WireFault(Enum):
    """Kinds of invalid input that cannot be attributed to one node."""

    NOT_JSON = "input line is not valid JSON"
    NOT_AN_OBJECT = "input line is not a JSON object"
    BAD_BATCH_START = "FRAME message has no numeric nowMs or no seq"
    NESTED_BATCH = "expected GO before the next FRAME message, found"
    OUTSIDE_BATCH = "expected a FRAME message that starts a batch, found one of the kind"
    UNFINISHED_BATCH = "input ended before the GO message of a batch"
    BAD_CATALOG = "CATALOG message lacks a field or has an invalid value"
    NO_NODE = "event has no integer in its field node"


class WireError(Exception):
    """The input violates the wire protocol and cannot be attributed to a node; the process ends.

    Attributes:
        fault: the kind of violation.
        detail: the invalid part of the input, or the error that it causes.
    """

    def __init__(self, fault: WireFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail


class HostedPolicy:
    """The policy of one simulated node and the context for reading its messages.

    Attributes:
        policy: the node's policy.
        context: what the readers of its messages need.
    """

    def __init__(
        self,
        config: Mapping[str, Any],
        seed: int,
        now_ms: float,
        catalogs: Mapping[int, tuple[Endpoint, ...]],
    ) -> None:
        settings = parse_settings(config)
        self.policy = LoadBalancingPolicy(settings, seed, now_ms)
        service_classes = frozenset(service_class.name for service_class in settings.classes)
        self.context = NodeContext(service_classes, settings.load_report_fields, catalogs)


class SimulatorAdapter:
    """Hosts the policies of all nodes of this process.

    Attributes:
        hosted: the policies of the running nodes, by the number of the node.
        catalogs: the latest endpoint catalog of each reference number.
    """

    def __init__(self) -> None:
        self.hosted: dict[int, HostedPolicy] = {}
        self.catalogs: dict[int, tuple[Endpoint, ...]] = {}

    def handle(self, now_ms: float, message: WireMessage) -> list[WireMessage]:
        """Handle one message of a batch, whose time is `now_ms`, and return the replies to it.

        An exception at a node stops that node only: the reply is a PANIC, and the traceback is written to
        standard error.

        Raises:
            WireError: the message is an invalid catalog, or an event without a node.
        """
        kind = message.get("kind")
        if kind == "CATALOG":
            self._store_catalog(message)
            return []
        node = message.get("node")
        if not isinstance(node, int):
            raise WireError(WireFault.NO_NODE, f"kind {kind!r}, node {node!r}")
        try:
            return self._deliver(now_ms, kind, node, message)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            self.hosted.pop(node, None)
            text = f"{kind}: {type(error).__name__}: {error}"
            return [{"kind": "PANIC", "node": node, "bodyText": text[:MAX_PANIC_CHARACTERS]}]

    def _store_catalog(self, message: WireMessage) -> None:
        try:
            self.catalogs[message["ref"]] = tuple(read_endpoint(entry) for entry in message["rows"])
        except (KeyError, TypeError, ValueError) as error:
            detail = f"ref {message.get('ref')!r}: {type(error).__name__}: {error}"
            raise WireError(WireFault.BAD_CATALOG, detail) from error

    def _deliver(self, now_ms: float, kind: object, node: int, message: WireMessage) -> list[WireMessage]:
        if kind == "POWER_ON":
            self.hosted[node] = HostedPolicy(message["config"], message["seed"], now_ms, self.catalogs)
            return []
        hosted = self.hosted.get(node)
        if hosted is None:
            raise MessageError("node", f"{node} is not running, expected POWER_ON before {kind!r}")
        if kind == "STOP":
            del self.hosted[node]
            return []
        if kind in IGNORED_KINDS:
            return []
        read_event = EVENT_READERS.get(str(kind))
        if read_event is None:
            raise MessageError(
                "kind", f"{kind!r} is not a known kind of event, expected one of {', '.join(EVENT_READERS)}"
            )
        event = read_event(hosted.context, message)
        return [write_action(node, action) for action in hosted.policy.handle(now_ms, event)]


class Batch:
    """A batch of events and the reply to it.

    Attributes:
        now_ms: the time of all events of the batch, on the simulator's clock.
    """

    def __init__(self, start: WireMessage) -> None:
        now_ms = start.get("nowMs")
        if not isinstance(now_ms, int | float) or "seq" not in start:
            raise WireError(WireFault.BAD_BATCH_START, repr(start))
        self.now_ms = float(now_ms)
        self._lines: list[bytes] = []  # encoded messages of the reply
        self._sequence = start["seq"]

    def add_replies(self, replies: list[WireMessage]) -> None:
        """Append the replies to one event to the reply of the batch."""
        self._lines.extend(orjson.dumps(reply) for reply in replies)

    def write_reply(self, sink: BinaryIO) -> None:
        """Write and flush the complete reply, which ends with READY and the sequence number of the batch."""
        self._lines.append(orjson.dumps({"kind": "READY", "seq": self._sequence}))
        sink.write(b"\n".join(self._lines) + b"\n")
        sink.flush()


def _parse_line(line: bytes) -> WireMessage:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise WireError(WireFault.NOT_JSON, f"{error}: {line[:MAX_QUOTED_BYTES]!r}") from error
    if not isinstance(message, dict):
        raise WireError(WireFault.NOT_AN_OBJECT, repr(line[:MAX_QUOTED_BYTES]))
    return message


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Handle batches and write one reply to each, until the input ends.

    Raises:
        WireError: the input violates the wire protocol; nothing of the current reply has been written.
    """
    adapter = SimulatorAdapter()
    batch: Batch | None = None
    for line in source:
        message = _parse_line(line)
        kind = message.get("kind")
        if kind == "FRAME":
            if batch is not None:
                raise WireError(WireFault.NESTED_BATCH, repr(message))
            batch = Batch(message)
        elif batch is None:
            raise WireError(WireFault.OUTSIDE_BATCH, repr(kind))
        elif kind == "GO":
            batch.write_reply(sink)
            batch = None
        else:
            batch.add_replies(adapter.handle(batch.now_ms, message))
    if batch is not None:
        raise WireError(WireFault.UNFINISHED_BATCH, f"nowMs {batch.now_ms}")


def main() -> int:
    """Run on standard input and output; return the exit code of the process."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"loadbalancer.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
