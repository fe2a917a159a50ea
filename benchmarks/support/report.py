"""Output of measured figures: text tables and result files."""

from __future__ import annotations

import platform
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

import orjson

from benchmarks.support.records import Row
from benchmarks.support.regression import Slope


def format_table(rows: Sequence[Row]) -> str:
    """Return rows with the same keys as an aligned text table; floats have four significant digits."""
    if not rows:
        return "(no rows)"
    lines = [list(rows[0]), *([_format_cell(value) for value in row.values()] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(lines[0]))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)) for line in lines
    )


def _format_cell(value: object) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def write_results(path: Path, rows: Sequence[Row], slopes: Mapping[str, Slope], **about: object) -> None:
    """Write the result file of a run.

    Args:
        path: The file; its folder is created if it does not exist.
        rows: The figures as measured.
        slopes: The regression lines of the figures.
        about: Further content of the file, such as the run's plan.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    results = {
        "command": ["python", "-m", _command_name(), *sys.argv[1:]],
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "python": platform.python_version(),
        "about": about,
        "rows": rows,
        "slopes": slopes,
    }
    path.write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2 | orjson.OPT_SERIALIZE_NUMPY) + b"\n")


def _command_name() -> str:
    spec = getattr(sys.modules.get("__main__"), "__spec__", None)
    return Path(sys.argv[0]).name if spec is None else str(spec.name).removesuffix(".__main__")
