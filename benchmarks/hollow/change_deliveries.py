"""Deliveries of list changes to watches: counts, and times since the change was written at the source."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec
import numpy as np

from benchmarks.hollow.messages import ChangeDelivery
from benchmarks.support.records import Record

MILLISECONDS_PER_S = 1000.0


class DeliveryFigures(Record, frozen=True, kw_only=True):
    """Quantiles of delivery times, and counts of deliveries; None: there are no deliveries."""

    p50_ms: float | None
    p99_ms: float | None
    last_ms: float | None
    read_last_ms: float | None
    expected: int = msgspec.field(name="due")
    missed: int
    repeated: int = msgspec.field(name="again")


@dataclass(slots=True)
class ChangeDeliveries:
    """The deliveries of several changes; times are in seconds since the change was written at the source."""

    expected: int = 0  # one delivery for each change and watch of its lists
    delivered: int = 0
    repeated: int = 0  # deltas that delivered a change to a watch again
    times_s: list[float] = field(default_factory=list)  # of each delivery, until the node has parsed it
    read_times_s: list[float] = field(default_factory=list)  # of each delivery, until its bytes are read
    last_times_s: list[float] = field(
        default_factory=list
    )  # the last delivery of each fully delivered change

    def add_change(self, written_at_s: float, parts: Sequence[ChangeDelivery]) -> None:
        """Add one change.

        Args:
            written_at_s: The time of the write, by the same clock as the times of the parts.
            parts: The change's delivery to each process of hollow nodes.
        """
        expected = sum(part.expected for part in parts)
        delivered = sum(part.delivered for part in parts)
        self.expected += expected
        self.delivered += delivered
        self.repeated += sum(part.repeated for part in parts)
        times_s = [at_s - written_at_s for part in parts for at_s in part.delivered_at_s]
        self.times_s += times_s
        self.read_times_s += [at_s - written_at_s for part in parts for at_s in part.read_at_s]
        if expected and delivered == expected:
            self.last_times_s.append(max(times_s))

    def merge(self, other: ChangeDeliveries) -> None:
        """Add all deliveries of `other`."""
        self.expected += other.expected
        self.delivered += other.delivered
        self.repeated += other.repeated
        self.times_s += other.times_s
        self.read_times_s += other.read_times_s
        self.last_times_s += other.last_times_s

    def figures(self) -> DeliveryFigures:
        """Return the quantiles of the delivery times, and the counts."""
        return DeliveryFigures(
            p50_ms=_quantile_ms(self.times_s, 0.5),
            p99_ms=_quantile_ms(self.times_s, 0.99),
            last_ms=_quantile_ms(self.last_times_s, 1.0),
            read_last_ms=_quantile_ms(self.read_times_s, 1.0),
            expected=self.expected,
            missed=self.expected - self.delivered,
            repeated=self.repeated,
        )


def _quantile_ms(times_s: Sequence[float], fraction: float) -> float | None:
    return float(np.quantile(times_s, fraction)) * MILLISECONDS_PER_S if times_s else None
