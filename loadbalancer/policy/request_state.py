"""The state of one open request."""

from __future__ import annotations

from loadbalancer.events import IncomingRequest
from loadbalancer.policy.attempts import AttemptState
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint
from loadbalancer.settings import ServiceClass


class RequestState:
    """One open request and its attempts, written by the request tracker only.

    Attributes:
        request: the event of the request's arrival.
        service_class: its service class.
        received_ms: the time of its arrival.
        weight: the weight in flight of each attempt for it.
        attempts: all attempts, by number.
        tried_endpoints: the endpoint of each attempt, by the same number.
        done: whether the policy has no final response left to decide on: it has returned one, the host has
            one (`AttemptOutcome.done`), or the client has disconnected.
        streaming: whether a streamed response has begun, until the host reports the final response.
    """

    __slots__ = (
        "attempts",
        "done",
        "received_ms",
        "request",
        "service_class",
        "streaming",
        "tried_endpoints",
        "weight",
    )

    def __init__(
        self, request: IncomingRequest, service_class: ServiceClass, received_ms: float, weight: float
    ) -> None:
        self.request = request
        self.service_class = service_class
        self.received_ms = received_ms
        self.weight = weight
        self.attempts: list[AttemptState] = []
        self.tried_endpoints: list[TrackedEndpoint] = []
        self.done = False
        self.streaming = False

    def has_attempt_in_flight(self) -> bool:
        """Whether the outcome of an attempt is still pending."""
        return any([attempt.result is None for attempt in self.attempts])

    def first_possibly_executed(self) -> int | None:
        """The number of the first attempt that may have been or may yet be executed; None without any."""
        for number, attempt in enumerate(self.attempts):
            if attempt.result is None or not attempt.result.not_processed:
                return number
        return None
