"""All hollow nodes of one process, and counters of the changes delivered to them."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgspec

from benchmarks.hollow.messages import ChangeDelivery, ExpectChange, NodeCounters, StartNodes
from benchmarks.hollow.metered_watch import MeteredConnection
from benchmarks.hollow.node import HollowNode
from benchmarks.hollow.service_lists import CHANGE_EPOCH_MS
from loadbalancer.discovery.endpoint_list import EndpointList, parse_endpoint_list
from loadbalancer.events import EndpointState
from loadbalancer.http.addresses import Address
from loadbalancer.policy.policy import LoadBalancingPolicy
from loadbalancer.settings import Idempotency, ServiceClass, Settings

POLICY_SETTINGS = Settings(
    classes=(ServiceClass("read", 500.0, 1000.0, idempotency=Idempotency.IDEMPOTENT),), max_attempts=2
)
START_BATCH_SIZE = 10  # watches started without a pause
START_BATCH_INTERVAL_S = 0.02


@dataclass(slots=True)
class ExpectedChange:
    """An announced change and its current deliveries."""

    lists: frozenset[int]
    lost_zone: str
    expected: int  # number of watches of the changed lists
    read_at_s: list[float] = field(default_factory=list)
    delivered_at_s: list[float] = field(default_factory=list)
    repeated: int = 0

    def delivery(self, *, with_times: bool) -> ChangeDelivery:
        """Return the counts and, if `with_times`, the delivery times of each watch."""
        delivery = ChangeDelivery(self.expected, len(self.delivered_at_s), self.repeated)
        if with_times:
            delivery.delivered_at_s = self.delivered_at_s
            delivery.read_at_s = self.read_at_s
        return delivery


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
                number,
                Address("127.0.0.1", start.lists[number].port),
                cached[number],
                LoadBalancingPolicy(POLICY_SETTINGS, rng.getrandbits(32), 0.0) if start.with_policy else None,
                self.count_update,
            )
            for number in start.watches
        ]
        self.counters = NodeCounters({})  # `snapshot_counters` fills in changes and bytes
        self._watches_by_list = Counter(start.watches)
        self._expected: dict[int, ExpectedChange] = {}  # by serial number
        self._waiting_for_first = set(self.nodes)  # nodes whose watch has no response yet
        self._all_watching = asyncio.Event()

    async def start(self) -> None:
        """Start all watches in batches, and wait until each has received a response."""
        for index, node in enumerate(self.nodes):
            node.watcher.start()
            if index % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                await asyncio.sleep(START_BATCH_INTERVAL_S)
        if self.nodes:
            await self._all_watching.wait()

    def expect(self, change: ExpectChange) -> None:
        """Start to count the deliveries of an announced change."""
        expected = sum(self._watches_by_list[number] for number in change.lists)
        self._expected[change.serial] = ExpectedChange(frozenset(change.lists), change.lost_zone, expected)

    def count_update(self, node: HollowNode, endpoint_list: EndpointList | None) -> None:
        """Count an update that a node's watch delivers; None: the watch has failed."""
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
        """Return the serial numbers of the changes that an endpoint list delivers to a node.

        The loss of a zone is detected by the removal or absence of its servers: a discovery server that finds
        the loss by comparing complete lists sends the removed entries with their previous content, which does
        not have the serial number of the loss.
        """
        endpoints = endpoint_list.endpoints
        serials = {
            int(endpoint.started_ms) - CHANGE_EPOCH_MS
            for endpoint in endpoints
            if endpoint.started_ms is not None
        }
        present = {endpoint.zone for endpoint in endpoints if endpoint.state is not EndpointState.REMOVED}
        removed = {endpoint.zone for endpoint in endpoints if endpoint.state is EndpointState.REMOVED}
        for serial, change in self._expected.items():
            if change.lost_zone and node.list_number in change.lists:
                lost = (
                    change.lost_zone not in present if endpoint_list.complete else change.lost_zone in removed
                )
                serials |= {serial} if lost else set()
        return serials

    def snapshot_counters(self, *, clear: bool) -> NodeCounters:
        """Return the counters; with `clear`, include the delivery times and reset the counters."""
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
        """Close all watches."""
        for node in self.nodes:
            node.watcher.close()
