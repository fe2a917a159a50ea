"""Requests that are passed to the policy, each until it and all its attempts have ended."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from http import HTTPStatus

from loadbalancer.events import AttemptResult, ClientDisconnected, Event, IncomingRequest
from loadbalancer.http.addresses import Address
from loadbalancer.http.request import HttpRequest
from loadbalancer.proxy.executed_requests import ExecutedRequests
from loadbalancer.proxy.statistics import Statistics
from loadbalancer.proxy.upstream_attempt import UpstreamAttempt

BACKSTOP_DELAY_S = 0.005  # after a request's deadline, until the proxy sends the final response itself


class PossibleExecution:
    """An attempt that an endpoint may have executed.

    Attributes:
        address: the endpoint's address.
        sent_at_s: the time of the attempt, on the event loop's clock.
    """

    __slots__ = ("address", "sent_at_s")

    def __init__(self, address: Address, sent_at_s: float) -> None:
        self.address = address
        self.sent_at_s = sent_at_s


class PendingRequest:
    """A request, its client and its attempts.

    Attributes:
        incoming: the event that passes the request to the policy.
        http_request: the HTTP request, through which the final response is sent.
        deadline_s: the time by which the final response has to be sent, on the event loop's clock.
        backstop: the timer that ends the request if the policy has not done so by its deadline.
        ended: whether the final response has been sent or the client has disconnected.
        attempts: the attempts by number; None for one that has ended or that is not sent.
        attempts_in_flight: the number of attempts that have been started and have not ended.
        last_result: the result of the attempt that ended last, None before the first.
        repeatable: whether a further execution does no harm, because the request is idempotent.
        executions: the attempts that have ended and that an endpoint may have executed.
    """

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "backstop",
        "deadline_s",
        "ended",
        "executions",
        "http_request",
        "incoming",
        "last_result",
        "repeatable",
    )

    def __init__(
        self, incoming: IncomingRequest, http_request: HttpRequest, deadline_s: float, *, repeatable: bool
    ) -> None:
        self.incoming = incoming
        self.http_request = http_request
        self.deadline_s = deadline_s
        self.backstop: asyncio.TimerHandle | None = None
        self.ended = False
        self.attempts: list[UpstreamAttempt | None] = []
        self.attempts_in_flight = 0
        self.last_result: AttemptResult | None = None
        self.repeatable = repeatable
        self.executions: list[PossibleExecution] = []

    def cancel_attempt(self, number: int) -> None:
        """Cancel the attempt of this number, if it is in flight."""
        attempt = self.attempts[number] if number < len(self.attempts) else None
        if attempt is not None:
            attempt.cancel()

    def cancel_attempts(self) -> None:
        """Cancel all attempts in flight."""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.cancel()

    def cancel_unsent_attempts(self) -> None:
        """Cancel the attempts that have not been sent; allowed even if the settings forbid cancellation."""
        for attempt in self.attempts:
            if attempt is not None and not attempt.sent:
                attempt.cancel()


def send_response(http_request: HttpRequest, status: int, body: bytes, retry_after_ms: float) -> None:
    """Send a final response; an error in that is reported and ends the client's connection."""
    # The caller has to continue after an error: the policy needs the attempt's outcome, and an event's other
    # actions or the end of a shutdown concern other requests.
    try:
        http_request.respond(status, body, retry_after_ms)
    except Exception as error:
        context = {"message": "response not sent", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)
        http_request.connection.abort()


