"""A policy that returns the actions that its test chooses."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from loadbalancer.actions import Action
from loadbalancer.events import AttemptOutcome, AttemptResult, Event, IncomingRequest
from loadbalancer.proxy.proxy import Proxy


class ScriptedPolicy:
    """A test double of the policy: records the events and returns the actions that the test chooses."""

    cursor = 0

    def __init__(self, act: Callable[[Event], list[Action]] = lambda event: []) -> None:
        self.act = act
        self.events: list[Event] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Record an event and return the test's actions for it; has the signature of the policy's method."""
        self.events.append(event)
        return self.act(event)

    def events_of(self, kind: type) -> list[Any]:
        """The recorded events of one type."""
        return [event for event in self.events if isinstance(event, kind)]

    @property
    def attempt_results(self) -> list[AttemptResult]:
        """The results of the recorded outcomes."""
        return [event.result for event in self.events_of(AttemptOutcome)]


def script_policy(proxy: Proxy, act: Callable[[Event], list[Action]] = lambda event: []) -> ScriptedPolicy:
    """Replace a proxy's policy by a scripted one, which is returned."""
    policy = ScriptedPolicy(act)
    proxy.policy = policy  # type: ignore[assignment]
    return policy


def acting_on(
    requests: Callable[[IncomingRequest], Sequence[Action]] = lambda event: [],
    outcomes: Callable[[AttemptOutcome], Sequence[Action]] = lambda event: [],
) -> Callable[[Event], list[Action]]:
    """A script that returns these actions for requests and outcomes, and none for other events."""

    def act(event: Event) -> list[Action]:
        match event:
            case IncomingRequest():
                return list(requests(event))
            case AttemptOutcome():
                return list(outcomes(event))
        return []

    return act
