"""The invariants of the policy over random legal sequences of events, checked by a model of the rules."""

from __future__ import annotations

from collections import deque
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from loadbalancer.events import AttemptResult, Endpoint, EndpointState, MembershipUpdate, UpdateKind
from tests.policy.checked_policy import (
    INITIAL_FRACTION,
    OVERLOAD_FACTOR,
    OVERLOAD_WINDOW_MS,
    SLOW_START_MS,
    CheckedPolicy,
    initial_endpoints,
)

SUBMIT = st.tuples(st.just(CheckedPolicy.submit), st.integers(0, 6), st.floats(1.0, 2500.0))
FINISH = st.tuples(
    st.just(CheckedPolicy.finish), st.integers(0, 40), st.sampled_from(list(AttemptResult)), st.booleans()
)
EVENTS = st.one_of(
    SUBMIT,
    SUBMIT,
    FINISH,
    FINISH,
    st.tuples(st.just(CheckedPolicy.disconnect), st.integers(0, 40)),
    st.tuples(st.just(CheckedPolicy.start_response), st.integers(0, 5)),
    st.tuples(
        st.just(CheckedPolicy.update_membership),
        st.sampled_from([kind for kind in UpdateKind if kind is not UpdateKind.CACHED]),
        st.integers(0, 11),
        st.sampled_from(list(EndpointState)),
        st.booleans(),
    ),
    st.tuples(st.just(CheckedPolicy.fire_timer), st.sampled_from(["period", "watch", "other"])),
    st.tuples(st.just(CheckedPolicy.wait), st.floats(0.0, 600.0)),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    max_attempts=st.integers(1, 4),
    can_cancel=st.booleans(),
    events=st.lists(EVENTS, min_size=10, max_size=120),
)
def test_rules_hold_over_any_legal_sequence_of_events(
    seed: int, max_attempts: int, can_cancel: bool, events: list[tuple[Any, ...]]
) -> None:
    checked = CheckedPolicy(seed, max_attempts, can_cancel=can_cancel)
    checked.handle(MembershipUpdate(UpdateKind.CACHED, initial_endpoints()))
    for step, *arguments in events:
        step(checked, *arguments)
    for _ in range(600):  # the host reports an outcome for every attempt
        if not any(request.in_flight() for request in checked.requests.values()):
            break
        checked.wait(1.0)
        checked.finish(0, AttemptResult.TIMEOUT, False)
    assert all(request.ended for request in checked.requests.values())
    assert checked.policy.requests.open_requests == {}


@settings(derandomize=True, max_examples=30, deadline=None)
@given(seed=st.integers(0, 2**32), replicas=st.integers(1, 40), interval_ms=st.floats(1.0, 30.0))
def test_all_replicas_together_do_not_overload_a_warming_endpoint(seed, replicas, interval_ms):
    """In any overload window, it gets less than the overload factor times its share by current capacity."""
    warmed_up = 12
    listed = tuple(Endpoint(f"s{index}", "a", 0) for index in range(warmed_up))
    checked_policies = [CheckedPolicy(seed + index, 2, can_cancel=True) for index in range(replicas)]
    for checked in checked_policies:
        checked.handle(MembershipUpdate(UpdateKind.CACHED, listed))
        checked.wait(200.0)
        warming = Endpoint("warming", "a", 0, started_ms=checked.now_ms)
        checked.handle(MembershipUpdate(UpdateKind.DELTA, (warming,)))
    sent_ms: deque[float] = deque()
    for index in range(600):
        checked = checked_policies[index % replicas]
        checked.now_ms = 700.0 + index * interval_ms
        checked.submit(0, 2000.0)
        attempts = checked.requests[checked.last_request_id].attempts
        sent_ms.extend(attempt.sent_ms for attempt in attempts if attempt.endpoint.name == "warming")
        if attempts:
            checked.finish(0, AttemptResult.OK, False)
        while sent_ms and sent_ms[0] <= checked.now_ms - OVERLOAD_WINDOW_MS:
            sent_ms.popleft()
        ramp = min(1.0, index * interval_ms / SLOW_START_MS)
        capacity = INITIAL_FRACTION + (1.0 - INITIAL_FRACTION) * ramp
        mean_attempts = capacity * (OVERLOAD_WINDOW_MS / interval_ms) / (warmed_up + 1)
        assert len(sent_ms) <= OVERLOAD_FACTOR * mean_attempts + 3.0 * mean_attempts**0.5 + 2.0
