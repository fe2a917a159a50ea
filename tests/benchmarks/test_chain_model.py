"""Simulated chains of tiers: how retries multiply the attempts if one tier has a fault."""

from __future__ import annotations

import pytest

from benchmarks.models.chain import ChainSimulation, simulate_chain
from benchmarks.models.chain_records import ChainRecord, chain_slopes
from benchmarks.models.chain_scenario import NO_FAULT, ChainScenario, Fault
from benchmarks.models.simulation_context import FleetObserver
from loadbalancer.events import AttemptResult

BOTTOM = 2  # the number of the lowest of three tiers


def chain_scenario(depth, fault, max_attempts):
    return ChainScenario(depth, fault, max_attempts, seconds=6.0)


def simulate(depth, fault, max_attempts, seed=1):
    return simulate_chain(chain_scenario(depth, fault, max_attempts), seed)


@pytest.mark.parametrize("depth", [pytest.param(1, id="one tier"), pytest.param(3, id="three tiers")])
def test_request_takes_one_attempt_per_tier_without_a_fault(depth):
    metrics = simulate(depth, NO_FAULT, 4)
    assert metrics.clients > 200
    assert metrics.attempts_by_tier == [1.0] * depth
    assert (metrics.served_fraction, metrics.rejected_fraction, metrics.late_fraction) == (1.0, 0.0, 0.0)


@pytest.mark.parametrize(
    "result",
    [pytest.param(AttemptResult.REJECTED, id="rejected"), pytest.param(AttemptResult.ERROR, id="error")],
)
def test_faulty_attempts_are_retried_only_by_the_tier_above(result):
    fault = Fault(BOTTOM, result, 0.1)
    metrics = simulate(3, fault, 4)
    assert metrics.attempts_by_tier[:2] == [1.0, 1.0]
    assert metrics.attempts_by_tier[2] == pytest.approx(1.0 / 0.9, abs=0.06)
    assert metrics.served_fraction > 0.99
    without_retries = simulate(3, fault, 1)
    assert without_retries.attempts_by_tier == [1.0] * 3
    assert without_retries.served_fraction == pytest.approx(0.9, abs=0.05)


def test_requests_that_fail_everywhere_are_retried_by_every_tier():
    """Each tier doubles their attempts: tiers get 1 + d, 1 + 3d, 1 + 7d per client if d is their fraction."""
    metrics = simulate(3, Fault(BOTTOM, AttemptResult.REJECTED, 0.1, per_client=True), 2)
    failing = 1.0 - metrics.served_fraction
    expected = [1.0 + failing, 1.0 + 3.0 * failing, 1.0 + 7.0 * failing]
    assert metrics.attempts_by_tier == pytest.approx(expected)


def test_same_seed_gives_the_same_chain_metrics():
    fault = Fault(1, AttemptResult.REJECTED, 0.1)
    assert simulate(2, fault, 2) == simulate(2, fault, 2)
    assert simulate(2, fault, 2) != simulate(2, fault, 2, seed=2)


class DeadlineRecorder(FleetObserver):
    """Records the deadlines of a tier's requests and of their attempts."""

    def __init__(self):
        self.requests_ms = set()
        self.attempts_ms = set()

    def on_request(self, request):
        self.requests_ms.add(request.deadline_ms)

    def on_attempt_sent(self, attempt):
        self.attempts_ms.add(attempt.deadline_ms)


def test_deadlines_are_propagated_from_tier_to_tier():
    chain = ChainSimulation(chain_scenario(3, Fault(BOTTOM, AttemptResult.REJECTED, 0.1), 2), 1)
    top, middle, bottom = recorders = [DeadlineRecorder() for _ in chain.tiers]
    for tier, recorder in zip(chain.tiers, recorders, strict=True):
        tier.context.observers.append(recorder)
    chain.run()
    assert len(bottom.requests_ms) > 200
    assert middle.requests_ms <= top.attempts_ms
    assert bottom.requests_ms <= middle.attempts_ms
    latest_ms = [max(tier.attempts_ms) for tier in (bottom, middle, top)]
    assert latest_ms == sorted(latest_ms)
    assert latest_ms[-1] <= max(top.requests_ms)


def chain_record(depth):
    return ChainRecord(
        fault="none",
        faulty_tier="last",
        max_attempts=4,
        depth=depth,
        clients=1,
        attempts=2.0 * depth,
        attempts_per_tier=2.0,
        attempts_at_faulty_tier=1.0,
        attempts_at_top=2.0,
        served=1.0,
        rejected=0.0,
        late=0.0,
        shed=0.0,
        attempts_by_tier=[2.0] * depth,
    )


def test_slopes_of_chains_are_fitted_over_the_depth():
    slopes = chain_slopes([chain_record(depth) for depth in (1, 2, 3, 4)])
    assert slopes["sent over depth: none; last tier; at most 4"].per_unit == pytest.approx(2.0)
    assert slopes["there over depth: none; last tier; at most 4"].per_unit == pytest.approx(0.0)
