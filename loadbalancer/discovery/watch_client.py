"""The watch of the endpoint list: a series of long polls, each from the revision of the previous response."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import orjson

from loadbalancer.discovery.endpoint_list import EndpointList, parse_endpoint_list
from loadbalancer.discovery.watch_timing import (
    WATCH_CONNECT_MS,
    WATCH_FIRST_WAIT_MS,
    WATCH_INITIAL_BACKOFF_MS,
    WATCH_RESPONSE_GRACE_MS,
)
from loadbalancer.events import UpdateKind
from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import ClientConnection, HttpResponse

logger = logging.getLogger(__name__)

PATH = "/discovery/hosts"
RESPONSE_GRACE_S = WATCH_RESPONSE_GRACE_MS / 1000.0
CONNECT_TIMEOUT_S = WATCH_CONNECT_MS / 1000.0
FIRST_WAIT_MS = WATCH_FIRST_WAIT_MS
PUSH_BACKOFF_S = WATCH_INITIAL_BACKOFF_MS / 1000.0  # from the second failure in a row, where lists are pushed
EMPTY_RESPONSE_PAUSE_S = 0.1  # after an early response without changes; the time budget allows 0.2 s
MAX_ENDPOINT_LIST_BYTES = 16 * 1024 * 1024

UpdateCallback = Callable[[UpdateKind, EndpointList | None], None]
"""Receives each update; the list is None if the kind is UNAVAILABLE."""


class WatchResponseError(ValueError):
    """A response whose status or kind of list does not match the watch request."""


@dataclass(slots=True, frozen=True, eq=False, repr=False)
class WatchOptions:
    """How long a watch request waits, when it is repeated, and how its response is parsed."""

    wait_ms: float  # the longest time for which discovery may delay a response without changes
    retries_forever: bool  # False: a failed watch request ends the watch, and the owner starts the next one
    refresh_on_connect: bool = False  # the first request on each connection asks for the complete list
    parse: Callable[[object], EndpointList] = parse_endpoint_list  # raises ValueError


class _PendingResponse:
    """The exchange of one watch request; provides the response as a future."""

    def __init__(self) -> None:
        self.future: asyncio.Future[HttpResponse] = asyncio.get_running_loop().create_future()

    def on_response(self, response: HttpResponse) -> None:
        """Resolve the future."""
        if not self.future.done():
            self.future.set_result(response)

    def on_connection_lost(self, *, request_written: bool) -> None:
        """Fail the future with ConnectionError."""
        del request_written  # a watch request is idempotent
        if not self.future.done():
            self.future.set_exception(
                ConnectionError("connection to discovery ended without a valid response")
            )


class WatchClient:
    """Follows the endpoint list at one address, with one watch request at a time.

    `on_update` receives each response, including those without changes, and UNAVAILABLE for each failure.
    """

    def __init__(
        self, address: Address, revision: int, options: WatchOptions, on_update: UpdateCallback
    ) -> None:
        self._address = address
        self._revision = revision
        self._options = options
        self._on_update = on_update
        self._failures = 0  # in a row
        self._task: asyncio.Task[None] | None = None
        self._connection: ClientConnection | None = None

    def start(self) -> None:
        """Start the watch; no effect while it runs."""
        if self._task is None:
            self._task = asyncio.create_task(self._follow())

    def reconnect_to(self, address: Address) -> None:
        """Follow the list at this address from now on, starting from the current revision."""
        # The node counts as notified of all changes at the new address after `NOTIFICATION_DEADLINE_MS`. A
        # running backoff, or a pending request to a server at the same address that has stopped responding,
        # would delay the first request. Both are therefore dropped.
        self.close()
        self._address, self._task, self._failures = address, None, 0
        self.start()

    def close(self) -> None:
        """End the watch; `on_update` receives nothing more."""
        if self._task is not None:
            self._task.cancel()
        self._disconnect()

    async def _follow(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            started_at_s = loop.time()
            try:
                endpoint_list = await self._request_list()
            except (OSError, TimeoutError, ValueError) as error:
                self._report_failure(error)
                if not self._options.retries_forever:
                    return
                # After a reset or a missing response, discovery may have changes of which the node already
                # counts as notified, and a backoff would delay them. The first retry is therefore immediate.
                if self._failures > 1:
                    await asyncio.sleep(PUSH_BACKOFF_S)
                continue
            self._failures = 0
            unchanged = endpoint_list.revision == self._revision
            self._revision = endpoint_list.revision
            kind = UpdateKind.COMPLETE if endpoint_list.complete else UpdateKind.DELTA
            self._on_update(kind, endpoint_list)
            if unchanged and loop.time() - started_at_s < EMPTY_RESPONSE_PAUSE_S:
                # If discovery responds without waiting, it would otherwise get requests in an endless loop.
                await asyncio.sleep(EMPTY_RESPONSE_PAUSE_S)

    def _report_failure(self, error: Exception) -> None:
        self._disconnect()
        self._failures += 1
        if self._failures == 1 or isinstance(error, ValueError):
            cause = " ".join(str(error).split()) or "discovery did not accept a connection or respond in time"
            logger.warning("endpoint list unavailable, keeping last known good: %s", cause)
        if not self._options.retries_forever:
            self._task = None
        self._on_update(UpdateKind.UNAVAILABLE, None)

    async def _request_list(self) -> EndpointList:
        """Send one watch request and return the list of its response.

        Raises:
            OSError: discovery can't be reached, is too slow (TimeoutError) or closes the connection.
            ValueError: the response can't be used.
        """
        connection, wait_ms, refresh = self._connection, self._options.wait_ms, False
        if connection is None or not connection.reusable:
            connection = await self._connect()
            # After a change of address, a discovery server that accepts connections and never responds would
            # be detected too late. The first request on a connection therefore has a shorter wait.
            wait_ms = min(wait_ms, FIRST_WAIT_MS)
            refresh = self._options.refresh_on_connect
        response = await self._send_request(connection, wait_ms, complete=refresh)
        if response.status != HTTPStatus.OK:
            raise WatchResponseError(f"discovery responded with status {response.status}, expected 200")
        endpoint_list = self._options.parse(orjson.loads(response.body))
        if refresh and not endpoint_list.complete:
            raise WatchResponseError(
                f"discovery sent a delta of revision {endpoint_list.revision}, expected the complete list"
            )
        return endpoint_list

    async def _connect(self) -> ClientConnection:
        self._disconnect()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: ClientConnection(lambda _: None, MAX_ENDPOINT_LIST_BYTES), *self._address
            )
        self._connection = connection
        return connection

    async def _send_request(
        self, connection: ClientConnection, wait_ms: float, *, complete: bool
    ) -> HttpResponse:
        query = "" if complete else f"?since={self._revision}&timeout_ms={int(wait_ms)}"
        host, port = self._address
        request = f"GET {PATH}{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        pending = _PendingResponse()
        connection.send_request(request.encode(), pending)
        # If the event loop runs late, the response and the expired time limit are handled in the same
        # iteration, and `asyncio.wait_for` would drop the response. `asyncio.wait` returns it.
        done, _ = await asyncio.wait({pending.future}, timeout=wait_ms / 1000.0 + RESPONSE_GRACE_S)
        if not done:
            raise TimeoutError
        return pending.future.result()

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
