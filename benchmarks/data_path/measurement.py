"""Measuring requests through real proxies beside the same requests made directly.

Slices of requests, direct and through a proxy, are run in turn, round by round, so that whatever else the
machine does falls on all alike.
"""

from __future__ import annotations

import asyncio
import os
from collections import defaultdict
from dataclasses import dataclass, field
from http import HTTPStatus
from random import Random
from typing import Any

from benchmarks.support.node_setup import DEFAULT_LIST_SIZES, ORDINARY_RATE, WARM_UP_S, NodeSetup
from benchmarks.support.open_loop import MICROSECONDS_PER_S, Address, LoadResult, histogram
from benchmarks.support.processes import cpu_seconds, resident_mib, run_queue_seconds
from benchmarks.support.proxy_process import DEPLOYED_SOCKETS

DIRECT_BACKENDS = 13  # that direct requests go to
SUSTAINED_LATENCY_US = 100_000.0  # a rate is sustained if enough requests are answered 200 within this time
SUSTAINED_FRACTION = 0.99  # of the requests
RATE_GROWTH = 1.15  # from one rate to the next, in the search for a node's limit
MAX_FAILED_RATES = 2  # rates in a record that are not sustained, after which the limit lies below


@dataclass(frozen=True, slots=True)
class SliceKind:
    """A size of list and a rate, in requests a second, at which it is measured."""

    list_size: int
    rate: float


@dataclass(frozen=True, slots=True)
class Plan:
    """What is run."""

    seconds: float = 5.0  # of each slice
    rounds: int = 5  # of all slices
    rates: tuple[float, ...] = (50.0, ORDINARY_RATE, 500.0)  # requests a second
    sizes: tuple[int, ...] = DEFAULT_LIST_SIZES
    idle_s: float = 10.0  # without requests, in which a node's idle use is measured
    limit_min_rate: float = 300.0  # requests a second
    limit_max_rate: float = 5000.0
    limit_s: float = 3.0  # of each rate in the search for a limit; 0: no search
    service_ms: float = 0.0  # a backend's time for a request
    sockets: int = DEPLOYED_SOCKETS  # descriptors that a node may hold
    seed: int = 7

    @property
    def comparison_rate(self) -> float:
        """The rate at which lists of several sizes are compared."""
        return ORDINARY_RATE if ORDINARY_RATE in self.rates else self.rates[0]

    def slice_kinds(self) -> list[SliceKind]:
        """Return what is measured: all rates on the smallest list, one rate on the others."""
        smallest, *others = sorted(self.sizes)
        return [SliceKind(smallest, rate) for rate in self.rates] + [
            SliceKind(size, self.comparison_rate) for size in others
        ]


@dataclass(slots=True)
class Cell:
    """What was measured of one kind of slice; lists have an item for each round unless they say otherwise."""

    proxied_us: list[list[float]] = field(default_factory=list)  # latencies through the proxy
    direct_us: list[list[float]] = field(default_factory=list)  # latencies of direct requests
    cpu_us: list[float] = field(default_factory=list)  # processor time a request, less idle use
    run_queue_us: list[float] = field(default_factory=list)  # a request's wait for a core
    send_delays_us: list[float] = field(default_factory=list)  # an item for each request
    opened: list[int] = field(default_factory=list)  # connections to backends
    succeeded: int = 0
    load_average: list[float] = field(default_factory=list)

    @property
    def requests(self) -> int:
        """Requests through the proxy in all rounds."""
        return sum(map(len, self.proxied_us))


@dataclass(frozen=True, slots=True)
class ProxiedSlice:
    """A slice of requests through a proxy, and what they cost it."""

    result: LoadResult
    cpu_us: float  # processor time a request, less idle use
    run_queue_us: float  # a request, in which the proxy could have run and had no core
    opened: int  # connections to backends


