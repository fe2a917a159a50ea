"""The load signal of latency: the effect of baseline, target and saturation on the cursor."""

from __future__ import annotations

import pytest

from loadbalancer.events import AttemptResult, ClientDisconnected
from tests.support.builders import PolicyHarness


def test_one_slow_response_in_a_period_does_not_move_the_cursor():
    """If one outcome has the weight of many, one slow response at low load causes rejections."""
    harness = PolicyHarness()
    for _ in range(3):
        harness.end_loaded_period(200.0)
    harness.end_loaded_period(900.0, count=1)
    assert harness.cursor == 0


@pytest.mark.parametrize(("in_flight", "cursor"), [(0, 0), (30, 1)])
def test_latency_target_is_stricter_while_endpoints_may_be_congested(in_flight, cursor):
    """Few latencies vary by chance; a target that is always strict sheds load without need."""
    harness = PolicyHarness(endpoint_count=4, replicas=1)
    harness.serve_period(30, 300.0)
    for _ in range(in_flight):
        harness.submit()
    for _ in range(2):
        harness.serve_period(12, 450.0)
    assert harness.cursor == cursor


def test_cancelled_attempts_slower_than_the_mean_count_in_the_latency():
    """If only fast attempts are measured, the latency of a congested pool is estimated too low."""
    harness = PolicyHarness(endpoint_count=4)
    harness.serve_period(30, 300.0)
    before = harness.policy.latency.fraction
    for _ in range(8):
        request = harness.submit()
        harness.advance(700.0)
        harness.handle(ClientDisconnected(request.request_id))
        harness.finish(request, AttemptResult.CANCELLED, 700.0, done=True)
    harness.end_period()
    assert harness.policy.latency.fraction > before


def test_cursor_moves_right_without_responses_while_latency_is_saturated():
    """With one response in two periods, the cursor moves left in the other one, and congestion persists."""
    harness = PolicyHarness(endpoint_count=2)
    harness.serve_period(20, 50.0)
    for _ in range(6):
        harness.end_loaded_period(950.0, count=12)
    before = harness.cursor
    harness.submit()
    harness.end_period()
    assert harness.cursor == before + 1


def test_saturated_latency_moves_the_cursor_without_a_wait_for_outcomes():
    """A wait for outcomes delays the reaction when load rises faster than responses arrive."""
    harness = PolicyHarness()
    harness.end_loaded_period(200.0)
    for _ in range(4):
        harness.end_loaded_period(950.0)
    before = harness.cursor
    for moves in range(1, 4):
        harness.end_loaded_period(950.0, count=3)
        assert harness.cursor == before + moves


def test_cursor_moves_left_without_responses_or_attempts_in_flight():
    harness = PolicyHarness(endpoint_count=2)
    harness.move_cursor_to(3)
    harness.end_period()
    assert harness.cursor == 2


def test_one_fast_first_response_does_not_set_the_baseline():
    harness = PolicyHarness()
    harness.serve(latency_ms=200.0)  # a fifth of the objective; this idle pool's usual latency is 350 ms
    harness.end_period()
    for _ in range(40):
        harness.serve_period(3, 350.0)
    assert harness.cursor == 0
