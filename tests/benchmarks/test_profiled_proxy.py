"""The proxy that samples itself counts each sample for the right stage."""

from __future__ import annotations

import asyncio
import sys
from random import Random

import orjson
import pytest

from benchmarks.call_profile.profiled_proxy import Sampler
from benchmarks.call_profile.stages import PROGRAM_FOLDER, STAGES
from benchmarks.support.processes import ROOT
from tests.support.builders import PolicyHarness


@pytest.fixture
def sampler(tmp_path):
    return Sampler(tmp_path / "profile")


@pytest.fixture
def sample_at_choices(sampler):
    """Takes a sample at each call of `Random.choices`."""

    def on_event(frame, event, _argument):
        if event == "call" and frame.f_code is Random.choices.__code__:
            sampler.sample(0, frame)

    sys.setprofile(on_event)
    yield
    sys.setprofile(None)


@pytest.mark.usefixtures("sample_at_choices")
def test_sample_in_a_library_counts_for_the_stage_of_its_caller_in_the_proxy(sampler):
    PolicyHarness(endpoint_count=8).submit()
    assert sampler.stages == {"policy: selection": 1}


async def test_sample_outside_the_proxy_counts_for_the_stage_of_the_library(sampler):
    asyncio.get_running_loop().call_soon(lambda: sampler.sample(0, sys._getframe()))
    await asyncio.sleep(0)
    assert sampler.stages == {"asyncio: loop": 1}


def test_stop_writes_the_counts(sampler, tmp_path):
    sampler.sample(0, sys._getframe())
    sampler.stop(0, None)
    assert sampler.stages.total() == 1
    assert orjson.loads((tmp_path / "profile").read_bytes())["stages"] == sampler.stages


@pytest.mark.parametrize("file", [file for file in STAGES if file.startswith(PROGRAM_FOLDER)])
def test_stages_name_only_existing_functions_of_the_proxy(file):
    code = (ROOT / file).read_text()
    assert [name for name in STAGES[file] if name and f"def {name}(" not in code] == []
