"""One attempt: a request sent to one endpoint. Each attempt ends with exactly one result."""

from __future__ import annotations

import asyncio
import math
from http import HTTPStatus
from typing import Protocol

from loadbalancer.events import AttemptResult
from loadbalancer.http.client_connection import ClientConnection, HttpResponse
from loadbalancer.proxy.connection_pool import ConnectionPool, EndpointConnections
from loadbalancer.supervised_task import report_failed_task

DECLINED_HEADER = b"srv-declined"
DECLINED = b"1"
DECLINED_STATUSES = frozenset((HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT))


def attempt_result(response: HttpResponse) -> AttemptResult:
    """The result of an attempt whose complete response this is."""
    if response.status == HTTPStatus.OK:
        return AttemptResult.OK
    if response.status in DECLINED_STATUSES and response.headers.get(DECLINED_HEADER) == DECLINED:
        return AttemptResult.REJECTED
    return AttemptResult.ERROR


class UpstreamRequest(Protocol):
    """The request of an attempt, and the receiver of its result; implemented by the attempt's owner."""

    def encode(self, remaining_s: float) -> bytes:
        """The request's bytes; `remaining_s` is the time that is left for the response."""

    def is_needed(self) -> bool:
        """Whether the request still has to be sent; called once a new connection is established."""

    def on_result(self, result: AttemptResult, response: HttpResponse | None) -> None:
        """The attempt has ended; called once, and never before `UpstreamAttempt.start` has returned."""


class UpstreamAttempt:
    """One attempt: sends a request to one endpoint and waits for its response."""

    def __init__(
        self,
        pool: ConnectionPool,
        request: UpstreamRequest,
        timeout_s: float,
        max_start_delay_s: float = math.inf,
    ) -> None:
        """An attempt that is sent within `max_start_delay_s` and ends within `timeout_s`, both from now."""
        self._pool = pool
        self._request = request
        self._max_start_delay_s = max_start_delay_s
        self._ended = False
        self._endpoint: EndpointConnections | None = None
        self._connection: ClientConnection | None = None
        self._connecting: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        self._timeout_at_s = loop.time() + timeout_s
        self._timer = loop.call_at(self._timeout_at_s, self._on_timeout)

    @property
    def sent(self) -> bool:
        """Whether the request's last byte has left the process, so that the endpoint may execute it."""
        return self._connection is not None and self._connection.request_written

    def start(self, endpoint: EndpointConnections) -> None:
        """Send the request to this endpoint, on a new connection if no idle one can be used."""
        self._endpoint = endpoint
        connection = self._pool.acquire_idle(endpoint)
        if connection is not None:
            self._send(connection)
        elif self._pool.ensure_capacity():
            endpoint.add_removal_callback(self.withdraw)
            self._connecting = asyncio.create_task(self._connect(endpoint), name="connect")
            self._connecting.add_done_callback(report_failed_task)
            self._pool.count_connecting(self._connecting)
        else:
            # Deferred, because `on_result` must not be called before `start` has returned.
            asyncio.get_running_loop().call_soon(self.withdraw)

    def cancel(self) -> None:
        """End the attempt; the endpoint never executes a request that is not completely sent."""
        self._end(AttemptResult.CANCELLED if self.sent else AttemptResult.NOT_SENT)

    def withdraw(self) -> None:
        """End the attempt before anything has been sent."""
        self._end(AttemptResult.CONNECT_FAILED)

    def on_response(self, response: HttpResponse) -> None:
        """Record the complete response of the endpoint."""
        connection, self._connection = self._connection, None
        if connection is not None and self._endpoint is not None:
            self._pool.release(self._endpoint, connection)
        self._end(attempt_result(response), response)

    def on_connection_lost(self, *, request_written: bool) -> None:
        """Record the end of the connection without a complete response."""
        self._connection = None
        self._end(AttemptResult.RESET if request_written else AttemptResult.CONNECT_FAILED)

    async def _connect(self, endpoint: EndpointConnections) -> None:
        try:
            async with asyncio.timeout(min(self._pool.connect_timeout_s, self._max_start_delay_s)):
                connection = await self._pool.connect(endpoint.address)
        except (OSError, TimeoutError):
            self._connecting = None
            endpoint.discard_removal_callback(self.withdraw)
            self.withdraw()
            return
        self._connecting = None
        endpoint.discard_removal_callback(self.withdraw)
        # A client can disconnect during the iterations of the event loop in which the connection is
        # established, and a late event loop would still forward its request. The client's connection is
        # therefore examined again.
        if self._ended or not self._request.is_needed():
            connection.abort()
            self.cancel()
        else:
            self._send(connection)

    def _send(self, connection: ClientConnection) -> None:
        self._connection = connection
        remaining_s = self._timeout_at_s - asyncio.get_running_loop().time()
        connection.send_request(self._request.encode(remaining_s), self)

    def _on_timeout(self) -> None:
        # The endpoint never executes a request that is not completely sent, so that a retry is harmless.
        self._end(AttemptResult.TIMEOUT if self.sent else AttemptResult.CONNECT_FAILED)

    def _end(self, result: AttemptResult, response: HttpResponse | None = None) -> None:
        if self._ended:
            return
        self._ended = True
        self._timer.cancel()
        if self._connecting is not None and self._endpoint is not None:
            self._endpoint.discard_removal_callback(self.withdraw)
            self._connecting.cancel()
        if self._connection is not None:  # closing the connection cancels the attempt
            self._connection.abort()
        self._request.on_result(result, response)
