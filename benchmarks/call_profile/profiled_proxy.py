"""A real proxy that samples itself: `python -m benchmarks.call_profile.profiled_proxy`.

Its configuration is that of the proxy. SIGUSR1 starts sampling of the running function, every few
milliseconds of processor time; SIGUSR2 stops it and writes all counts so far, a `ProfileCounts`, to the file
that SCALE_PROFILE names. A sample counts for the stage of the proxy's innermost function on the stack, so a
library's work for a stage counts for that stage. If the stack has no function of the proxy, the sample counts
for the stage of the innermost library function.
"""

from __future__ import annotations

import os
import signal
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from types import CodeType, FrameType

import msgspec

from loadbalancer.__main__ import main

SAMPLE_INTERVAL_S = 0.004  # of processor time; no shorter than the kernel's own tick
OUTPUT_VARIABLE = "SCALE_PROFILE"  # the environment variable that names the output file
START_SIGNAL = signal.SIGUSR1
STOP_SIGNAL = signal.SIGUSR2
UNKNOWN_STAGE = "anything else"
PROGRAM_FOLDER = "loadbalancer/"

# Stages by file and function; "" is for a file's other functions.
STAGES: dict[str, dict[str, str]] = {
    "loadbalancer/policy/policy.py": {
        "_on_request": "policy: admission",
        "_on_outcome": "policy: outcome",
        "_on_period": "policy: period",
        "": "policy: rest",
    },
    "loadbalancer/policy/admission.py": {
        "move": "policy: period",
        "": "policy: admission",
    },
    "loadbalancer/policy/endpoints.py": {
        "in_flight": "policy: admission",
        "reporting": "policy: period",
        "expire_abandoned": "policy: period",
        "apply": "policy: rest",
        "_add_or_change": "policy: rest",
        "": "policy: outcome",
    },
    "loadbalancer/policy/load_estimator.py": {
        "observe": "policy: outcome",
        "_learn_completed": "policy: outcome",
        "relative_latency": "policy: outcome",
        "is_starting": "policy: admission",
        "sustainable_calls": "policy: admission",
        "": "policy: period",
    },
    "loadbalancer/policy/requests.py": {
        "receive": "policy: admission",
        "candidates": "policy: selection",
        "_in_deduplication_scope": "policy: selection",
        "_record_outcome": "policy: outcome",
        "finish_attempt": "policy: outcome",
        "": "policy: rest",
    },
    "loadbalancer/policy/selection.py": {
        "learn_queues": "policy: period",
        "": "policy: selection",
    },
    "loadbalancer/policy/slow_start.py": {
        "learn_usual_rate": "policy: period",
        "": "policy: selection",
    },
    "loadbalancer/policy/discovery_backoff.py": {"": "policy: rest"},
    "loadbalancer/http/listener.py": {"": "downstream: parse and phase"},
    "loadbalancer/http/listening_sockets.py": {"": "downstream: parse and phase"},
    "loadbalancer/http/eviction.py": {"": "downstream: parse and phase"},
    "loadbalancer/http/request_timeouts.py": {"": "sweeps, heartbeat and statistics"},
    "loadbalancer/http/connection_registry.py": {
        "entered_until": "sweeps, heartbeat and statistics",
        "": "downstream: parse and phase",
    },
    "loadbalancer/http/server_connection.py": {
        "respond": "downstream: write the response",
        "": "downstream: parse and phase",
    },
    "loadbalancer/http/response_head.py": {"": "downstream: write the response"},
    "loadbalancer/http/request.py": {
        "respond": "downstream: write the response",
        "": "downstream: parse and phase",
    },
    "loadbalancer/http/request_parser.py": {"": "downstream: parse and phase"},
    "loadbalancer/proxy/proxy.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/policy_runner.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/request_intake.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/membership.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/request_parsing.py": {"": "proxy: parse the request"},
    "loadbalancer/proxy/clock.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/pending_request.py": {"": "proxy: events and actions"},
    "loadbalancer/proxy/request_forwarding.py": {
        "encode_request": "proxy: encode the request",
        "": "proxy: events and actions",
    },
    "loadbalancer/proxy/statistics.py": {"": "sweeps, heartbeat and statistics"},
    "loadbalancer/proxy/upstream_attempt.py": {
        "_connect": "upstream: connect",
        "": "pool: attempts",
    },
    "loadbalancer/proxy/connection_pool.py": {
        "acquire_idle": "pool: acquire and release",
        "take_idle": "pool: acquire and release",
        "release": "pool: acquire and release",
        "add_idle": "pool: acquire and release",
        "ensure_capacity": "pool: evict idle",
        "_sweep": "sweeps, heartbeat and statistics",
        "connect": "upstream: connect",
        "": "pool: attempts",
    },
    "loadbalancer/http/client_connection.py": {
        "send_request": "upstream: write the request",
        "reusable": "pool: acquire and release",
        "abort": "upstream: close",
        "connection_lost": "upstream: close",
        "connection_made": "upstream: connect",
        "__init__": "upstream: connect",
        "": "upstream: parse the response",
    },
    "loadbalancer/http/response_parser.py": {
        "__init__": "upstream: connect",
        "start_response": "upstream: write the request",
        "": "upstream: parse the response",
    },
    "loadbalancer/http/socket_state.py": {"": "pool: acquire and release"},
    "loadbalancer/discovery/endpoint_list.py": {"": "discovery: watch"},
    "loadbalancer/discovery/watch_client.py": {"": "discovery: watch"},
    "asyncio/base_events.py": {
        "create_connection": "upstream: connect",
        "_connect_sock": "upstream: connect",
        "": "asyncio: loop",
    },
    "asyncio/selector_events.py": {
        "_read_ready": "asyncio: receive",
        "_read_ready__data_received": "asyncio: receive",
        "_read_from_self": "sampling",
        "_process_self_data": "sampling",
        "_call_connection_lost": "upstream: close",
        "sock_connect": "upstream: connect",
        "_sock_connect": "upstream: connect",
        "_sock_connect_cb": "upstream: connect",
        "_sock_write_done": "upstream: connect",
        "__init__": "upstream: connect",
        "_add_reader": "upstream: connect",
        "_add_writer": "upstream: connect",
        "_remove_writer": "upstream: connect",
        "_ensure_fd_no_transport": "upstream: connect",
        "": "asyncio: loop",
    },
    "asyncio/unix_events.py": {"_process_self_data": "sampling", "": "asyncio: loop"},
    "asyncio/events.py": {"": "asyncio: loop"},
    "selectors.py": {"select": "asyncio: select", "": "asyncio: loop"},
}


