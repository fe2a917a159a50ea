"""Records of simulated chains with a faulty tier, and slopes over the depth."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from benchmarks.models.chain import ChainMetrics, simulate_chain
from benchmarks.models.chain_scenario import ChainScenario, Fault
from benchmarks.support.records import Record, Row
from benchmarks.support.regression import Slope, regress_columns
from loadbalancer.events import AttemptResult

FAULT_FRACTION = 0.1
DEFAULT_MAX_ATTEMPTS = 4
ALL_MAX_ATTEMPTS = (1, 2, 3, 4)
RESULT_NAMES = {AttemptResult.REJECTED: "full", AttemptResult.ERROR: "error"}
SLOPE_FIGURES = ("sent", "there")


class FaultyTier(StrEnum):
    """The position of the faulty tier in a chain."""

    LAST = "last"
    MIDDLE = "middle"

    def number(self, depth: int) -> int:
        """Return the tier's number in a chain of this depth; 0 is the top."""
        return depth - 1 if self is FaultyTier.LAST else depth // 2


@dataclass(frozen=True, slots=True)
class ChainCase:
    """A fault of one tier, and the limit on each node's attempts for a request."""

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
    """Yield all cases: no fault, then each result with faults per attempt and per client."""
    yield ChainCase(fraction=0.0)
    for result in (AttemptResult.REJECTED, AttemptResult.ERROR):
        for per_client in (False, True):
            for max_attempts in ALL_MAX_ATTEMPTS:
                yield ChainCase(result=result, per_client=per_client, max_attempts=max_attempts)
            yield ChainCase(FaultyTier.MIDDLE, result, per_client=per_client)
            yield ChainCase(result=result, per_client=per_client, all_classes=True)


class ChainRecord(Record, frozen=True, kw_only=True):
    """The figures of one case at one depth; attempts are per client."""

    fault: str = msgspec.field(name="tenth of")
    faulty_tier: str = msgspec.field(name="tier")
    max_attempts: int = msgspec.field(name="max attempts")
    depth: int
    clients: int = msgspec.field(name="calls")
    attempts: float = msgspec.field(name="sent")
    attempts_per_tier: float = msgspec.field(name="sent/tier")
    attempts_at_faulty_tier: float = msgspec.field(name="there")  # to the faulty tier
    attempts_at_top: float = msgspec.field(name="top")
    served: float
    rejected: float = msgspec.field(name="refused")
    late: float
    shed: float  # the largest fraction, over the tiers, of requests that finish without an attempt
    attempts_by_tier: list[float] = msgspec.field(name="by tier")

    @property
    def case(self) -> str:
        """The name of the case, which is the same for all depths."""
        return f"{self.fault}; {self.faulty_tier} tier; at most {self.max_attempts}"


def chain_records(depths: Sequence[int], seed: int, seconds: float = 13.0) -> list[ChainRecord]:
    """Simulate each case at each depth, and return the records."""
    return [
        _chain_record(case, depth, case.run(depth, seed, seconds))
        for case in chain_cases()
        for depth in depths
    ]


def _chain_record(case: ChainCase, depth: int, metrics: ChainMetrics) -> ChainRecord:
    attempts = metrics.attempts_by_tier
    return ChainRecord(
        fault=case.name,
        faulty_tier=case.tier.value,
        max_attempts=case.max_attempts,
        depth=depth,
        clients=metrics.clients,
        attempts=sum(attempts),
        attempts_per_tier=sum(attempts) / depth,
        attempts_at_faulty_tier=attempts[case.tier.number(depth)],
        attempts_at_top=attempts[0],
        served=metrics.served_fraction,
        rejected=metrics.rejected_fraction,
        late=metrics.late_fraction,
        shed=max(metrics.shed_by_tier),
        attempts_by_tier=attempts,
    )


def chain_slopes(records: Sequence[ChainRecord]) -> dict[str, Slope]:
    """Return lines fitted over the depth: attempts per client, of all tiers and to the faulty tier."""
    rows_by_case: dict[str, list[Row]] = {}
    for record in records:
        rows_by_case.setdefault(record.case, []).append(record.row())
    return {
        f"{figure} over depth: {case}": regress_columns(rows, "depth", figure)
        for case, rows in rows_by_case.items()
        for figure in SLOPE_FIGURES
    }
