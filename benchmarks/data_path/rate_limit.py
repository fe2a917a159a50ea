"""The search for the highest request rate that a node sustains."""

from __future__ import annotations

import os
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from benchmarks.data_path.plan import Plan
from benchmarks.support.open_loop import MICROSECONDS_PER_S, LoadResult, histogram
from benchmarks.support.records import Record

SUSTAINED_LATENCY_US = 100_000.0  # maximum latency of a fast response
SUSTAINED_FRACTION = 0.99  # minimum fractions of fast responses and of responses with status 200
RATE_GROWTH = 1.15  # factor from one rate to the next
MAX_FAILED_RATES = 2  # consecutive rates that are not sustained, after which the search ends


@dataclass(frozen=True, slots=True)
class ProxiedSlice:
    """A slice of requests through a proxy, and its cost for the proxy."""

    result: LoadResult
    cpu_us: float  # processor time per request, less idle use
    run_queue_us: float  # time per request in which the proxy is runnable but waits for a core
    opened: int  # opened connections to backends


class RateTrial(Record, frozen=True, kw_only=True):
    """One rate in the search for a node's highest sustained rate."""

    rate: float = msgspec.field(name="kept_per_s")  # requests a second
    p50_us: float
    p99_us: float
    cpu_us: float  # processor time per request, less idle use
    run_queue_us: float = msgspec.field(name="waited_us")
    cores: float = msgspec.field(name="core")  # cores in use, including idle use
    opened_per_request: float = msgspec.field(name="opened_per_call")
    success_fraction: float = msgspec.field(name="ok_share")
    fast_fraction: float = msgspec.field(name="quick_share")  # responses within `SUSTAINED_LATENCY_US`
    send_delay_p99_us: float = msgspec.field(name="late_sent_p99_us")
    load_average: float = msgspec.field(name="load")

    @property
    def sustained(self) -> bool:
        """Whether enough requests succeed and enough responses are fast."""
        return min(self.fast_fraction, self.success_fraction) >= SUSTAINED_FRACTION


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The highest rate that a node sustains, and the trials of the search."""

    list_size: int
    sustained_rate: float  # 0 if no rate is sustained
    measured: RateTrial  # the trial at that rate, or the first trial if no rate is sustained
    trials: list[RateTrial]

    def row(self) -> dict[str, object]:
        """Return the limit's figures by their names in the result file, without the trials."""
        return {"list": self.list_size} | self.measured.row() | {"kept_per_s": self.sustained_rate}

    def row_with_trials(self) -> dict[str, object]:
        """Return the figures of the limit and its trials by their names in the result file."""
        return self.row() | {"steps": [trial.row() for trial in self.trials]}


async def find_rate_limit(
    plan: Plan, list_size: int, idle_cores: float, run_slice: Callable[[float], Awaitable[ProxiedSlice]]
) -> RateLimit:
    """Raise the rate until `MAX_FAILED_RATES` consecutive rates are not sustained, or to the plan's maximum.

    Args:
        plan: The minimum and maximum rates of the search.
        list_size: The size of the node's list.
        idle_cores: The cores in use by the node without requests.
        run_slice: Runs a slice of requests at a rate.
    """
    rate, failed_rates, sustained_rate = plan.limit_min_rate, 0, 0.0
    trials: list[RateTrial] = []
    measured: RateTrial | None = None
    while failed_rates < MAX_FAILED_RATES and (not trials or rate <= plan.limit_max_rate):
        trial = rate_trial(rate, await run_slice(rate), idle_cores)
        trials.append(trial)
        failed_rates = 0 if trial.sustained else failed_rates + 1
        if trial.sustained:
            sustained_rate, measured = rate, trial
        rate *= RATE_GROWTH
    return RateLimit(list_size, sustained_rate, measured or trials[0], trials)


def rate_trial(rate: float, proxied: ProxiedSlice, idle_cores: float) -> RateTrial:
    """Return the figures of one trial from its slice of requests."""
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
        cores=proxied.cpu_us * request_rate / MICROSECONDS_PER_S + idle_cores,
        opened_per_request=proxied.opened / requests,
        success_fraction=proxied.result.statuses[HTTPStatus.OK] / requests,
        fast_fraction=fast / requests,
        send_delay_p99_us=histogram(proxied.result.send_delays_us).get_value_at_percentile(99.0),
        load_average=os.getloadavg()[0],
    )
