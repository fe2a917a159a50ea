"""Regression lines and tables of runs of hollow nodes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import asdict

from benchmarks.support.records import Row
from benchmarks.support.regression import Slope, has_enough_sizes, regress_columns
from benchmarks.support.report import format_table

COLUMN_GROUPS = (
    "",
    "calm_",
    "rate_",
    "burst_",
    "return_",
    "restart_",
    "log_",
)  # key prefixes; "": all other keys
FITTED_SUFFIXES = ("_ms", "_mib", "_per_s", "_per_change", "_per_told", "_received", "_news_bytes")


def regression_slopes(rows: Sequence[Row]) -> dict[str, Slope]:
    """Return each figure's line over the number of watches, for figures that all rows have.

    The result is empty if there are too few sizes for a regression.
    """
    if not has_enough_sizes(rows, "watches"):
        return {}
    return {
        key: regress_columns(rows, "watches", key)
        for key in rows[0]
        if key.endswith(FITTED_SUFFIXES) and all(isinstance(row.get(key), int | float) for row in rows)
    }


def format_report(rows: Sequence[Row], slopes: Mapping[str, Slope]) -> str:
    """Return a table for each group of columns, then a table of the slopes."""
    parts = [_format_group(rows, group) for group in COLUMN_GROUPS]
    slope_rows = [{"figure": name, **asdict(slope)} for name, slope in slopes.items()]
    return "\n\n".join([*parts, f"slopes over watches\n{format_table(slope_rows)}"])


def _format_group(rows: Sequence[Row], group: str) -> str:
    other_groups = tuple(name for name in COLUMN_GROUPS if name and name != group)
    keys = [
        key
        for key in dict.fromkeys(key for row in rows for key in row)
        if key.startswith(group) and (group or not key.startswith(other_groups))
    ]
    columns = [
        {"watches": row["watches"]} | {key.removeprefix(group): row.get(key, 0) for key in keys}
        for row in rows
    ]
    return f"{group.rstrip('_') or 'sizes and memory'}\n{format_table(columns)}"
