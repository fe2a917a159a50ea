"""The rules of retries: which endpoints a further attempt may use, and until when. They keep no state."""

from __future__ import annotations

from loadbalancer.policy.attempts import AttemptState
from loadbalancer.policy.parameters import OBJECTIVE_TIMEOUT_FRACTION
from loadbalancer.policy.request_state import RequestState
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint
from loadbalancer.settings import DeduplicationScope, Idempotency, ServiceClass


def attempt_timeout_ms(now_ms: float, state: RequestState) -> float:
    """How long an attempt that is sent now may take; 0 or less if there is no time left."""
    remaining_ms = state.request.deadline_ms - now_ms
    service_class = state.service_class
    if service_class.late_weight <= 0.0 and not service_class.streaming:
        # Guard: responses after the objective had no value and took capacity from others. An attempt whose
        # late response has no value is stopped just before the objective. Trade-off: the client gets a
        # rejection or failure where it could have had a late response.
        objective_ms = service_class.latency_objective_ms * OBJECTIVE_TIMEOUT_FRACTION
        remaining_ms = min(remaining_ms, state.received_ms + objective_ms - now_ms)
    return remaining_ms


def max_start_delay_ms(now_ms: float, state: RequestState) -> float:
    """How much later than now an attempt may still be started; 0 means at any time."""
    if state.service_class.idempotency is not Idempotency.KEYED:
        return 0.0
    first = state.first_possibly_executed()
    if first is None:
        return 0.0
    # Guard: a retry whose connection opened late was sent when its key may have been forgotten, and could be
    # executed twice. The retry must start within the deduplication window. Trade-off: a retry that connects
    # later is dropped.
    return state.attempts[first].sent_ms + state.service_class.deduplication_window_ms - now_ms


def candidate_endpoints(
    now_ms: float, state: RequestState, ready: list[TrackedEndpoint]
) -> list[TrackedEndpoint]:
    """The ready endpoints that the next attempt may go to: none twice, and none where a repeat does harm."""
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
    """Whether the client may repeat the request: it is idempotent, or surely was not executed."""
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
    """The endpoints that drop a repeat of an attempt that the first one may have executed."""
    zone, cell = first.listed.zone, first.listed.cell
    match scope:
        case DeduplicationScope.ALL:
            return endpoints
        case DeduplicationScope.ZONE:
            return [item for item in endpoints if item.listed.zone == zone]
        case DeduplicationScope.CELL:
            return [item for item in endpoints if item.listed.zone == zone and item.listed.cell == cell]