class PendingRequests:
    """All pending requests; sends the one final response of each.

    Attributes:
        statistics: the proxy's counters.
    """

    def __init__(self, statistics: Statistics, notify_policy: Callable[[Event], None]) -> None:
        self._by_id: dict[str, PendingRequest] = {}
        self._executed = ExecutedRequests()
        self._open_count = 0
        self._loop = asyncio.get_running_loop()
        self.statistics = statistics
        self._notify_policy = notify_policy

    @property
    def by_id(self) -> Mapping[str, PendingRequest]:
        """The pending requests by their id."""
        return self._by_id

    @property
    def open_count(self) -> int:
        """The number of requests that have not ended."""
        return self._open_count

    def is_known(self, request_id: str) -> bool:
        """Whether a request of this id is pending, or may have been executed and must not be again."""
        return request_id in self._by_id or request_id in self._executed

    def add(self, pending: PendingRequest) -> None:
        """Add a request and notify the policy of it."""
        self._by_id[pending.incoming.request_id] = pending
        self._open_count += 1
        pending.http_request.on_disconnect = lambda: self._on_disconnect(pending)
        backstop_at_s = pending.deadline_s + BACKSTOP_DELAY_S
        pending.backstop = self._loop.call_at(backstop_at_s, self._on_missed_deadline, pending)
        self._notify_policy(pending.incoming)

    def respond(
        self, pending: PendingRequest, status: int, body: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the final response of a request; no effect if the request has ended."""
        if not pending.ended:
            self.statistics.responses[status] += 1
            self._end(pending)
            send_response(pending.http_request, status, body, retry_after_ms)

    def reject(self, request_id: str, retry_after_ms: float) -> None:
        """Reject a request with 503, if it is open; the status states that a retry is harmless."""
        pending = self._by_id.get(request_id)
        if pending is not None:
            self.respond(pending, HTTPStatus.SERVICE_UNAVAILABLE, retry_after_ms=retry_after_ms)

    def fail(self, request_id: str) -> None:
        """Fail a request that may have been executed, if it is open: 504 after a time-out, else 502."""
        pending = self._by_id.get(request_id)
        if pending is not None:
            timed_out = pending.last_result is AttemptResult.TIMEOUT
            self.respond(pending, HTTPStatus.GATEWAY_TIMEOUT if timed_out else HTTPStatus.BAD_GATEWAY)

    def cancel_attempt(self, request_id: str, number: int) -> None:
        """Cancel an attempt, if it is in flight."""
        pending = self._by_id.get(request_id)
        if pending is not None:
            pending.cancel_attempt(number)

    def client_waits(self, pending: PendingRequest) -> bool:
        """Whether the client still waits for the response; ends the request if it has disconnected.

        Called right before an attempt is sent.
        """
        # While a request is forwarded, the end of its client's connection can be unread in the kernel,
        # because the event loop handles other sockets or the request itself first. A late event loop makes
        # this likely. The socket is therefore examined here. Trade-off: one system call per attempt.
        if not pending.ended and pending.http_request.client_disconnected:
            self.statistics.unread_client_disconnects += 1
            self._on_disconnect(pending)
        return not pending.ended

    def remove_if_complete(self, pending: PendingRequest) -> None:
        """Remove a request that has ended, unless an attempt of it is in flight."""
        if not pending.ended or pending.attempts_in_flight:
            return
        request_id = pending.incoming.request_id
        self._by_id.pop(request_id, None)
        # A client may repeat the id of a request after it has disconnected, and the endpoint may have
        # executed the first one.
        if pending.executions and not pending.repeatable:
            self._executed.add(request_id)

    def end_all(self) -> None:
        """Cancel all attempts, then fail the requests that are still open."""
        for pending in list(self._by_id.values()):
            pending.cancel_attempts()
        for pending in [item for item in self._by_id.values() if not item.ended]:
            self.respond(pending, HTTPStatus.GATEWAY_TIMEOUT)

    def _end(self, pending: PendingRequest) -> None:
        """Mark a request as ended; cancel its backstop and its unsent attempts."""
        pending.ended = True
        self._open_count -= 1
        if pending.backstop is not None:
            pending.backstop.cancel()
        # If the settings forbid cancellation, the policy returns no `Cancel`, and an attempt that waits for
        # its connection would be sent after its client has disconnected. Such an attempt is cancelled here.
        pending.cancel_unsent_attempts()
        self.remove_if_complete(pending)

    def _on_disconnect(self, pending: PendingRequest) -> None:
        if not pending.ended:
            self.statistics.client_disconnects += 1
            self._end(pending)
            self._notify_policy(ClientDisconnected(pending.incoming.request_id))

    def _on_missed_deadline(self, pending: PendingRequest) -> None:
        # If the policy has not ended a request by its deadline, its client would time out without a response.
        # The proxy therefore sends the final response itself.
        if not pending.ended:
            self.statistics.missed_deadlines += 1
            self.respond(pending, HTTPStatus.GATEWAY_TIMEOUT)
            self._notify_policy(ClientDisconnected(pending.incoming.request_id))
