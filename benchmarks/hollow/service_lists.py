"""A model of the fleet's endpoint lists: services with a skewed size distribution, and changes to them."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from benchmarks.support.membership import READY, REMOVED, EndpointEntry

SERVICES = 1300
SERVERS = 17_000
LARGEST_SERVICE = 1000  # servers
ZONES = 29
MODELS = 3
POD_GROUPS = 8
CHANGE_EPOCH_MS = 1_900_000_000_000  # `boot_ms` of a changed entry is this plus the change's serial number
MAX_SKEW_EXPONENT = 8.0
SKEW_BISECTIONS = 60  # enough to reach the precision of a float

ListChanges = dict[int, list[EndpointEntry]]  # changed entries by the number of their list


class ServiceSizeError(ValueError):
    """The servers cannot be divided among the services within the maximum size."""

    def __init__(self, services: int, servers: int, largest: int) -> None:
        super().__init__(f"cannot divide {servers} servers among {services} services of at most {largest}")
        self.services = services
        self.servers = servers
        self.largest = largest


def service_sizes(
    services: int = SERVICES, servers: int = SERVERS, largest: int = LARGEST_SERVICE
) -> list[int]:
    """Return the number of servers of each service, largest first, as a power law of the service's rank.

    Args:
        services: The number of services.
        servers: The sum of all sizes, exactly.
        largest: The size of the largest service.

    Raises:
        ServiceSizeError: No sizes satisfy these numbers.
    """
    if not largest <= servers or not services <= servers or not largest * services >= servers:
        raise ServiceSizeError(services, servers, largest)
    low, high = 0.0, MAX_SKEW_EXPONENT
    for _ in range(SKEW_BISECTIONS):
        exponent = (low + high) / 2.0
        total = sum(_skewed_sizes(services, exponent, largest))
        low, high = (exponent, high) if total > servers else (low, exponent)
    sizes = _skewed_sizes(services, high, largest)
    _distribute(servers - sum(sizes), sizes, largest)
    return sizes


def _skewed_sizes(services: int, exponent: float, largest: int) -> list[int]:
    return [max(1, int(largest * rank**-exponent)) for rank in range(1, services + 1)]


def _distribute(missing: int, sizes: list[int], largest: int) -> None:
    """Add the servers lost by rounding, one each, to the services after the largest."""
    services = len(sizes)
    index = 1
    while missing > 0:
        if services == 1 or sizes[index] < largest:
            sizes[index % services] += 1
            missing -= 1
        index = index + 1 if index + 1 < services else min(1, services - 1)


class ServiceLists:
    """The endpoint lists of all services; `boot_ms` of changed entries encodes the change's serial number."""

    def __init__(self, sizes: Iterable[int], seed: int) -> None:
        self.rng = Random(seed)
        self.lists: list[dict[str, EndpointEntry]] = []  # by list number; each maps uid to entry
        self.serial = 0  # serial number of the last change
        server_number = 0
        for size in sizes:
            entries: dict[str, EndpointEntry] = {}
            for _ in range(size):
                entry = self._new_entry(server_number)
                entries[entry["uid"]] = entry
                server_number += 1
            self.lists.append(entries)

    def _new_entry(self, number: int) -> EndpointEntry:
        host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        return {
            "uid": f"s-{self.rng.getrandbits(32):08x}{number:05x}",
            "endpoint": f"{host}:7070",
            "az": f"z{number % ZONES:02d}",
            "model": f"m{number % MODELS}",
            "pod_group": number % POD_GROUPS,
            "state": READY,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def restart_one(self, list_numbers: Iterable[int]) -> ListChanges:
        """Restart one random server of these lists."""
        candidates = list(list_numbers)
        (number,) = self.rng.choices(candidates, [len(self.lists[number]) for number in candidates])
        uid = self.rng.choice(list(self.lists[number]))
        return self._change({number: [uid]}, READY)

    def restart_one_of_each(self, list_numbers: Iterable[int]) -> ListChanges:
        """Restart one random server of each of these lists, in one change."""
        return self._change(
            {number: [self.rng.choice(list(self.lists[number]))] for number in list_numbers}, READY
        )

    def lose_zone(self, zone: str) -> ListChanges:
        """Remove all servers of a zone from the lists, in one change."""
        return self._change(self._uids_in_zone(zone), REMOVED)

    def restore(self, lost: ListChanges) -> ListChanges:
        """Restore lost servers to their lists, in one change."""
        for number, entries in lost.items():
            self.lists[number].update({entry["uid"]: entry for entry in entries})
        return self._change(
            {number: [entry["uid"] for entry in entries] for number, entries in lost.items()}, READY
        )

    def _uids_in_zone(self, zone: str) -> dict[int, list[str]]:
        uids_by_list = {
            number: [uid for uid, entry in entries.items() if entry["az"] == zone]
            for number, entries in enumerate(self.lists)
        }
        return {number: uids for number, uids in uids_by_list.items() if uids}

    def _change(self, uids_by_list: dict[int, list[str]], state: str) -> ListChanges:
        self.serial += 1
        changes: ListChanges = {}
        for number, uids in uids_by_list.items():
            entries = self.lists[number]
            changes[number] = [
                entries[uid] | {"state": state, "boot_ms": CHANGE_EPOCH_MS + self.serial} for uid in uids
            ]
            for entry in changes[number]:
                if state == REMOVED:
                    del entries[entry["uid"]]
                else:
                    entries[entry["uid"]] = entry
        return changes

    def sample_watches(self, count: int) -> list[int]:
        """Return the number of the watched list for each of `count` nodes.

        Nodes are sampled from the fleet, in which each server has one node. If `count` exceeds the number of
        servers, nodes are assigned to all servers in list order, repeatedly.
        """
        list_of_server = [number for number, entries in enumerate(self.lists) for _ in entries]
        if count <= len(list_of_server):
            return self.rng.sample(list_of_server, count)
        return [list_of_server[index % len(list_of_server)] for index in range(count)]
