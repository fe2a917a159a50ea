"""Which endpoint gets an attempt: by latency, queue, failures, zone and capacity."""

from __future__ import annotations

import copy

import pytest

from loadbalancer.events import AttemptResult, Endpoint, HealthChecked, LoadReport
from tests.support.builders import IDEMPOTENT_READ, PolicyHarness, build_endpoints

# ------------------------------------------------------------------ latency


def teach_latency(harness: PolicyHarness, endpoint: str, latency_ms: float) -> None:
    """An answer of this endpoint, without a request that is open."""
    tracked = harness.tracked(endpoint)
    harness.policy.outcome_recorder.observe(IDEMPOTENT_READ, AttemptResult.OK, latency_ms, 1.0)
    tracked.observe_result(harness.now_ms, IDEMPOTENT_READ.name, AttemptResult.OK)
    relative_latency = harness.policy.class_latency.relative(IDEMPOTENT_READ.name, latency_ms)
    tracked.observe_latency(harness.now_ms, relative_latency)


def test_attempts_spread_over_equal_endpoints():
    harness = PolicyHarness(endpoint_count=2)
    assert {harness.submit().endpoint for _ in range(2)} == {"s0", "s1"}


def test_the_endpoint_with_lower_latency_is_preferred():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(30):
        for endpoint, latency_ms in (("s0", 300.0), ("s1", 100.0)):
            teach_latency(harness, endpoint, latency_ms)
    selected = [harness.serve() for _ in range(10)]
    assert selected.count("s1") == 10


def test_a_hanging_endpoint_is_avoided_long_before_its_timeout():
    """Guard: an endpoint that takes calls and answers none kept its good rank until time-outs came."""
    harness = PolicyHarness(endpoint_count=4)
    for _ in range(20):
        harness.serve()
    hanging = harness.submit("read").endpoint
    harness.advance(400.0)
    assert hanging not in {harness.serve() for _ in range(8)}


def test_a_hanging_endpoint_is_avoided_though_the_others_have_more_calls_in_flight():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(20):
        harness.serve()
    hanging = harness.submit("read").endpoint
    harness.advance(2000.0)
    assert hanging not in {harness.submit("read").endpoint for _ in range(8)}


def test_an_endpoint_that_answers_again_is_used_again():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(20):
        harness.serve()
    request = harness.submit("read")
    hanging = request.endpoint
    harness.advance(900.0)
    harness.finish(request.request_id, hanging, AttemptResult.OK, 900.0)
    harness.advance(60000.0)
    assert hanging in {harness.submit("read").endpoint for _ in range(8)}


def test_a_slow_endpoint_without_new_answers_is_tried_again_in_time():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(40):
        request = harness.submit()
        latency_ms = 900.0 if request.endpoint == "s1" else 100.0
        harness.advance(latency_ms)
        harness.finish(request.request_id, request.endpoint, AttemptResult.OK, latency_ms)

    def in_flight_at_first_use(harness: PolicyHarness) -> int:
        """How many calls the other endpoint has when the slow one gets its first."""
        requests = [harness.submit() for _ in range(12)]
        selected = [request.endpoint for request in requests if request.is_sent]
        return selected.index("s1") if "s1" in selected else len(selected)

    later = copy.deepcopy(harness)
    later.advance(40000.0)
    assert in_flight_at_first_use(later) < in_flight_at_first_use(harness)


def test_a_fault_of_all_endpoints_leaves_all_in_use():
    harness = PolicyHarness(endpoint_count=6)
    for _ in range(6):
        harness.serve()
    for _ in range(12):
        harness.serve(latency_ms=900.0)
    requests = [harness.submit("read") for _ in range(40)]
    selected = {request.endpoint for request in requests if request.is_sent}
    assert selected == {f"s{index}" for index in range(6)}


# ------------------------------------------------------------------ failures


def test_an_endpoint_with_fast_errors_is_avoided():
    harness = PolicyHarness(endpoint_count=4)
    selected = 0
    for _ in range(80):
        request = harness.submit("post")
        failing = request.endpoint == "s0"
        selected += failing
        latency_ms = 5.0 if failing else 100.0
        harness.advance(latency_ms)
        result = AttemptResult.ERROR if failing else AttemptResult.OK
        harness.finish(request.request_id, request.endpoint, result, latency_ms)
        harness.end_period(0.0)
    assert selected <= 8  # of 20 that would be its share


def test_an_endpoint_that_fails_one_class_is_avoided_by_that_class_only():
    """Guard: judged by all its classes together, it went on getting calls that must not be repeated."""
    harness = PolicyHarness(endpoint_count=4)
    selected = {"post": 0, "read": 0}
    for _ in range(120):
        for service_class in selected:
            request = harness.submit(service_class)
            selected[service_class] += request.endpoint == "s0"
            failing = request.endpoint == "s0" and service_class == "post"
            harness.advance(20.0)
            result, latency_ms = (AttemptResult.ERROR, 2.0) if failing else (AttemptResult.OK, 20.0)
            harness.finish(request.request_id, request.endpoint, result, latency_ms, done=True)
            harness.end_period(0.0)
    assert selected["post"] <= 8
    assert selected["read"] >= 20


