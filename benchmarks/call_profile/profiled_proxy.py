"""A real proxy that samples itself: `python -m benchmarks.call_profile.profiled_proxy`.

It has the same configuration as the proxy. SIGUSR1 starts sampling of the running function, every few
milliseconds of processor time; SIGUSR2 stops it and writes the counts of all samples since the process
started, a `ProfileCounts`, to the file that SCALE_PROFILE names. A sample counts for the stage of the proxy's
innermost function on the stack, so a library's work for a stage counts for that stage. If the stack has no
function of the proxy, the sample counts for the stage of the innermost library function that has one.
"""

from __future__ import annotations

import os
import signal
import sys
from collections import Counter
from pathlib import Path
from types import CodeType, FrameType

import msgspec

from benchmarks.call_profile.stages import UNKNOWN_STAGE, Stage, stage_of_function
from loadbalancer.__main__ import main

SAMPLE_INTERVAL_S = 0.004  # of processor time; the kernel's timer tick allows no shorter interval
OUTPUT_VARIABLE = "SCALE_PROFILE"  # the environment variable that names the output file
START_SIGNAL = signal.SIGUSR1
STOP_SIGNAL = signal.SIGUSR2


class ProfileCounts(msgspec.Struct):
    """The numbers of samples by stage, and by the innermost function on the stack."""

    stages: dict[str, int]
    functions: dict[str, int]


class Sampler:
    """Counts samples by stage and by function; its public methods are signal handlers."""

    def __init__(self, output: Path) -> None:
        self.stages: Counter[str] = Counter()
        self.functions: Counter[str] = Counter()
        self._output = output
        self._stage_by_code: dict[CodeType, Stage] = {}

    def start(self, _signal: int, _frame: FrameType | None) -> None:
        """Start sampling."""
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)

    def stop(self, _signal: int, _frame: FrameType | None) -> None:
        """Stop sampling, and write the counts atomically, so that no reader gets an incomplete file."""
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        incomplete = self._output.with_suffix(".part")
        incomplete.write_bytes(msgspec.json.encode(ProfileCounts(self.stages, self.functions)))
        incomplete.replace(self._output)

    def sample(self, _signal: int, frame: FrameType | None) -> None:
        """Count one sample."""
        if frame is not None:
            code = frame.f_code
            self.functions[f"{'/'.join(code.co_filename.split('/')[-2:])}:{code.co_qualname}"] += 1
        self.stages[self._stage_of_stack(frame)] += 1

    def _stage_of_stack(self, frame: FrameType | None) -> str:
        innermost_known = UNKNOWN_STAGE
        while frame is not None:
            stage = self._stage_of_code(frame.f_code)
            if stage.in_program:
                return stage.name
            if innermost_known == UNKNOWN_STAGE:
                innermost_known = stage.name
            frame = frame.f_back
        return innermost_known

    def _stage_of_code(self, code: CodeType) -> Stage:
        if code not in self._stage_by_code:
            self._stage_by_code[code] = stage_of_function(code.co_filename, code.co_qualname)
        return self._stage_by_code[code]


def run() -> int:
    """Run the proxy with a sampler, and return the proxy's exit code."""
    sampler = Sampler(Path(os.environ[OUTPUT_VARIABLE]))
    signal.signal(signal.SIGPROF, sampler.sample)
    signal.signal(START_SIGNAL, sampler.start)
    signal.signal(STOP_SIGNAL, sampler.stop)
    return main()


if __name__ == "__main__":
    sys.exit(run())
