"""Chains of tiers in model time: how the attempts multiply where one tier has a fault."""

from __future__ import annotations

import pytest

from benchmarks.models import chain as chain_model
from benchmarks.models.chain import NO_FAULT, ChainScenario, Fault, simulate_chain
from benchmarks.models.chain_records import chain_slopes
from loadbalancer.events import AttemptResult


def chain(depth, fault, max_attempts, seed=1):
    return simulate_chain(ChainScenario(depth, fault, max_attempts, seconds=6.0), seed)


@pytest.mark.parametrize("depth", [1, 3])
def test_request_is_one_attempt_a_tier_without_a_fault(depth):
    metrics = chain(depth, NO_FAULT, 4)
    assert metrics.clients > 200
    assert metrics.attempts_by_tier == [1.0] * depth
    assert (metrics.served_fraction, metrics.rejected_fraction, metrics.late_fraction) == (1.0, 0.0, 0.0)


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.ERROR])
def test_faulty_attempts_are_retried_by_the_next_callers_only(result):
    metrics = chain(3, Fault(2, result, 0.1), 4)
    assert metrics.attempts_by_tier[:2] == [1.0, 1.0]
    assert metrics.attempts_by_tier[2] == pytest.approx(1.0 / 0.9, abs=0.06)
    assert metrics.served_fraction > 0.99
    single = chain(3, Fault(2, result, 0.1), 1)
    assert single.attempts_by_tier == [1.0] * 3
    assert single.served_fraction == pytest.approx(0.9, abs=0.05)


def test_requests_that_fail_everywhere_are_retried_by_every_tier():
    """Each tier doubles them: with a fraction d of these, tiers get 1 + d, 1 + 3d, 1 + 7d attempts."""
    metrics = chain(3, Fault(2, AttemptResult.REJECTED, 0.1, per_client=True), 2)
    failing = 1.0 - metrics.served_fraction
    expected = [1.0 + failing, 1.0 + 3.0 * failing, 1.0 + 7.0 * failing]
    assert metrics.attempts_by_tier == pytest.approx(expected)


def test_same_seed_gives_the_same_chain():
    fault = Fault(1, AttemptResult.REJECTED, 0.1)
    assert chain(2, fault, 2) == chain(2, fault, 2)
    assert chain(2, fault, 2) != chain(2, fault, 2, seed=2)


def test_deadlines_are_propagated_from_tier_to_tier(monkeypatch):
    attempt_deadlines, request_deadlines = {}, {}

    class RecordingTier(chain_model.TierSimulation):
        def submit(self, client, deadline_ms):
            request_deadlines.setdefault(self.depth, set()).add(deadline_ms)
            super().submit(client, deadline_ms)

        def send_attempt(self, node, action):
            attempt_deadlines.setdefault(self.depth, set()).add(self.now_ms + action.timeout_ms)
            super().send_attempt(node, action)

    monkeypatch.setattr(chain_model, "TierSimulation", RecordingTier)
    chain(3, Fault(2, AttemptResult.REJECTED, 0.1), 2)
    assert len(request_deadlines[2]) > 200
    assert request_deadlines[1] <= attempt_deadlines[0]
    assert request_deadlines[2] <= attempt_deadlines[1]
    latest = [max(attempt_deadlines[depth]) for depth in (2, 1, 0)]
    assert latest == sorted(latest)
    assert latest[-1] <= max(request_deadlines[0])


def test_slopes_of_chains_are_over_the_depth():
    case = {"tenth of": "none", "tier": "last", "max attempts": 4, "there": 1.0}
    records = [{**case, "depth": depth, "sent": 2.0 * depth} for depth in (1, 2, 3, 4)]
    slopes = chain_slopes(records)
    assert slopes["sent over depth: none; last tier; at most 4"].per_unit == pytest.approx(2.0)
    assert slopes["there over depth: none; last tier; at most 4"].per_unit == pytest.approx(0.0)
