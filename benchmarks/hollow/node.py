"""One hollow node: a real watch and optionally a real policy, without a data path."""

from __future__ import annotations

import time
from collections.abc import Callable

from benchmarks.hollow.metered_watch import MeteredWatch
from loadbalancer.discovery.endpoint_list import EndpointList
from loadbalancer.discovery.watch_client import WatchOptions
from loadbalancer.discovery.watch_timing import WATCH_WAIT_MS
from loadbalancer.events import MembershipUpdate, UpdateKind
from loadbalancer.http.addresses import Address
from loadbalancer.policy.policy import LoadBalancingPolicy


class HollowNode:
    """One node's watch, and its policy if the run includes policies."""

    def __init__(
        self,
        list_number: int,
        address: Address,
        cached: EndpointList,
        policy: LoadBalancingPolicy | None,
        on_update: Callable[[HollowNode, EndpointList | None], None],
    ) -> None:
        """Create the node; its watch is not started yet.

        Args:
            list_number: The number of the watched list.
            address: The address at which the list is served.
            cached: The initial list.
            policy: The node's policy, if the run includes policies.
            on_update: Called with each update; None instead of a list: the watch has failed.
        """
        self.list_number = list_number
        self.revision = cached.revision
        self.delivered_serials: set[int] = set()  # serial numbers of the changes that the node has received
        self.watcher = MeteredWatch(
            address, cached.revision, WatchOptions(WATCH_WAIT_MS, retries_forever=True), self._on_update
        )
        self.policy = policy
        self._report_update = on_update
        self._update_policy(UpdateKind.CACHED, cached)

    def _update_policy(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        if self.policy is not None:
            update = MembershipUpdate(kind, endpoint_list.endpoints if endpoint_list else ())
            self.policy.handle(time.monotonic() * 1000.0, update)

    def _on_update(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        self._update_policy(kind, endpoint_list)
        self._report_update(self, endpoint_list)
