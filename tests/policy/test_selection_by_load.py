"""Selection by reported load, zone and capacity."""

from __future__ import annotations

import pytest

from loadbalancer.events import AttemptResult, Endpoint, HealthChecked, LoadReport
from tests.support.builders import PolicyHarness, build_endpoints


def test_requests_in_flight_from_other_replicas_count_in_the_rank():
    harness = PolicyHarness(endpoint_count=2)
    harness.report_load("s0", in_flight=9.0)
    harness.report_load("s1", in_flight=0.0)
    assert [harness.serve(latency_ms=1.0) for _ in range(5)] == ["s1"] * 5


def test_reported_queue_counts_and_decays():
    harness = PolicyHarness(endpoint_count=2)
    request = harness.submit()
    reporting = request.endpoint
    harness.finish(request, AttemptResult.OK, 100.0, load_report=LoadReport(queue=8.0))
    other = ({"s0", "s1"} - {reporting}).pop()
    assert [harness.serve() for _ in range(5)] == [other] * 5
    harness.advance(5000)
    assert reporting in {harness.serve() for _ in range(10)}


def test_replicas_with_the_same_outdated_reports_do_not_all_select_the_same_endpoint():
    """If replicas rank the whole pool, all select the one endpoint that is idle by the last load reports."""
    selected = []
    for seed in range(40):
        harness = PolicyHarness(endpoint_count=0, seed=seed, replicas=40)
        harness.list_endpoints(*build_endpoints(20))
        for index in range(20):
            harness.report_load(f"s{index}", in_flight=0.0 if index == 3 else 2.0)
        selected.append(harness.submit().endpoint)
    assert selected.count("s3") <= 20
    assert len(set(selected)) >= 10


def test_endpoint_in_another_zone_ranks_worse_with_a_cross_zone_price():
    without_price = PolicyHarness(endpoint_count=2)
    with_price = PolicyHarness(endpoint_count=2, cross_zone_price=0.1)
    assert {without_price.serve() for _ in range(12)} == {"s0", "s1"}
    assert {with_price.serve() for _ in range(12)} == {"s0"}


def test_attempts_spill_over_from_a_congested_zone():
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
def test_endpoints_without_a_fresh_load_report_get_attempts_by_capacity(age_ms):
    """In large pools most have none; ranked as idle, the small ones get several times their share."""
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
            harness.finish(request, AttemptResult.NOT_SENT, done=True)
    by_capacity = [count / capacity for capacity, count in counts.items()]
    assert max(by_capacity) <= 1.35 * min(by_capacity)
