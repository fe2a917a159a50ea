"""Pool membership: applies endpoint lists to the pool, the policy and the readiness, in that order."""

from __future__ import annotations

import logging
from collections.abc import Callable, Set

from loadbalancer.discovery.endpoint_list import EndpointList
from loadbalancer.events import Endpoint, EndpointState, Event, MembershipUpdate, UpdateKind
from loadbalancer.http.addresses import Address
from loadbalancer.http.listener import HttpListener
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.statistics import Statistics

logger = logging.getLogger(__name__)


class AddressedProcess:
    """A process at an address.

    Attributes:
        name: the endpoint's name.
        started_ms: the start of the process in Unix time; 0 for long ago.
    """

    __slots__ = ("name", "started_ms")

    def __init__(self, name: str, started_ms: float | None) -> None:
        self.name = name
        self.started_ms = started_ms or 0.0


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
        superseded = self._superseded(kind, endpoint_list)
        ready = self._add_ready(endpoint_list, superseded)
        self._notify_policy(MembershipUpdate(kind, _without(endpoint_list.endpoints, superseded)))
        # Removing an endpoint withdraws the attempts that are connecting to it. The policy is notified of the
        # new list first, so that it retries these attempts on endpoints of that list.
        listed = set(endpoint_list.addresses) if kind is UpdateKind.DELTA else self._ready_endpoints
        removed = (listed | superseded) - ready
        for name in removed:
            self._pool.remove(name)
        self._log_changes(endpoint_list, ready - self._ready_endpoints, removed & self._ready_endpoints)
        self._ready_endpoints = (self._ready_endpoints | ready) - removed
        self._update_readiness()

    def begin_shutdown(self) -> None:
        """Make the proxy not ready, independent of later endpoint lists."""
        self._shutting_down = True
        self._update_readiness()

    def _superseded(self, kind: UpdateKind, endpoint_list: EndpointList) -> set[str]:
        """Names of the endpoints at whose address another one has started later, and so has replaced them."""
        # A process that comes up at the address of one that has gone gets what is sent to either name. As
        # long as the list has both, attempts at the old name would reach the new process, which may be
        # warming up, and a retry would reach it a second time.
        if not endpoint_list.endpoints:
            return set()
        addresses = self._unlisted_addresses(endpoint_list) if kind is UpdateKind.DELTA else {}
        for endpoint in endpoint_list.endpoints:
            if endpoint.state is not EndpointState.REMOVED:
                process = AddressedProcess(endpoint.name, endpoint.started_ms)
                addresses.setdefault(endpoint_list.addresses[endpoint.name], []).append(process)
        superseded = set()
        for processes in addresses.values():
            latest_ms = max([process.started_ms for process in processes])
            superseded |= {process.name for process in processes if process.started_ms < latest_ms}
        return superseded

    def _unlisted_addresses(self, endpoint_list: EndpointList) -> dict[Address, list[AddressedProcess]]:
        """The ready endpoints that a delta does not mention, by address."""
        addresses: dict[Address, list[AddressedProcess]] = {}
        for name in self._ready_endpoints - endpoint_list.addresses.keys():
            endpoint = self._pool.get(name)
            if endpoint is not None:
                process = AddressedProcess(name, endpoint.started_ms)
                addresses.setdefault(endpoint.address, []).append(process)
        return addresses

    def _add_ready(self, endpoint_list: EndpointList, superseded: Set[str]) -> set[str]:
        """Add the ready endpoints of a list to the pool and return their names."""
        ready = set()
        for endpoint in endpoint_list.endpoints:
            if endpoint.state is EndpointState.READY and endpoint.name not in superseded:
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


def _without(endpoints: tuple[Endpoint, ...], superseded: Set[str]) -> tuple[Endpoint, ...]:
    """The list for the policy, in which the superseded endpoints are removed."""
    if not superseded:
        return endpoints
    kept = [endpoint for endpoint in endpoints if endpoint.name not in superseded]
    return (*kept, *[Endpoint(name, state=EndpointState.REMOVED) for name in sorted(superseded)])
