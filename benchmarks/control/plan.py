"""The plan of the control benchmark: list sizes, rates of change and losses."""

from __future__ import annotations

from dataclasses import dataclass

CHANGES_PER_DAY = 7200
DAY_S = 86_400


@dataclass(frozen=True, slots=True)
class Plan:
    """The list sizes and changes of a run."""

    sizes: tuple[int, ...] = (13, 100, 400, 1000, 2000)  # endpoints in a list
    rates: tuple[float, ...] = (0.0, CHANGES_PER_DAY / DAY_S, 1.0, 10.0)  # changes a second
    seconds: float = 24.0  # duration of each rate
    rounds: int = 2  # rounds of all rates
    losses: tuple[int, ...] = (74, 148, 295, 590, 1180)  # entries lost in one change
    repeats: int = 5  # repetitions of each loss and of each complete list
    seed: int = 7


@dataclass(frozen=True, slots=True)
class ChangeRate:
    """A measured combination of list size and rate of change, in changes a second."""

    list_size: int
    per_s: float
