"""A slow discovery, in model time: when a change is in force, and how many requests that takes.

The proxy, its watch and its policy are those of the program.
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from loadbalancer.discovery.watch_timing import (
    NOTIFICATION_DEADLINE_MS,
    WATCH_FIRST_WAIT_MS,
    WATCH_RESPONSE_GRACE_MS,
)
from loadbalancer.proxy import statistics
from loadbalancer.proxy.proxy import Proxy
from tests.support.model_time import DiscoveryModel, model_loop, run_in_model_time
from tests.support.observed_policy import ObservedPolicy
from tests.support.proxy_config import config

NOTIFICATION_DEADLINE_S = NOTIFICATION_DEADLINE_MS / 1000.0
# One for each time limit of the first request on a connection; in addition one follows each change.
MAX_REQUESTS_PER_MINUTE = 60_000.0 / (WATCH_FIRST_WAIT_MS + WATCH_RESPONSE_GRACE_MS)
MODES = pytest.mark.parametrize("mode", ["push", "ask"])
CHANGES = 40  # of a run, at random moments


@pytest.fixture(autouse=True)
def few_timers(monkeypatch):
    """Without the timer that measures the event loop's delay, model time advances faster."""
    monkeypatch.setattr(statistics, "LAG_CHECK_INTERVAL_S", 3600.0)


def make_proxy(mode: str, latency_s: float) -> tuple[Proxy, DiscoveryModel]:
    model_loop().discovery = discovery = DiscoveryModel("", Random(1), latency_s)
    return Proxy(config("127.0.0.1:1", settings={"registryMode": mode}, seed="1")), discovery


async def delay_at_start(mode: str, latency_s: float) -> float:
    """Seconds from the start of the proxy until it has a change that discovery has from the start."""
    proxy, discovery = make_proxy(mode, latency_s)
    discovery.revision = 2
    proxy.policy = policy = ObservedPolicy(proxy, "s2")
    started_s = proxy.loop.time()
    await proxy.start()
    async with asyncio.timeout(60.0):
        await policy.notified.wait()
    proxy.close()
    return proxy.loop.time() - started_s


async def delays_and_requests(mode: str, latency_s: float) -> tuple[float, float]:
    """The longest time in seconds until a change is in force; the requests per minute, less one a change."""
    proxy, discovery = make_proxy(mode, latency_s)
    await proxy.start()
    rng, delays_s, started_s = Random(f"{mode} {latency_s}"), [], proxy.loop.time()
    for number in range(CHANGES):
        await asyncio.sleep(rng.uniform(10.0, 20.0))
        proxy.policy = policy = ObservedPolicy(proxy, f"s{number + 2}")
        changed_s = proxy.loop.time()
        discovery.change()
        async with asyncio.timeout(60.0):
            await policy.notified.wait()
        delays_s.append(proxy.loop.time() - changed_s)
    proxy.close()
    minutes = (proxy.loop.time() - started_s) / 60.0
    return max(delays_s), (discovery.attempts.qsize() - CHANGES) / minutes


@MODES
@pytest.mark.parametrize("latency_s", [0.5, 1.5, 2.1, 2.5, 3.5, 4.5, 5.5])
def test_change_that_is_there_at_the_start_is_in_force_in_time(mode, latency_s):
    assert run_in_model_time(delay_at_start(mode, latency_s)) <= NOTIFICATION_DEADLINE_S


@MODES
@pytest.mark.parametrize("latency_s", [0.5, 1.5, 2.1, 2.5, 3.5, 4.5, 5.5])
def test_later_change_is_in_force_in_time_within_the_price_of_requests(mode, latency_s):
    delay_s, requests_per_minute = run_in_model_time(delays_and_requests(mode, latency_s))
    assert delay_s <= NOTIFICATION_DEADLINE_S
    assert requests_per_minute <= MAX_REQUESTS_PER_MINUTE
