"""The model of the fleet's endpoint lists: sizes, losses and layouts; and the choice of free ports."""

from __future__ import annotations

import pytest

from benchmarks.hollow.plan import ListLayout, Plan, with_layout
from benchmarks.hollow.service_lists import (
    CHANGE_EPOCH_MS,
    LARGEST_SERVICE,
    SERVERS,
    SERVICES,
    ServiceLists,
    ServiceSizeError,
    service_sizes,
)
from benchmarks.support.free_ports import first_outgoing_port, free_ports


def test_each_layout_has_its_number_of_lists_and_servers():
    plan = Plan()
    one, fleet, together = (with_layout(plan, layout, 380) for layout in ListLayout)
    assert (one.lists, one.servers, one.largest) == (1, LARGEST_SERVICE, LARGEST_SERVICE)
    assert (fleet.lists, fleet.servers, fleet.largest) == (SERVICES, SERVERS, LARGEST_SERVICE)
    assert (together.lists, together.servers, together.largest) == (29, 380, 95)


def test_ports_are_free_and_below_those_of_outgoing_connections():
    ports = free_ports(50)
    assert len(set(ports)) == 50
    assert max(ports) < first_outgoing_port()


def test_service_sizes_are_skewed_and_add_up_to_the_servers_of_the_fleet():
    sizes = service_sizes()
    assert (len(sizes), sum(sizes), max(sizes), min(sizes) > 0) == (SERVICES, SERVERS, LARGEST_SERVICE, True)
    assert sizes == sorted(sizes, reverse=True)
    assert service_sizes(1, 1000, 1000) == [1000]
    assert service_sizes(29, 380, 95)[0] == 95
    with pytest.raises(ServiceSizeError, match="at most 10"):
        service_sizes(3, 40, 10)


def test_loss_of_a_zone_removes_its_servers_and_recovery_restores_them():
    services = ServiceLists(service_sizes(), seed=3)
    before = [set(entries) for entries in services.lists]
    lost = services.lose_zone("z05")
    removed = [entry for entries in lost.values() for entry in entries]
    assert 580 <= len(removed) <= 590
    assert {entry["az"] for entry in removed} == {"z05"}
    assert {(entry["state"], entry["boot_ms"]) for entry in removed} == {("Gone", CHANGE_EPOCH_MS + 1)}
    assert not any(entry["az"] == "z05" for entries in services.lists for entry in entries.values())
    restored = services.restore(lost)
    assert [set(entries) for entries in services.lists] == before
    assert {entry["boot_ms"] for entries in restored.values() for entry in entries} == {CHANGE_EPOCH_MS + 2}
