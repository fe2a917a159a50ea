"""Records of simulated chains with a faulty tier, and slopes over the depth; names as in the result file."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from benchmarks.models.chain import ChainMetrics, ChainScenario, Fault, simulate_chain
from benchmarks.support.report import Slope, linear_regression
from loadbalancer.events import AttemptResult

FAULT_FRACTION = 0.1
DEFAULT_MAX_ATTEMPTS = 4
ALL_MAX_ATTEMPTS = (1, 2, 3, 4)
RESULT_NAMES = {AttemptResult.REJECTED: "full", AttemptResult.ERROR: "error"}

Record = dict[str, Any]


class FaultyTier(StrEnum):
    """Which tier of a chain has the fault."""

    LAST = "last"
    CENTRE = "middle"

    def number(self, depth: int) -> int:
        """Return the tier's number in a chain."""
        return depth - 1 if self is FaultyTier.LAST else depth // 2


@dataclass(frozen=True, slots=True)
class ChainCase:
    """A kind of fault, and the attempts of each node for a request."""

    tier: FaultyTier = FaultyTier.LAST
    result: AttemptResult = AttemptResult.ERROR
    fraction: float = FAULT_FRACTION
    per_client: bool = False
    all_classes: bool = False
    max_attempts: int = DEFAULT_MAX_ATTEMPTS

    @property
    def name(self) -> str:
        """The fault's name in the result file."""
        if not self.fraction:
            return "none"
        scope = "calls" if self.per_client else "attempts"
        name = f"{RESULT_NAMES[self.result]}, {scope}"
        return f"{name}, mixed" if self.all_classes else name

    def run(self, depth: int, seed: int, seconds: float) -> ChainMetrics:
        """Simulate a chain of this depth."""
        fault = Fault(self.tier.number(depth), self.result, self.fraction, self.per_client)
        scenario = ChainScenario(depth, fault, self.max_attempts, seconds, self.all_classes)
        return simulate_chain(scenario, seed)


def chain_cases() -> Iterator[ChainCase]:
    """Return all cases: no fault, then each result by attempt and by client."""
    yield ChainCase(fraction=0.0)
    for result in (AttemptResult.REJECTED, AttemptResult.ERROR):
        for per_client in (False, True):
            for max_attempts in ALL_MAX_ATTEMPTS:
                yield ChainCase(result=result, per_client=per_client, max_attempts=max_attempts)
            yield ChainCase(FaultyTier.CENTRE, result, per_client=per_client)
            yield ChainCase(result=result, per_client=per_client, all_classes=True)


def chain_records(depths: Sequence[int], seed: int, seconds: float = 13.0) -> list[Record]:
    """Return a record for each case and depth.

    For each client: `sent` are all attempts, `there` those to the faulty tier, `top` those to the top tier.
    `shed` is the largest fraction of its requests that one tier's nodes answered without an attempt.
    """
    return [
        _chain_record(case, depth, case.run(depth, seed, seconds))
        for case in chain_cases()
        for depth in depths
    ]


def _chain_record(case: ChainCase, depth: int, metrics: ChainMetrics) -> Record:
    attempts = metrics.attempts_by_tier
    return {
        "tenth of": case.name,
        "tier": case.tier.value,
        "max attempts": case.max_attempts,
        "depth": depth,
        "calls": metrics.clients,
        "sent": sum(attempts),
        "sent/tier": sum(attempts) / depth,
        "there": attempts[case.tier.number(depth)],
        "top": attempts[0],
        "served": metrics.served_fraction,
        "refused": metrics.rejected_fraction,
        "late": metrics.late_fraction,
        "shed": max(metrics.shed_by_tier),
        "by tier": attempts,
    }


def chain_slopes(records: Sequence[Record]) -> dict[str, Slope]:
    """Return lines over the depth: attempts of all tiers, and to the faulty tier, for each client."""
    by_case: dict[str, list[Record]] = {}
    for record in records:
        case = f"{record['tenth of']}; {record['tier']} tier; at most {record['max attempts']}"
        by_case.setdefault(case, []).append(record)
    return {
        f"{figure} over depth: {case}": linear_regression(
            [record["depth"] for record in case_records], [record[figure] for record in case_records]
        )
        for case, case_records in by_case.items()
        for figure in ("sent", "there")
    }
