"""The stand-in for the discovery server, read by the real watch, and its membership."""

from __future__ import annotations

import asyncio
import contextlib

import orjson

from benchmarks.support.list_server import UNUSED_ADDRESS, ListServer
from benchmarks.support.membership import Churn, Membership, make_entries
from loadbalancer.discovery.watch_client import WatchClient, WatchOptions
from loadbalancer.events import EndpointState, UpdateKind
from loadbalancer.http.addresses import parse_address
from tests.support.loopback import until


@contextlib.asynccontextmanager
async def watched_server(count, since=0, max_logged_changes=100):
    """A list server, the real watch's copy of its list by name, and the kinds of its updates."""
    entries = make_entries([UNUSED_ADDRESS] * count)
    server = ListServer(Membership(entries, 5, max_logged_changes))
    endpoints, kinds = {}, []

    def on_update(kind, endpoint_list):
        kinds.append(kind)
        if kind is UpdateKind.COMPLETE:
            endpoints.clear()
        for endpoint in endpoint_list.endpoints if endpoint_list else ():
            endpoints[endpoint.name] = endpoint
            if endpoint.state is EndpointState.REMOVED:
                del endpoints[endpoint.name]

    options = WatchOptions(20_000.0, retries_forever=True)
    watcher = WatchClient(parse_address(await server.listen()), since, options, on_update)
    watcher.start()
    try:
        yield server, endpoints, kinds
    finally:
        watcher.close()
        server.close()


def test_real_watch_follows_the_list_server():
    async def case():
        async with watched_server(40) as (server, endpoints, kinds):
            polled = []
            server.on_poll = polled.append
            churn = Churn(server.membership, 3)
            await until(lambda: len(endpoints) == 40 and server.waiting)
            assert kinds == [UpdateKind.COMPLETE]
            server.change(churn.next_changes(3, 1_000))
            await until(lambda: 6 in polled)
            assert sum(one.state is EndpointState.DRAINING for one in endpoints.values()) == 3
            server.change(churn.next_losses(30))
            await until(lambda: 7 in polled and server.waiting)
            assert sorted(endpoints) == sorted(server.membership.entries)
            assert len(endpoints) == 10
            assert kinds == [UpdateKind.COMPLETE, UpdateKind.DELTA, UpdateKind.DELTA]
            server.drop_connections()
            await until(lambda: kinds[-1] is UpdateKind.UNAVAILABLE and server.waiting)
            server.change(churn.next_changes(1, 2_000))
            await until(lambda: 8 in polled)
            server.change(churn.next_changes(1, 2_000), compact=True)
            await until(lambda: 9 in polled)
            assert kinds[-2:] == [UpdateKind.DELTA, UpdateKind.COMPLETE]
            assert sorted(endpoints) == sorted(server.membership.entries)
            assert server.accepted == 2
            assert server.bytes_out > 0 < server.bytes_in

    asyncio.run(case())


def test_watch_behind_the_change_log_gets_the_complete_list_and_responses_are_encoded_once():
    membership = Membership(make_entries([UNUSED_ADDRESS] * 8), 5, max_logged_changes=4)
    churn = Churn(membership, 3)
    for _ in range(4):
        membership.apply(churn.next_changes(2, 1_000))
    behind = orjson.loads(membership.watch_response(6))
    recent = orjson.loads(membership.watch_response(7))
    assert (behind["rev"], behind["all"], len(behind["targets"])) == (9, True, 8)
    assert (recent["rev"], recent["all"]) == (9, False)
    changed = {entry["uid"] for entry in recent["targets"]}
    assert {entry["uid"]: entry for entry in recent["targets"]} == {
        uid: membership.entries[uid] for uid in changed
    }
    assert orjson.loads(membership.watch_response(12))["all"]  # a revision that never was
    assert membership.watch_response(8) is membership.watch_response(8)
    assert membership.watch_response(6) is membership.watch_response(None)