class ProfileCounts(msgspec.Struct):
    """Samples by stage, and by the innermost function of the stack."""

    stages: dict[str, int]
    functions: dict[str, int]


@dataclass(frozen=True, slots=True)
class Stage:
    """The stage that a function's samples count for."""

    name: str
    in_program: bool  # whether the function is one of the proxy's own


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
        """Stop sampling, and write the counts atomically, so that a reader sees all of them or none."""
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


def stage_of_function(file: str, qualified_name: str) -> Stage:
    """Return a function's stage; a nested function counts as its outermost function."""
    name = qualified_name.split(".<locals>")[0].rpartition(".")[2]
    for path, functions in STAGES.items():
        if file.endswith("/" + path):
            return Stage(functions.get(name) or functions[""], path.startswith(PROGRAM_FOLDER))
    return Stage(UNKNOWN_STAGE, in_program=False)


def run() -> int:
    """Run the proxy with a sampler; return its exit code."""
    sampler = Sampler(Path(os.environ[OUTPUT_VARIABLE]))
    signal.signal(signal.SIGPROF, sampler.sample)
    signal.signal(START_SIGNAL, sampler.start)
    signal.signal(STOP_SIGNAL, sampler.stop)
    return main()


if __name__ == "__main__":
    sys.exit(run())
