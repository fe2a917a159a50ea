"""Measurement of requests through real proxies, compared with direct requests to the backends.

Slices of direct requests and of requests through a proxy alternate in each round, so that other load on the
machine affects all of them equally.
"""

from __future__ import annotations

import asyncio
import os
from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from random import Random

from benchmarks.data_path.plan import Plan, SliceKind
from benchmarks.data_path.rate_limit import ProxiedSlice, RateLimit, find_rate_limit
from benchmarks.support.node_setup import WARM_UP_S, NodeSetup
from benchmarks.support.open_loop import MICROSECONDS_PER_S
from benchmarks.support.processes import cpu_seconds, resident_mib, run_queue_seconds
from loadbalancer.http.addresses import Address

DIRECT_BACKENDS = 13  # number of backends that receive direct requests


@dataclass(slots=True)
class SliceMeasurements:
    """The measurements of one kind of slice; lists have one item for each round unless noted otherwise."""

    proxied_us: list[list[float]] = field(default_factory=list)  # latencies through the proxy
    direct_us: list[list[float]] = field(default_factory=list)  # latencies of direct requests
    cpu_us: list[float] = field(default_factory=list)  # processor time per request, less idle use
    run_queue_us: list[float] = field(default_factory=list)  # wait for a core, per request
    send_delays_us: list[float] = field(default_factory=list)  # one item for each request
    opened: list[int] = field(default_factory=list)  # opened connections to backends
    succeeded: int = 0
    load_average: list[float] = field(default_factory=list)

    @property
    def requests(self) -> int:
        """Requests through the proxy in all rounds."""
        return sum(map(len, self.proxied_us))


class DataPathBenchmark:
    """Runs the slices of a plan on running nodes."""

    def __init__(self, plan: Plan, setup: NodeSetup, direct_addresses: list[Address]) -> None:
        self.plan = plan
        self.setup = setup
        self.idle_cores: dict[int, float] = {}  # by list size: cores in use without requests
        self.idle_mib: dict[int, float] = {}  # by list size: resident memory without requests
        self._direct_addresses = direct_addresses

    async def warm_up(self) -> None:
        """Send uncounted requests, so that connections are open and the proxies have latency samples.

        Then measure each node's resource usage without requests.
        """
        proxies, client = self.setup.proxies, self.setup.client
        rate = min(self.plan.rates)
        await client.run(self._direct_addresses, rate, WARM_UP_S)
        for proxy in proxies.values():
            await client.run([proxy.address], rate, WARM_UP_S)
        cpu_s = {size: cpu_seconds(proxy.pid) for size, proxy in proxies.items()}
        started = asyncio.get_running_loop().time()
        await asyncio.sleep(self.plan.idle_s)
        elapsed_s = asyncio.get_running_loop().time() - started
        for size, proxy in proxies.items():
            self.idle_cores[size] = (cpu_seconds(proxy.pid) - cpu_s[size]) / elapsed_s
            self.idle_mib[size] = resident_mib(proxy.pid)

    async def run_proxied(self, size: int, rate: float, seconds: float) -> ProxiedSlice:
        """Run a slice of requests through the proxy with a list of this size."""
        proxy, loop = self.setup.proxies[size], asyncio.get_running_loop()
        accepted = await self.setup.backends.accepted_connections()
        started, cpu_s, run_queue_s = loop.time(), cpu_seconds(proxy.pid), run_queue_seconds(proxy.pid)
        result = await self.setup.client.run([proxy.address], rate, seconds)
        cpu_s = cpu_seconds(proxy.pid) - cpu_s - self.idle_cores[size] * (loop.time() - started)
        run_queue_s = run_queue_seconds(proxy.pid) - run_queue_s
        opened = await self.setup.backends.accepted_connections() - accepted
        per_request_us = MICROSECONDS_PER_S / len(result.latencies_us)
        return ProxiedSlice(result, cpu_s * per_request_us, run_queue_s * per_request_us, opened)

    async def run_rounds(self) -> dict[SliceKind, SliceMeasurements]:
        """Run rounds of all kinds of slices, each after a direct slice, in a random order in each round."""
        measurements: dict[SliceKind, SliceMeasurements] = defaultdict(SliceMeasurements)
        rng = Random(self.plan.seed)
        kinds = self.plan.slice_kinds()
        for _ in range(self.plan.rounds):
            for kind in rng.sample(kinds, len(kinds)):
                await self._run_pair(kind, measurements[kind])
        return {kind: measurements[kind] for kind in kinds}

    async def _run_pair(self, kind: SliceKind, measured: SliceMeasurements) -> None:
        direct = await self.setup.client.run(self._direct_addresses, kind.rate, self.plan.seconds)
        proxied = await self.run_proxied(kind.list_size, kind.rate, self.plan.seconds)
        measured.direct_us.append(direct.latencies_us)
        measured.proxied_us.append(proxied.result.latencies_us)
        measured.send_delays_us += direct.send_delays_us + proxied.result.send_delays_us
        measured.cpu_us.append(proxied.cpu_us)
        measured.run_queue_us.append(proxied.run_queue_us)
        measured.opened.append(proxied.opened)
        measured.succeeded += proxied.result.statuses[HTTPStatus.OK]
        measured.load_average.append(os.getloadavg()[0])

    async def find_rate_limit(self, size: int) -> RateLimit:
        """Search for the highest rate that the proxy with a list of this size sustains."""
        run_slice = partial(self.run_proxied, size, seconds=self.plan.limit_s)
        return await find_rate_limit(self.plan, size, self.idle_cores[size], run_slice)
