"""Latency estimates: the mean of each service class, and the smoothed latency of the pool with its baseline.

A latency fraction is a latency divided by the latency objective of its service class, so that the latencies
of different classes can be compared. The baseline is the latency fraction of the pool at low load. The
latency headroom is the distance from the baseline to 1, which is the objective.
"""

from __future__ import annotations

from loadbalancer.policy.parameters import (
    BASELINE_GAIN_DOWN,
    BASELINE_GAIN_UP,
    CLASS_GAIN,
    DEFAULT_BASELINE,
    MIN_BASELINE_MEASUREMENTS,
    SATURATED_LATENCY_FRACTION,
    SMOOTHING_OUTCOMES,
)


def upper_median(values: list[float]) -> float | None:
    """The upper median, on which a single outlier has little effect; None without values."""
    return sorted(values)[len(values) // 2] if values else None


class ClassLatency:
    """The smoothed latency of each service class at all endpoints, from successful attempts."""

    def __init__(self) -> None:
        self._mean_ms: dict[str, float] = {}

    def mean_ms(self, service_class: str) -> float | None:
        """The mean latency of a class; None before its first response."""
        return self._mean_ms.get(service_class)

    def relative(self, service_class: str, latency_ms: float) -> float:
        """The ratio of a latency to the mean of its class; 1 before the first response."""
        mean_ms = self._mean_ms.get(service_class)
        return latency_ms / mean_ms if mean_ms else 1.0

    def observe(self, service_class: str, latency_ms: float) -> None:
        """Update the mean of a class with the latency of a successful attempt."""
        mean_ms = self._mean_ms.get(service_class, latency_ms)
        self._mean_ms[service_class] = mean_ms + CLASS_GAIN * (latency_ms - mean_ms)


class LatencyBaseline:
    """Estimates the smoothed latency fraction of the pool and its baseline, once per period."""

    def __init__(self) -> None:
        self._fraction = 0.0  # smoothed
        self._baseline: float | None = None  # the fraction at low load
        self._first_fractions: list[float] = []  # measured first; their median is the first baseline
        self._period_fractions: list[float] = []  # measured in the current period

    @property
    def fraction(self) -> float:
        """The smoothed latency fraction; 0 before the first measurement."""
        return self._fraction

    def is_known(self) -> bool:
        """Whether a latency has been measured since the start."""
        return self._baseline is not None

    def is_measured(self) -> bool:
        """Whether a latency has been measured in the current period."""
        return bool(self._period_fractions)

    def is_saturated(self) -> bool:
        """Whether the smoothed latency fraction is above `SATURATED_LATENCY_FRACTION`."""
        return self._fraction > SATURATED_LATENCY_FRACTION

    def between_baseline_and_objective(self, headroom_fraction: float) -> float:
        """The baseline plus a fraction of the latency headroom: 0 gives the baseline, 1 the objective."""
        baseline = DEFAULT_BASELINE if self._baseline is None else self._baseline
        return baseline + headroom_fraction * (1.0 - baseline)

    def observe(self, fraction: float) -> None:
        """Add the latency fraction of an attempt to the current period."""
        self._period_fractions.append(fraction)

    def update(self, cursor_position: int) -> None:
        """Update the smoothed fraction and the baseline from the current period."""
        fractions = self._period_fractions
        if not fractions:
            return
        # Classes differ in their latency fraction at low load, and short attempts end first. A baseline from
        # one early measurement could be a third too low, and an idle pool would then count as overloaded
        # until the restart. The baseline is therefore the median of all measurements until there are
        # `MIN_BASELINE_MEASUREMENTS`. Trade-off: load that is present from the start raises this baseline.
        if self._baseline is None or len(self._first_fractions) < MIN_BASELINE_MEASUREMENTS:
            self._first_fractions += fractions
            self._baseline = self._fraction = upper_median(self._first_fractions) or 0.0
            return
        weight = len(fractions) / (len(fractions) + SMOOTHING_OUTCOMES)  # few measurements have little weight
        self._fraction += weight * ((upper_median(fractions) or 0.0) - self._fraction)
        if self._fraction < self._baseline:
            self._baseline += BASELINE_GAIN_DOWN * (self._fraction - self._baseline)
        elif cursor_position == 0:  # the baseline never rises under load
            self._baseline += BASELINE_GAIN_UP * (self._fraction - self._baseline)

    def start_period(self) -> None:
        """Start a new period without measurements."""
        self._period_fractions = []
