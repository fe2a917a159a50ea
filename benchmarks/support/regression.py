"""Linear regression of measured figures, with standard errors."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from benchmarks.support.records import Row

MIN_SLOPE_SIZES = 4  # minimum number of different sizes for a regression


class InsufficientSizesError(ValueError):
    """A regression has fewer than `MIN_SLOPE_SIZES` different sizes."""

    def __init__(self, sizes: Sequence[float]) -> None:
        super().__init__(f"regression: expected at least {MIN_SLOPE_SIZES} sizes, found {list(sizes)}")
        self.sizes = sizes


class ColumnTypeError(TypeError):
    """A column of a regression has a value that is not a number."""

    def __init__(self, column: str, value: object) -> None:
        super().__init__(f"regression over column {column!r}: expected a number, found {value!r}")
        self.column = column


@dataclass(frozen=True, slots=True)
class Slope:
    """A least-squares line: `base + per_unit * size`, in the unit of the fitted figures."""

    base: float
    per_unit: float
    error: float  # the standard error of `per_unit`
    r2: float  # coefficient of determination: the fraction of the variance that the line explains

    def at(self, size: float) -> float:
        """Return the line's figure at a size; outside the measured sizes this is an extrapolation."""
        return self.base + self.per_unit * size

    def describe(self, unit: str = "") -> str:
        """Return the line as text; `unit` is the unit of the size."""
        line = " ".join(filter(None, (f"{self.base:.5g} + {self.per_unit:.5g} ± {self.error:.2g}", unit)))
        return f"{line}, r2 {self.r2:.3f}"


def linear_regression(sizes: Sequence[float], figures: Sequence[float]) -> Slope:
    """Return the least-squares line through these points.

    Raises:
        InsufficientSizesError: There are fewer than `MIN_SLOPE_SIZES` different sizes.
    """
    if len(set(sizes)) < MIN_SLOPE_SIZES:
        raise InsufficientSizesError(sorted(set(sizes)))
    x, y = np.asarray(sizes, float), np.asarray(figures, float)
    spread = float(((x - x.mean()) ** 2).sum())
    per_unit = float(((x - x.mean()) * (y - y.mean())).sum()) / spread
    base = float(y.mean()) - per_unit * float(x.mean())
    residual = float(((y - base - per_unit * x) ** 2).sum())
    total = float(((y - y.mean()) ** 2).sum())
    error = float(np.sqrt(residual / (len(x) - 2) / spread))
    return Slope(base, per_unit, error, 1.0 - residual / total if total else 1.0)


def regress_columns(rows: Sequence[Row], x: str, y: str) -> Slope:
    """Return the least-squares line of column `y` over column `x`.

    Raises:
        ColumnTypeError: A row's value in one of the columns is not a number.
        InsufficientSizesError: There are fewer than `MIN_SLOPE_SIZES` different sizes.
    """
    return linear_regression(_numbers(rows, x), _numbers(rows, y))


def has_enough_sizes(rows: Sequence[Row], x: str) -> bool:
    """Return whether column `x` has at least `MIN_SLOPE_SIZES` different sizes."""
    return len({row[x] for row in rows}) >= MIN_SLOPE_SIZES


def _numbers(rows: Sequence[Row], column: str) -> list[float]:
    numbers = []
    for row in rows:
        value = row[column]
        if not isinstance(value, int | float):
            raise ColumnTypeError(column, value)
        numbers.append(value)
    return numbers


def standard_error(figures: Sequence[float]) -> float:
    """Return the standard error of the figures' mean; 0 for a single figure."""
    return statistics.stdev(figures) / len(figures) ** 0.5 if len(figures) > 1 else 0.0
