"""Reading figures from the files of measured runs in `benchmarks/results/`."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson

from benchmarks.support.processes import ROOT
from benchmarks.support.regression import Slope

RESULTS_FOLDER = ROOT / "benchmarks" / "results"


class ResultFiles:
    """The result files of a folder by their name without suffix; what no run has measured is None."""

    def __init__(self, folder: Path = RESULTS_FOLDER) -> None:
        self._files: dict[str, Mapping[str, Any]] = {
            path.stem: orjson.loads(path.read_bytes()) for path in sorted(folder.glob("*.json"))
        }

    def slope_at(self, run: str, name: str, size: float) -> float | None:
        """Return a slope's figure at a size."""
        slope = self._files.get(run, {}).get("slopes", {}).get(name)
        return None if slope is None else Slope(**slope).at(size)

    def maximum(self, run: str, key: str) -> float | None:
        """Return the largest figure of a run's records, for figures that no line fits."""
        records = self._files.get(run, {}).get("rows", ())
        figures = [float(record[key]) for record in records if record.get(key) is not None]
        return max(figures, default=None)

    def figure(
        self, run: str, key: str, where: Mapping[str, float | str], table: str = "rows"
    ) -> float | None:
        """Return a figure of the first record that matches.

        Args:
            run: The run's file.
            key: The figure's name.
            where: The values that the record has.
            table: The records' name in the file, at its top or under "about".
        """
        results = self._files.get(run, {})
        for record in results.get(table) or results.get("about", {}).get(table, ()):
            if all(record.get(name) == value for name, value in where.items()):
                figure = record.get(key)
                return None if figure is None else float(figure)
        return None
