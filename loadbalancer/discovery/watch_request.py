"""One watch request on one connection, and the requests whose responses are late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import orjson

from loadbalancer.discovery.endpoint_list import EndpointList
from loadbalancer.discovery.watch_timing import NOTIFICATION_DEADLINE_MS, RequestLimits
from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import ClientConnection, HttpResponse

PATH = "/discovery/hosts"
MAX_LATE_REQUESTS = 5  # each holds a descriptor; with them, a proxy uses 15 of the 16 reserved ones at most
LATE_RESPONSE_LIMIT_S = NOTIFICATION_DEADLINE_MS / 1000.0  # after the wait of a request


class WatchResponseError(ValueError):
    """A response whose kind of list does not match the watch request."""


class WatchRefusedError(ValueError):
    """Discovery can be reached, and responds with an error status."""


class WatchRequest:
    """The exchange of one watch request; provides its response as a future.

    Attributes:
        connection: the connection that carries the request.
        revision: the revision that the client has when it sends the request.
        complete: whether the request is for the complete list, and not for the changes since `revision`.
        response: the response; ConnectionError if the connection ends without a valid one.
    """

    def __init__(
        self,
        connection: ClientConnection,
        revision: int,
        limits: RequestLimits,
        *,
        complete: bool,
    ) -> None:
        """A request to which discovery responds at the end of its wait at the latest if nothing changes."""
        loop = asyncio.get_running_loop()
        self.connection = connection
        self.revision = revision
        self.complete = complete
        self.response: asyncio.Future[HttpResponse] = loop.create_future()
        self._limits = limits
        self._wait_until_s = loop.time() + limits.wait_ms / 1000.0

    @property
    def late_response_limit_s(self) -> float:
        """The time, on the event loop's clock, until which a late response is accepted."""
        return self._wait_until_s + LATE_RESPONSE_LIMIT_S

    def delay_s(self, now_s: float) -> float:
        """The time since the end of the request's wait."""
        return now_s - self._wait_until_s

    def send(self, address: Address) -> None:
        """Send the request on its connection, which leads to this address."""
        query = "" if self.complete else f"?since={self.revision}&timeout_ms={int(self._limits.wait_ms)}"
        host, port = address
        self.connection.send_request(
            f"GET {PATH}{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode(), self
        )

    async def wait(self) -> HttpResponse:
        """Wait for the response.

        Raises:
            ConnectionError: The connection ends without a valid response.
            TimeoutError: There is no response until the end of the grace period; it may still arrive.
        """
        # If the event loop runs late, the response and the expired time limit are handled in the same
        # iteration, and `asyncio.wait_for` would drop the response. `asyncio.wait` returns it.
        timeout_s = (self._limits.wait_ms + self._limits.grace_ms) / 1000.0
        done, _ = await asyncio.wait({self.response}, timeout=timeout_s)
        if not done:
            raise TimeoutError
        return self.response.result()

    def parse(self, response: HttpResponse, parse_list: Callable[[object], EndpointList]) -> EndpointList:
        """The list of the request's response; `parse_list` parses its JSON value.

        Raises:
            ValueError: The response can't be used.
        """
        if response.status != HTTPStatus.OK:
            raise WatchRefusedError(f"discovery responded with status {response.status}, expected 200")
        endpoint_list = parse_list(orjson.loads(response.body))
        if self.complete and not endpoint_list.complete:
            raise WatchResponseError(
                f"discovery sent a delta of revision {endpoint_list.revision}, expected the complete list"
            )
        return endpoint_list

    def on_response(self, response: HttpResponse) -> None:
        """Resolve the future."""
        if not self.response.done():
            self.response.set_result(response)

    def on_connection_lost(self, *, request_written: bool) -> None:
        """Fail the future with ConnectionError."""
        del request_written  # a watch request is idempotent
        if not self.response.done():
            self.response.set_exception(
                ConnectionError("connection to discovery ended without a valid response")
            )


class LateRequests:
    """Requests that are followed by newer ones, and whose responses are still accepted.

    They have exceeded their time limit, or a new address of discovery replaces theirs.
    """

    def __init__(self, on_response: Callable[[WatchRequest, HttpResponse], None]) -> None:
        """`on_response` receives each late response; requests that are older than its own are dropped."""
        self._on_response = on_response
        self._loop = asyncio.get_running_loop()
        self._drop_timers: dict[WatchRequest, asyncio.TimerHandle] = {}  # in the order of sending

    def add(self, request: WatchRequest) -> None:
        """Accept the response to this request until its `late_response_limit_s`, or drop it at the limit.

        At the limit of `MAX_LATE_REQUESTS` the older ones are kept, since they are answered first. If they
        were dropped instead, requests that follow each other fast enough would never bring a list.
        """
        if len(self._drop_timers) >= MAX_LATE_REQUESTS:
            request.connection.abort()
            return
        self._drop_timers[request] = self._loop.call_at(request.late_response_limit_s, self._remove, request)
        request.response.add_done_callback(lambda _: self._on_done(request))

    def drop_all(self) -> None:
        """Accept none of the responses any more, and close the connections."""
        for request in list(self._drop_timers):
            self._remove(request)

    def _on_done(self, request: WatchRequest) -> None:
        if request not in self._drop_timers:
            return
        if request.response.exception() is not None:
            self._remove(request)
            return
        for older in list(self._drop_timers):
            self._remove(older)
            if older is request:
                break
        self._on_response(request, request.response.result())

    def _remove(self, request: WatchRequest) -> None:
        self._drop_timers.pop(request).cancel()
        request.connection.abort()
