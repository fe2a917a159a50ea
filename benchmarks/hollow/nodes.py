"""Hollow nodes: the real watches of many nodes in one process, without the data path.

`python -m benchmarks.hollow.nodes` reads the messages of `benchmarks.hollow.messages` from standard input:
`StartNodes` first, then announced changes and requests for the counters.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import resource
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgspec

from benchmarks.hollow.messages import (
    NODES_REQUESTS,
    Acknowledgement,
    ChangeDelivery,
    ExpectChange,
    NodeCounters,
    NodesStarted,
    StartNodes,
)
from benchmarks.hollow.service_lists import CHANGE_EPOCH_MS
from benchmarks.support.child_streams import open_standard_input, read_message, write_message
from loadbalancer.discovery import watch_client
from loadbalancer.discovery.endpoint_list import EndpointList, parse_endpoint_list
from loadbalancer.discovery.watch_client import WatchClient, WatchOptions
from loadbalancer.discovery.watch_timing import WATCH_WAIT_MS
from loadbalancer.events import EndpointState, MembershipUpdate, UpdateKind
from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import ClientConnection, Exchange
from loadbalancer.policy.policy import LoadBalancingPolicy
from loadbalancer.settings import Idempotency, ServiceClass, Settings

POLICY_SETTINGS = Settings(
    classes=(ServiceClass("read", 500.0, 1000.0, idempotency=Idempotency.IDEMPOTENT),), max_attempts=2
)
START_BATCH_SIZE = 10  # watches started at once
START_BATCH_INTERVAL_S = 0.02


class MeteredConnection(ClientConnection):
    """The node's connection to discovery; counts its bytes and records when they arrive."""

    received_bytes = 0  # over all connections
    sent_bytes = 0  # over all connections
    read_at_s = 0.0  # when the last bytes arrived
    response_bytes = 0  # of the last response, its head included

    def send_request(self, data: bytes, exchange: Exchange) -> None:
        """See `ClientConnection.send_request`."""
        MeteredConnection.sent_bytes += len(data)
        self.response_bytes = 0
        super().send_request(data, exchange)

    def data_received(self, data: bytes) -> None:
        """See `ClientConnection.data_received`."""
        MeteredConnection.received_bytes += len(data)
        self.response_bytes += len(data)
        self.read_at_s = time.monotonic()
        super().data_received(data)

    @staticmethod
    def clear_totals() -> None:
        """Reset the byte counts of all connections."""
        MeteredConnection.received_bytes = 0
        MeteredConnection.sent_bytes = 0


class MeteredWatch(WatchClient):
    """The node's watch of its list, over a metered connection."""

    @property
    def connection(self) -> MeteredConnection:
        """The connection, which is open while a response is being delivered."""
        if not isinstance(self._connection, MeteredConnection):
            raise TypeError("a hollow node's watch has no metered connection")
        return self._connection


@dataclass(slots=True)
class ExpectedChange:
    """An announced change, and its deliveries so far."""

    lists: frozenset[int]
    lost_zone: str
    due: int  # watches that it concerns
    read_at_s: list[float] = field(default_factory=list)
    delivered_at_s: list[float] = field(default_factory=list)
    repeated: int = 0

    def delivery(self, *, with_times: bool) -> ChangeDelivery:
        """Return the counts, and on request the times of each watch."""
        delivery = ChangeDelivery(self.due, len(self.delivered_at_s), self.repeated)
        if with_times:
            delivery.delivered_at_s = self.delivered_at_s
            delivery.read_at_s = self.read_at_s
        return delivery


