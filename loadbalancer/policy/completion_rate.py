"""The rate at which the pool completes attempts, and its recent peak."""

from __future__ import annotations

from loadbalancer.policy.parameters import (
    CLASS_GAIN,
    COMPLETION_RATE_SMOOTHING_MS,
    PEAK_RATE_DECAY_MS,
    STARTUP_MS,
)
from loadbalancer.settings import ServiceClass, Settings


class CompletionRate:
    """Estimates the rate of successful attempts per period, as the sum of their weights per millisecond."""

    def __init__(self, settings: Settings, period_ms: float) -> None:
        self._period_ms = period_ms
        self._ended_periods = 0
        self._period_weight = 0.0  # of the attempts completed in the current period
        self._rate = 0.0  # weight per ms, smoothed
        self._peak_rate = 0.0
        objectives_ms = [service_class.latency_objective_ms for service_class in settings.classes]
        self._mean_objective_ms = sum(objectives_ms) / len(objectives_ms)  # of completed attempts

    @property
    def period_weight(self) -> float:
        """The sum of the weights of the attempts completed in the current period."""
        return self._period_weight

    def is_starting(self) -> bool:
        """Whether too little time has passed since the start to rely on the rate."""
        return self._ended_periods * self._period_ms < STARTUP_MS

    def sustainable_in_flight(self, latency_fraction: float) -> float:
        """The weight in flight at the peak rate and a latency fraction: rate times latency (Little's law)."""
        return self._peak_rate * self._mean_objective_ms * latency_fraction

    def observe(self, service_class: ServiceClass, weight: float) -> None:
        """Add a successful attempt to the current period."""
        objective_ms = service_class.latency_objective_ms
        self._mean_objective_ms += CLASS_GAIN * (objective_ms - self._mean_objective_ms)
        self._period_weight += weight

    def end_period(self) -> None:
        """Update the rate and its peak from the current period, and start a new one."""
        self._ended_periods += 1
        gain = min(1.0, self._period_ms / COMPLETION_RATE_SMOOTHING_MS)
        self._rate += gain * (self._period_weight / self._period_ms - self._rate)
        decay = 1.0 - min(1.0, self._period_ms / PEAK_RATE_DECAY_MS)
        self._peak_rate = max(self._rate, self._peak_rate * decay)
        self._period_weight = 0.0
