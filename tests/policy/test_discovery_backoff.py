"""The start of the watch, and the backoff after a failed one."""

from __future__ import annotations

from loadbalancer import LoadBalancingPolicy
from loadbalancer.actions import StartTimer, StartWatch
from loadbalancer.events import MembershipUpdate, TimerFired, UpdateKind
from loadbalancer.policy.policy import WATCH_TIMER
from tests.support.builders import PolicyHarness, build_settings, types


def test_discovery_is_polled_at_the_start():
    policy = LoadBalancingPolicy(build_settings(polls_discovery=True), seed=1, now_ms=0.0)
    assert StartWatch in types(policy.handle(0.0, MembershipUpdate(UpdateKind.CACHED)))


def test_failed_polls_are_retried_with_increasing_backoff():
    harness = PolicyHarness(endpoint_count=0, polls_discovery=True)
    delays_ms = []
    for _ in range(6):
        (timer,) = harness.handle(MembershipUpdate(UpdateKind.UNAVAILABLE))
        assert isinstance(timer, StartTimer)
        delays_ms.append(timer.delay_ms)
        assert types(harness.handle(TimerFired(WATCH_TIMER))) == [StartWatch]
    assert delays_ms[0] <= 500.0
    assert 2000.0 <= delays_ms[-1] <= 4000.0
