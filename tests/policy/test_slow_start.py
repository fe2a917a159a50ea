"""Slow start: the attempts that warming endpoints get, from one replica and from all together."""

from __future__ import annotations

from collections import Counter

from loadbalancer.events import AttemptResult, Endpoint, LoadReport, UpdateKind
from tests.support.builders import PolicyHarness, build_endpoints


def test_warming_endpoint_gets_attempts_by_its_current_capacity():
    harness = PolicyHarness(endpoint_count=4)
    warming = Endpoint("warming", "a", started_ms=harness.now_ms)
    harness.list_endpoints(warming, kind=UpdateKind.DELTA)
    counts: Counter[str] = Counter()
    for index in range(150):
        counts[harness.serve(latency_ms=10.0)] += 1
        if index % 5 == 0:
            harness.end_period(0.0)
    per_warmed_up = sum(count for name, count in counts.items() if name != "warming") / 4
    assert 0 < counts["warming"] <= 0.5 * per_warmed_up


def test_all_replicas_together_limit_a_warming_endpoint_to_its_current_capacity():
    """One attempt per overload window from each of many replicas adds up to an overload."""
    replicas, warmed_up = 120, 20
    warming = Endpoint("warming", "a", started_ms=1000.0)
    harnesses = []
    for seed in range(replicas):
        harness = PolicyHarness(endpoint_count=0, seed=seed, replicas=replicas)
        harness.list_endpoints(*build_endpoints(warmed_up), warming)
        harnesses.append(harness)
    selected = [harness.serve(latency_ms=1.0) for _ in range(40) for harness in harnesses]
    mean = len(selected) / (warmed_up + 1)
    assert 0 < selected.count("warming") <= 2.5 * 0.2 * mean


def test_pool_that_is_all_warming_up_serves_some_requests():
    harness = PolicyHarness(endpoint_count=0)
    harness.list_endpoints(*build_endpoints(20, started_ms=harness.now_ms))
    sent = sum(harness.submit().is_sent for _ in range(100))
    assert 10 <= sent <= 70


def test_client_retries_over_the_usual_rate_add_no_attempts_at_a_warming_pool():
    """If each retry of a rejected client is a new draw, the pool gets several times its capacity."""
    served = []
    for max_tries in (1, 6):
        harness = PolicyHarness(endpoint_count=20, replicas=1, slow_start_initial_fraction=0.1)
        for index in range(300):  # 50 requests per second, for 6 s
            harness.serve(latency_ms=20.0)
            if index % 7 == 0:
                harness.end_period(0.0)
        harness.list_endpoints(
            *(Endpoint(f"new{index}", "a", started_ms=harness.now_ms) for index in range(20))
        )
        served.append(sum(serve_with_client_retries(harness, max_tries) for _ in range(75)))  # for 1.5 s
    assert 10 <= served[0] <= 40
    assert served[1] <= 1.5 * served[0]


def serve_with_client_retries(harness: PolicyHarness, max_tries: int) -> bool:
    """Whether a client that retries at once after each rejection is served."""
    served = False
    for _ in range(max_tries):
        request = harness.submit()
        if request.is_sent:
            harness.finish(request, AttemptResult.OK, 20.0)
            served = True
            break
    harness.advance(20.0)
    return served


def test_warming_endpoints_get_attempts_by_capacity_while_the_others_are_congested():
    """If six new endpoints of ten get 2 attempts per second, the four others are saturated."""
    harness = PolicyHarness(endpoint_count=0, replicas=10)
    started_ms = harness.now_ms - 5000.0
    warming = [Endpoint(f"new{index}", "a", started_ms=started_ms) for index in range(6)]
    harness.list_endpoints(*build_endpoints(4), *warming)
    selected = []
    for index in range(400):
        request = harness.submit()
        report = None if request.endpoint.startswith("new") else LoadReport(in_flight=20.0)
        harness.finish(request, AttemptResult.OK, load_report=report)
        selected.append(request.endpoint)
        if index % 5 == 0:
            harness.end_period(0.0)
    warming_fraction = sum(name.startswith("new") for name in selected) / len(selected)
    assert 0.35 <= warming_fraction <= 0.9  # they have 47% of the pool's current capacity
