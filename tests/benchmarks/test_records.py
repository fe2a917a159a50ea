"""Records have the column names and the column order of the committed result files."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest

from benchmarks.call_profile.profile import FunctionRecord, TotalRecord
from benchmarks.capacity.result_files import RESULTS_FOLDER, ResultFile
from benchmarks.control.report import RateRecord
from benchmarks.data_path.rate_limit import RateTrial
from benchmarks.data_path.records import CostRecord, RoundsRecord
from benchmarks.hollow.change_deliveries import DeliveryFigures
from benchmarks.hollow.records import EventTraffic, SteadyTraffic, WatchCounts
from benchmarks.models.chain_records import ChainRecord
from benchmarks.models.fleet_records import RestartFigures, ServiceFigures
from benchmarks.support.records import Record


def result_file(name: str) -> ResultFile:
    return msgspec.json.decode((RESULTS_FOLDER / name).read_bytes(), type=ResultFile)


def columns(record: type[Record], prefix: str = "") -> list[str]:
    return [prefix + field.encode_name for field in msgspec.structs.fields(record)]


def columns_of(table: Sequence[dict[str, object]], names: list[str]) -> list[str]:
    """These columns, in the order of the table's first row."""
    return [name for name in table[0] if name in names]


@pytest.mark.parametrize(
    ("file", "table", "record", "prefix"),
    [
        pytest.param("callprofile.json", "rows", TotalRecord, "", id="call profile"),
        pytest.param("callprofile.json", "functions", FunctionRecord, "", id="call profile, functions"),
        pytest.param("control.json", "rows", RateRecord, "", id="control"),
        pytest.param("datapath.json", "rows", CostRecord, "", id="data path"),
        pytest.param("datapath.json", "rounds", RoundsRecord, "", id="data path, rounds"),
        pytest.param("datapath.json", "limits", RateTrial, "", id="data path, limits"),
        pytest.param("hollow-chain-fleet.json", "rows", WatchCounts, "", id="hollow"),
        pytest.param("hollow-chain-fleet.json", "rows", SteadyTraffic, "calm_", id="hollow, steady"),
        pytest.param("hollow-chain-fleet.json", "rows", EventTraffic, "burst_", id="hollow, event"),
        pytest.param("hollow-chain-fleet.json", "rows", DeliveryFigures, "burst_", id="hollow, deliveries"),
        pytest.param("model.json", "rows", ServiceFigures, "", id="model, service"),
        pytest.param("model.json", "rows", RestartFigures, "", id="model, restart"),
        pytest.param("model.json", "chains", ChainRecord, "", id="model, chains"),
    ],
)
def test_columns_of_a_record_are_those_of_its_result_file(file, table, record, prefix):
    expected = columns(record, prefix)
    assert columns_of(result_file(file).table(table), expected) == expected
