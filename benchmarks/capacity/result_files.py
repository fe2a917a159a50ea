"""Figures read from the result files in `benchmarks/results/`."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

import msgspec

from benchmarks.support.processes import ROOT
from benchmarks.support.regression import Slope

ROWS_TABLE = "rows"
RESULTS_FOLDER = ROOT / "benchmarks" / "results"


class ResultFile(msgspec.Struct):
    """The parts of a result file that figures are read from."""

    rows: list[dict[str, object]] = []
    slopes: dict[str, Slope] = {}
    about: dict[str, object] = {}

    def table(self, name: str) -> list[dict[str, object]]:
        """Return the rows of a table: the main table, or one under "about"."""
        if name == ROWS_TABLE:
            return self.rows
        return msgspec.convert(self.about.get(name, []), list[dict[str, object]])


NO_RESULT = ResultFile()


class ResultFiles:
    """The result files of a folder, by name without suffix; a figure that they lack is None."""

    def __init__(self, folder: Path = RESULTS_FOLDER) -> None:
        self._files = {
            path.stem: msgspec.json.decode(path.read_bytes(), type=ResultFile)
            for path in sorted(folder.glob("*.json"))
        }

    def slope_at(self, run: str, name: str, size: float) -> float | None:
        """Return the value of a fitted line at a size."""
        slope = self._result(run).slopes.get(name)
        return None if slope is None else slope.at(size)

    def maximum(self, run: str, key: str) -> float | None:
        """Return a figure's maximum over a run's rows, for a figure that is not linear in the size."""
        figures = [_number(row.get(key)) for row in self._result(run).rows]
        return max((figure for figure in figures if figure is not None), default=None)

    def figure(
        self, run: str, key: str, where: Mapping[str, float | str], table: str = ROWS_TABLE
    ) -> float | None:
        """Return a figure of the first row that matches the conditions.

        Args:
            run: The name of the result file.
            key: The figure's column.
            where: Columns of the row and their values.
            table: The name of the table in the file.
        """
        for row in self._result(run).table(table):
            if all(row.get(name) == value for name, value in where.items()):
                return _number(row.get(key))
        return None

    def _result(self, run: str) -> ResultFile:
        return self._files.get(run, NO_RESULT)


def _number(value: object) -> float | None:
    return float(value) if isinstance(value, int | float) else None
