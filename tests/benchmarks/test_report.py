"""Reports of the benchmarks: regression lines, tables and result files."""

from __future__ import annotations

import sys

import orjson
import pytest

from benchmarks.support.regression import InsufficientSizesError, linear_regression
from benchmarks.support.report import format_table, write_results


def test_regression_line_has_its_standard_error():
    exact = linear_regression([1, 2, 3, 4], [5.0, 7.0, 9.0, 11.0])
    assert exact.base == pytest.approx(3.0)
    assert exact.per_unit == pytest.approx(2.0)
    assert exact.error == pytest.approx(0.0, abs=1e-9)
    assert exact.at(100) == pytest.approx(203.0)
    rough = linear_regression([1, 2, 3, 4], [5.0, 7.5, 8.5, 11.0])
    assert rough.per_unit == pytest.approx(1.9)
    assert rough.error == pytest.approx(0.2121, abs=1e-4)  # sqrt(0.45 / 2 / 5)


def test_regression_over_three_sizes_is_an_error():
    with pytest.raises(InsufficientSizesError, match="at least 4 sizes") as error:
        linear_regression([1, 1, 2, 3], [1.0, 1.0, 1.0, 1.0])
    assert error.value.sizes == [1, 2, 3]


def test_run_is_reported_as_a_table_and_a_result_file(tmp_path, monkeypatch):
    monkeypatch.setattr(sys, "argv", ["bench", "--sizes", "13"])
    records = [{"size": 13, "ms": 0.123456}, {"size": 1000, "ms": 12.0}]
    assert format_table(records).splitlines() == ["size      ms", "  13  0.1235", "1000      12"]
    write_results(
        tmp_path / "out" / "run.json", records, {"ms": linear_regression([1, 2, 3, 4], [1, 2, 3, 4])}, seed=7
    )
    results = orjson.loads((tmp_path / "out" / "run.json").read_bytes())
    assert results["rows"] == records
    assert results["about"] == {"seed": 7}
    assert results["slopes"]["ms"]["per_unit"] == pytest.approx(1.0)
    assert results["command"][-2:] == ["--sizes", "13"]
