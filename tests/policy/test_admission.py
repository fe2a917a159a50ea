"""Admission: the cursor table, its priority rows, tenants' quotas and Retry-After."""

from __future__ import annotations

from itertools import pairwise
from typing import Any

import pytest

from loadbalancer.actions import Reject
from loadbalancer.events import AttemptResult, IncomingRequest, LoadReport
from loadbalancer.settings import Tenant
from tests.support.builders import IDEMPOTENT_READ, PolicyHarness, build_endpoints, types

LOWEST_WEIGHT = 1 / 12  # of the builders' classes


def threshold(harness: PolicyHarness, priority_weight: float, ready_count: int = 20) -> float:
    return harness.policy.admission.threshold(priority_weight, ready_count)


def priority_weight(harness: PolicyHarness, after_ms: float = 0.0, **fields: Any) -> float:
    admission, request = harness.policy.admission, IncomingRequest("r", "read", 9e9, **fields)
    over_quota = not admission.take_quota_token(harness.now_ms + after_ms, request.tenant)
    return admission.priority_weight(request, IDEMPOTENT_READ, over_quota=over_quota)


# ------------------------------------------------------------------ the cursor


def test_the_cursor_moves_one_position_a_period_and_back():
    harness = PolicyHarness()
    harness.end_loaded_period(200.0)
    assert harness.cursor == 0
    positions = []
    for _ in range(4):
        harness.end_loaded_period(950.0)
        positions.append(harness.cursor)
    assert positions == [1, 2, 3, 4]
    for _ in range(8):
        harness.end_loaded_period(100.0)
    assert harness.cursor == 0


def test_the_cursor_waits_for_outcomes_between_moves_to_the_right():
    """Guard: few answers a period came too late, and the cursor went far right at all replicas alike."""
    harness = PolicyHarness()
    for _ in range(5):
        request = harness.submit()
        harness.finish(request.request_id, request.endpoint, AttemptResult.REJECTED, 1.0, done=True)
        harness.end_period()
    assert harness.cursor == 1


# ------------------------------------------------------------------ thresholds


def test_thresholds_are_full_at_first_then_fall_and_never_to_zero():
    harness = PolicyHarness()
    thresholds = []
    for position in range(harness.policy.admission.last_position + 1):
        harness.move_cursor_to(position)
        thresholds.append(threshold(harness, 1.0))
    assert thresholds[0] == thresholds[1]
    assert all(left > right for left, right in pairwise(thresholds[1:]))
    harness.move_cursor_to(harness.policy.admission.last_position)
    assert threshold(harness, 1e-9, ready_count=1) > 0.0


def test_thresholds_of_low_priorities_are_lower_and_fall_faster():
    harness = PolicyHarness()
    high, low = threshold(harness, 1.0), threshold(harness, LOWEST_WEIGHT)
    assert low < high
    harness.move_cursor_to(harness.policy.admission.last_position)
    assert threshold(harness, LOWEST_WEIGHT) / low < threshold(harness, 1.0) / high


def test_the_last_position_leaves_high_priorities_less_than_a_quarter():
    """Guard: with a third left in the highest row, all replicas' calls kept saturated endpoints saturated."""
    harness = PolicyHarness(endpoint_count=10, replicas=7)
    full = threshold(harness, 1.0, ready_count=10)
    harness.move_cursor_to(harness.policy.admission.last_position)
    assert threshold(harness, 1.0, ready_count=10) < 0.25 * full


def test_the_threshold_grows_with_the_completion_rate():
    harness = PolicyHarness()
    before = threshold(harness, 1.0, ready_count=4)
    for _ in range(20):
        harness.end_loaded_period(100.0)
    assert threshold(harness, 1.0, ready_count=4) > before


def test_the_threshold_falls_with_the_list_where_endpoints_report_calls_in_flight():
    """Guard: with most endpoints removed the threshold stayed at what all had borne, until answers came."""
    harness = PolicyHarness(endpoint_count=12, replicas=7)
    for _ in range(60):
        for _ in range(20):
            harness.serve(latency_ms=10.0, load_report=LoadReport(in_flight=2.0))
        harness.end_period(0.0)
    before = threshold(harness, 1.0, len(harness.policy.endpoints.ready))
    harness.list_endpoints(*build_endpoints(4))
    assert threshold(harness, 1.0, len(harness.policy.endpoints.ready)) < 0.6 * before


def test_the_minimum_threshold_is_shared_by_all_replicas():
    """Guard: a minimum for each replica summed, over hundreds of them, to a threshold that never bound."""
    for replicas in (4, 100):
        harness = PolicyHarness(endpoint_count=20, replicas=replicas)
        admitted = sum(harness.submit().is_sent for _ in range(400))
        assert admitted * replicas <= 20 * 7.0 + replicas * (1 + 2.0 * (20 * 7.0 / replicas) ** 0.5)


def test_a_threshold_of_less_than_one_call_admits_some():
    """Guard: one call from each of hundreds of replicas kept saturated endpoints saturated."""
    admitted = 0
    for seed in range(200):
        harness = PolicyHarness(endpoint_count=2, seed=seed, replicas=200)
        harness.move_cursor_to(harness.policy.admission.last_position)
        admitted += harness.submit("post").is_sent
    assert 5 <= admitted <= 60


def test_an_ordinary_load_is_admitted_at_the_start():
    """Guard: a table sized before anything was learned rejected a fifth of the first seconds."""
    harness = PolicyHarness(endpoint_count=10)
    assert all(harness.submit("post").is_sent for _ in range(8))


# ------------------------------------------------------------------ rejections


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


def test_only_the_entry_tier_sends_retry_after():
    for tier, expected in ((0, True), (1, False)):
        harness = PolicyHarness(
            endpoint_count=0, tier=tier, sends_retry_after=True, max_retry_after_ms=1000.0
        )
        harness.move_cursor_to(3)
        rejection = harness.submit().actions[-1]
        assert isinstance(rejection, Reject)
        assert (rejection.retry_after_ms > 0) is expected


# ------------------------------------------------------------------ priority weights


def test_retries_and_requests_over_quota_fall_to_lower_priority_rows():
    harness = PolicyHarness(tenants=(Tenant("t", 4.0),), over_quota_weight=0.2)
    first = priority_weight(harness)
    assert priority_weight(harness, is_retry=True) < first
    weights = [priority_weight(harness, tenant="t") for _ in range(4)]
    assert weights[:2] == [first, first]  # 4 a second over 2 replicas
    assert weights[2] == weights[3] == pytest.approx(0.2 * first)
    assert priority_weight(harness, after_ms=1000.0, tenant="t") == first


def test_quotas_count_at_the_entry_tier_only():
    harness = PolicyHarness(tenants=(Tenant("t", 0.0),), over_quota_weight=0.2, tier=1)
    assert priority_weight(harness, tenant="t") == 1.0
