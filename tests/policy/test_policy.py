"""The policy as a whole: its actions depend on its events and its seed only."""

from __future__ import annotations

from loadbalancer.actions import Action
from loadbalancer.events import AttemptResult
from tests.support.builders import PolicyHarness


def test_same_events_cause_the_same_actions():
    def run() -> list[list[Action]]:
        harness = PolicyHarness(endpoint_count=6)
        actions = []
        for index in range(60):
            request = harness.submit(("read", "post", "points")[index % 3])
            actions.append(request.actions)
            if request.is_sent:
                result = list(AttemptResult)[index % 8]
                actions.append(harness.finish(request, result, 50.0 + index))
            actions.append(harness.end_period(20.0))
        return actions

    assert run() == run()
