"""The state that the policy keeps for one endpoint."""

from __future__ import annotations

import math
from collections import deque

from loadbalancer.events import AttemptResult, Endpoint, LoadReport
from loadbalancer.policy.attempts import AbandonedAttempt, AttemptState, FailureRatio
from loadbalancer.policy.parameters import ENDPOINT_GAIN


class TrackedEndpoint:
    """The load, latency and failures of one listed process; a restarted process gets a new object.

    Attributes are read by other modules and written by this class only.

    Attributes:
        listed: the entry of the process in the endpoint list.
        full_capacity: its capacity once warmed up, relative to the other endpoints.
        in_flight: weight in flight of this proxy's attempts there, including abandoned ones that may still be
            executed.
        outstanding: attempts whose outcome is pending, oldest first; an ordered set.
        abandoned: attempts that this proxy has timed out or cancelled and that count as in flight, oldest
            first.
        relative_latency: smoothed ratio of latency to the mean of the service class; None before the first
            measurement.
        measured_ms: when its latency was last measured, by a response or a time-out.
        failure_ratios: by service class.
        reported_queue: by the last load report, the requests that wait there, or, if it does not include
            them, those that other proxies have in flight there; a rejection can raise it.
        reported_ms: when the last load report or rejection arrived.
        utilisation: from the last report that included it.
    """

    __slots__ = (
        "abandoned",
        "failure_ratios",
        "full_capacity",
        "in_flight",
        "listed",
        "measured_ms",
        "outstanding",
        "relative_latency",
        "reported_ms",
        "reported_queue",
        "utilisation",
    )

    def __init__(self, listed: Endpoint, full_capacity: float) -> None:
        self.listed = listed
        self.full_capacity = full_capacity
        self.in_flight = 0.0
        self.outstanding: dict[AttemptState, None] = {}
        self.abandoned: deque[AbandonedAttempt] = deque()
        self.relative_latency: float | None = None
        self.measured_ms = -math.inf
        self.failure_ratios: dict[str, FailureRatio] = {}
        self.reported_queue = 0.0
        self.reported_ms = -math.inf
        self.utilisation: float | None = None

    def relist(self, listed: Endpoint, full_capacity: float) -> None:
        """Replace the entry in the endpoint list and the capacity that follows from it."""
        self.listed = listed
        self.full_capacity = full_capacity

    def start_attempt(self, service_class: str, weight: float, now_ms: float) -> AttemptState:
        """Add the weight of a new attempt to the weight in flight here, and return the attempt's state."""
        attempt = AttemptState(service_class, weight, now_ms)
        self.outstanding[attempt] = None
        self.in_flight += weight
        return attempt

    def end_attempt(self, attempt: AttemptState, result: AttemptResult, expected_end_ms: float) -> None:
        """Set the attempt's result; an abandoned one counts as in flight until `expire_abandoned`."""
        attempt.result = result
        self.outstanding.pop(attempt, None)
        if result is AttemptResult.TIMEOUT or result is AttemptResult.CANCELLED:
            # An endpoint can continue to execute abandoned attempts. If these did not count, endpoints would
            # be taken for half empty when clients disconnect early, and be congested until they become slow.
            # An abandoned attempt therefore counts as in flight for the mean latency of its class. Trade-off:
            # the weight in flight is too high for that time at an endpoint that stops at once.
            self.abandoned.append(AbandonedAttempt(expected_end_ms, attempt.weight))
        else:
            self.in_flight = max(0.0, self.in_flight - attempt.weight)

    def expire_abandoned(self, now_ms: float) -> None:
        """Remove abandoned attempts from the weight in flight, up to the first that may still be executed.

        Called at the end of each period. The order is that in which the attempts were abandoned.
        """
        while self.abandoned and self.abandoned[0].expected_end_ms <= now_ms:
            self.in_flight = max(0.0, self.in_flight - self.abandoned.popleft().weight)

    def observe_result(self, now_ms: float, service_class: str, result: AttemptResult) -> None:
        """Update the failure ratio of a service class with the result of an attempt."""
        ratio = self.failure_ratios.get(service_class)
        if ratio is None:
            ratio = self.failure_ratios[service_class] = FailureRatio()
        ratio.observe(now_ms, result)

    def observe_latency(self, now_ms: float, relative_latency: float) -> None:
        """Update the smoothed latency with the ratio of an attempt's latency to the mean of its class."""
        if self.relative_latency is None:
            self.relative_latency = relative_latency
        else:
            self.relative_latency += ENDPOINT_GAIN * (relative_latency - self.relative_latency)
        self.measured_ms = now_ms

    def observe_rejection(self, now_ms: float) -> None:
        """Count a rejection as a report of a queue at least as long as this proxy's attempts in flight."""
        self.reported_queue = max(self.reported_queue, self.in_flight)
        self.reported_ms = now_ms

    def observe_load_report(self, now_ms: float, report: LoadReport) -> None:
        """Store a load report; this proxy's attempts are subtracted from its requests in flight."""
        others_in_flight = max(0.0, (report.in_flight or 0.0) - self.in_flight)
        self.reported_queue = others_in_flight if report.queue is None else report.queue
        self.reported_ms = now_ms
        if report.utilisation is not None:
            self.utilisation = report.utilisation
