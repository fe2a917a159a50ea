"""Estimates the load of the pool once per period, as the maximum of four signals."""

from __future__ import annotations

from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.latency_baseline import LatencyBaseline
from loadbalancer.policy.load_signals import (
    OutcomeCounter,
    in_flight_load,
    latency_load,
    reported_in_flight_per_endpoint,
    reported_utilisation,
    target_utilisation,
    utilisation_load,
)
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint


class PoolLoad:
    """The load of the pool in one period, and the other values that a move of the cursor depends on.

    Attributes:
        target_ratio: the maximum of the signals; 1 is the target.
        outcomes: the number of outcomes in this period, without cancelled and unsent attempts.
        in_flight_per_endpoint: the mean weight in flight from all replicas, estimated from load reports and
            this proxy's own attempts; 0 without such reports.
        latency_saturated: whether the pool's smoothed latency fraction is above `SATURATED_LATENCY_FRACTION`.
    """

    __slots__ = ("in_flight_per_endpoint", "latency_saturated", "outcomes", "target_ratio")

    def __init__(
        self, target_ratio: float, outcomes: int, in_flight_per_endpoint: float, *, latency_saturated: bool
    ) -> None:
        self.target_ratio = target_ratio
        self.outcomes = outcomes
        self.in_flight_per_endpoint = in_flight_per_endpoint
        self.latency_saturated = latency_saturated


class LoadEstimator:
    """Estimates the load as the maximum of its signals: any one of them is enough to shed load."""

    def __init__(
        self,
        replicas: int,
        endpoints: EndpointSet,
        latency: LatencyBaseline,
        outcome_counter: OutcomeCounter,
    ) -> None:
        self._replicas = replicas
        self._endpoints = endpoints
        self._latency = latency
        self._outcome_counter = outcome_counter
        self._target_utilisation = target_utilisation(replicas)

    def estimate(self, reporting: list[TrackedEndpoint]) -> PoolLoad:
        """The load of the current period; `reporting` holds the endpoints with a fresh load report."""
        utilisation = reported_utilisation(reporting)
        in_flight_per_endpoint = reported_in_flight_per_endpoint(self._endpoints, reporting)
        strongest = max(
            latency_load(self._latency, self._endpoints, utilisation, self._replicas),
            utilisation_load(utilisation, self._target_utilisation),
            in_flight_load(in_flight_per_endpoint),
            self._outcome_counter.rejection_load(),
        )
        return PoolLoad(
            target_ratio=strongest,
            outcomes=self._outcome_counter.outcomes,
            in_flight_per_endpoint=in_flight_per_endpoint,
            latency_saturated=self._latency.is_saturated(),
        )
