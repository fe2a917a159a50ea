"""The cursor table: how load moves the cursor, and the threshold of each position and priority row."""

from __future__ import annotations

from itertools import pairwise

from loadbalancer.events import AttemptResult
from tests.support.builders import PolicyHarness

LOWEST_PRIORITY_WEIGHT = 1 / 12  # of the classes in tests/support/builders.py, where the highest is 1


def threshold(harness: PolicyHarness, priority_weight: float, ready_count: int = 20) -> float:
    return harness.policy.admission.threshold(priority_weight, ready_count)


def test_cursor_moves_by_one_position_per_period_in_both_directions():
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


def test_cursor_waits_for_outcomes_between_moves_to_the_right():
    """Without it, all replicas move far right in periods of few outcomes, before a move takes effect."""
    harness = PolicyHarness()
    for _ in range(5):
        harness.finish(harness.submit(), AttemptResult.REJECTED, 1.0, done=True)
        harness.end_period()
    assert harness.cursor == 1


def test_thresholds_decrease_right_of_the_full_positions_and_stay_above_zero():
    harness = PolicyHarness()
    last_position = harness.policy.admission.last_position
    thresholds = []
    for position in range(last_position + 1):
        harness.move_cursor_to(position)
        thresholds.append(threshold(harness, 1.0))
    assert thresholds[0] == thresholds[1]
    assert all(left > right for left, right in pairwise(thresholds[1:]))
    assert harness.cursor == last_position
    assert threshold(harness, 1e-9, ready_count=1) > 0.0


def test_thresholds_of_low_priorities_are_lower_and_decrease_faster():
    harness = PolicyHarness()
    high, low = threshold(harness, 1.0), threshold(harness, LOWEST_PRIORITY_WEIGHT)
    assert low < high
    harness.move_cursor_to(harness.policy.admission.last_position)
    assert threshold(harness, LOWEST_PRIORITY_WEIGHT) / low < threshold(harness, 1.0) / high


def test_threshold_at_the_last_position_is_under_a_quarter_of_the_full_one():
    """With a third of it in the highest row, the attempts of all replicas keep endpoints saturated."""
    harness = PolicyHarness(endpoint_count=10, replicas=7)
    full = threshold(harness, 1.0, ready_count=10)
    harness.move_cursor_to(harness.policy.admission.last_position)
    assert threshold(harness, 1.0, ready_count=10) < 0.25 * full
