"""docs/CAPACITY.md contains the table computed from the result files, and names only existing files."""

from __future__ import annotations

import re

import orjson
import pytest

from benchmarks.capacity import page as capacity_page
from benchmarks.capacity.figures import CapacityFigure, all_figures
from benchmarks.capacity.page import PageMarkerError
from benchmarks.capacity.result_files import RESULTS_FOLDER, ResultFiles
from benchmarks.support.processes import ROOT


def test_page_contains_the_table_computed_from_the_result_files():
    page = capacity_page.PAGE.read_text()
    assert capacity_page.replace_table(page, capacity_page.render_table(ResultFiles())) == page


def test_page_names_only_existing_result_files_and_source_files():
    page = capacity_page.PAGE.read_text()
    runs = {figure.run for figure in all_figures(ResultFiles()) if figure.value is not None}
    assert runs <= {path.stem for path in RESULTS_FOLDER.glob("*.json")}
    folders = ("loadbalancer", "benchmarks", "tests")
    files = [path.as_posix() for folder in folders for path in (ROOT / folder).rglob("*.py")]
    for name in re.findall(r"`((?:\w+/)*\w+\.py)`", page):
        assert any(f"/{path}".endswith(f"/{name}") for path in files), name


@pytest.fixture
def results(tmp_path):
    """A folder with one result file, `datapath`."""
    slope = {"base": 2.0, "per_unit": 0.5, "error": 0.1, "r2": 1.0}
    rows = [{"list": 13, "rate_per_s": 170.0, "cpu_us": 400.0}]
    about = {"more": [{"depth": 3, "sent": 1.5}]}
    (tmp_path / "datapath.json").write_bytes(
        orjson.dumps({"rows": rows, "slopes": {"x": slope}, "about": about})
    )
    return ResultFiles(tmp_path)


def test_figures_are_read_from_slopes_and_rows(results):
    assert results.slope_at("datapath", "x", 10) == 7.0
    assert results.slope_at("datapath", "y", 10) is None
    assert results.figure("datapath", "cpu_us", {"list": 13}) == 400.0
    assert results.figure("datapath", "cpu_us", {"list": 14}) is None
    assert results.figure("datapath", "sent", {"depth": 3}, "more") == 1.5


@pytest.mark.parametrize(
    ("value", "budget", "verdict"),
    [
        pytest.param(5.0, 10.0, "met, 0.5 of it", id="met"),
        pytest.param(25.0, 10.0, "not met, 2.5 times", id="missed"),
        pytest.param(5.0, None, "no budget set", id="no budget"),
        pytest.param(None, 10.0, "not measured", id="not measured"),
    ],
)
def test_verdict_compares_a_figure_with_its_budget(value, budget, verdict):
    assert CapacityFigure("r", "q", value, "u", budget, "m", "s").verdict == verdict


def test_page_without_table_markers_raises_an_error():
    with pytest.raises(PageMarkerError, match="no table markers"):
        capacity_page.replace_table("# Capacity", "| table |")
