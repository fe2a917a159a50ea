"""The profiles of proxies that sample themselves, and the records computed from them."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from benchmarks.support.open_loop import MICROSECONDS_PER_S
from benchmarks.support.records import Record

LISTED_FUNCTIONS = 12  # those with the most samples, for each list size


@dataclass(slots=True)
class Profile:
    """The counts and processor time of a proxy with one list size."""

    requests: int = 0
    cpu_s: float = 0.0
    opened_connections: int = 0  # connections to backends
    stage_samples: Counter[str] = field(default_factory=Counter)
    function_samples: Counter[str] = field(default_factory=Counter)

    @property
    def samples(self) -> int:
        """The number of all samples."""
        return self.stage_samples.total()

    def us_per_request(self, samples: int) -> float:
        """Return the processor time per request, in microseconds, that a number of samples represents."""
        cpu_us = self.cpu_s / max(1, self.requests) * MICROSECONDS_PER_S
        return samples / max(1, self.samples) * cpu_us


@dataclass(frozen=True, slots=True)
class StageRecord:
    """The processor time of one stage, in microseconds per request."""

    stage: str
    us_by_size: dict[int, float]  # by list size, the smallest first

    def row(self) -> dict[str, object]:
        """Return the figures under their names in the result file."""
        return {"stage": self.stage} | {f"us_at_{size}": us for size, us in self.us_by_size.items()}


class TotalRecord(Record, frozen=True, kw_only=True):
    """The requests, samples and processor time of one list size."""

    list_size: int = msgspec.field(name="list")
    requests: int = msgspec.field(name="calls")
    samples: int
    cpu_us: float
    opened_per_request: float = msgspec.field(name="opened_per_call")
    load_average: float = msgspec.field(name="load")


class FunctionRecord(Record, frozen=True, kw_only=True):
    """The processor time of one function, excluding the functions that it calls."""

    list_size: int = msgspec.field(name="list")
    function: str
    us: float


def stage_records(profiles: Mapping[int, Profile]) -> list[StageRecord]:
    """Return a record for each stage, sorted by samples at the largest list size, the most first."""
    stages = set().union(*(profile.stage_samples for profile in profiles.values()))
    largest = profiles[max(profiles)]
    return [
        StageRecord(
            stage,
            {
                size: profile.us_per_request(profile.stage_samples[stage])
                for size, profile in sorted(profiles.items())
            },
        )
        for stage in sorted(stages, key=lambda stage: -largest.stage_samples[stage])
    ]


def total_records(profiles: Mapping[int, Profile]) -> list[TotalRecord]:
    """Return a record for each list size."""
    return [
        TotalRecord(
            list_size=size,
            requests=profile.requests,
            samples=profile.samples,
            cpu_us=profile.us_per_request(profile.samples),
            opened_per_request=profile.opened_connections / profile.requests,
            load_average=os.getloadavg()[0],
        )
        for size, profile in sorted(profiles.items())
    ]


def function_records(profiles: Mapping[int, Profile]) -> list[FunctionRecord]:
    """Return the functions with the most samples at each list size."""
    return [
        FunctionRecord(list_size=size, function=name, us=profile.us_per_request(samples))
        for size, profile in sorted(profiles.items())
        for name, samples in profile.function_samples.most_common(LISTED_FUNCTIONS)
    ]
