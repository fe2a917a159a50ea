"""The set of listed endpoints and the membership updates that change it."""

from __future__ import annotations

from collections.abc import Mapping

from loadbalancer.events import Endpoint, EndpointState, LoadReport, MembershipUpdate, UpdateKind
from loadbalancer.policy.parameters import REPORT_FRESHNESS_MS
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint


class EndpointSet:
    """The listed endpoints; the only place where endpoints are added and removed."""

    def __init__(self, *, uses_capacity: bool) -> None:
        self._uses_capacity = uses_capacity
        self._by_name: dict[str, TrackedEndpoint] = {}
        self._ready: list[TrackedEndpoint] = []
        self._reports_in_flight = False

    @property
    def by_name(self) -> Mapping[str, TrackedEndpoint]:
        """All listed endpoints, including draining ones."""
        return self._by_name

    @property
    def ready(self) -> list[TrackedEndpoint]:
        """The endpoints that may get attempts, in the list's order; the caller must not change the list."""
        return self._ready

    def apply(self, update: MembershipUpdate) -> None:
        """Apply an update; an endpoint absent from a complete or cached list is removed."""
        if update.kind is not UpdateKind.DELTA:
            listed_names = {listed.name for listed in update.endpoints}
            removed_names = self._by_name.keys() - listed_names
            for name in removed_names:
                del self._by_name[name]
        for listed in update.endpoints:
            if listed.state is EndpointState.REMOVED:
                self._by_name.pop(listed.name, None)
            else:
                self._add_or_change(listed)
        self._ready = [
            endpoint for endpoint in self._by_name.values() if endpoint.listed.state is EndpointState.READY
        ]

    def observe_load_report(self, now_ms: float, name: str, report: LoadReport | None) -> None:
        """Store the load report of an endpoint; without a report or for an unlisted endpoint, do nothing."""
        endpoint = self._by_name.get(name)
        if endpoint is not None and report is not None:
            self._reports_in_flight = self._reports_in_flight or report.in_flight is not None
            endpoint.observe_load_report(now_ms, report)

    def reports_in_flight(self) -> bool:
        """Whether any endpoint has reported its requests in flight."""
        return self._reports_in_flight

    def in_flight(self) -> float:
        """Weight in flight of this proxy at all ready endpoints, including abandoned attempts."""
        return sum([endpoint.in_flight for endpoint in self._ready])

    def reporting(self, now_ms: float) -> list[TrackedEndpoint]:
        """The ready endpoints whose last load report, or rejection of an attempt, is fresh."""
        # A proxy that rejects all requests gets no new load reports, and without an age limit would continue
        # to reject because of the last ones. A report counts for `REPORT_FRESHNESS_MS` only. Trade-off: a
        # proxy with little traffic has no load reports between its requests.
        return [endpoint for endpoint in self._ready if endpoint.reported_ms >= now_ms - REPORT_FRESHNESS_MS]

    def expire_abandoned(self, now_ms: float) -> None:
        """Remove expired abandoned attempts from the weight in flight of each ready endpoint."""
        for endpoint in self._ready:
            endpoint.expire_abandoned(now_ms)

    def _add_or_change(self, listed: Endpoint) -> None:
        full_capacity = listed.capacity if self._uses_capacity else 1.0
        tracked = self._by_name.get(listed.name)
        if tracked is None or tracked.listed.started_ms != listed.started_ms:  # new, or restarted
            self._by_name[listed.name] = TrackedEndpoint(listed, full_capacity)
        else:
            tracked.relist(listed, full_capacity)
