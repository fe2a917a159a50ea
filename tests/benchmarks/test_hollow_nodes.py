"""Hollow nodes count each change as often as it reaches their watches. No times are judged here."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from benchmarks.hollow import nodes as hollow_nodes
from benchmarks.hollow.messages import ExpectChange, StartNodes, WatchedList
from benchmarks.hollow.nodes import HollowNodes, MeteredConnection
from benchmarks.hollow.plain_server import PlainList, serve
from benchmarks.hollow.service_lists import ServiceLists
from benchmarks.support.membership import EndpointListMessage
from tests.support.loopback import until

WATCHES = [0, 0, 0, 0, 0, 1, 1, 1]  # the list's number for each node
DELIVERY_TIMEOUT_S = 10.0


@contextlib.asynccontextmanager
async def watching_nodes(monkeypatch, with_policy=False):
    """Eight hollow nodes of this process on two lists of a plain server."""
    monkeypatch.setattr(hollow_nodes.watch_client, "ClientConnection", MeteredConnection)
    services = ServiceLists([40, 40], seed=1)
    entries = [list(entries_by_uid.values()) for entries_by_uid in services.lists]
    running = await serve([PlainList(1, list_entries) for list_entries in entries])
    lists = {
        number: WatchedList(port, EndpointListMessage(1, True, entries[number]))
        for number, port in enumerate(running.ports)
    }
    nodes = HollowNodes(StartNodes(lists, WATCHES, with_policy, seed=1))
    await nodes.start()
    nodes.snapshot_counters(clear=True)
    try:
        yield services, running.servers, nodes
    finally:
        nodes.close()
        for server in running.servers:
            server.close()


async def wait_for_changed_answers(nodes, count):
    """Wait until so many answers with entries have been counted; too few after 10 s are an error."""
    async with asyncio.timeout(DELIVERY_TIMEOUT_S):
        await until(lambda: nodes.counters.changed_answers >= count)


def write(services, servers, nodes, changes, lost_zone=""):
    nodes.expect(ExpectChange(services.serial, list(changes), lost_zone))
    for number, entries in changes.items():
        servers[number].change(entries)
    return services.serial


def counts(delivery):
    return delivery.due, delivery.delivered, delivery.repeated


def test_change_is_counted_once_for_each_watch_of_its_list(monkeypatch):
    async def main():
        async with watching_nodes(monkeypatch) as (services, servers, nodes):
            first = write(services, servers, nodes, services.restart_one([0]))
            second = write(services, servers, nodes, services.restart_one([1]))
            await wait_for_changed_answers(nodes, 8)
            counters = nodes.snapshot_counters(clear=True)
            assert counts(counters.changes[first]) == (5, 5, 0)
            assert counts(counters.changes[second]) == (3, 3, 0)
            delivery = counters.changes[first]
            assert len(delivery.delivered_at_s) == len(delivery.read_at_s) == 5
            moments = zip(delivery.read_at_s, delivery.delivered_at_s, strict=True)
            assert all(read <= delivered for read, delivered in moments)
            assert nodes.snapshot_counters(clear=False).changes == {}

    asyncio.run(main())


def test_repeated_change_and_revision_that_goes_back_are_counted(monkeypatch):
    async def main():
        async with watching_nodes(monkeypatch) as (services, servers, nodes):
            changes = services.restart_one([0])
            serial = write(services, servers, nodes, changes)
            await wait_for_changed_answers(nodes, 5)
            servers[0].change(changes[0])
            await wait_for_changed_answers(nodes, 10)
            assert counts(nodes.snapshot_counters(clear=True).changes[serial]) == (5, 5, 5)
            servers[1].membership.revision = -9
            servers[1].change(services.restart_one([1])[1])
            await wait_for_changed_answers(nodes, 3)
            assert nodes.snapshot_counters(clear=True).revision_regressions == 3

    asyncio.run(main())


@pytest.mark.parametrize("form", ["changes", "changes without serial", "complete list"])
def test_loss_of_a_zone_is_counted_in_whatever_form_it_comes(monkeypatch, form):
    async def main():
        async with watching_nodes(monkeypatch) as (services, servers, nodes):
            if form == "complete list":
                monkeypatch.setattr(servers[0].membership, "_oldest_known_revision", 2)
                monkeypatch.setattr(servers[1].membership, "_oldest_known_revision", 2)
            lost = services.lose_zone("z03")
            if form == "changes without serial":
                lost = {
                    number: [entry | {"boot_ms": 0} for entry in entries] for number, entries in lost.items()
                }
            serial = write(services, servers, nodes, lost, "z03")
            await wait_for_changed_answers(nodes, 8)
            counters = nodes.snapshot_counters(clear=True)
            assert counters.complete_lists == (8 if form == "complete list" else 0)
            assert counts(counters.changes[serial]) == (8, 8, 0)

    asyncio.run(main())


def test_received_bytes_are_those_of_the_responses_and_policies_follow_the_list(monkeypatch):
    async def main():
        async with watching_nodes(monkeypatch, with_policy=True) as (services, servers, nodes):
            before = sum(server.bytes_out for server in servers)
            lost = services.lose_zone("z03")
            write(services, servers, nodes, lost, "z03")
            await wait_for_changed_answers(nodes, 8)
            counters = nodes.snapshot_counters(clear=True)
            sent = sum(server.bytes_out for server in servers) - before
            assert counters.received_bytes == sent >= counters.changed_answer_bytes > 0
            for node in nodes.nodes:
                assert set(node.policy.endpoints.by_name) == set(services.lists[node.list_number])

    asyncio.run(main())
