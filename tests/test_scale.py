"""The arithmetic of the scale tests' reports."""

from __future__ import annotations

import sys

import orjson
import pytest

from scale.report import fit, table, write


def test_a_line_is_found_with_its_error():
    exact = fit([1, 2, 3, 4], [5.0, 7.0, 9.0, 11.0])
    assert exact.base == pytest.approx(3.0)
    assert exact.per_unit == pytest.approx(2.0)
    assert exact.error == pytest.approx(0.0, abs=1e-9)
    assert exact.at(100) == pytest.approx(203.0)
    rough = fit([1, 2, 3, 4], [5.0, 7.5, 8.5, 11.0])
    assert rough.per_unit == pytest.approx(1.9)
    assert rough.error == pytest.approx(0.2121, abs=1e-4)  # sqrt(0.45 / 2 / 5)


def test_a_slope_of_few_sizes_is_refused():
    with pytest.raises(ValueError, match="4 sizes"):
        fit([1, 1, 2, 3], [1.0, 1.0, 1.0, 1.0])


def test_a_run_is_a_table_and_a_file(tmp_path, monkeypatch):
    monkeypatch.setattr(sys, "argv", ["bench", "--sizes", "13"])
    rows = [{"size": 13, "ms": 0.123456}, {"size": 1000, "ms": 12.0}]
    assert table(rows).splitlines() == ["size      ms", "  13  0.1235", "1000      12"]
    write(tmp_path / "out" / "run.json", rows, {"ms": fit([1, 2, 3, 4], [1, 2, 3, 4])}, seed=7)
    found = orjson.loads((tmp_path / "out" / "run.json").read_bytes())
    assert found["rows"] == rows
    assert found["about"] == {"seed": 7}
    assert found["slopes"]["ms"]["per_unit"] == pytest.approx(1.0)
    assert found["command"][-2:] == ["--sizes", "13"]
