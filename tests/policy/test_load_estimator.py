"""The pool's load from latency, utilisation, calls in flight and rejections, as the cursor shows it."""

from __future__ import annotations

import pytest

from loadbalancer.events import AttemptResult, ClientDisconnected, LoadReport
from tests.support.builders import PolicyHarness

ALL_FOUR = ("s0", "s1", "s2", "s3")


# ------------------------------------------------------------------ latency


def test_few_outcomes_in_a_period_do_not_move_the_cursor():
    """Guard: on quiet pools a single slow answer moved the cursor right, and requests were rejected."""
    harness = PolicyHarness()
    for _ in range(3):
        harness.end_loaded_period(200.0)
    harness.end_loaded_period(900.0, count=1)
    assert harness.cursor == 0


@pytest.mark.parametrize(("in_flight", "cursor"), [(0, 0), (30, 1)])
def test_higher_latency_counts_as_load_sooner_where_endpoints_may_be_congested(in_flight, cursor):
    """Guard: chance in few latencies moved the cursor and shed load that the endpoints had capacity for."""
    harness = PolicyHarness(endpoint_count=4, replicas=1)
    for _ in range(30):
        harness.serve(latency_ms=300.0)
    harness.end_period()
    for _ in range(in_flight):
        harness.submit()
    for _ in range(2):
        for _ in range(12):
            harness.serve(latency_ms=450.0)
        harness.end_period()
    assert harness.cursor == cursor


def test_slow_attempts_that_their_clients_abandoned_count_as_slow():
    """Guard: only the quick ones were left to estimate by, and congestion looked quick."""
    harness = PolicyHarness(endpoint_count=4)
    for _ in range(30):
        harness.serve(latency_ms=300.0)
    harness.end_period()
    before = harness.policy.latency.fraction
    for _ in range(8):
        request = harness.submit()
        harness.advance(700.0)
        harness.handle(ClientDisconnected(request.request_id))
        harness.finish(request.request_id, request.endpoint, AttemptResult.CANCELLED, 700.0, done=True)
    harness.end_period()
    assert harness.policy.latency.fraction > before


def test_a_period_without_answers_does_not_move_the_cursor_left_while_latency_is_saturated():
    """Guard: with one answer in two periods the cursor fell back in each other one, and congestion stayed."""
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(20):
        harness.serve(latency_ms=50.0)
    harness.end_period()
    for _ in range(6):
        harness.end_loaded_period(950.0, count=12)
    high = harness.cursor
    harness.submit()
    harness.end_period()
    assert harness.cursor == high + 1


def test_few_outcomes_move_the_cursor_each_period_while_latency_is_saturated():
    """Guard: a move is given a number of outcomes, which saturation doesn't wait for."""
    harness = PolicyHarness()
    harness.end_loaded_period(200.0)
    for _ in range(4):
        harness.end_loaded_period(950.0)
    before = harness.cursor
    for moves in range(1, 4):
        harness.end_loaded_period(950.0, count=3)
        assert harness.cursor == before + moves


def test_a_period_without_answers_or_calls_in_flight_moves_the_cursor_left():
    harness = PolicyHarness(endpoint_count=2)
    harness.move_cursor_to(3)
    harness.end_period()
    assert harness.cursor == 2


def test_one_quick_first_answer_is_not_taken_for_the_quiet_baseline():
    harness = PolicyHarness()
    harness.serve(latency_ms=200.0)  # a fifth of the objective, where this idle pool's usual is 350
    harness.end_period()
    for _ in range(40):
        for _ in range(3):
            harness.serve(latency_ms=350.0)
        harness.end_period()
    assert harness.cursor == 0


# ------------------------------------------------------------------ reports and rejections


def test_reported_utilisation_over_target_moves_the_cursor():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(12):
        harness.serve(latency_ms=50.0, load_report=LoadReport(utilisation=1.0))
    harness.end_period()
    assert harness.cursor == 1


def test_a_stale_utilisation_does_not_count():
    """Guard: a proxy that rejects gets no new reports, and the last ones kept it rejecting."""
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(6):
        harness.serve(latency_ms=50.0, load_report=LoadReport(utilisation=1.0))
    harness.end_period()
    assert harness.cursor == 1
    harness.advance(5000.0)
    harness.end_period()
    assert harness.cursor == 0


def test_many_replicas_have_a_lower_utilisation_target():
    """Guard: at size, endpoints over the median were saturated one by one while it was under target."""
    cursors = []
    for replicas in (4, 100):
        harness = PolicyHarness(endpoint_count=2, replicas=replicas)
        for _ in range(12):
            harness.serve(latency_ms=50.0, load_report=LoadReport(utilisation=0.955))
        harness.end_period()
        cursors.append(harness.cursor)
    assert cursors == [0, 1]


def test_reported_calls_in_flight_over_target_move_the_cursor_each_period():
    """Guard: a proxy with four answers a period took a second for each move, and endpoints were saturated."""
    harness = PolicyHarness(endpoint_count=4, replicas=7)
    for _ in range(24):
        harness.serve(latency_ms=100.0, load_report=LoadReport(in_flight=2.0))
    harness.end_period()
    assert harness.cursor == 0
    for position in range(1, 5):
        for name in ALL_FOUR:
            harness.finish("none", name, AttemptResult.OK, load_report=LoadReport(in_flight=20.0))
        harness.end_period()
        assert harness.cursor == position
    for name in ALL_FOUR:
        harness.finish("none", name, AttemptResult.OK, load_report=LoadReport(in_flight=2.0))
    harness.end_period()
    assert harness.cursor == 3


def test_attempts_rejected_by_endpoints_move_the_cursor():
    harness = PolicyHarness()
    request = harness.submit()
    harness.finish(request.request_id, request.endpoint, AttemptResult.REJECTED, 1.0)
    harness.end_period()
    assert harness.cursor == 1


def test_errors_move_the_cursor_at_the_entry_tier_only():
    """Guard: a tier below that rejects reached the entry tier as errors only, and it went on sending."""
    cursors = []
    for tier in (0, 1):
        harness = PolicyHarness(tier=tier)
        for _ in range(4):
            request = harness.submit("post")
            harness.finish(request.request_id, request.endpoint, AttemptResult.ERROR, 5.0)
        harness.end_period()
        cursors.append(harness.cursor)
    assert cursors == [1, 0]
