"""Follows one list at its upstreams, which are the registry or other discovery servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from loadbalancer.discovery.endpoint_list import EndpointList, EndpointListError
from loadbalancer.discovery.watch_client import WatchClient, WatchOptions
from loadbalancer.discovery_server.records import EndpointUpdate
from loadbalancer.discovery_server.upstream_list import UpstreamEndpointList, parse_upstream_list
from loadbalancer.discovery_server.upstream_selector import UpstreamSelector
from loadbalancer.events import UpdateKind
from loadbalancer.http.addresses import Address

REQUEST_FAILURE_CAUSE = "the request for the list failed or timed out"


@dataclass(slots=True, frozen=True)
class UpstreamStatus:
    """The connectivity of one upstream.

    Attributes:
        connected: Whether the upstream responded to the last request.
        address: The upstream.
        cause: The cause of the failure, a general one if no details are available; empty if connected.
    """

    connected: bool
    address: Address
    cause: str = ""


class UpstreamFollower:
    """Follows one upstream with the node's watch client, and fails over to the next one at each failure."""

    def __init__(
        self,
        upstreams: Sequence[Address],
        watch_timeout_ms: float,
        rng: Random,
        on_update: Callable[[EndpointUpdate], None],
        on_status: Callable[[UpstreamStatus], None],
    ) -> None:
        """Prepare to follow these upstreams, in order of preference.

        Args:
            upstreams: At least one address.
            watch_timeout_ms: How long a watch waits for a change.
            rng: The random source of the backoff.
            on_update: Called with each response that has changes; the first one of a connection is complete.
            on_status: Called at the first response, at the first one after failures, and at the first failure
                in a row.
        """
        self._connected = False
        self._upstreams = upstreams
        self._selector = UpstreamSelector(len(upstreams), rng)
        self._on_update = on_update
        self._on_status = on_status
        self._reconnect_timer: asyncio.TimerHandle | None = None
        self._parse_error = ""
        self._watch_client = self._create_watch_client(watch_timeout_ms)

    @property
    def connected(self) -> bool:
        """Whether the last request to an upstream succeeded."""
        return self._connected

    def start(self) -> None:
        """Start to follow the first upstream."""
        self._watch_client.start()

    def close(self) -> None:
        """Stop the watch and all reconnects."""
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        self._watch_client.close()

    def restart_after_rejection(self) -> None:
        """Request the complete list again after a backoff, because the last update could not be applied."""
        self._watch_client.close()
        self._selector.record_rejected_update()
        self._schedule_reconnect()

    def _create_watch_client(self, watch_timeout_ms: float) -> WatchClient:
        # Each upstream issues its own revisions, and an upstream that has lost its disk may issue the same
        # ones for other states. A delta since a revision of another upstream, or from before the loss, would
        # omit changes, so the first request on each connection is for the complete list. Trade-off: each
        # reconnect transfers one complete list.
        options = WatchOptions(
            watch_timeout_ms, retries_forever=False, refresh_on_connect=True, parse=self._parse
        )
        return WatchClient(self._address, 0, options, self._on_watch_event)

    @property
    def _address(self) -> Address:
        return self._upstreams[self._selector.index]

    def _parse(self, document: object) -> UpstreamEndpointList:
        try:
            return parse_upstream_list(document)
        except EndpointListError as error:
            self._parse_error = str(error)
            raise

    def _on_watch_event(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        del kind  # the list is None after a failure
        if not isinstance(endpoint_list, UpstreamEndpointList):
            self._on_failure()
            return
        self._selector.record_success()
        if not self._connected:
            self._connected = True
            self._on_status(UpstreamStatus(connected=True, address=self._address))
        if endpoint_list.complete or endpoint_list.update.records:
            self._on_update(endpoint_list.update)

    def _on_failure(self) -> None:
        if not self._selector.consecutive_failures:
            cause = self._parse_error or REQUEST_FAILURE_CAUSE
            self._on_status(UpstreamStatus(connected=False, address=self._address, cause=cause))
        self._selector.record_failure()
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        self._connected = False
        self._parse_error = ""
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        loop = asyncio.get_running_loop()
        self._reconnect_timer = loop.call_later(self._selector.backoff_s, self._reconnect)

    def _reconnect(self) -> None:
        self._reconnect_timer = None
        self._watch_client.reconnect_to(self._address)
