"""Pool membership: applies endpoint lists to the pool, the policy and the readiness, in that order."""

from __future__ import annotations

import logging
from collections.abc import Callable, Set

from loadbalancer.discovery.endpoint_list import EndpointList
from loadbalancer.events import EndpointState, Event, MembershipUpdate, UpdateKind
from loadbalancer.http.listener import HttpListener
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.statistics import Statistics

logger = logging.getLogger(__name__)


class Membership:
    """The endpoints that requests may be sent to, and the proxy's readiness, which depends on them."""

    def __init__(
        self,
        pool: ConnectionPool,
        listener: HttpListener,
        statistics: Statistics,
        notify_policy: Callable[[Event], None],
    ) -> None:
        self._pool = pool
        self._listener = listener
        self._statistics = statistics
        self._notify_policy = notify_policy
        self._ready_endpoints: set[str] = set()
        self._shutting_down = False

    @property
    def ready_endpoints(self) -> Set[str]:
        """Names of the endpoints that requests may be sent to."""
        return self._ready_endpoints

    def apply(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        """Apply an update from the watch; `endpoint_list` is None if discovery is unavailable."""
        self._statistics.endpoint_lists[kind] += 1
        if endpoint_list is None:
            self._notify_policy(MembershipUpdate(kind))
            return
        ready = self._add_ready(endpoint_list)
        self._notify_policy(MembershipUpdate(kind, endpoint_list.endpoints))
        # Removing an endpoint withdraws the attempts that are connecting to it. The policy is notified of the
        # new list first, so that it retries these attempts on endpoints of that list.
        listed = set(endpoint_list.addresses) if kind is UpdateKind.DELTA else self._ready_endpoints
        removed = listed - ready
        for name in removed:
            self._pool.remove(name)
        self._log_changes(endpoint_list, ready - self._ready_endpoints, removed & self._ready_endpoints)
        self._ready_endpoints = (self._ready_endpoints | ready) - removed
        self._update_readiness()

    def begin_shutdown(self) -> None:
        """Make the proxy not ready, independent of later endpoint lists."""
        self._shutting_down = True
        self._update_readiness()

    def _add_ready(self, endpoint_list: EndpointList) -> set[str]:
        """Add the ready endpoints of a list to the pool and return their names."""
        ready = set()
        for endpoint in endpoint_list.endpoints:
            if endpoint.state is EndpointState.READY:
                ready.add(endpoint.name)
                self._pool.add(endpoint.name, endpoint_list.addresses[endpoint.name], endpoint.started_ms)
        return ready

    def _log_changes(self, endpoint_list: EndpointList, added: Set[str], removed: Set[str]) -> None:
        if added or removed:
            logger.info(
                "endpoints changed revision=%d added=%d removed=%d example=%s",
                endpoint_list.revision,
                len(added),
                len(removed),
                min(removed or added),
            )

    def _update_readiness(self) -> None:
        """Make the proxy ready from its first ready endpoint until the shutdown begins."""
        has_had_endpoints = self._listener.ready or bool(self._ready_endpoints)
        self._listener.ready = not self._shutting_down and has_had_endpoints
