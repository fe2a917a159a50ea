"""Selection by failures, which are counted by endpoint and service class."""

from __future__ import annotations

from loadbalancer.events import AttemptResult
from tests.support.builders import PolicyHarness


def test_endpoint_with_fast_errors_is_avoided():
    harness = PolicyHarness(endpoint_count=4)
    selected = 0
    for _ in range(80):
        request = harness.submit("post")
        failing = request.endpoint == "s0"
        selected += failing
        latency_ms = 5.0 if failing else 100.0
        harness.advance(latency_ms)
        result = AttemptResult.ERROR if failing else AttemptResult.OK
        harness.finish(request, result, latency_ms)
        harness.end_period(0.0)
    assert selected <= 8  # an equal share is 20


def test_endpoint_that_fails_one_class_is_avoided_by_that_class_only():
    """With one ratio for all classes, it continues to get requests that must not be repeated."""
    harness = PolicyHarness(endpoint_count=4)
    selected = {"post": 0, "read": 0}
    for _ in range(120):
        for service_class in selected:
            request = harness.submit(service_class)
            selected[service_class] += request.endpoint == "s0"
            failing = request.endpoint == "s0" and service_class == "post"
            harness.advance(20.0)
            result, latency_ms = (AttemptResult.ERROR, 2.0) if failing else (AttemptResult.OK, 20.0)
            harness.finish(request, result, latency_ms, done=True)
            harness.end_period(0.0)
    assert selected["post"] <= 8
    assert selected["read"] >= 20


def test_endpoint_that_has_failed_is_tried_again_later():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(6):
        for _ in range(2):
            request = harness.submit("post")
            result = AttemptResult.ERROR if request.endpoint == "s0" else AttemptResult.OK
            harness.finish(request, result, 20.0, done=True)
    harness.advance(120000.0)
    assert {harness.submit("post").endpoint for _ in range(4)} == {"s0", "s1"}
