"""Tracks open requests from their arrival to their one final response.

A request passes admission control once, on arrival. It has at most one attempt in flight. Its retries are
limited by the rules of retries, the maximum number of attempts and the remaining time.

Methods return the actions for the host to carry out, in order.
"""

from __future__ import annotations

from collections.abc import Mapping

from loadbalancer.actions import Action, Cancel, Fail, Reject, Send
from loadbalancer.events import AttemptOutcome, IncomingRequest
from loadbalancer.policy.admission import AdmissionControl
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.outcome_recorder import OutcomeRecorder
from loadbalancer.policy.parameters import (
    CLASS_GAIN,
    MAX_REQUEST_WEIGHT,
    MIN_ATTEMPT_MS,
    MIN_REQUEST_WEIGHT,
)
from loadbalancer.policy.request_state import RequestState
from loadbalancer.policy.retry_rules import (
    attempt_timeout_ms,
    candidate_endpoints,
    is_client_retry_harmless,
    max_start_delay_ms,
)
from loadbalancer.policy.selection import EndpointSelector
from loadbalancer.settings import Settings


class RequestTracker:
    """Admits requests, starts their attempts and retries, and rejects or fails those that are not served.

    The host itself forwards the response of an attempt that serves a request.
    """

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointSet,
        admission: AdmissionControl,
        selector: EndpointSelector,
        outcome_recorder: OutcomeRecorder,
    ) -> None:
        self._settings = settings
        self._service_classes = {service_class.name: service_class for service_class in settings.classes}
        self._endpoints = endpoints
        self._admission = admission
        self._selector = selector
        self._outcome_recorder = outcome_recorder
        self._open: dict[str, RequestState] = {}
        self._draining = False
        self._mean_cost_hint_ms = 0.0

    @property
    def open_requests(self) -> Mapping[str, RequestState]:
        """Requests for which the final response or the outcome of an attempt is pending, by request id."""
        return self._open

    def receive(self, now_ms: float, request: IncomingRequest) -> list[Action]:
        """Open a request, and send its first attempt or reject it.

        Raises:
            KeyError: its service class is not in the settings.
        """
        service_class = self._service_classes[request.service_class]
        state = RequestState(request, service_class, now_ms, self._weigh_request(request.cost_hint_ms))
        self._open[request.request_id] = state
        if self._admission.admit(now_ms, request, service_class):
            return self._send_or_respond(now_ms, state)
        return self._respond(state)

    def is_of_replaced_endpoint(self, outcome: AttemptOutcome) -> bool:
        """Whether another process is listed by now under the name of the attempt's endpoint."""
        state = self._open.get(outcome.request_id)
        if state is None or outcome.attempt >= len(state.tried_endpoints):
            return False
        tried = state.tried_endpoints[outcome.attempt]
        return self._endpoints.by_name.get(tried.listed.name) is not tried

    def finish_attempt(self, now_ms: float, outcome: AttemptOutcome) -> list[Action]:
        """Record the outcome of an attempt, then end its request, retry it, or reject or fail it.

        The outcome of an attempt that is not in flight is ignored.
        """
        state = self._open.get(outcome.request_id)
        if state is None or outcome.attempt >= len(state.attempts):
            return []
        attempt = state.attempts[outcome.attempt]
        if attempt.result is not None:
            return []
        endpoint = state.tried_endpoints[outcome.attempt]
        self._outcome_recorder.record(now_ms, state.service_class, endpoint, attempt, outcome)
        if outcome.done:
            state.streaming = False
        if outcome.done or state.done:
            return self._end(state)
        if state.has_attempt_in_flight():
            return []
        return self._send_or_respond(now_ms, state)

    def start_response(self, request_id: str, number: int) -> list[Action]:
        """Commit a request to the attempt whose streamed response has begun, and cancel any other."""
        state = self._open.get(request_id)
        if state is None:
            return []
        state.streaming = True
        return self._cancel_attempts(state, except_number=number)

    def disconnect(self, request_id: str) -> list[Action]:
        """End a request whose client has disconnected."""
        state = self._open.get(request_id)
        return [] if state is None else self._end(state)

    def drain(self) -> None:
        """Send no more attempts; open requests get their final response as their attempts end."""
        self._draining = True

    def _send_or_respond(self, now_ms: float, state: RequestState) -> list[Action]:
        send = self._start_attempt(now_ms, state)
        return self._respond(state) if send is None else [send]

    def _start_attempt(self, now_ms: float, state: RequestState) -> Send | None:
        """Start an attempt, if the request may have one more and there is an endpoint for it."""
        timeout_ms = attempt_timeout_ms(now_ms, state)
        if self._draining or timeout_ms <= MIN_ATTEMPT_MS:
            return None
        if len(state.attempts) >= self._settings.max_attempts:
            return None
        class_name = state.service_class.name
        candidates = candidate_endpoints(now_ms, state, self._endpoints.ready)
        endpoint = self._selector.select(now_ms, candidates, class_name, state.weight)
        if endpoint is None:
            return None
        start_delay_ms = max_start_delay_ms(now_ms, state)
        request_id = state.request.request_id
        attempt = endpoint.start_attempt(class_name, state.weight, now_ms)
        state.attempts.append(attempt)
        state.tried_endpoints.append(endpoint)
        return Send(request_id, endpoint.listed.name, timeout_ms, start_delay_ms)

    def _respond(self, state: RequestState) -> list[Action]:
        """Give the final response: a rejection where a client's retry is harmless, else a failure."""
        request_id = state.request.request_id
        if is_client_retry_harmless(state):
            return [Reject(request_id, self._admission.retry_after_ms()), *self._end(state)]
        return [Fail(request_id), *self._end(state)]

    def _end(self, state: RequestState) -> list[Action]:
        """End a request that needs no final response any more; remove it once no attempt is in flight."""
        was_done, state.done = state.done, True
        if not state.has_attempt_in_flight():
            self._open.pop(state.request.request_id, None)
            return []
        return [] if was_done or state.streaming else self._cancel_attempts(state)

    def _cancel_attempts(self, state: RequestState, except_number: int | None = None) -> list[Action]:
        if not self._settings.can_cancel:
            return []
        request_id = state.request.request_id
        return [
            Cancel(request_id, number)
            for number, attempt in enumerate(state.attempts)
            if attempt.result is None and number != except_number
        ]

    def _weigh_request(self, cost_hint_ms: float | None) -> float:
        """Update the mean cost and return the weight of a request: 1 unless requests are weighted by cost."""
        if not self._settings.weight_by_cost or not cost_hint_ms:
            return 1.0
        gain = CLASS_GAIN if self._mean_cost_hint_ms else 1.0
        self._mean_cost_hint_ms += (cost_hint_ms - self._mean_cost_hint_ms) * gain
        return min(MAX_REQUEST_WEIGHT, max(MIN_REQUEST_WEIGHT, cost_hint_ms / self._mean_cost_hint_ms))
