"""The cursor table: thresholds by position and priority row, and the cursor that selects the position.

A priority row is a number from 0, for the highest priority weight, to 1, for the lowest ones. The thresholds
of a row are computed; only the factors of the positions are stored. Positions 0 and 1 have the same factor.
"""

from __future__ import annotations

import math

from loadbalancer.policy.load_estimator import PoolLoad
from loadbalancer.policy.parameters import (
    CURSOR_PERIOD_FRACTION,
    FULL_THRESHOLD_POSITIONS,
    HIGHEST_ROW_EXPONENT,
    LOWEST_ROW_REDUCTION,
    MIN_PRIORITY_WEIGHT,
    MIN_THRESHOLD,
    PRIORITY_ROW_HALVINGS,
    REDUCED_THRESHOLD_POSITIONS,
    SMOOTHING_OUTCOMES,
    TARGET_IN_FLIGHT_PER_ENDPOINT,
    THRESHOLD_DECAY,
)
from loadbalancer.settings import Settings


def cursor_period_ms(settings: Settings) -> float:
    """The time between two moves of the cursor."""
    return CURSOR_PERIOD_FRACTION * min(item.latency_objective_ms for item in settings.classes)


class CursorTable:
    """A table of thresholds by position and priority row, and its cursor, which the load of the pool moves.

    Attributes:
        last_position: the position at the right end, which admits the least; 0, at the left end, admits the
            most.
    """

    def __init__(self) -> None:
        # Each position's threshold as a fraction of the full threshold, before the exponent of the row.
        self._position_factors = [1.0] * FULL_THRESHOLD_POSITIONS
        self._position_factors += [
            THRESHOLD_DECAY**position for position in range(1, REDUCED_THRESHOLD_POSITIONS + 1)
        ]
        self.last_position = len(self._position_factors) - 1
        self._cursor = 0
        self._outcomes_since_move_right = SMOOTHING_OUTCOMES  # the first move right does not wait

    @property
    def cursor(self) -> int:
        """The position of the cursor; its thresholds are in force."""
        return self._cursor

    def move(self, pool_load: PoolLoad) -> None:
        """Move the cursor by at most one position: right if the load is above its target, else left.

        It stays where it is while a move right waits for outcomes.
        """
        self._outcomes_since_move_right += pool_load.outcomes
        if pool_load.target_ratio <= 1.0:
            self._cursor = max(0, self._cursor - 1)
        elif self._may_move_right(pool_load):
            self._outcomes_since_move_right = 0.0
            self._cursor = min(self.last_position, self._cursor + 1)

    def threshold(self, full_threshold: float, priority_weight: float) -> float:
        """The threshold at the cursor's position in the row of a priority weight; the highest weight is 1."""
        halvings = -math.log2(max(priority_weight, MIN_PRIORITY_WEIGHT))
        row = min(1.0, max(0.0, halvings / PRIORITY_ROW_HALVINGS))  # 0: the highest, 1: the lowest
        exponent = HIGHEST_ROW_EXPONENT + (1.0 - HIGHEST_ROW_EXPONENT) * row
        row_threshold = full_threshold * (1.0 - LOWEST_ROW_REDUCTION * row)
        return max(MIN_THRESHOLD, row_threshold * math.pow(self._position_factors[self._cursor], exponent))

    def _may_move_right(self, pool_load: PoolLoad) -> bool:
        # The latency of an attempt is known only when its response arrives, one response time after the load
        # that caused it. With few outcomes per period and no wait, all replicas would move 6 to 10 positions
        # right before the first move shows in latencies, and endpoints would be half idle. A move right
        # therefore waits for `SMOOTHING_OUTCOMES` outcomes since the last one, whichever signal is above its
        # target. Trade-off: the reaction is slower when load rises faster than responses arrive. Saturated
        # latency and reported requests in flight above their target therefore bypass the wait.
        return (
            pool_load.latency_saturated
            or pool_load.in_flight_per_endpoint > TARGET_IN_FLIGHT_PER_ENDPOINT
            or self._outcomes_since_move_right >= SMOOTHING_OUTCOMES
        )
