"""The plan of a run of hollow nodes: its lists, its phases and their lengths."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from benchmarks.hollow.server_under_test import ServerKind
from benchmarks.hollow.service_lists import LARGEST_SERVICE, SERVERS, SERVICES

DAY_S = 86_400.0
CHANGES_PER_DAY = 7_200


@dataclass(frozen=True, slots=True)
class Plan:
    """The lists, processes and phases of a run."""

    server: ServerKind = ServerKind.PLAIN
    lists: int = 1
    servers: int = 1000  # total entries of all lists
    largest: int = 1000  # entries of the largest list
    processes: int = 4  # processes of hollow nodes
    calm_s: float = 24.0  # length of the baseline phase, with 7,200 changes a day
    rate_s: float = 15.0  # length of the phase with `rate`
    rate: float = 1.0  # changes a second
    bursts: int = 2  # losses and recoveries of a zone
    restarts: int = 2  # of the server that the nodes watch
    with_policy: bool = False  # whether each hollow node has a policy
    seed: int = 7


class ListLayout(StrEnum):
    """Which lists the server has."""

    ONE = "one"  # one list with the size of the largest service
    FLEET = "fleet"  # all lists of the fleet
    TOGETHER = "together"  # a scaled-down fleet with as many servers as watches


def with_layout(plan: Plan, layout: ListLayout, watches: int) -> Plan:
    """Return the plan with the list sizes of a layout."""
    match layout:
        case ListLayout.ONE:
            return replace(plan, lists=1, servers=LARGEST_SERVICE, largest=LARGEST_SERVICE)
        case ListLayout.FLEET:
            return replace(plan, lists=SERVICES, servers=SERVERS, largest=LARGEST_SERVICE)
        case ListLayout.TOGETHER:
            services = max(1, watches * SERVICES // SERVERS)
            largest = min(LARGEST_SERVICE, max(1, watches // 4))
            return replace(plan, lists=services, servers=watches, largest=largest)
