"""Endpoint lists on their way from discovery to the policy and the connection pool."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.discovery.endpoint_list import EndpointList
from loadbalancer.events import (
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    EndpointState,
    MembershipUpdate,
    UpdateKind,
)
from tests.support.loopback import (
    HttpClient,
    LoopbackServer,
    ScriptedDiscovery,
    ScriptedPolicy,
    endpoint_list_response,
    reply,
    request,
    running_proxy,
    send_request,
    until,
)
from tests.support.program import READINESS_REQUEST
from tests.support.proxy import (
    policy_sending_to,
)


def test_policy_is_told_complete_delta_and_unavailable_lists():
    async def main():
        server = LoopbackServer()
        await server.start()
        discovery = ScriptedDiscovery(
            endpoint_list_response(5, True, s1=(server.endpoint, "Ready")),
            endpoint_list_response(
                6, False, s1=(server.endpoint, "Terminating"), s2=(server.endpoint, "Ready")
            ),
            reply(503),
        )
        async with running_proxy(LoopbackServer(), discovery=discovery) as proxy:
            proxy.policy = scripted = ScriptedPolicy()
            # The policy's first action, on the known list, was to ask for a watch.
            await until(lambda: len(scripted.events_of(MembershipUpdate)) == 3)
            kinds = [event.kind for event in scripted.events_of(MembershipUpdate)]
            assert kinds == [UpdateKind.COMPLETE, UpdateKind.DELTA, UpdateKind.UNAVAILABLE]
            assert set(proxy.pool._endpoints) == {"s2"}
            queries = [message.first[1] for message in discovery.seen]
            assert [query.split("?")[1].split("&")[0] for query in queries] == [
                "since=1",
                "since=5",
                "since=6",
            ]
            assert discovery.connections == 1
        server.stop()

    asyncio.run(main())


def test_known_endpoints_come_first_and_as_cached():
    async def main():
        async with running_proxy(LoopbackServer()) as proxy:
            proxy.policy = scripted = ScriptedPolicy()
            await proxy.start()
            assert [event.kind for event in scripted.events_of(MembershipUpdate)] == [UpdateKind.CACHED]
            assert scripted.events[0].endpoints[0].started_ms is None  # 0 means long ago

    asyncio.run(main())


@pytest.mark.parametrize(
    "response",
    [
        reply(500),
        reply(200, b"{"),
        reply(200, b"[]"),
        reply(200, b'{"rev":2,"all":true,"targets":[{"uid":"x"}]}'),
        reply(200, b'{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":"nowhere","state":"Ready"}]}'),
        reply(200, b'{"rev":2,"all":true,"targets":[{"uid":"x","endpoint":"127.0.0.1:1","state":"Odd"}]}'),
        None,
    ],
)
def test_bad_discovery_response_is_unavailable_and_keeps_the_list(response):
    async def main():
        async with running_proxy(LoopbackServer(), discovery=ScriptedDiscovery(response)) as proxy:
            proxy.policy = scripted = ScriptedPolicy()
            await until(lambda: scripted.events_of(MembershipUpdate))
            assert [event.kind for event in scripted.events_of(MembershipUpdate)] == [UpdateKind.UNAVAILABLE]
            assert (set(proxy.pool._endpoints), proxy.listener.ready) == ({"s0"}, True)
            assert proxy.watch_client._task is None  # the policy decides when to poll again

    asyncio.run(main())


def test_unanswered_discovery_request_fails_and_the_policy_polls_again(monkeypatch):
    async def main():
        monkeypatch.setattr("loadbalancer.discovery.watch_client.RESPONSE_GRACE_S", 0.05)
        discovery = ScriptedDiscovery()
        async with running_proxy(
            LoopbackServer(), discovery=discovery, settings={"invariants": {"askWithinMs": 100.0}}
        ) as proxy:
            await until(lambda: len(discovery.seen) >= 2)
            assert discovery.seen[0].first[1].endswith("&timeout_ms=50")
            assert proxy.statistics.endpoint_lists[UpdateKind.UNAVAILABLE] >= 1

    asyncio.run(main())


def test_pushed_list_is_watched_from_the_start_and_through_failures(monkeypatch):
    async def main():
        monkeypatch.setattr("loadbalancer.discovery.watch_client.PUSH_BACKOFF_S", 0.01)
        discovery = ScriptedDiscovery(
            reply(503), endpoint_list_response(5, True, s9=("127.0.0.1:9", "Ready"))
        )
        async with running_proxy(
            LoopbackServer(), discovery=discovery, settings={"registryMode": "push"}
        ) as proxy:
            await until(lambda: set(proxy.pool._endpoints) == {"s9"})
            assert set(proxy.policy.endpoints.by_name) == {"s9"}

    asyncio.run(main())


def test_drain_withdraws_what_is_connecting_for_a_retry():
    async def main():
        server = LoopbackServer()
        async with running_proxy(server) as proxy:
            proxy.policy = scripted = ScriptedPolicy(policy_sending_to("s0", "s0"))
            client = await HttpClient.to(proxy)
            hold = asyncio.Event()

            async def never(endpoint):
                await hold.wait()

            proxy.pool.connect = never  # a connection that does not come up
            client.writer.write(request())
            await until(lambda: proxy.pool.size)
            row = EndpointList(9, False, (Endpoint("s0", state=EndpointState.DRAINING),), {"s0": ("", 1)})
            proxy._on_endpoint_list(UpdateKind.DELTA, row)
            assert [event.result for event in scripted.events_of(AttemptOutcome)] == [
                AttemptResult.CONNECT_FAILED
            ] * 2
            assert (await client.read_response()).status == 502
            assert server.seen == []
            client.writer.close()

    asyncio.run(main())


def test_ready_only_with_an_endpoint_to_send_to():
    async def main():
        discovery = ScriptedDiscovery(endpoint_list_response(5, True, s9=("127.0.0.1:9", "Ready")))
        async with running_proxy(discovery=discovery) as proxy:
            assert (await send_request(proxy, READINESS_REQUEST)).status == 503
            await until(lambda: proxy.listener.ready)
            assert (await send_request(proxy, READINESS_REQUEST)).status == 200

    asyncio.run(main())
