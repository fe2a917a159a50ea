"""Membership updates and load reports, and the state of endpoints after them."""

from __future__ import annotations

import pytest

from loadbalancer.events import (
    AttemptResult,
    Endpoint,
    EndpointState,
    LoadReport,
    MembershipUpdate,
    UpdateKind,
)
from tests.support.builders import PolicyHarness, build_endpoints


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_draining_or_removed_endpoint_gets_no_attempt(state):
    harness = PolicyHarness(endpoint_count=3)
    harness.list_endpoints(Endpoint("s1", "b", state=state), kind=UpdateKind.DELTA)
    assert "s1" not in {harness.serve() for _ in range(12)}


def test_endpoint_absent_from_a_complete_list_is_removed():
    harness = PolicyHarness(endpoint_count=3)
    harness.list_endpoints(*build_endpoints(2))
    assert "s2" not in {harness.serve() for _ in range(12)}


def test_list_remains_in_use_while_discovery_is_unavailable():
    harness = PolicyHarness(endpoint_count=2, polls_discovery=True)
    harness.handle(MembershipUpdate(UpdateKind.UNAVAILABLE))
    assert harness.submit().is_sent


def test_restarted_endpoint_is_warming_up_and_has_no_measurements():
    harness = PolicyHarness(endpoint_count=2)
    for _ in range(6):
        harness.serve()
    restarted = Endpoint("s0", "a", started_ms=harness.now_ms)
    harness.list_endpoints(restarted, kind=UpdateKind.DELTA)
    assert harness.tracked("s0").relative_latency is None
    assert [harness.serve(latency_ms=1.0) for _ in range(20)].count("s0") < 10


def test_load_report_has_the_values_that_the_policy_uses():
    values = {"inflight": 9.0, "queue": 3.0, "util": 0.5, "latency_ms": 12.0, "qps": 80.0, "eps": 0.0}
    assert LoadReport.from_values(values) == LoadReport(in_flight=9.0, queue=3.0, utilisation=0.5)
    assert LoadReport.from_values({"eps": 0.0}) == LoadReport()
    assert LoadReport.from_values({}) is None


def test_load_report_without_a_utilisation_retains_the_previous_one():
    harness = PolicyHarness()
    harness.report_load("s0", utilisation=0.5)
    harness.report_load("s0", queue=2.0)
    endpoint = harness.tracked("s0")
    assert (endpoint.utilisation, endpoint.reported_queue) == (0.5, 2.0)


def test_reported_requests_in_flight_of_other_replicas_count_as_a_queue():
    harness = PolicyHarness(endpoint_count=1)
    harness.submit()
    harness.report_load("s0", in_flight=4.0)
    assert harness.tracked("s0").reported_queue == 3.0


def test_rejection_counts_as_the_report_of_a_queue():
    harness = PolicyHarness(endpoint_count=1)
    first, _, _ = [harness.submit() for _ in range(3)]
    harness.finish(first, AttemptResult.REJECTED, 1.0, done=True)
    endpoint = harness.tracked("s0")
    assert (endpoint.reported_queue, endpoint.reported_ms) == (2.0, harness.now_ms)


def test_load_report_of_a_replaced_process_is_not_that_of_the_new_one():
    """Guards against a late response of the old process, which is full, keeping requests from the new one."""
    harness = PolicyHarness(endpoint_count=1)
    request = harness.submit()
    harness.list_endpoints(Endpoint("s0", "a", started_ms=harness.now_ms))
    harness.finish(request, AttemptResult.OK, load_report=LoadReport(in_flight=50.0, utilisation=1.0))
    assert harness.tracked("s0").reported_ms < harness.now_ms
    assert not harness.policy.endpoints.reports_in_flight()
