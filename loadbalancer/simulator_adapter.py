"""The program that the simulator starts; it reads batches from standard input and writes replies.

It hosts the policies of many nodes, which share no state. It decides nothing itself; `simulator_wire`
translates between messages and the types of the policy.
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
MAX_PANIC_CHARACTERS = 500
MAX_QUOTED_BYTES = 200  # of a bad line, in the error

IGNORED_KINDS = ("PEER",)  # gossip between replicas, which the policy does not use


class WireFault(Enum):
    """A fault of the input that cannot be attributed to one node."""

    NOT_JSON = "not a line of JSON"
    NOT_AN_OBJECT = "not an object"
    BAD_BATCH_START = "FRAME lacks nowMs or seq"
    NESTED_BATCH = "a batch starts within a batch"
    OUTSIDE_BATCH = "a message is outside a batch"
    UNFINISHED_BATCH = "the input ended within a batch"
    BAD_CATALOG = "a catalog cannot be read"
    NO_NODE = "an event names no node"


class WireError(Exception):
    """Input violates the wire protocol and names no node; it ends the process.

    Attributes:
        fault: the fault.
        detail: the offending part of the input.
    """

    def __init__(self, fault: WireFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.detail = detail


class HostedPolicy:
    """The policy of one simulated node and the context for reading its messages.

    Attributes:
        policy: the node's policy.
        context: for the readers of its messages.
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
    """The policies of all nodes of one process.

    Attributes:
        hosted: the running nodes, by number.
        catalogs: the latest endpoint catalog of each reference; a later one replaces it.
    """

    def __init__(self) -> None:
        self.hosted: dict[int, HostedPolicy] = {}
        self.catalogs: dict[int, tuple[Endpoint, ...]] = {}

    def handle(self, now_ms: float, message: WireMessage) -> list[WireMessage]:
        """Deliver one event of a batch, whose time is `now_ms`, and return the replies to it.

        Any failure at a node ends that node only: the reply is a PANIC, and the traceback is written to
        standard error.

        Raises:
            WireError: the message is a catalog that cannot be read, or names no node.
        """
        kind = message.get("kind")
        if kind == "CATALOG":
            self._store_catalog(message)
            return []
        node = message.get("node")
        if not isinstance(node, int):
            raise WireError(WireFault.NO_NODE, repr(kind))
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
            raise WireError(WireFault.BAD_CATALOG, f"{type(error).__name__}: {error}") from error

    def _deliver(self, now_ms: float, kind: object, node: int, message: WireMessage) -> list[WireMessage]:
        if kind == "POWER_ON":
            self.hosted[node] = HostedPolicy(message["config"], message["seed"], now_ms, self.catalogs)
            return []
        hosted = self.hosted.get(node)
        if hosted is None:
            raise MessageError("node", f"{node} was never started")
        if kind == "STOP":
            del self.hosted[node]
            return []
        if kind in IGNORED_KINDS:
            return []
        read_event = EVENT_READERS.get(str(kind))
        if read_event is None:
            raise MessageError("kind", f"{kind!r} is not one of {', '.join(EVENT_READERS)}")
        event = read_event(hosted.context, message)
        return [write_action(node, action) for action in hosted.policy.handle(now_ms, event)]


class Batch:
    """A batch whose events are being handled.

    Attributes:
        now_ms: the simulator's clock, the same for all events of the batch.
    """

    def __init__(self, start: WireMessage) -> None:
        now_ms = start.get("nowMs")
        if not isinstance(now_ms, int | float) or "seq" not in start:
            raise WireError(WireFault.BAD_BATCH_START, repr(start))
        self.now_ms = float(now_ms)
        self._lines: list[bytes] = []  # of the reply, encoded
        self._sequence = start["seq"]

    def add_replies(self, replies: list[WireMessage]) -> None:
        """Add the replies to an event to the reply of the batch."""
        self._lines.extend(orjson.dumps(reply) for reply in replies)

    def write_reply(self, sink: BinaryIO) -> None:
        """Write and flush the whole reply, which ends with READY and the number of the batch."""
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
        WireError: the input violates the wire protocol; no part of the unfinished reply has been written.
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
        raise WireError(WireFault.UNFINISHED_BATCH, f"at {batch.now_ms} ms")


def main() -> int:
    """Run on standard input and output; returns the exit code of the process."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"loadbalancer.simulator_adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
