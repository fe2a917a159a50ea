"""Requests: which attempts are sent, how often, for how long, and the one final answer."""

from __future__ import annotations

import pytest

from loadbalancer.actions import Cancel, Fail, Reject
from loadbalancer.events import AttemptResult, ClientDisconnected, Endpoint, ResponseStarted
from loadbalancer.settings import DeduplicationScope, Idempotency, ServiceClass
from tests.support.builders import PolicyHarness, sends, types

NOT_PROCESSED = [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT]
POSSIBLY_EXECUTED = [
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.CANCELLED,
]


# ------------------------------------------------------------------ retries and idempotency


@pytest.mark.parametrize("result", NOT_PROCESSED)
@pytest.mark.parametrize("service_class", ["read", "post", "points"])
def test_a_request_that_was_not_processed_is_retried_elsewhere_then_rejected(result, service_class):
    harness = PolicyHarness()
    request = harness.submit(service_class)
    actions, tried = request.actions, []
    for attempt in range(3):
        assert len(sends(actions)) == 1
        tried.append(sends(actions)[0].endpoint)
        actions = harness.finish(request.request_id, tried[-1], result, 5.0, attempt)
    assert len(set(tried)) == 3
    assert types(actions) == [Reject]


def test_a_request_is_not_retried_where_it_was_tried():
    harness = PolicyHarness(endpoint_count=2, max_attempts=3)
    request = harness.submit("read")
    actions = harness.finish(request.request_id, request.endpoint, AttemptResult.REJECTED)
    (retry,) = sends(actions)
    assert retry.endpoint != request.endpoint
    actions = harness.finish(request.request_id, retry.endpoint, AttemptResult.REJECTED, attempt=1)
    assert types(actions) == [Reject]


@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_a_non_idempotent_request_that_was_possibly_executed_fails(result):
    harness = PolicyHarness()
    request = harness.submit("post")
    assert types(harness.finish(request.request_id, request.endpoint, result)) == [Fail]


@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_an_idempotent_request_is_retried_up_to_max_attempts(result):
    harness = PolicyHarness(endpoint_count=8, max_attempts=3)
    request = harness.submit("read")
    actions, tried = request.actions, []
    for attempt in range(3):
        tried.append(sends(actions)[0].endpoint)
        actions = harness.finish(request.request_id, tried[-1], result, 5.0, attempt)
    assert len(set(tried)) == 3
    assert types(actions) == [Reject]


@pytest.mark.parametrize("deduplication_scope", list(DeduplicationScope))
@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_a_keyed_request_is_retried_in_its_deduplication_scope(result, deduplication_scope):
    keyed = ServiceClass(
        "keyed",
        latency_objective_ms=2000,
        client_timeout_ms=5000,
        idempotency=Idempotency.KEYED,
        deduplication_scope=deduplication_scope,
        deduplication_window_ms=900,
    )
    listed = [Endpoint(f"s{index}", zone="ab"[index % 2], cell=index % 4) for index in range(8)]
    by_name = {endpoint.name: endpoint for endpoint in listed}
    for _ in range(8):
        harness = PolicyHarness(endpoint_count=0, classes=(keyed,))
        harness.list_endpoints(*listed)
        request = harness.submit("keyed")
        first = by_name[request.endpoint]
        retry = sends(harness.finish(request.request_id, first.name, result))[0]
        second = by_name[retry.endpoint]
        if deduplication_scope is not DeduplicationScope.ALL:
            assert second.zone == first.zone
        if deduplication_scope is DeduplicationScope.CELL:
            assert second.cell == first.cell


def test_a_keyed_request_is_not_retried_after_its_deduplication_window():
    harness = PolicyHarness()
    request = harness.submit("points")
    harness.advance(900)
    assert types(harness.finish(request.request_id, request.endpoint, AttemptResult.ERROR)) == [Fail]


def test_a_keyed_retry_must_start_within_the_deduplication_window():
    harness = PolicyHarness()
    request = harness.submit("points")
    assert request.send.max_start_delay_ms == 0.0
    harness.advance(600)
    actions = harness.finish(request.request_id, request.endpoint, AttemptResult.ERROR)
    assert [send.max_start_delay_ms for send in sends(actions)] == [300.0]


def test_attempts_are_bounded():
    harness = PolicyHarness(endpoint_count=8, max_attempts=2)
    request = harness.submit("post")
    actions = harness.finish(request.request_id, request.endpoint, AttemptResult.REJECTED)
    (retry,) = sends(actions)
    actions = harness.finish(request.request_id, retry.endpoint, AttemptResult.REJECTED, attempt=1)
    assert types(actions) == [Reject]


