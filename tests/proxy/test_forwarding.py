"""Forwarding of requests: what is sent to endpoints, what is retried and what is never sent."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.actions import Fail, Reject, Send
from loadbalancer.discovery.endpoint_list import EndpointList
from loadbalancer.events import AttemptOutcome, AttemptResult, ClientDisconnected, Endpoint, UpdateKind
from tests.support.loopback import (
    HttpClient,
    LoopbackServer,
    StalledBackend,
    always,
    running_proxy,
    send_request,
    until,
)
from tests.support.messages import request, response_bytes
from tests.support.proxy import policy_sending_to
from tests.support.scripted_policy import acting_on, script_policy


async def test_request_is_forwarded_unchanged_and_its_response_returned(backend, proxy):
    backend.script = always(response_bytes(200, b"posted", Srv_Load="TEXT inflight=7, queue=3, util=0.61"))
    response = await send_request(
        proxy, request("post", "q7", b'{"a":1}', Req_Deadline_Ms="9000", Idempotency_Key="k1")
    )
    assert (response.status, response.body) == (200, b"posted")
    received = backend.received[0]
    assert received.start_line == ["POST", "/post/7f3a?x=1", "HTTP/1.1"]
    assert received.body == b'{"a":1}'
    assert (received.headers["req-id"], received.headers["idempotency-key"]) == ("q7", "k1")
    assert 0 < int(received.headers["req-deadline-ms"]) < 9000
    assert proxy.policy.endpoints.by_name["s0"].reported_queue == 3
    assert proxy.requests.by_id == {}


@pytest.mark.parametrize("kind", ["post", "read"])
async def test_only_the_policy_retries(kind, monkeypatch, backend, proxy):
    monkeypatch.setattr("loadbalancer.proxy.connection_pool.REUSE_DELAY_S", 0.0)

    async def script(message):
        return None if len(backend.received) == 2 else response_bytes()

    backend.script = script
    scripted = script_policy(proxy, policy_sending_to("s0"))
    assert (await send_request(proxy, request(kind, "q1"))).status == 200
    assert (await send_request(proxy, request(kind, "q2"))).status == 502  # on the pooled connection
    assert (backend.connections, len(backend.received)) == (1, 2)
    assert scripted.attempt_results == [AttemptResult.OK, AttemptResult.RESET]


async def test_non_idempotent_request_is_retried_after_a_rejection_only():
    async def script(message):
        return (
            response_bytes(503, Srv_Declined="1")
            if message.headers["req-id"] == "q1"
            else response_bytes(500)
        )

    first, second = LoopbackServer(script), LoopbackServer(script)
    async with running_proxy(first, second) as proxy:
        assert (await send_request(proxy, request("post", "q1"))).status == 503
        assert len(first.received) == len(second.received) == 1
        assert (await send_request(proxy, request("post", "q2"))).status == 502
        assert len(first.received) + len(second.received) == 3


async def test_attempt_past_the_maximum_or_of_an_ended_request_is_not_sent(backend, proxy):
    def retry(event):
        not_sent = event.result is AttemptResult.NOT_SENT
        return [Fail(event.request_id) if not_sent else Send(event.request_id, "s0")]

    backend.script = always(response_bytes(500))
    scripted = script_policy(proxy, acting_on(lambda event: [Send(event.request_id, "s0")], retry))
    assert (await send_request(proxy, request())).status == 502
    assert len(backend.received) == 3
    outcomes = scripted.events_of(AttemptOutcome)
    assert [event.attempt for event in outcomes] == [0, 1, 2, 3]
    assert outcomes[-1].result is AttemptResult.NOT_SENT
    scripted = script_policy(proxy)
    proxy.policy_runner.execute(Send("q1", "s0"))
    assert [(event.result, event.done) for event in scripted.events_of(AttemptOutcome)] == [
        (AttemptResult.NOT_SENT, True)
    ]
    assert len(backend.received) == 3


async def test_attempt_of_a_disconnected_client_still_has_its_outcome():
    server = StalledBackend()
    async with running_proxy(server) as proxy:
        client = await HttpClient.to(proxy)
        client.writer.write(request())
        await until(lambda: server.received)
        assert proxy.policy.endpoints.by_name["s0"].in_flight == 1.0
        client.writer.close()
        await until(lambda: not proxy.requests.by_id)
        await until(lambda: proxy.policy.endpoints.by_name["s0"].in_flight == 0.0)
        assert proxy.requests.open_count == 0


async def test_slower_hedged_request_has_its_outcome_after_the_request_has_ended():
    server = StalledBackend()
    async with running_proxy(server, LoopbackServer()) as proxy:
        hedge = acting_on(lambda event: [Send(event.request_id, name) for name in ("s0", "s1")])
        scripted = script_policy(proxy, hedge)
        assert (await send_request(proxy, request())).body == b"done"
        server.release.set()
        await until(lambda: not proxy.requests.by_id)
        outcomes = scripted.events_of(AttemptOutcome)
        assert [(event.attempt, event.done) for event in outcomes] == [(1, True), (0, True)]


async def test_attempt_ends_before_the_deadline_whatever_its_timeout(clock):
    server = StalledBackend()
    async with running_proxy(server) as proxy:
        send = acting_on(
            lambda event: [Send(event.request_id, "s0", 60_000.0)], lambda event: [Fail(event.request_id)]
        )
        scripted = script_policy(proxy, send)
        response = asyncio.create_task(send_request(proxy, request(Req_Deadline_Ms="10000")))
        await until(lambda: server.received)
        while not response.done():
            clock.advance(0.01)
            await asyncio.sleep(0)
        assert response.result().status == 504
        # The policy fails the request on the time-out, before the proxy's backstop does.
        assert scripted.attempt_results == [AttemptResult.TIMEOUT]
        assert not scripted.events_of(ClientDisconnected)


async def test_attempt_past_the_deadline_is_not_sent_and_opens_no_connection(backend, proxy):
    send_twice = acting_on(
        lambda event: 2 * [Send(event.request_id, "s0")], lambda event: [Reject(event.request_id)]
    )
    scripted = script_policy(proxy, send_twice)
    assert (await send_request(proxy, request(Req_Deadline_Ms="0"))).status == 503
    outcomes = [(event.result, event.attempt) for event in scripted.events_of(AttemptOutcome)]
    assert outcomes == [(AttemptResult.NOT_SENT, 0), (AttemptResult.NOT_SENT, 1)]
    assert backend.connections == 0


async def test_connections_from_before_an_endpoints_restart_are_not_reused(monkeypatch, backend, proxy):
    monkeypatch.setattr("loadbalancer.proxy.connection_pool.REUSE_DELAY_S", 0.0)
    assert (await send_request(proxy, request(name="q1"))).status == 200
    endpoints = {"s0": backend.address}
    for started_ms in (5.0, 5.0):
        endpoint_list = EndpointList(9, False, (Endpoint("s0", started_ms=started_ms),), endpoints)
        proxy.membership.apply(UpdateKind.DELTA, endpoint_list)
        assert (await send_request(proxy, request(name="q2"))).status == 200
    assert backend.connections == 2


async def test_attempt_to_an_endpoint_that_is_not_in_the_pool_is_connect_failed(proxy):
    scripted = script_policy(proxy, policy_sending_to("unknown"))
    assert (await send_request(proxy, request())).status == 502
    (outcome,) = scripted.events_of(AttemptOutcome)
    assert (outcome.result, outcome.done) == (AttemptResult.CONNECT_FAILED, False)
    assert not proxy.requests.by_id
