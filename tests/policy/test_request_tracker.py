"""Open requests: the one final response, streamed responses, and the weight in flight."""

from __future__ import annotations

import pytest

from loadbalancer.actions import Cancel, Fail, Reject
from loadbalancer.events import AttemptResult, ClientDisconnected, ResponseStarted
from loadbalancer.settings import Idempotency
from tests.support.builders import PolicyHarness, build_class, sends, types

STREAMING = build_class("stream", streaming=True, idempotency=Idempotency.IDEMPOTENT)


def test_no_action_follows_the_end_of_a_request():
    harness = PolicyHarness()
    request = harness.submit("read")
    disconnected = ClientDisconnected(request.request_id)
    assert types(harness.handle(disconnected)) == [Cancel]
    assert harness.finish(request, AttemptResult.CANCELLED, done=True) == []
    assert harness.handle(disconnected) == []
    assert harness.policy.requests.open_requests == {}


@pytest.mark.parametrize(("service_class", "final_response"), [("post", Fail), ("read", Reject)])
def test_timeout_at_the_deadline_gives_the_final_response_at_once(service_class, final_response):
    harness = PolicyHarness()
    request = harness.submit(service_class, remaining_ms=300.0)
    harness.advance(300.0)
    assert types(harness.finish(request, AttemptResult.TIMEOUT, 300.0)) == [final_response]


def test_request_is_rejected_without_endpoints():
    harness = PolicyHarness(endpoint_count=0)
    assert types(harness.submit("post").actions) == [Reject]


def test_started_stream_is_not_cancelled_when_its_client_disconnects():
    harness = PolicyHarness(classes=(STREAMING,))
    request = harness.submit("stream")
    harness.handle(ResponseStarted(request.request_id, 0))
    assert harness.handle(ClientDisconnected(request.request_id)) == []


def test_started_stream_has_no_further_attempt():
    harness = PolicyHarness(classes=(STREAMING,))
    request = harness.submit("stream")
    assert harness.handle(ResponseStarted(request.request_id, 0)) == []
    assert sends(harness.end_period(2000.0)) == []
    assert harness.finish(request, AttemptResult.RESET, done=True) == []


def test_requests_count_in_flight_by_cost_if_the_settings_weight_by_cost():
    harness = PolicyHarness(weight_by_cost=True)
    harness.submit(cost_hint_ms=10.0)
    harness.submit(cost_hint_ms=100.0)
    in_flight = sorted(endpoint.in_flight for endpoint in harness.policy.endpoints.by_name.values())
    assert in_flight[-1] > in_flight[-2] > 0


def test_cancelled_attempt_counts_in_flight_for_the_mean_latency_of_its_class():
    """An endpoint can continue to execute abandoned attempts, and is overloaded if they do not count."""
    harness = PolicyHarness(endpoint_count=1)
    for _ in range(3):
        harness.serve(latency_ms=400.0)
    request = harness.submit()
    harness.advance(50.0)
    (cancel,) = harness.handle(ClientDisconnected(request.request_id))
    harness.finish(request, AttemptResult.CANCELLED, 50.0, done=True)
    assert cancel == Cancel(request.request_id, 0)
    endpoint = harness.tracked("s0")
    harness.end_period(after_ms=300.0)
    assert endpoint.in_flight == 1.0
    harness.end_period(after_ms=150.0)
    assert (endpoint.in_flight, len(endpoint.abandoned)) == (0.0, 0)
