"""The proxy that samples itself: which stage a sample counts for."""

from __future__ import annotations

import asyncio
import sys
from random import Random

import orjson

from benchmarks.call_profile import profiled_proxy
from benchmarks.support.processes import ROOT
from tests.support.builders import PolicyHarness


def test_sample_counts_for_the_stage_of_the_proxys_innermost_function(tmp_path):
    sampler = profiled_proxy.Sampler(tmp_path / "profile")
    harness = PolicyHarness(endpoint_count=8)

    class SamplingRandom(Random):
        def choices(self, *given, **more):
            sampler.sample(0, sys._getframe())
            return super().choices(*given, **more)

    async def sample_in_event_loop():
        asyncio.get_running_loop().call_soon(lambda: sampler.sample(0, sys._getframe()))
        await asyncio.sleep(0)

    harness.policy.selector._random = SamplingRandom(3)
    harness.submit()
    asyncio.run(sample_in_event_loop())
    assert sampler.stages == {"policy: selection": 1, "asyncio: loop": 1}
    sampler.stop(0, None)
    assert orjson.loads((tmp_path / "profile").read_bytes())["stages"] == sampler.stages


def test_stages_name_functions_that_the_proxy_has():
    for file, functions in profiled_proxy.STAGES.items():
        if file.startswith(profiled_proxy.PROGRAM_FOLDER):
            code = (ROOT / file).read_text()
            assert [name for name in functions if name and f"def {name}(" not in code] == [], file
