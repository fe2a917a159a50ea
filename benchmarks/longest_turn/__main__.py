"""Measure the longest iteration of a proxy's event loop: `python -m benchmarks.longest_turn`.

A proxy runs in this process, and another thread sends it the worst-case input that the rules permit. Each
iteration of the proxy's event loop is measured in processor time of its thread. The operators count 20 s of
one thread's real time as a crash; the last column is the fraction of a core with which the longest iteration
would take 20 s.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import socket
import time
from dataclasses import dataclass

from benchmarks.longest_turn.worst_inputs import (
    BackendThread,
    WorstInput,
    endpoint_entries,
    flood_inputs,
    list_inputs,
)
from loadbalancer.http.addresses import Address
from loadbalancer.proxy.config import Config, parse_config
from loadbalancer.proxy.proxy import Proxy

CRASH_THRESHOLD_S = 20.0
SETTLE_S = 0.2  # idle time before and after an input
SOCKET_LIMIT = 4096  # file descriptors that the proxy may have open
SERVICE_CLASSES = [
    {"name": "read", "aimMs": 2000.0, "giveUpMs": 9000.0, "effect": "free"},
    {"name": "post", "aimMs": 2000.0, "giveUpMs": 9000.0, "effect": "single_shot"},
]


class TimedEventLoop(asyncio.SelectorEventLoop):
    """Records the processor time of each iteration; a wait for events takes none."""

    def __init__(self) -> None:
        super().__init__()
        self.iteration_times_s: list[float] = []

    def _run_once(self) -> None:
        started_s = time.thread_time()
        super()._run_once()  # type: ignore[misc]
        self.iteration_times_s.append(time.thread_time() - started_s)


@dataclass(frozen=True, slots=True)
class IterationTimes:
    """The processor time of the event loop while the proxy processes an input."""

    longest_s: float
    total_s: float
    iterations: int


def proxy_config(discovery: Address, backend_port: int, endpoints: int) -> Config:
    """Return a proxy's configuration with a cached list of `endpoints` entries, all at one port."""
    configuration = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"{discovery[0]}:{discovery[1]}",
        "seed": "7",
        "limits": {"sockets": SOCKET_LIMIT},
        "known": {"rev": 1, "all": True, "targets": endpoint_entries(endpoints, backend_port)},
        "settings": {
            "categories": SERVICE_CLASSES,
            "registryMode": "push",
            "bounds": {"maxAttempts": 3},
        },
    }
    return parse_config(json.dumps(configuration).encode())


async def measure(loop: TimedEventLoop, worst_input: WorstInput, backend_port: int) -> IterationTimes:
    """Run a proxy in this process while another thread sends it an input."""
    with socket.create_server(("127.0.0.1", 0)) as discovery:
        config = proxy_config(discovery.getsockname()[:2], backend_port, worst_input.cached_endpoints)
        proxy = Proxy(config)
        await proxy.start()
        await asyncio.sleep(SETTLE_S)
        loop.iteration_times_s.clear()
        started_s = time.thread_time()
        await asyncio.to_thread(worst_input.send, proxy.listener.address, discovery)
        await asyncio.sleep(SETTLE_S)
        times = IterationTimes(
            max(loop.iteration_times_s), time.thread_time() - started_s, len(loop.iteration_times_s)
        )
        proxy.close()
        await asyncio.sleep(0)  # lets the proxy's tasks end
    return times


async def main(loop: TimedEventLoop) -> None:
    """Measure all inputs and print the table."""
    backend = BackendThread()
    backend.start()
    print(
        f"{'worst input':52} {'turn, ms':>9} {'all, s':>7} {'turns':>7}  core for {CRASH_THRESHOLD_S:.0f} s"
    )
    for worst_input in itertools.chain(list_inputs(backend.port), flood_inputs()):
        times = await measure(loop, worst_input, backend.port)
        print(
            f"{worst_input.name:52} {1000 * times.longest_s:9.1f} {times.total_s:7.2f} {times.iterations:7}"
            f" {times.longest_s / CRASH_THRESHOLD_S:9.5f}",
            flush=True,
        )


if __name__ == "__main__":
    logging.disable(logging.WARNING)
    timed_loop = TimedEventLoop()
    with asyncio.Runner(loop_factory=lambda: timed_loop) as runner:
        runner.run(main(timed_loop))
