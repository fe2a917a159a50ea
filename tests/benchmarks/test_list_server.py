"""The benchmarks' list server, watched by the proxy's watch client, and its membership."""

from __future__ import annotations

from dataclasses import dataclass, field

import orjson
import pytest

from benchmarks.support.list_server import UNUSED_ADDRESS, ListServer
from benchmarks.support.membership import Churn, Membership, make_entries
from loadbalancer.discovery.watch_client import WatchClient, WatchOptions
from loadbalancer.events import Endpoint, EndpointState, UpdateKind
from loadbalancer.http.addresses import parse_address
from tests.support.loopback import until

ENDPOINTS = 40


@dataclass
class WatchedCopy:
    """The endpoints that a watch has received, by name, and the kinds of its updates."""

    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    kinds: list[UpdateKind] = field(default_factory=list)

    def on_update(self, kind, endpoint_list):
        self.kinds.append(kind)
        if kind is UpdateKind.COMPLETE:
            self.endpoints.clear()
        for endpoint in endpoint_list.endpoints if endpoint_list else ():
            self.endpoints[endpoint.name] = endpoint
            if endpoint.state is EndpointState.REMOVED:
                del self.endpoints[endpoint.name]


@pytest.fixture
async def server():
    entries = make_entries([UNUSED_ADDRESS] * ENDPOINTS)
    server = ListServer(Membership(entries, 5, 100))
    yield server
    server.close()


@pytest.fixture
async def copy(server):
    copy = WatchedCopy()
    options = WatchOptions(20_000.0, retries_forever=True)
    watcher = WatchClient(parse_address(await server.listen()), 0, options, copy.on_update)
    watcher.start()
    yield copy
    watcher.close()


async def test_watch_client_has_the_current_list_after_changes_losses_and_a_reconnection(server, copy):
    polled: list[int | None] = []
    server.on_poll = polled.append
    churn = Churn(server.membership, 3)
    await until(lambda: len(copy.endpoints) == ENDPOINTS and server.waiting)
    assert copy.kinds == [UpdateKind.COMPLETE]
    server.change(churn.next_changes(3, 1_000))
    await until(lambda: 6 in polled)
    assert sum(one.state is EndpointState.DRAINING for one in copy.endpoints.values()) == 3
    server.change(churn.next_losses(30))
    await until(lambda: 7 in polled and server.waiting)
    assert sorted(copy.endpoints) == sorted(server.membership.entries)
    assert len(copy.endpoints) == 10
    assert copy.kinds == [UpdateKind.COMPLETE, UpdateKind.DELTA, UpdateKind.DELTA]
    server.drop_connections()
    await until(lambda: copy.kinds[-1] is UpdateKind.UNAVAILABLE and server.waiting)
    server.change(churn.next_changes(1, 2_000))
    await until(lambda: 8 in polled)
    server.change(churn.next_changes(1, 2_000), compact=True)
    await until(lambda: 9 in polled)
    assert copy.kinds[-2:] == [UpdateKind.DELTA, UpdateKind.COMPLETE]
    assert sorted(copy.endpoints) == sorted(server.membership.entries)
    assert server.accepted == 2
    assert server.bytes_out > 0 < server.bytes_in


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
    assert orjson.loads(membership.watch_response(12))["all"]  # a revision that the server has not issued
    assert membership.watch_response(8) is membership.watch_response(8)
    assert membership.watch_response(6) is membership.watch_response(None)
