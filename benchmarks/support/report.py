"""What the benches' reports share: lines fitted through measured points, tables and result files."""

from __future__ import annotations

import platform
import statistics
import sys
import time
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy as np
import orjson

MIN_SLOPE_SIZES = 4  # different sizes that a slope comes from at least


class InsufficientSizesError(ValueError):
    """A line was to be fitted to fewer than `MIN_SLOPE_SIZES` different sizes."""

    def __init__(self, sizes: Sequence[float]) -> None:
        super().__init__(f"a slope needs {MIN_SLOPE_SIZES} sizes, not {list(sizes)}")
        self.sizes = sizes


@dataclass(frozen=True, slots=True)
class Slope:
    """A least-squares line: `base + per_unit * size`, in the unit of the figures it was fitted to."""

    base: float
    per_unit: float
    error: float  # the standard error of `per_unit`
    r2: float  # the fraction of the variance that the line explains

    def at(self, size: float) -> float:
        """Return the line's figure at a size; outside the sizes measured, an extrapolation."""
        return self.base + self.per_unit * size

    def describe(self, unit: str = "") -> str:
        """Return the line in words, with the unit of its size."""
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


def standard_error(figures: Sequence[float]) -> float:
    """Return the standard error of the figures' mean; 0 for a single figure."""
    return statistics.stdev(figures) / len(figures) ** 0.5 if len(figures) > 1 else 0.0


def format_table(records: Sequence[Mapping[str, Any]]) -> str:
    """Return records of the same keys as aligned text, figures to four digits."""
    if not records:
        return "(no rows)"
    lines = [list(records[0]), *([_format_cell(value) for value in record.values()] for record in records)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(lines[0]))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)) for line in lines
    )


def _format_cell(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def write_results(
    path: Path,
    records: Sequence[Mapping[str, Any]],
    slopes: Mapping[str, Slope],
    **about: object,
) -> None:
    """Write the result file of a run.

    Args:
        path: The file; its folder is made.
        records: The figures as measured.
        slopes: The lines fitted to them.
        about: Anything else that the file holds, such as the run's plan.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    results = {
        "command": ["python", "-m", _command_name(), *sys.argv[1:]],
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "python": platform.python_version(),
        "about": about,
        "rows": [dict(record) for record in records],
        "slopes": {name: asdict(slope) for name, slope in slopes.items()},
    }
    path.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2 | orjson.OPT_SERIALIZE_NUMPY) + b"\n")


def _command_name() -> str:
    spec = getattr(sys.modules.get("__main__"), "__spec__", None)
    return Path(sys.argv[0]).name if spec is None else str(spec.name).removesuffix(".__main__")
