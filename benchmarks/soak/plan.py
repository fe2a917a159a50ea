"""What one soak run does: everything that its seed decides."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec

from benchmarks.support.proxy_process import PLATFORM_SETTINGS

LONGEST_DEADLINE_MS = 2000.0
KILL_MARGIN_S = 0.7  # SIGKILL comes this long after the longest deadline, counted from SIGTERM
HOSTILE_KINDS = (
    "half body",
    "short fields",
    "slow writer",
    "unread",
    "flood",
    "noise",
    "connect only",
    "short length",
)
SIGNAL_SERIES = ("term", "kill", "kill twice", "reload, then term", "term twice")
PIPELINING_CLIENTS = (0, 4, 16, 80)
MEMORY_MB = (32, 64, 192)
SOCKETS = (256, 768, 1024)
CANCEL_PROBABILITY = 0.8
MAX_FLOODING_CLIENTS = 6  # more would delay the other clients, which run in the same process
CLIENT_FRACTION = 0.5  # of the sockets, at most, that hostile clients use at once

# Classes of every idempotency, with deadlines that let a run be short.
SETTINGS: dict[str, Any] = PLATFORM_SETTINGS | {
    "categories": [
        {"name": "read", "aimMs": 1500.0, "giveUpMs": LONGEST_DEADLINE_MS, "credit": 3.0, "effect": "free"},
        {"name": "post", "aimMs": 1500.0, "giveUpMs": LONGEST_DEADLINE_MS, "effect": "single_shot"},
        {
            "name": "move",
            "aimMs": 1500.0,
            "giveUpMs": LONGEST_DEADLINE_MS,
            "effect": "guarded",
            "memorySpanMs": 9000.0,
        },
    ],
    "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.2, "coldMs": 3000.0, "overloadFactor": 2.5},
}


class HostileGroup(msgspec.Struct, frozen=True):
    """Clients that behave badly in one way, and start at one moment."""

    kind: str  # one of `HOSTILE_KINDS`
    clients: int
    start_s: float


class SoakPlan(msgspec.Struct, frozen=True):
    """One run."""

    seed: int
    load_s: float  # of usual load; the signals follow in its second half
    memory_mb: int
    sockets: int
    usual_clients: int
    leaving_clients: int
    pipelining_clients: int
    hostile: list[HostileGroup]
    signals: str  # one of `SIGNAL_SERIES`
    handover_s: float  # when an endpoint is replaced by a new process at its address
    drain_s: float  # when another endpoint begins to drain
    cancels: bool  # whether the settings allow to cancel attempts


def make_plan(seed: int, load_s: float) -> SoakPlan:
    """Draw a run from its seed."""
    random = Random(seed)
    sockets = random.choice(SOCKETS)
    crowd = int(sockets * CLIENT_FRACTION)
    hostile = []
    for _ in range(random.randint(1, 4)):
        kind = random.choice(HOSTILE_KINDS)
        clients = random.randint(2, MAX_FLOODING_CLIENTS if kind == "flood" else crowd)
        hostile.append(HostileGroup(kind, clients, random.uniform(0.2, load_s * 0.8)))
    return SoakPlan(
        seed=seed,
        load_s=load_s,
        memory_mb=random.choice(MEMORY_MB),
        sockets=sockets,
        usual_clients=random.randint(4, 16),
        leaving_clients=random.randint(1, 6),
        pipelining_clients=random.choice(PIPELINING_CLIENTS),
        hostile=hostile,
        signals=random.choice(SIGNAL_SERIES),
        handover_s=random.uniform(0.2, load_s),
        drain_s=random.uniform(0.2, load_s),
        cancels=random.random() < CANCEL_PROBABILITY,
    )


def proxy_settings(plan: SoakPlan) -> dict[str, Any]:
    """The settings of the proxy of a run."""
    return SETTINGS | {"bounds": SETTINGS["bounds"] | {"cancel": plan.cancels}}
