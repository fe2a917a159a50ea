"""Waiting watches: shared encodings, batches, deadlines, the limit, and clients that disconnect."""

from __future__ import annotations

from random import Random

import pytest

from loadbalancer.discovery_server.watch_registry import DEADLINE_TICK_MS, Watch, WatchRegistry
from tests.discovery_server.builders import apply, decoded, entry, store_with

TWENTY_ENTRIES = [entry(f"s{index}") for index in range(20)]


class WatchClients:
    """Adds watches at the store's current revision, and collects the bodies of their responses."""

    def __init__(self, store, registry):
        self.store, self.registry = store, registry
        self.bodies = []

    def add(self, deadline_ms=1000.0):
        watch = Watch(self.store, self.store.revision, self.bodies.append)
        assert self.registry.add(watch, deadline_ms)
        return watch


def registry_with_clients(*entries, limit=1000):
    store, registry = store_with(*entries), WatchRegistry(limit)
    return store, registry, WatchClients(store, registry)


def change(store, registry, uid):
    apply(store, False, entry(uid))
    registry.notify(store)


def test_one_encoding_serves_all_watches_of_a_revision():
    store, registry, clients = registry_with_clients(*TWENTY_ENTRIES)
    for _ in range(100):
        clients.add()
    before = store.responses.encodings
    change(store, registry, "b")
    while registry.flush(64):
        pass
    assert (len(clients.bodies), len({id(body) for body in clients.bodies})) == (100, 1)
    assert store.responses.encodings - before == 1
    for _ in range(100):
        clients.add()
    registry.expire(1020.0)
    registry.flush(100)
    assert (len(clients.bodies), len({id(body) for body in clients.bodies})) == (200, 2)
    assert store.responses.encodings - before == 2


def test_burst_of_changes_is_merged_into_one_response_even_between_batches():
    store, registry, clients = registry_with_clients(*TWENTY_ENTRIES)
    for _ in range(10):
        clients.add()
    for uid in "bcd":
        change(store, registry, uid)
    assert registry.flush(6)
    change(store, registry, "e")
    assert not registry.flush(6)
    assert [len(decoded(body).states) for body in clients.bodies] == [3] * 6 + [4] * 4
    assert (registry.count, registry.completed, registry.next_deadline_ms) == (0, 10, None)


def test_watches_expire_at_their_deadline_in_order_and_once():
    _, registry, clients = registry_with_clients(entry("a"))
    rng, deadlines = Random(1), []
    for _ in range(300):
        deadlines.append(rng.uniform(1.0, 60_000.0))
        clients.add(deadlines[-1])
    cancelled = clients.add(0.5)
    registry.cancel(cancelled)
    registry.cancel(cancelled)
    completed = 0
    while (expiry_ms := registry.next_deadline_ms) is not None:
        assert expiry_ms - DEADLINE_TICK_MS < sorted(deadlines)[completed] <= expiry_ms
        registry.expire(expiry_ms)
        registry.expire(expiry_ms)
        registry.flush(1000)
        completed = len(clients.bodies)
        assert completed == sum(deadline <= expiry_ms for deadline in deadlines)
    assert (completed, registry.count) == (300, 0)


def disconnect_all(registry, watches):
    for watch in watches:
        registry.cancel(watch)


@pytest.mark.parametrize(
    ("end_watches", "responses"),
    [
        pytest.param(
            lambda registry, watches: change(watches[0].store, registry, str(watches[0].revision)),
            2,
            id="change",
        ),
        pytest.param(lambda registry, _: registry.expire(2000.0), 2, id="deadline"),
        pytest.param(disconnect_all, 0, id="disconnect"),
        pytest.param(lambda registry, _: registry.complete_all(), 2, id="shutdown"),
    ],
)
def test_watches_are_limited_and_ended_watches_free_their_slots(end_watches, responses):
    store, registry, clients = registry_with_clients(entry("a"), limit=2)
    for _ in range(2):
        clients.bodies.clear()
        watches = [clients.add() for _ in range(2)]
        assert not registry.add(Watch(store, store.revision, clients.bodies.append), 9.0)
        end_watches(registry, watches)
        registry.flush(9)
        assert (registry.count, len(clients.bodies), registry.outbox_size) == (0, responses, 0)


def test_client_that_disconnects_before_the_flush_gets_no_response():
    store, registry, clients = registry_with_clients(entry("a"), limit=9)
    watches = [clients.add() for _ in range(3)]
    change(store, registry, "b")
    registry.cancel(watches[1])
    registry.flush(9)
    assert (registry.count, len(clients.bodies)) == (0, 2)
