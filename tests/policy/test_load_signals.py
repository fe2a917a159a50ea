"""The load signals of utilisation, requests in flight and rejections: their effect on the cursor."""

from __future__ import annotations

import pytest

from loadbalancer.events import AttemptOutcome, AttemptResult, LoadReport
from tests.support.builders import PolicyHarness


def report_in_flight(harness: PolicyHarness, in_flight: float) -> None:
    """Deliver load reports of all four endpoints with outcomes of requests that are no longer open."""
    for name in ("s0", "s1", "s2", "s3"):
        report = LoadReport(in_flight=in_flight)
        harness.handle(AttemptOutcome("ended", 0, name, AttemptResult.OK, 100.0, True, report))


def test_reported_utilisation_over_target_moves_the_cursor():
    harness = PolicyHarness(endpoint_count=2)
    harness.serve_period(12, 50.0, load_report=LoadReport(utilisation=1.0))
    assert harness.cursor == 1


def test_outdated_utilisation_does_not_count():
    """A proxy that rejects gets no new load reports; the last ones must not make it continue to reject."""
    harness = PolicyHarness(endpoint_count=2)
    harness.serve_period(6, 50.0, load_report=LoadReport(utilisation=1.0))
    assert harness.cursor == 1
    harness.advance(5000.0)
    harness.end_period()
    assert harness.cursor == 0


@pytest.mark.parametrize(("replicas", "cursor"), [(4, 0), (100, 1)])
def test_many_replicas_have_a_lower_utilisation_target(replicas, cursor):
    """With many replicas, endpoints above the median are saturated while it is below the target for few."""
    harness = PolicyHarness(endpoint_count=2, replicas=replicas)
    harness.serve_period(12, 50.0, load_report=LoadReport(utilisation=0.955))
    assert harness.cursor == cursor


def test_reported_requests_in_flight_over_target_move_the_cursor_each_period():
    """At four responses per period, a wait for outcomes takes a second per move, and endpoints saturate."""
    harness = PolicyHarness(endpoint_count=4, replicas=7)
    harness.serve_period(24, 100.0, load_report=LoadReport(in_flight=2.0))
    assert harness.cursor == 0
    for position in range(1, 5):
        report_in_flight(harness, 20.0)
        harness.end_period()
        assert harness.cursor == position
    report_in_flight(harness, 2.0)
    harness.end_period()
    assert harness.cursor == 3


def test_attempts_rejected_by_endpoints_move_the_cursor():
    harness = PolicyHarness()
    harness.finish(harness.submit(), AttemptResult.REJECTED, 1.0)
    harness.end_period()
    assert harness.cursor == 1


@pytest.mark.parametrize(("tier", "cursor"), [(0, 1), (1, 0)])
def test_errors_move_the_cursor_at_the_entry_tier_only(tier, cursor):
    """Rejections of a tier below reach the entry tier as errors only; if ignored, it continues to send."""
    harness = PolicyHarness(tier=tier)
    for _ in range(4):
        harness.finish(harness.submit("post"), AttemptResult.ERROR, 5.0)
    harness.end_period()
    assert harness.cursor == cursor
