"""The four signals of the pool's load: latency, utilisation, requests in flight and rejections.

Each signal is a ratio to its target: 1 is at the target. It is 0 without a measurement, and for a measured 0.
"""

from __future__ import annotations

from loadbalancer.events import AttemptResult
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.latency_baseline import LatencyBaseline, upper_median
from loadbalancer.policy.parameters import (
    CONGESTED_TARGET_HEADROOM_FRACTION,
    CONGESTION_IN_FLIGHT_PER_ENDPOINT,
    MAX_REPLICAS_WITHOUT_MARGIN,
    TARGET_HEADROOM_FRACTION,
    TARGET_IN_FLIGHT_PER_ENDPOINT,
    TARGET_REJECTED_FRACTION,
    TARGET_UTILISATION,
    UTILISATION_MARGIN,
    UTILISATION_TARGET_HEADROOM_FRACTION,
)
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint


class OutcomeCounter:
    """Counts the outcomes of the current period, and the attempts that endpoints rejected among them."""

    def __init__(self, *, is_entry_tier: bool) -> None:
        self._is_entry_tier = is_entry_tier
        self._outcomes = 0
        self._rejected = 0

    @property
    def outcomes(self) -> int:
        """The outcomes of the current period, without cancelled attempts and those that were not sent."""
        return self._outcomes

    def observe(self, result: AttemptResult) -> None:
        """Count the result of an attempt."""
        self._outcomes += 1
        # When a lower tier rejects requests, the entry tier receives errors only, and would continue to send.
        # Errors therefore count as rejections there. Trade-off: faulty endpoints count as overloaded.
        if result is AttemptResult.REJECTED or (result is AttemptResult.ERROR and self._is_entry_tier):
            self._rejected += 1

    def rejection_load(self) -> float:
        """The signal of rejections: their fraction of the period's outcomes, divided by its target."""
        return self._rejected / self._outcomes / TARGET_REJECTED_FRACTION if self._outcomes else 0.0

    def start_period(self) -> None:
        """Start a new period without outcomes."""
        self._outcomes = 0
        self._rejected = 0


def reported_in_flight_per_endpoint(endpoints: EndpointSet, reporting: list[TrackedEndpoint]) -> float:
    """Estimate of the mean weight in flight per endpoint from all replicas; 0 without reports of it.

    For each endpoint, it is this proxy's weight in flight plus the reported queue: the requests that other
    replicas have in flight there by the last report, or, where the report includes them, those that wait.
    """
    if not reporting or not endpoints.reports_in_flight():
        return 0.0
    return sum([endpoint.reported_queue + endpoint.in_flight for endpoint in reporting]) / len(reporting)


def reported_utilisation(reporting: list[TrackedEndpoint]) -> float | None:
    """The median of the reported utilisations; None without any."""
    return upper_median([endpoint.utilisation for endpoint in reporting if endpoint.utilisation is not None])


def utilisation_load(utilisation: float | None, target: float) -> float:
    """The signal of utilisation: the median divided by its target, which `target_utilisation` returns."""
    return 0.0 if utilisation is None else utilisation / target


def target_utilisation(replicas: int) -> float:
    """The target of the median utilisation.

    With many replicas, load is uneven, and endpoints above the median would be saturated one by one while the
    median is still below a target of 0.97. The target therefore falls with the number of replicas. Trade-off:
    a little capacity is left unused where load is even.
    """
    return TARGET_UTILISATION - UTILISATION_MARGIN * (1.0 - min(1.0, MAX_REPLICAS_WITHOUT_MARGIN / replicas))


def in_flight_load(in_flight_per_endpoint: float) -> float:
    """The signal of requests in flight: the mean weight in flight per endpoint, divided by its target.

    The latency of a response reflects the load at the time when its attempt was sent. By latency alone,
    endpoints would be saturated before the signal rises; the weight in flight reflects the current load.
    """
    return in_flight_per_endpoint / TARGET_IN_FLIGHT_PER_ENDPOINT


def latency_load(
    latency: LatencyBaseline, endpoints: EndpointSet, utilisation: float | None, replicas: int
) -> float:
    """The signal of latency: the smoothed latency fraction divided by its target.

    With less than one response per period, each period without a response would move the cursor left, and
    congestion would persist. A saturated latency therefore counts without new responses while attempts are in
    flight.
    """
    if not latency.is_known():
        return 0.0
    if not latency.is_measured() and not (latency.is_saturated() and _has_attempt_in_flight(endpoints)):
        return 0.0
    headroom_fraction = _target_headroom_fraction(endpoints, utilisation, replicas)
    return latency.fraction / latency.between_baseline_and_objective(headroom_fraction)


def _has_attempt_in_flight(endpoints: EndpointSet) -> bool:
    return any(endpoint.in_flight > 0.0 for endpoint in endpoints.ready)


def _target_headroom_fraction(endpoints: EndpointSet, utilisation: float | None, replicas: int) -> float:
    """The target of latency, as a fraction of the latency headroom above the baseline.

    While a period has few outcomes, a target close to the baseline would shed load that endpoints have
    capacity for; one farther from it would let congested endpoints become slow. The target is therefore close
    to the baseline only while endpoints may be congested. The other replicas are assumed to have as much
    weight in flight as this one.
    """
    if utilisation is not None:
        return UTILISATION_TARGET_HEADROOM_FRACTION
    if replicas * endpoints.in_flight() >= CONGESTION_IN_FLIGHT_PER_ENDPOINT * len(endpoints.ready):
        return CONGESTED_TARGET_HEADROOM_FRACTION
    return TARGET_HEADROOM_FRACTION
