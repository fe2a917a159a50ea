"""What the data path benchmark measures: list sizes, rates and the length of its slices."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.support.node_setup import DEFAULT_LIST_SIZES, ORDINARY_RATE
from benchmarks.support.proxy_process import DEPLOYED_SOCKETS


@dataclass(frozen=True, slots=True)
class SliceKind:
    """A list size and a rate, in requests a second, at which it is measured."""

    list_size: int
    rate: float


@dataclass(frozen=True, slots=True)
class Plan:
    """The slices of a run, and its search for each node's limit."""

    seconds: float = 5.0  # of each slice
    rounds: int = 5  # of all slices
    rates: tuple[float, ...] = (50.0, ORDINARY_RATE, 500.0)  # requests a second
    sizes: tuple[int, ...] = DEFAULT_LIST_SIZES
    idle_s: float = 10.0  # without requests, in which a node's idle use is measured
    limit_min_rate: float = 300.0  # requests a second
    limit_max_rate: float = 5000.0
    limit_s: float = 3.0  # of each rate in the search for a limit; 0: no search
    service_ms: float = 0.0  # a backend's service time of a request
    sockets: int = DEPLOYED_SOCKETS  # file descriptors that a node may hold
    seed: int = 7

    @property
    def comparison_rate(self) -> float:
        """The rate at which list sizes are compared."""
        return ORDINARY_RATE if ORDINARY_RATE in self.rates else self.rates[0]

    def slice_kinds(self) -> list[SliceKind]:
        """Return all kinds of slices: all rates on the smallest list, one rate on the others."""
        smallest, *others = sorted(self.sizes)
        return [SliceKind(smallest, rate) for rate in self.rates] + [
            SliceKind(size, self.comparison_rate) for size in others
        ]