def test_no_hedged_request_beside_a_running_attempt():
    """Guard: copies of slow calls added load just when there was too much."""
    harness = PolicyHarness()
    harness.submit("read")
    assert sends(harness.end_period(600.0)) == []


# ------------------------------------------------------------------ the one final answer


def test_no_action_follows_the_final_answer():
    harness = PolicyHarness()
    request = harness.submit("read")
    disconnected = ClientDisconnected(request.request_id)
    assert types(harness.handle(disconnected)) == [Cancel]
    assert harness.finish(request.request_id, request.endpoint, AttemptResult.CANCELLED, done=True) == []
    assert harness.handle(disconnected) == []
    assert harness.policy.requests.open_requests == {}


def test_a_timeout_at_the_deadline_is_answered_at_once():
    harness = PolicyHarness()
    for service_class, answer in (("post", Fail), ("read", Reject)):
        request = harness.submit(service_class, remaining_ms=300.0)
        harness.advance(300.0)
        actions = harness.finish(request.request_id, request.endpoint, AttemptResult.TIMEOUT, 300.0)
        assert types(actions) == [answer]


def test_a_request_without_endpoints_is_rejected():
    harness = PolicyHarness(endpoint_count=0)
    assert types(harness.submit("post").actions) == [Reject]


STREAMING = ServiceClass(
    "stream",
    latency_objective_ms=500,
    client_timeout_ms=5000,
    streaming=True,
    idempotency=Idempotency.IDEMPOTENT,
)


def test_a_started_stream_is_not_cancelled_when_its_client_disconnects():
    harness = PolicyHarness(classes=(STREAMING,))
    request = harness.submit("stream")
    harness.handle(ResponseStarted(request.request_id, 0))
    assert harness.handle(ClientDisconnected(request.request_id)) == []


def test_a_started_stream_keeps_its_attempt():
    harness = PolicyHarness(classes=(STREAMING,))
    request = harness.submit("stream")
    assert harness.handle(ResponseStarted(request.request_id, 0)) == []
    assert sends(harness.end_period(2000.0)) == []
    assert harness.finish(request.request_id, request.endpoint, AttemptResult.RESET, done=True) == []


# ------------------------------------------------------------------ deadlines and weight


def test_an_attempt_that_counts_nothing_late_is_stopped_at_the_objective():
    """Guard: answers after the objective counted nothing while they crowded out others."""
    harness = PolicyHarness()
    assert 900.0 < harness.submit("post", remaining_ms=2000.0).send.timeout_ms < 1000.0
    assert harness.submit("post", remaining_ms=500.0).send.timeout_ms <= 500.0


def test_an_attempt_that_counts_late_runs_until_the_deadline():
    late = ServiceClass(
        "late",
        latency_objective_ms=500,
        client_timeout_ms=5000,
        late_weight=0.3,
        idempotency=Idempotency.IDEMPOTENT,
    )
    harness = PolicyHarness(classes=(late,))
    assert harness.submit("late", remaining_ms=2000.0).send.timeout_ms == 2000.0


def test_requests_count_in_flight_by_cost_where_priorities_go_by_cost():
    harness = PolicyHarness(weight_by_cost=True)
    harness.submit(cost_hint_ms=10.0)
    harness.submit(cost_hint_ms=100.0)
    in_flight = sorted(endpoint.in_flight for endpoint in harness.policy.endpoints.by_name.values())
    assert in_flight[-1] > in_flight[-2] > 0


def test_a_cancelled_attempt_counts_in_flight_until_its_endpoint_may_have_ended_it():
    """Guard: an endpoint works on at what its client left; counted as ended, it crowded the endpoint."""
    harness = PolicyHarness(endpoint_count=1)
    for _ in range(3):
        harness.serve(latency_ms=400.0)
    request = harness.submit()
    harness.advance(50.0)
    (cancel,) = harness.handle(ClientDisconnected(request.request_id))
    harness.finish(request.request_id, "s0", AttemptResult.CANCELLED, 50.0, done=True)
    assert cancel == Cancel(request.request_id, 0)
    endpoint = harness.tracked("s0")
    harness.end_period(after_ms=300.0)
    assert endpoint.in_flight == 1.0
    harness.end_period(after_ms=150.0)
    assert (endpoint.in_flight, len(endpoint.abandoned)) == (0.0, 0)
