"""The rules of retries, without state: which endpoints the next attempt may use, and until when.

A request is retried after an attempt that the endpoint did not process, or if a second execution does no
harm: the request is idempotent, or the next endpoint drops a repeat by its idempotency key. No endpoint gets
two attempts for one request; a restarted process counts as another endpoint.
"""

from __future__ import annotations

from loadbalancer.policy.attempts import AttemptState
from loadbalancer.policy.parameters import OBJECTIVE_TIMEOUT_FRACTION
from loadbalancer.policy.request_state import RequestState
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint
from loadbalancer.settings import DeduplicationScope, Idempotency, ServiceClass


def attempt_timeout_ms(now_ms: float, state: RequestState) -> float:
    """The time-out of an attempt that is sent now; 0 or less if no time remains."""
    remaining_ms = state.request.deadline_ms - now_ms
    service_class = state.service_class
    if service_class.late_weight <= 0.0 and not service_class.streaming:
        # Responses after the objective have no value for this class and take capacity from other requests. An
        # attempt therefore times out just before the objective. Trade-off: the client gets a rejection or
        # failure instead of a late response.
        objective_ms = service_class.latency_objective_ms * OBJECTIVE_TIMEOUT_FRACTION
        remaining_ms = min(remaining_ms, state.received_ms + objective_ms - now_ms)
    return remaining_ms


def max_start_delay_ms(now_ms: float, state: RequestState) -> float:
    """The delay after now within which the next attempt must start; 0 means no limit."""
    if state.service_class.idempotency is not Idempotency.KEYED:
        return 0.0
    first = state.first_possibly_executed()
    if first is None:
        return 0.0
    # A retry whose connection opens late could arrive when the endpoints no longer store its key, and would
    # be executed a second time. It must start within the deduplication window. Trade-off: a retry that
    # connects later is dropped.
    return state.attempts[first].sent_ms + state.service_class.deduplication_window_ms - now_ms


def candidate_endpoints(
    now_ms: float, state: RequestState, ready: list[TrackedEndpoint]
) -> list[TrackedEndpoint]:
    """The ready endpoints that may get the next attempt: untried ones, where a repeat does no harm."""
    if not state.attempts:
        return ready
    first = state.first_possibly_executed()
    if first is not None and not _may_repeat(now_ms, state.service_class, state.attempts[first]):
        return []
    untried = [endpoint for endpoint in ready if endpoint not in state.tried_endpoints]
    if first is not None and state.service_class.idempotency is Idempotency.KEYED:
        scope = state.service_class.deduplication_scope
        return _in_deduplication_scope(untried, scope, state.tried_endpoints[first])
    return untried


def is_client_retry_harmless(state: RequestState) -> bool:
    """Whether the client may repeat the request: it is idempotent, or was certainly not executed.

    A request with an idempotency key that may have been executed does not count as harmless to repeat.
    """
    return (
        state.service_class.idempotency is Idempotency.IDEMPOTENT or state.first_possibly_executed() is None
    )


def _may_repeat(now_ms: float, service_class: ServiceClass, first: AttemptState) -> bool:
    match service_class.idempotency:
        case Idempotency.IDEMPOTENT:
            return True
        case Idempotency.KEYED:
            return now_ms - first.sent_ms < service_class.deduplication_window_ms
        case Idempotency.NON_IDEMPOTENT:
            return False


def _in_deduplication_scope(
    endpoints: list[TrackedEndpoint], scope: DeduplicationScope, first: TrackedEndpoint
) -> list[TrackedEndpoint]:
    """The endpoints that share the record of idempotency keys with the first one, and so drop a repeat."""
    zone, cell = first.listed.zone, first.listed.cell
    match scope:
        case DeduplicationScope.ALL:
            return endpoints
        case DeduplicationScope.ZONE:
            return [item for item in endpoints if item.listed.zone == zone]
        case DeduplicationScope.CELL:
            return [item for item in endpoints if item.listed.zone == zone and item.listed.cell == cell]
