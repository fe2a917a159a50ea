"""The rules of retries: which endpoints a further attempt may use, and until when."""

from __future__ import annotations

import pytest

from loadbalancer.actions import Fail, Reject
from loadbalancer.events import AttemptResult, Endpoint
from loadbalancer.settings import DeduplicationScope, Idempotency
from tests.support.builders import PolicyHarness, build_class, sends, types

NOT_PROCESSED = [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT]
POSSIBLY_EXECUTED = [
    AttemptResult.ERROR,
    AttemptResult.TIMEOUT,
    AttemptResult.RESET,
    AttemptResult.CANCELLED,
]


@pytest.mark.parametrize("result", NOT_PROCESSED)
@pytest.mark.parametrize("service_class", ["read", "post", "points"])
def test_request_that_was_not_processed_is_retried_elsewhere_then_rejected(result, service_class):
    harness = PolicyHarness()
    request = harness.submit(service_class)
    actions, tried = request.actions, []
    for attempt in range(3):
        assert len(sends(actions)) == 1
        tried.append(sends(actions)[0].endpoint)
        actions = harness.finish(request, result, 5.0, attempt, endpoint=tried[-1])
    assert len(set(tried)) == 3
    assert types(actions) == [Reject]


def test_request_is_not_retried_at_an_endpoint_that_it_tried():
    harness = PolicyHarness(endpoint_count=2, max_attempts=3)
    request = harness.submit("read")
    (retry,) = sends(harness.finish(request, AttemptResult.REJECTED))
    assert retry.endpoint != request.endpoint
    actions = harness.finish(request, AttemptResult.REJECTED, attempt=1, endpoint=retry.endpoint)
    assert types(actions) == [Reject]


@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_non_idempotent_request_that_was_possibly_executed_fails(result):
    harness = PolicyHarness()
    assert types(harness.finish(harness.submit("post"), result)) == [Fail]


@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_idempotent_request_is_retried_up_to_max_attempts(result):
    harness = PolicyHarness(endpoint_count=8, max_attempts=3)
    request = harness.submit("read")
    actions, tried = request.actions, []
    for attempt in range(3):
        tried.append(sends(actions)[0].endpoint)
        actions = harness.finish(request, result, 5.0, attempt, endpoint=tried[-1])
    assert len(set(tried)) == 3
    assert types(actions) == [Reject]


@pytest.mark.parametrize("deduplication_scope", list(DeduplicationScope))
@pytest.mark.parametrize("result", POSSIBLY_EXECUTED)
def test_keyed_request_is_retried_in_its_deduplication_scope(result, deduplication_scope):
    keyed = build_class(
        "keyed",
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
        second = by_name[sends(harness.finish(request, result))[0].endpoint]
        if deduplication_scope is not DeduplicationScope.ALL:
            assert second.zone == first.zone
        if deduplication_scope is DeduplicationScope.CELL:
            assert second.cell == first.cell


def test_keyed_request_is_not_retried_after_its_deduplication_window():
    harness = PolicyHarness()
    request = harness.submit("points")
    harness.advance(900)
    assert types(harness.finish(request, AttemptResult.ERROR)) == [Fail]


def test_keyed_retry_has_to_start_in_its_deduplication_window():
    harness = PolicyHarness()
    request = harness.submit("points")
    assert request.send.max_start_delay_ms == 0.0
    harness.advance(600)
    actions = harness.finish(request, AttemptResult.ERROR)
    assert [send.max_start_delay_ms for send in sends(actions)] == [300.0]


def test_attempts_are_limited():
    harness = PolicyHarness(endpoint_count=8, max_attempts=2)
    request = harness.submit("post")
    (retry,) = sends(harness.finish(request, AttemptResult.REJECTED))
    actions = harness.finish(request, AttemptResult.REJECTED, attempt=1, endpoint=retry.endpoint)
    assert types(actions) == [Reject]


def test_slow_attempt_causes_no_hedged_request():
    """A second attempt for a request whose first one is slow adds load during overload."""
    harness = PolicyHarness()
    harness.submit("read")
    assert sends(harness.end_period(600.0)) == []


def test_attempt_without_late_value_is_stopped_at_the_objective():
    """Responses after the objective have no value for this class and take capacity from other requests."""
    harness = PolicyHarness()
    assert 900.0 < harness.submit("post", remaining_ms=2000.0).send.timeout_ms < 1000.0
    assert harness.submit("post", remaining_ms=500.0).send.timeout_ms <= 500.0


def test_attempt_with_late_value_runs_until_the_deadline():
    late = build_class("late", latency_objective_ms=500, late_weight=0.3)
    harness = PolicyHarness(classes=(late,))
    assert harness.submit("late", remaining_ms=2000.0).send.timeout_ms == 2000.0
