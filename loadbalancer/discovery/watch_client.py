"""The watch of the endpoint list: a series of long polls, each from the revision of the previous response."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from loadbalancer.discovery.endpoint_list import EndpointList, parse_endpoint_list
from loadbalancer.discovery.watch_connection import WatchConnection
from loadbalancer.discovery.watch_request import LateRequests, WatchRefusedError, WatchRequest
from loadbalancer.discovery.watch_timing import (
    WATCH_INITIAL_BACKOFF_MS,
    RefreshingTiming,
    RequestTiming,
)
from loadbalancer.events import UpdateKind
from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import HttpResponse
from loadbalancer.supervised_task import SupervisedTask, report_unexpected_error

logger = logging.getLogger(__name__)

PUSH_BACKOFF_S = WATCH_INITIAL_BACKOFF_MS / 1000.0  # from the second failure in a row, where lists are pushed
EMPTY_RESPONSE_PAUSE_S = 0.1  # after an early response without changes; the time budget allows 0.2 s
EXPECTED_ERRORS = (OSError, TimeoutError, ValueError)  # of a request and of the parser

UpdateCallback = Callable[[UpdateKind, EndpointList | None], None]
"""Receives each update; the list is None if the kind is UNAVAILABLE or REFUSED."""


@dataclass(slots=True, frozen=True, eq=False, repr=False)
class WatchOptions:
    """How long a watch request waits, when it is repeated, and how its response is parsed."""

    wait_ms: float  # the longest time for which discovery may delay a response without changes
    retries_forever: bool  # False: a failed watch request ends the watch, and the owner starts the next one
    refresh_on_connect: bool = False  # the first request on each connection asks for the complete list
    accepts_late_responses: bool = False  # a late request continues in parallel with the next
    parse: Callable[[object], EndpointList] = parse_endpoint_list  # raises ValueError


class WatchClient:
    """Follows the endpoint list at one address, with one watch request at a time and the late ones.

    `on_update` receives each response, also without changes, and UNAVAILABLE or REFUSED for each failure.

    Attributes:
        following: Whether the watch has been started, and no failure has ended it since.
    """

    def __init__(
        self, address: Address, revision: int, options: WatchOptions, on_update: UpdateCallback
    ) -> None:
        self._connection = WatchConnection(address)
        self._revision = revision
        self._options = options
        self._on_update = on_update
        self._failures = 0  # in a row
        self._task = SupervisedTask("endpoint list watch", self._follow, self._connection.close)
        self.following = False
        self._request: WatchRequest | None = None  # without a response so far, and not late
        self._late_requests = LateRequests(self._on_late_response)
        make_timing = RefreshingTiming if options.refresh_on_connect else RequestTiming
        self._timing = make_timing(options.wait_ms)

    def start(self) -> None:
        """Start the watch; no effect while it runs."""
        if not self.following:
            self.following = True
            # The previous task may still run, since the owner can start the next watch from its callback.
            self._task.cancel()
            self._task = SupervisedTask("endpoint list watch", self._follow, self._connection.close)
            self._task.start()

    def reconnect_to(self, address: Address) -> None:
        """Follow the list at this address from now on, starting from the current revision."""
        # The node counts as notified of all changes at the new address after `NOTIFICATION_DEADLINE_MS`. A
        # running backoff, or a pending request to a server at the same address that has stopped responding,
        # would delay the first request, which is therefore sent at once. If the pending one were given up,
        # addresses that change faster than discovery responds would never bring a list.
        self._task.cancel()
        self._keep_request()
        self._connection.address, self.following, self._failures = address, False, 0
        self.start()

    def close(self) -> None:
        """End the watch; `on_update` receives nothing more."""
        self._task.cancel()
        self._connection.close()
        self._late_requests.drop_all()

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_at_s = loop.time()
            try:
                unchanged = await self._request_list()
            except Exception as error:
                self._report_failure(error)
                if not self._options.retries_forever:
                    return
                # After a reset or a missing response, discovery may have changes of which the node already
                # counts as notified, and a backoff would delay them. The first retry is therefore immediate.
                if self._failures > 1:
                    await asyncio.sleep(PUSH_BACKOFF_S)
                continue
            if unchanged and loop.time() - started_at_s < EMPTY_RESPONSE_PAUSE_S:
                # If discovery responds without waiting, it would otherwise get requests in an endless loop.
                await asyncio.sleep(EMPTY_RESPONSE_PAUSE_S)

    async def _request_list(self) -> bool:
        """Send one watch request and apply its response; return whether the revision is unchanged."""
        request = await self._open_request()
        response = await self._wait_for_response(request)
        self._request = None
        endpoint_list = request.parse(response, self._options.parse)
        unchanged = endpoint_list.revision == self._revision
        self._observe_delay(request, endpoint_list, late=False)
        self._late_requests.drop_all()
        self._apply(request, endpoint_list)
        return unchanged

    def _report_failure(self, error: Exception) -> None:
        self._connection.close()
        self._failures += 1
        if not isinstance(error, EXPECTED_ERRORS):
            report_unexpected_error("endpoint list not applied", error)
        elif self._failures == 1 or isinstance(error, ValueError):
            cause = " ".join(str(error).split()) or "discovery did not accept a connection or respond in time"
            logger.warning("endpoint list unavailable, keeping last known good: %s", cause)
        self.following = self._options.retries_forever
        refused = isinstance(error, WatchRefusedError)
        self._on_update(UpdateKind.REFUSED if refused else UpdateKind.UNAVAILABLE, None)

    async def _open_request(self) -> WatchRequest:
        """Send one watch request.

        Raises:
            OSError: discovery can't be reached, or is too slow to accept a connection (TimeoutError).
        """
        connection = self._connection.reuse() or await self._connection.open()
        first = self._connection.is_new
        complete = first and self._options.refresh_on_connect
        request = WatchRequest(
            connection, self._revision, self._timing.limits(first=first), complete=complete
        )
        request.send(self._connection.address)
        self._request = request
        return request

    async def _wait_for_response(self, request: WatchRequest) -> HttpResponse:
        try:
            return await request.wait()
        except TimeoutError:
            # If each response takes longer than the time limit, requests that are given up would never bring
            # a list. The request therefore continues in parallel with the next. Trade-off: more connections.
            self._keep_request()
            raise

    def _keep_request(self) -> None:
        """Accept the response to the current request while newer ones are sent, if the options allow that."""
        request, self._request = self._request, None
        if request is not None and (self._options.accepts_late_responses or request.complete):
            self._connection.detach()
            self._late_requests.add(request)
        self._connection.close()

    def _on_late_response(self, request: WatchRequest, response: HttpResponse) -> None:
        try:
            endpoint_list = request.parse(response, self._options.parse)
        except ValueError as error:
            logger.warning("late endpoint list ignored: %s", " ".join(str(error).split()))
            return
        self._observe_delay(request, endpoint_list, late=True)
        self._apply(request, endpoint_list)

    def _observe_delay(self, request: WatchRequest, endpoint_list: EndpointList, *, late: bool) -> None:
        delay_ms = request.delay_s(asyncio.get_running_loop().time()) * 1000.0
        waited = request.complete or endpoint_list.revision == request.revision
        self._timing.observe(delay_ms, unchanged=waited, late=late)

    def _apply(self, request: WatchRequest, endpoint_list: EndpointList) -> None:
        """Pass on a list, unless the response to another request has already brought a newer one."""
        # The revisions of different upstreams can't be compared, but a complete list replaces any other.
        newer = request.revision == self._revision or endpoint_list.revision >= self._revision
        if newer or request.complete:
            # The revision advances only once the list is applied: after an error, it is requested again.
            kind = UpdateKind.COMPLETE if endpoint_list.complete else UpdateKind.DELTA
            self._on_update(kind, endpoint_list)
            self._revision = endpoint_list.revision
        self._failures = 0
