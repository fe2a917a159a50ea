"""The state of an attempt at an endpoint, and the failure ratio of such attempts."""

from __future__ import annotations

from loadbalancer.events import AttemptResult
from loadbalancer.policy.parameters import ENDPOINT_GAIN, FAILURE_GAIN


class AttemptState:
    """One attempt; compares and hashes by identity, so that it can be a key.

    Attributes:
        service_class: the name of its request's service class.
        weight: its weight in flight.
        sent_ms: when the policy returned its `Send`.
        result: None while its outcome is pending; set by its endpoint's `end_attempt`.
    """

    __slots__ = ("result", "sent_ms", "service_class", "weight")

    def __init__(self, service_class: str, weight: float, sent_ms: float) -> None:
        self.service_class = service_class
        self.weight = weight
        self.sent_ms = sent_ms
        self.result: AttemptResult | None = None


class AbandonedAttempt:
    """An attempt that this proxy has timed out or cancelled, and that its endpoint may continue to execute.

    Attributes:
        expected_end_ms: until when it is expected to be executed.
        weight: its weight in flight.
    """

    __slots__ = ("expected_end_ms", "weight")

    def __init__(self, expected_end_ms: float, weight: float) -> None:
        self.expected_end_ms = expected_end_ms
        self.weight = weight


class FailureRatio:
    """The smoothed ratio of failed attempts of one service class at one endpoint."""

    __slots__ = ("updated_ms", "value")

    def __init__(self) -> None:
        self.value = 0.0
        self.updated_ms = 0.0

    def observe(self, now_ms: float, result: AttemptResult) -> None:
        """Update the ratio with the result of an attempt; any result but OK counts as a failure.

        `OutcomeRecorder` passes no result of rejected, cancelled and unsent attempts.
        """
        succeeded = result is AttemptResult.OK
        gain = ENDPOINT_GAIN if succeeded else FAILURE_GAIN
        self.value += gain * ((not succeeded) - self.value)
        self.updated_ms = now_ms
