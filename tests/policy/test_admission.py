"""Admission control: the full threshold, rejections, Retry-After and tenants' quotas."""

from __future__ import annotations

from typing import Any

import pytest

from loadbalancer.actions import Reject
from loadbalancer.events import IncomingRequest, LoadReport
from loadbalancer.settings import Tenant
from tests.support.builders import IDEMPOTENT_READ, PolicyHarness, build_endpoints, types


def full_threshold(harness: PolicyHarness, ready_count: int) -> float:
    return harness.policy.admission.threshold(1.0, ready_count)


def priority_weight(harness: PolicyHarness, after_ms: float = 0.0, **fields: Any) -> float:
    admission, request = harness.policy.admission, IncomingRequest("r", "read", 9e9, **fields)
    over_quota = not admission.take_quota_token(harness.now_ms + after_ms, request.tenant)
    return admission.priority_weight(request, IDEMPOTENT_READ, over_quota=over_quota)


def test_threshold_increases_with_the_completion_rate():
    harness = PolicyHarness()
    before = full_threshold(harness, ready_count=4)
    for _ in range(20):
        harness.end_loaded_period(100.0)
    assert full_threshold(harness, ready_count=4) > before


def test_threshold_decreases_when_endpoints_that_report_requests_in_flight_are_removed():
    """Without a bound per endpoint, removing most endpoints lowers the threshold only after new responses."""
    harness = PolicyHarness(endpoint_count=12, replicas=7)
    for _ in range(60):
        for _ in range(20):
            harness.serve(latency_ms=10.0, load_report=LoadReport(in_flight=2.0))
        harness.end_period(0.0)
    before = full_threshold(harness, len(harness.policy.endpoints.ready))
    harness.list_endpoints(*build_endpoints(4))
    assert full_threshold(harness, len(harness.policy.endpoints.ready)) < 0.6 * before


@pytest.mark.parametrize("replicas", [4, 100])
def test_minimum_threshold_is_divided_among_all_replicas(replicas):
    """A minimum per replica adds up, over hundreds of replicas, to a threshold that never takes effect."""
    harness = PolicyHarness(endpoint_count=20, replicas=replicas)
    admitted = sum(harness.submit().is_sent for _ in range(400))
    assert admitted * replicas <= 20 * 7.0 + replicas * (1 + 2.0 * (20 * 7.0 / replicas) ** 0.5)


def test_threshold_below_one_attempt_admits_some_requests():
    """One attempt from each of hundreds of replicas is enough to keep saturated endpoints saturated."""
    admitted = 0
    for seed in range(200):
        harness = PolicyHarness(endpoint_count=2, seed=seed, replicas=200)
        harness.move_cursor_to(harness.policy.admission.last_position)
        admitted += harness.submit("post").is_sent
    assert 5 <= admitted <= 60


def test_ordinary_load_is_admitted_at_the_start():
    """A threshold from a rate that is not known yet rejects a fifth of the requests in the first seconds."""
    harness = PolicyHarness(endpoint_count=10)
    assert all(harness.submit("post").is_sent for _ in range(8))


def test_requests_over_the_threshold_are_rejected_at_once_low_priorities_first():
    harness = PolicyHarness(endpoint_count=4)
    in_flight = {}
    for service_class in ("post", "read"):
        for _ in range(40):
            request = harness.submit(service_class)
            if not request.is_sent:
                break
        in_flight[service_class] = harness.policy.endpoints.in_flight()
        assert types(request.actions) == [Reject]
    assert in_flight["post"] < in_flight["read"]


@pytest.mark.parametrize(("tier", "sends_retry_after"), [(0, True), (1, False)])
def test_only_the_entry_tier_sends_retry_after(tier, sends_retry_after):
    harness = PolicyHarness(endpoint_count=0, tier=tier, sends_retry_after=True, max_retry_after_ms=1000.0)
    harness.move_cursor_to(3)
    rejection = harness.submit().actions[-1]
    assert isinstance(rejection, Reject)
    assert (rejection.retry_after_ms > 0) is sends_retry_after


def test_retries_and_requests_over_quota_have_lower_priority():
    harness = PolicyHarness(tenants=(Tenant("t", 4.0),), over_quota_weight=0.2)
    first = priority_weight(harness)
    assert priority_weight(harness, is_retry=True) < first
    weights = [priority_weight(harness, tenant="t") for _ in range(4)]
    assert weights[:2] == [first, first]  # 4 per second over 2 replicas
    assert weights[2] == weights[3] == pytest.approx(0.2 * first)
    assert priority_weight(harness, after_ms=1000.0, tenant="t") == first


def test_quotas_apply_at_the_entry_tier_only():
    harness = PolicyHarness(tenants=(Tenant("t", 0.0),), over_quota_weight=0.2, tier=1)
    assert priority_weight(harness, tenant="t") == 1.0
