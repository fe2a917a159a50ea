"""An error in sending one client's response concerns neither other requests nor the policy's state.

ENOTCONN once left through callers that expect no error. These tests raise errors in `respond` itself.
"""

from __future__ import annotations

import pytest

from loadbalancer.actions import Reject
from loadbalancer.http.server_connection import ServerConnection
from tests.support.loopback import HttpClient, StalledBackend, until
from tests.support.messages import request
from tests.support.scripted_policy import acting_on, script_policy


@pytest.fixture
def backend():
    return StalledBackend()


@pytest.fixture(params=[OSError, RuntimeError])
async def failing(proxy, request, monkeypatch):
    """A client whose connection raises an error when its response is sent."""
    respond = ServerConnection.respond

    def fail_or_respond(connection, http_request, *response):
        if http_request.headers.get(b"req-id") == b"fails":
            raise request.param
        respond(connection, http_request, *response)

    monkeypatch.setattr(ServerConnection, "respond", fail_or_respond)
    return await HttpClient.to(proxy)


@pytest.fixture
async def other(proxy):
    """Another client."""
    return await HttpClient.to(proxy)


async def test_outcome_reaches_the_policy(backend, proxy, failing, other):
    failing.writer.write(request("post", "fails"))
    await until(lambda: backend.received)
    backend.release.set()
    assert await failing.reader.read() == b""
    await until(lambda: not proxy.requests.by_id)
    assert [endpoint.in_flight for endpoint in proxy.policy.endpoints.by_name.values()] == [0.0]
    assert (await other.send(request("post", "q1"))).status == 200
    assert (proxy.requests.open_count, proxy.statistics.event_loop_errors) == (0, 1)


async def test_end_of_a_shutdown_responds_to_the_others(backend, proxy, failing, other):
    failing.writer.write(request("post", "fails"))
    await until(lambda: backend.received)
    other.writer.write(request("post", "q1"))
    await until(lambda: len(backend.received) == 2)
    proxy.end_requests()
    assert (await other.read_response()).status == 502
    assert await failing.reader.read() == b""


async def test_other_actions_of_the_event_are_executed(proxy, failing, other):
    reject_both = [Reject("fails"), Reject("q1")]
    script_policy(proxy, acting_on(lambda event: reject_both if event.request_id == "q1" else []))
    failing.writer.write(request("post", "fails"))
    await until(lambda: "fails" in proxy.requests.by_id)
    assert (await other.send(request("post", "q1"))).status == 503
    assert await failing.reader.read() == b""