def test_an_endpoint_that_has_failed_is_tried_again_in_time():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(6):
        for endpoint, result in (("s0", AttemptResult.ERROR), ("s1", AttemptResult.OK)):
            request = harness.submit("post")
            used = request.endpoint
            harness.finish(
                request.request_id, used, result if used == endpoint else AttemptResult.OK, 20.0, done=True
            )
    harness.advance(120000.0)
    assert {harness.submit("post").endpoint for _ in range(4)} == {"s0", "s1"}


# ------------------------------------------------------------------ queues and load reports


def test_calls_in_flight_from_other_replicas_count_in_the_rank():
    harness = PolicyHarness(endpoint_count=2)
    harness.report_load("s0", in_flight=9.0)
    harness.report_load("s1", in_flight=0.0)
    assert [harness.serve(latency_ms=1.0) for _ in range(5)] == ["s1"] * 5


def test_a_reported_queue_counts_and_fades():
    harness = PolicyHarness(endpoint_count=2)
    request = harness.submit()
    reporting = request.endpoint
    harness.finish(request.request_id, reporting, AttemptResult.OK, 100.0, load_report=LoadReport(queue=8.0))
    other = ({"s0", "s1"} - {reporting}).pop()
    assert [harness.serve() for _ in range(5)] == [other] * 5
    harness.advance(5000)
    assert reporting in {harness.serve() for _ in range(10)}


def test_replicas_with_the_same_stale_reports_do_not_all_select_the_same_endpoint():
    """Guard: all replicas chose the one endpoint that the last reports showed empty."""
    selected = []
    for seed in range(40):
        harness = PolicyHarness(endpoint_count=0, seed=seed, replicas=40)
        harness.list_endpoints(*build_endpoints(20))
        for index in range(20):
            harness.report_load(f"s{index}", in_flight=0.0 if index == 3 else 2.0)
        selected.append(harness.submit().endpoint)
    assert selected.count("s3") <= 20
    assert len(set(selected)) >= 10


# ------------------------------------------------------------------ zone and capacity


def test_another_zone_costs_rank_where_crossing_has_a_price():
    free = PolicyHarness(endpoint_count=2)
    priced = PolicyHarness(endpoint_count=2, cross_zone_price=0.1)
    assert {free.serve() for _ in range(12)} == {"s0", "s1"}
    assert {priced.serve() for _ in range(12)} == {"s0"}


def test_a_congested_zone_spills_over():
    harness = PolicyHarness(endpoint_count=2, cross_zone_price=0.03)
    requests = [harness.submit() for _ in range(6)]
    selected = [request.endpoint for request in requests if request.is_sent]
    assert selected[0] == "s0"
    assert "s1" in selected


def test_endpoints_of_a_large_pool_are_sampled_by_capacity():
    listed = [Endpoint(f"s{index}", "a", capacity=4.0 if index == 0 else 1.0) for index in range(20)]
    counts = []
    for uses_capacity in (True, False):
        harness = PolicyHarness(endpoint_count=0, uses_capacity=uses_capacity)
        harness.list_endpoints(*listed)
        counts.append([harness.serve(latency_ms=1.0) for _ in range(400)].count("s0"))
    assert counts[0] > 2 * counts[1]


@pytest.mark.parametrize("age_ms", [None, 2000.0])
def test_endpoints_that_have_not_reported_get_calls_by_capacity(age_ms):
    """Guard: at size most have not; the small ones looked emptiest, and got several times their share."""
    harness = PolicyHarness(
        endpoint_count=0, uses_capacity=True, replicas=200, slow_start_initial_fraction=0.2
    )
    started_ms = None if age_ms is None else harness.now_ms - age_ms
    capacities = {f"s{index}": (0.4, 1.0, 1.6)[index % 3] for index in range(60)}
    harness.list_endpoints(
        *(
            Endpoint(name, "a", capacity=capacity, started_ms=started_ms)
            for name, capacity in capacities.items()
        )
    )
    counts = dict.fromkeys((0.4, 1.0, 1.6), 0)
    for _ in range(1500):
        harness.handle(HealthChecked("s1", AttemptResult.OK, 1.0, LoadReport(queue=5.0)))
        if harness.now_ms % 300.0 < 1.0:
            harness.end_period(0.0)
        harness.advance(1.0)
        request = harness.submit()
        if request.is_sent:
            counts[capacities[request.endpoint]] += 1
            harness.finish(request.request_id, request.endpoint, AttemptResult.NOT_SENT, done=True)
    by_capacity = [count / capacity for capacity, count in counts.items()]
    assert max(by_capacity) <= 1.35 * min(by_capacity)
