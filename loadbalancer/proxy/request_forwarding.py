"""Request forwarding: executes `Send` actions and notifies the policy of their outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.actions import Send
from loadbalancer.events import AttemptOutcome, AttemptResult, Event, LoadReport
from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import HttpResponse
from loadbalancer.http.request import HttpRequest
from loadbalancer.platform_settings import parse_load_report
from loadbalancer.proxy.clock import Clock
from loadbalancer.proxy.connection_pool import ConnectionPool, EndpointConnections
from loadbalancer.proxy.pending_request import PendingRequest, PendingRequests, PossibleExecution
from loadbalancer.proxy.upstream_attempt import UpstreamAttempt
from loadbalancer.settings import Settings

LOAD_REPORT_HEADER = b"srv-load"
FORWARDED_HEADERS = frozenset(  # a subset of `SINGLE_VALUE_HEADERS`, where the comment gives the reason
    b"host req-id idempotency-key req-owner req-retry req-cost req-extra".split()
    + b"accept content-type content-encoding".split()
)


class ForwardedAttempt:
    """An attempt that the policy requests; the `UpstreamRequest` of its `UpstreamAttempt`.

    Attributes:
        action: the policy's action.
        pending: the request that the attempt belongs to.
        number: the number of the attempt, from 0 for each request.
        created_at_s: the time of the action, on the event loop's clock.
        address: the address that it is sent to; None before the start.
    """

    __slots__ = ("_forwarder", "action", "address", "created_at_s", "number", "pending")

    def __init__(
        self,
        forwarder: RequestForwarder,
        action: Send,
        pending: PendingRequest,
        number: int,
        created_at_s: float,
    ) -> None:
        self._forwarder = forwarder
        self.action = action
        self.pending = pending
        self.number = number
        self.created_at_s = created_at_s
        self.address: Address | None = None

    def encode(self, remaining_s: float) -> bytes:
        """The bytes of the client's request, with the remaining time as its deadline."""
        return encode_request(self.pending.http_request, remaining_s)

    def is_needed(self) -> bool:
        """Whether the client still waits for the response."""
        return self._forwarder.requests.client_waits(self.pending)

    def on_result(self, result: AttemptResult, response: HttpResponse | None) -> None:
        """Record the end of a started attempt."""
        self.pending.attempts_in_flight -= 1
        if self.address is not None and not result.not_processed:
            self.pending.executions.append(PossibleExecution(self.address, self.created_at_s))
        self.pending.attempts[self.number] = None
        self._forwarder.on_result(self, result, response)


class RequestForwarder:
    """Sends attempts of pending requests.

    Attributes:
        requests: the pending requests.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        requests: PendingRequests,
        pool: ConnectionPool,
        notify_policy: Callable[[Event], None],
    ) -> None:
        self.requests = requests
        self._settings = settings
        self._clock = clock
        self._pool = pool
        self._statistics = requests.statistics
        self._notify_policy = notify_policy
        self._loop = asyncio.get_running_loop()

    def send(self, action: Send) -> None:
        """Start an attempt. Each `Send` gets an attempt number and one outcome, even if nothing is sent."""
        pending = self.requests.by_id.get(action.request_id)
        if pending is None:
            self._report_not_pending(action)
            return
        attempt = ForwardedAttempt(self, action, pending, len(pending.attempts), self._loop.time())
        pending.attempts.append(None)
        if self._may_send(attempt):
            self._start(attempt)
        else:
            self.on_result(attempt, AttemptResult.NOT_SENT, None)

    def on_result(
        self, attempt: ForwardedAttempt, result: AttemptResult, response: HttpResponse | None
    ) -> None:
        """Notify the policy of the one outcome of a `Send`; the first OK becomes the final response."""
        self._statistics.attempts[result.value] += 1
        action, pending = attempt.action, attempt.pending
        load_report = None if response is None else self._load_report(response)
        pending.last_result = result
        if result is AttemptResult.OK and response is not None:
            self.requests.respond(pending, HTTPStatus.OK, bytes(response.body))
        self.requests.remove_if_complete(pending)
        outcome = AttemptOutcome(
            request_id=action.request_id,
            attempt=attempt.number,
            endpoint=action.endpoint,
            result=result,
            latency_ms=(self._loop.time() - attempt.created_at_s) * 1000.0,
            done=pending.ended,
            load_report=load_report,
        )
        self._notify_policy(outcome)

    def _may_send(self, attempt: ForwardedAttempt) -> bool:
        """Whether the deadline, the attempt limit and the client's connection allow this attempt."""
        pending = attempt.pending
        return (
            not pending.ended
            and pending.deadline_s > attempt.created_at_s
            and attempt.number < self._settings.max_attempts
            and self.requests.client_waits(pending)
        )

    def _start(self, attempt: ForwardedAttempt) -> None:
        """Start an attempt; it fails at once if its endpoint is not in the pool."""
        action, pending = attempt.action, attempt.pending
        pending.attempts_in_flight += 1
        endpoint = self._pool.get(action.endpoint)
        if endpoint is None:
            attempt.on_result(AttemptResult.CONNECT_FAILED, None)
            return
        if self._may_have_executed(pending, endpoint):
            attempt.on_result(AttemptResult.NOT_SENT, None)
            return
        attempt.address = endpoint.address
        timeout_s = pending.deadline_s - attempt.created_at_s
        if action.timeout_ms > 0.0:
            timeout_s = min(timeout_s, action.timeout_ms / 1000.0)
        max_start_delay_s = timeout_s
        if action.max_start_delay_ms > 0.0:
            max_start_delay_s = action.max_start_delay_ms / 1000.0
        upstream_attempt = UpstreamAttempt(self._pool, attempt, timeout_s, max_start_delay_s)
        pending.attempts[attempt.number] = upstream_attempt
        upstream_attempt.start(endpoint)

    def _may_have_executed(self, pending: PendingRequest, endpoint: EndpointConnections) -> bool:
        """Whether an earlier attempt of the request has reached this very process under another name."""
        # A process that comes up at the address of one that has gone gets the attempts at the old name until
        # the list says so. Under its own name it is a new endpoint for the policy, and would get the retry.
        if endpoint.started_ms is None:
            return False
        return any(
            execution.address == endpoint.address
            and endpoint.started_ms <= self._clock.to_unix_ms(execution.sent_at_s)
            for execution in pending.executions
        )

    def _load_report(self, response: HttpResponse) -> LoadReport | None:
        """The load report of a response, None if it has none."""
        value = response.headers.get(LOAD_REPORT_HEADER)
        if not value:
            return None
        return parse_load_report(value.decode("latin-1"), self._settings.load_report_fields)

    def _report_not_pending(self, action: Send) -> None:
        """Notify the policy that nothing is sent, since the request and all its attempts have ended."""
        result = AttemptResult.NOT_SENT
        self._statistics.attempts[result.value] += 1
        self._notify_policy(AttemptOutcome(action.request_id, 0, action.endpoint, result, 0.0, done=True))


def encode_request(http_request: HttpRequest, remaining_s: float) -> bytes:
    """Encode a request for an endpoint; `remaining_s` is the time that is left for the response."""
    lines = [http_request.method + b" " + http_request.target + b" HTTP/1.1"]
    lines += [
        name + b": " + value for name, value in http_request.headers.items() if name in FORWARDED_HEADERS
    ]
    lines.append(b"req-deadline-ms: %d" % max(1, int(remaining_s * 1000.0)))
    if http_request.body or http_request.method != b"GET":
        lines.append(b"content-length: %d" % len(http_request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + http_request.body