@dataclass(frozen=True, slots=True)
class RateTrial:
    """One rate in the search for a node's limit."""

    rate: float  # requests a second
    p50_us: float
    p99_us: float
    cpu_us: float  # processor time a request
    run_queue_us: float
    cores: float  # in use, idle use included
    opened_per_request: float
    success_fraction: float
    fast_fraction: float  # answered within `SUSTAINED_LATENCY_US`
    send_delay_p99_us: float
    load_average: float

    @property
    def sustained(self) -> bool:
        """Whether enough requests were answered 200, and enough of them in time."""
        return min(self.fast_fraction, self.success_fraction) >= SUSTAINED_FRACTION

    def record(self) -> dict[str, float]:
        """Return the trial under the names of the result file."""
        return {
            "kept_per_s": self.rate,
            "p50_us": self.p50_us,
            "p99_us": self.p99_us,
            "cpu_us": self.cpu_us,
            "waited_us": self.run_queue_us,
            "core": self.cores,
            "opened_per_call": self.opened_per_request,
            "ok_share": self.success_fraction,
            "quick_share": self.fast_fraction,
            "late_sent_p99_us": self.send_delay_p99_us,
            "load": self.load_average,
        }


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The highest of rising rates that a node sustains."""

    list_size: int
    sustained_rate: float  # 0 if it sustained none
    measured: RateTrial  # at that rate, or at the first one if it sustained none
    trials: list[RateTrial]

    def record(self) -> dict[str, Any]:
        """Return the limit under the names of the result file."""
        return (
            {"list": self.list_size}
            | self.measured.record()
            | {"kept_per_s": self.sustained_rate, "steps": [trial.record() for trial in self.trials]}
        )


class DataPathBench:
    """Runs the slices of a plan on nodes that are up."""

    def __init__(self, plan: Plan, setup: NodeSetup, direct_addresses: list[Address]) -> None:
        self.plan = plan
        self.setup = setup
        self.idle_cores: dict[int, float] = {}  # by size of list: cores in use without requests
        self.idle_mib: dict[int, float] = {}
        self._direct_addresses = direct_addresses

    async def warm_up(self) -> None:
        """Open connections and learn latencies; then measure what a node uses without requests."""
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
        """Run a slice of requests through the proxy that has a list of this size."""
        proxy, loop = self.setup.proxies[size], asyncio.get_running_loop()
        accepted = await self.setup.backends.accepted_connections()
        started, cpu_s, run_queue_s = loop.time(), cpu_seconds(proxy.pid), run_queue_seconds(proxy.pid)
        result = await self.setup.client.run([proxy.address], rate, seconds)
        cpu_s = cpu_seconds(proxy.pid) - cpu_s - self.idle_cores[size] * (loop.time() - started)
        run_queue_s = run_queue_seconds(proxy.pid) - run_queue_s
        opened = await self.setup.backends.accepted_connections() - accepted
        per_request_us = MICROSECONDS_PER_S / len(result.latencies_us)
        return ProxiedSlice(result, cpu_s * per_request_us, run_queue_s * per_request_us, opened)

    async def run_rounds(self) -> dict[SliceKind, Cell]:
        """Run all kinds of slices, direct and proxied in turn, in an order drawn anew for each round."""
        cells: dict[SliceKind, Cell] = defaultdict(Cell)
        rng = Random(self.plan.seed)
        kinds = self.plan.slice_kinds()
        for _ in range(self.plan.rounds):
            for kind in rng.sample(kinds, len(kinds)):
                await self._run_pair(kind, cells[kind])
        return {kind: cells[kind] for kind in kinds}

    async def _run_pair(self, kind: SliceKind, cell: Cell) -> None:
        direct = await self.setup.client.run(self._direct_addresses, kind.rate, self.plan.seconds)
        proxied = await self.run_proxied(kind.list_size, kind.rate, self.plan.seconds)
        cell.direct_us.append(direct.latencies_us)
        cell.proxied_us.append(proxied.result.latencies_us)
        cell.send_delays_us += direct.send_delays_us + proxied.result.send_delays_us
        cell.cpu_us.append(proxied.cpu_us)
        cell.run_queue_us.append(proxied.run_queue_us)
        cell.opened.append(proxied.opened)
        cell.succeeded += proxied.result.statuses[HTTPStatus.OK]
        cell.load_average.append(os.getloadavg()[0])

    async def find_rate_limit(self, size: int) -> RateLimit:
        """Raise the rate until `MAX_FAILED_RATES` in a record are not sustained, or to the plan's highest."""
        rate, failed_in_a_record = self.plan.limit_min_rate, 0
        sustained_rate = 0.0
        trials: list[RateTrial] = []
        measured: RateTrial | None = None
        while failed_in_a_record < MAX_FAILED_RATES and (not trials or rate <= self.plan.limit_max_rate):
            trial = self._rate_trial(size, rate, await self.run_proxied(size, rate, self.plan.limit_s))
            trials.append(trial)
            failed_in_a_record = 0 if trial.sustained else failed_in_a_record + 1
            if trial.sustained:
                sustained_rate, measured = rate, trial
            rate *= RATE_GROWTH
        return RateLimit(size, sustained_rate, measured or trials[0], trials)

    def _rate_trial(self, size: int, rate: float, proxied: ProxiedSlice) -> RateTrial:
        latencies_us = proxied.result.latencies_us
        requests = len(latencies_us)
        recorded = histogram(latencies_us)
        fast = sum(latency_us <= SUSTAINED_LATENCY_US for latency_us in latencies_us)
        request_rate = requests / proxied.result.seconds
        return RateTrial(
            rate=rate,
            p50_us=recorded.get_value_at_percentile(50.0),
            p99_us=recorded.get_value_at_percentile(99.0),
            cpu_us=proxied.cpu_us,
            run_queue_us=proxied.run_queue_us,
            cores=proxied.cpu_us * request_rate / MICROSECONDS_PER_S + self.idle_cores[size],
            opened_per_request=proxied.opened / requests,
            success_fraction=proxied.result.statuses[HTTPStatus.OK] / requests,
            fast_fraction=fast / requests,
            send_delay_p99_us=histogram(proxied.result.send_delays_us).get_value_at_percentile(99.0),
            load_average=os.getloadavg()[0],
        )
