"""Selection by latency: slow and hanging endpoints are avoided, and tried again later."""

from __future__ import annotations

import copy

from loadbalancer.events import AttemptResult
from tests.support.builders import IDEMPOTENT_READ, PolicyHarness


def observe_response(harness: PolicyHarness, endpoint: str, latency_ms: float) -> None:
    """Record a response of this endpoint without an open request."""
    tracked = harness.tracked(endpoint)
    harness.policy.outcome_recorder.observe(IDEMPOTENT_READ, AttemptResult.OK, latency_ms, 1.0)
    tracked.observe_result(harness.now_ms, IDEMPOTENT_READ.name, AttemptResult.OK)
    relative_latency = harness.policy.class_latency.relative(IDEMPOTENT_READ.name, latency_ms)
    tracked.observe_latency(harness.now_ms, relative_latency)


def test_attempts_spread_over_equal_endpoints():
    harness = PolicyHarness(endpoint_count=2)
    assert {harness.submit().endpoint for _ in range(2)} == {"s0", "s1"}


def test_endpoint_with_lower_latency_is_preferred():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(30):
        for endpoint, latency_ms in (("s0", 300.0), ("s1", 100.0)):
            observe_response(harness, endpoint, latency_ms)
    selected = [harness.serve() for _ in range(10)]
    assert selected.count("s1") == 10


def test_hanging_endpoint_is_avoided_long_before_its_timeout():
    """By measured latency alone, an endpoint that never responds keeps its good rank until time-outs."""
    harness = PolicyHarness(endpoint_count=4)
    for _ in range(20):
        harness.serve()
    hanging = harness.submit("read").endpoint
    harness.advance(400.0)
    assert hanging not in {harness.serve() for _ in range(8)}


def test_hanging_endpoint_is_avoided_though_others_have_more_attempts_in_flight():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(20):
        harness.serve()
    hanging = harness.submit("read").endpoint
    harness.advance(2000.0)
    assert hanging not in {harness.submit("read").endpoint for _ in range(8)}


def test_endpoint_that_responds_again_is_used_again():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(20):
        harness.serve()
    request = harness.submit("read")
    hanging = request.endpoint
    harness.advance(900.0)
    harness.finish(request, AttemptResult.OK, 900.0)
    harness.advance(60000.0)
    assert hanging in {harness.submit("read").endpoint for _ in range(8)}


def test_slow_endpoint_without_new_responses_is_tried_again_later():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(40):
        request = harness.submit()
        latency_ms = 900.0 if request.endpoint == "s1" else 100.0
        harness.advance(latency_ms)
        harness.finish(request, AttemptResult.OK, latency_ms)

    def in_flight_at_first_use(harness: PolicyHarness) -> int:
        """The number of attempts at the other endpoint before the slow one gets its first."""
        requests = [harness.submit() for _ in range(12)]
        selected = [request.endpoint for request in requests if request.is_sent]
        return selected.index("s1") if "s1" in selected else len(selected)

    later = copy.deepcopy(harness)
    later.advance(40000.0)
    assert in_flight_at_first_use(later) < in_flight_at_first_use(harness)


def test_no_endpoint_is_excluded_when_all_are_slow():
    harness = PolicyHarness(endpoint_count=6)
    for _ in range(6):
        harness.serve()
    for _ in range(12):
        harness.serve(latency_ms=900.0)
    requests = [harness.submit("read") for _ in range(40)]
    selected = {request.endpoint for request in requests if request.is_sent}
    assert selected == {f"s{index}" for index in range(6)}
