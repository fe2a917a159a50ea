"""Discovery servers on loopback: registry, region, zone and nodes; restarts, and upstreams that fail."""

from __future__ import annotations

import asyncio

import orjson

from loadbalancer.discovery_server import upstream_selector
from loadbalancer.discovery_server.config import ListLimits
from loadbalancer.proxy.proxy import Proxy
from tests.discovery_server.cluster import (
    Client,
    Registry,
    address_of,
    discovery_server,
    endpoint_of,
    get,
    get_list,
    ready,
    start_watch,
)
from tests.support.loopback import LoopbackServer, config, reply, targets, until


def test_change_goes_from_the_registry_by_region_and_zone_to_watches_and_a_node(tmp_path):
    async def main():
        registry = await Registry(**ready("a")).start()
        async with (
            discovery_server(tmp_path / "region", registry.endpoint) as region,
            discovery_server(tmp_path / "zone", endpoint_of(region)) as zone,
        ):
            await until(lambda: zone.ready)
            node = Proxy(config(endpoint_of(zone)))
            await node.start()
            await until(lambda: set(node.policy.endpoints.by_name) == {"a"})
            revision, complete, uids = await get_list(zone)
            assert (complete, uids) == (True, ["a"])
            watches = [await start_watch(zone, revision) for _ in range(100)]
            before = zone.statistics().encodings
            registry.set(**ready("a", "b"))
            deltas = await asyncio.gather(*watches)
            assert {(delta.complete, *delta.uids) for delta in deltas} == {(False, "b")}
            assert min(delta.revision for delta in deltas) > revision
            assert zone.statistics().encodings == before + 1
            await until(lambda: set(node.policy.endpoints.by_name) == {"a", "b"})
            registry.set(**ready("b"))
            await until(lambda: set(node.policy.endpoints.by_name) == {"b"})
            node.close()
        registry.stop()

    asyncio.run(main())


def test_restart_serves_the_snapshot_at_once_while_the_registry_is_down(tmp_path):
    async def main():
        registry = await Registry(**ready("a", "b")).start()
        async with discovery_server(tmp_path, registry.endpoint) as server:
            await until(lambda: server.ready)
            first = await get_list(server)
        registry.stop()
        async with discovery_server(tmp_path, registry.endpoint) as server:
            assert server.ready
            assert await get_list(server) == first
            client = await Client.connect(address_of(server))
            revision = (await client.watch(first.revision, timeout_ms=1)).revision
            assert revision == first.revision
            watch = await start_watch(server, revision, client)
            returned = Registry(**ready("a", "b", "c"))
            returned._server = await asyncio.start_server(returned._serve, "127.0.0.1", registry.port)
            later, complete, uids = await watch
            assert (later > revision, complete, uids) == (True, False, ["c"])
            returned.stop()

    asyncio.run(main())


def test_server_without_a_list_answers_503(tmp_path):
    async def main():
        silent = await LoopbackServer(lambda _: asyncio.Event().wait()).start()
        async with discovery_server(tmp_path, silent.endpoint) as server:
            message = await get(server)
            assert (message.status, message.headers["retry-after"]) == (503, "1.000")
            client = await Client.connect(address_of(server))
            assert (await client.get("/up")).status == 503
        silent.stop()

    asyncio.run(main())


def test_next_upstream_is_followed_from_its_complete_list_and_revisions_increase(tmp_path):
    """Both count their revisions alike and hold other lists; then the second counts anew."""

    async def main():
        first, second = await Registry(**ready("a", "b")).start(), await Registry(**ready("b", "c")).start()
        first.rev = second.rev = 5
        async with discovery_server(tmp_path, first.endpoint, second.endpoint) as server:
            await until(lambda: server.ready)
            client = await Client.connect(address_of(server))
            revision, _, uids = await client.get_list()
            assert uids == ["a", "b"]
            watch = await start_watch(server, revision, client)
            first.stop()
            later = (await watch).revision
            assert (later > revision, set((await get_list(server)).uids)) == (True, {"b", "c"})
            watch = await start_watch(server, later, client)
            second.rev = 1
            second.set(**ready("b", "d"))
            latest = (await watch).revision
            assert (latest > later, set((await get_list(server)).uids)) == (True, {"b", "d"})
        second.stop()

    asyncio.run(main())


UNUSABLE_ANSWERS = [
    reply(200, b"{"),
    reply(200, orjson.dumps({"rev": 9, "all": True, "targets": [{"uid": "x"}]})),
    reply(200, orjson.dumps({"rev": 9, "all": False, "targets": targets(**ready("x"))})),
    reply(200, orjson.dumps({"rev": 9, "all": True, "targets": targets(**ready(*map(str, range(9))))})),
    reply(503),
    b"what?\r\n\r\n",
    None,
]


def test_malformed_or_too_long_answers_of_an_upstream_change_nothing(tmp_path, monkeypatch):
    monkeypatch.setattr(upstream_selector, "MAX_BACKOFF_S", 0.1)

    async def main():
        answers = [*UNUSABLE_ANSWERS]

        async def script(message):
            if answers:
                return answers.pop(0)
            return await registry.respond(message)

        registry = Registry(**ready("a"))
        upstream = await LoopbackServer(script).start()
        limits = ListLimits(max_entries=5)
        async with discovery_server(tmp_path, upstream.endpoint, list_limits=limits) as server:
            await until(lambda: server.ready)
            revision, _, uids = await get_list(server)
            assert uids == ["a"]
            watch = await start_watch(server, revision)
            answers += UNUSABLE_ANSWERS
            registry.set(**ready("a"))
            await until(lambda: not answers)
            registry.set(**ready("a", "b"))
            assert (await watch)[1:] == (False, ["b"])
        upstream.stop()

    asyncio.run(main())
