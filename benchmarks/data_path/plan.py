"""The plan of the data path benchmark: list sizes, rates and the length of its slices."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.support.node_setup import DEFAULT_LIST_SIZES, ORDINARY_RATE
from benchmarks.support.proxy_process import DEPLOYED_SOCKETS


@dataclass(frozen=True, slots=True)
class SliceKind:
    """A measured combination of list size and rate, in requests a second."""

    list_size: int
    rate: float


@dataclass(frozen=True, slots=True)
class Plan:
    """The slices of a run, and the search for each node's highest sustained rate."""

    seconds: float = 5.0  # length of each slice
    rounds: int = 5  # rounds of all slices
    rates: tuple[float, ...] = (50.0, ORDINARY_RATE, 500.0)  # requests a second
    sizes: tuple[int, ...] = DEFAULT_LIST_SIZES
    idle_s: float = 10.0  # time without requests in which the nodes' idle use is measured
    limit_min_rate: float = 300.0  # first rate of the search, in requests a second
    limit_max_rate: float = 5000.0  # maximum rate of the search
    limit_s: float = 3.0  # length of each slice in the search; 0: no search
    service_ms: float = 0.0  # a backend's service time for a request
    sockets: int = DEPLOYED_SOCKETS  # a node's limit on open file descriptors
    seed: int = 7

    @property
    def comparison_rate(self) -> float:
        """The rate at which list sizes are compared."""
        return ORDINARY_RATE if ORDINARY_RATE in self.rates else self.rates[0]

    def slice_kinds(self) -> list[SliceKind]:
        """Return all kinds of slices: all rates for the smallest list, the comparison rate for the others."""
        smallest, *others = sorted(self.sizes)
        return [SliceKind(smallest, rate) for rate in self.rates] + [
            SliceKind(size, self.comparison_rate) for size in others
        ]