class HollowNode:
    """One node's watch, and its policy if the run includes policies."""

    def __init__(
        self,
        nodes: HollowNodes,
        list_number: int,
        address: Address,
        cached: EndpointList,
        policy: LoadBalancingPolicy | None,
    ) -> None:
        self.list_number = list_number
        self.revision = cached.revision
        self.delivered_serials: set[int] = set()  # of the changes that it has received
        self.watcher = MeteredWatch(
            address, cached.revision, WatchOptions(WATCH_WAIT_MS, retries_forever=True), self._on_update
        )
        self.policy = policy
        self._nodes = nodes
        self._update_policy(UpdateKind.CACHED, cached)

    def _update_policy(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        if self.policy is not None:
            update = MembershipUpdate(kind, endpoint_list.endpoints if endpoint_list else ())
            self.policy.handle(time.monotonic() * 1000.0, update)

    def _on_update(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        self._update_policy(kind, endpoint_list)
        self._nodes.count_update(self, endpoint_list)


class HollowNodes:
    """All hollow nodes of this process, and their counters."""

    def __init__(self, start: StartNodes) -> None:
        rng = Random(start.seed)
        cached = {
            number: parse_endpoint_list(msgspec.to_builtins(watched.cached))
            for number, watched in start.lists.items()
        }
        self.nodes = [
            HollowNode(
                self,
                number,
                Address("127.0.0.1", start.lists[number].port),
                cached[number],
                LoadBalancingPolicy(POLICY_SETTINGS, rng.getrandbits(32), 0.0) if start.with_policy else None,
            )
            for number in start.watches
        ]
        self.counters = NodeCounters({})  # changes and bytes are added when the counters are read
        self._watches_by_list = Counter(start.watches)
        self._expected: dict[int, ExpectedChange] = {}  # by serial number
        self._waiting_for_first = set(self.nodes)  # nodes whose watch has had no response yet
        self._all_watching = asyncio.Event()

    async def start(self) -> None:
        """Start all watches, a batch at a time, and wait until each has had a response."""
        for index, node in enumerate(self.nodes):
            node.watcher.start()
            if index % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                await asyncio.sleep(START_BATCH_INTERVAL_S)
        if self.nodes:
            await self._all_watching.wait()

    def expect(self, change: ExpectChange) -> None:
        """Count the deliveries of a change from now on."""
        due = sum(self._watches_by_list[number] for number in change.lists)
        self._expected[change.serial] = ExpectedChange(frozenset(change.lists), change.lost_zone, due)

    def count_update(self, node: HollowNode, endpoint_list: EndpointList | None) -> None:
        """Count an update that a node's watch has just delivered; None: the watch has failed."""
        if endpoint_list is None:
            self.counters.failed += 1
            return
        now = time.monotonic()
        connection = node.watcher.connection
        self.counters.responses += 1
        if endpoint_list.endpoints:
            self.counters.changed_responses += 1
            self.counters.changed_response_bytes += connection.response_bytes
        self.counters.complete_lists += endpoint_list.complete
        self.counters.revision_regressions += endpoint_list.revision < node.revision
        self._waiting_for_first.discard(node)
        if not self._waiting_for_first:
            self._all_watching.set()
        node.revision = endpoint_list.revision
        self._count_changes(node, endpoint_list, now)

    def _count_changes(self, node: HollowNode, endpoint_list: EndpointList, now: float) -> None:
        for serial in self._serials_in(node, endpoint_list):
            change = self._expected.get(serial)
            if change is None:
                continue
            if serial not in node.delivered_serials:
                node.delivered_serials.add(serial)
                change.delivered_at_s.append(now)
                change.read_at_s.append(node.watcher.connection.read_at_s)
            elif not endpoint_list.complete:
                change.repeated += 1

    def _serials_in(self, node: HollowNode, endpoint_list: EndpointList) -> set[int]:
        """Return the serial numbers of the changes that an endpoint list brings to a node.

        A zone's loss shows in the removal or absence of its servers: a discovery server that detects the loss
        by comparing complete lists removes the entries as it had them, without the serial number.
        """
        endpoints = endpoint_list.endpoints
        serials = {int(one.started_ms) - CHANGE_EPOCH_MS for one in endpoints if one.started_ms is not None}
        present = {one.zone for one in endpoints if one.state is not EndpointState.REMOVED}
        removed = {one.zone for one in endpoints if one.state is EndpointState.REMOVED}
        for serial, change in self._expected.items():
            if change.lost_zone and node.list_number in change.lists:
                lost = (
                    change.lost_zone not in present if endpoint_list.complete else change.lost_zone in removed
                )
                serials |= {serial} if lost else set()
        return serials

    def snapshot_counters(self, *, clear: bool) -> NodeCounters:
        """Return the counters; with `clear`, reset them."""
        counters = self.counters
        counters.changes = {
            serial: change.delivery(with_times=clear) for serial, change in self._expected.items()
        }
        counters.received_bytes = MeteredConnection.received_bytes
        counters.sent_bytes = MeteredConnection.sent_bytes
        if clear:
            MeteredConnection.clear_totals()
            self._expected.clear()
            self.counters = NodeCounters({})
        return counters

    def close(self) -> None:
        """End all watches."""
        for node in self.nodes:
            node.watcher.close()


def raise_descriptor_limit() -> None:
    """Raise this process's limit of file descriptors to the system's maximum."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        with contextlib.suppress(ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def main() -> None:
    """Process the messages of standard input until it ends."""
    raise_descriptor_limit()
    logging.getLogger("loadbalancer").setLevel(logging.ERROR)
    vars(watch_client)["ClientConnection"] = MeteredConnection
    requests = await open_standard_input()
    start = await read_message(requests, msgspec.json.Decoder(StartNodes))
    if start is None:
        return
    nodes = HollowNodes(start)
    await nodes.start()
    write_message(NodesStarted(len(nodes.nodes)))
    while (request := await read_message(requests, NODES_REQUESTS)) is not None:
        if isinstance(request, ExpectChange):
            nodes.expect(request)
            write_message(Acknowledgement())
        else:
            write_message(nodes.snapshot_counters(clear=request.clear))
    nodes.close()


if __name__ == "__main__":
    asyncio.run(main())
