"""The upstream follower while its upstreams are down, in model time: how late a change is notified."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from loadbalancer.discovery_server.upstream_follower import UpstreamFollower
from loadbalancer.discovery_server.upstream_selector import MAX_BACKOFF_S, UpstreamSelector
from tests.support.model_time import FAULTS, DiscoveryModel, run_in_model_time

WATCH_TIMEOUT_MS = 3000.0
NOTIFICATION_LIMIT_S = 6.0  # of 8 s from the registry to everywhere
UPSTREAMS = [("127.0.0.1", 1), ("127.0.0.1", 2)]


class Upstream(DiscoveryModel):
    """Takes the first request of a connection, which has no query, for one from revision 0."""

    def on_request(self, transport, text):
        super().on_request(transport, text.replace("/hosts HTTP", "/hosts?since=0&timeout_ms=0 HTTP"))


def make_follower(fault, rng, count):
    """A follower of so many upstreams, with the lists of its updates and of its status changes."""
    loop = asyncio.get_running_loop()
    loop.discovery = Upstream(fault, rng)
    updates, connected = [], []
    follower = UpstreamFollower(
        UPSTREAMS[:count],
        WATCH_TIMEOUT_MS,
        rng,
        updates.append,
        lambda status: connected.append(status.connected),
    )
    return follower, loop.discovery, updates, connected


async def notification_delay(fault, failed_calls, after_s, count, rng):
    """Seconds from the upstream's return, `after_s` after so many failed calls, to its change."""
    follower, upstream, updates, connected = make_follower(fault, rng, count)
    follower.start()
    await upstream.wait_for_attempts(2)
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    upstream.go_down()
    await upstream.wait_for_attempts(failed_calls)
    await asyncio.sleep(after_s)
    upstream.up, upstream.revision = True, 3
    before = len(updates)
    loop = asyncio.get_running_loop()
    returned_at = loop.time()
    uids = set()
    while "s3" not in uids:
        await asyncio.sleep(0.01)
        uids = {record.uid for update in updates[before:] for record in update.records}
    delay_s = loop.time() - returned_at
    follower.close()
    assert (connected[0], connected[-1]) == (True, True)
    return delay_s


@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("fault", FAULTS)
def test_change_is_notified_in_time_whatever_failed_before(fault, count):
    rng, delays = Random(f"{fault} {count}"), {}
    for failed_calls in range(8):
        for after_s in (0.001, rng.uniform(0.0, 4.0), rng.uniform(0.0, 4.0)):
            delay_s = run_in_model_time(notification_delay(fault, failed_calls, after_s, count, rng))
            delays[delay_s] = (failed_calls, after_s)
    longest_s, case = max(delays.items())
    assert longest_s <= NOTIFICATION_LIMIT_S, f"{longest_s:.2f} s after the return: {case}"


@pytest.mark.parametrize("fault", FAULTS)
def test_upstream_that_is_down_is_not_flooded_with_calls(fault):
    async def calls_per_second():
        follower, upstream, _, connected = make_follower(fault, Random(1), 2)
        upstream.up = False
        follower.start()
        await asyncio.sleep(600.0)
        follower.close()
        assert connected == [False], "each outage is reported once"
        return upstream.attempts.qsize() / 600.0

    assert run_in_model_time(calls_per_second()) <= 2.5 / MAX_BACKOFF_S


def test_backoff_is_short_at_first_bounded_spread_and_reproducible():
    def backoffs(seed, failures):
        selector = UpstreamSelector(3, Random(seed))
        drawn = []
        for _ in range(failures):
            selector.record_failure()
            drawn.append(selector.backoff_s)
        return drawn, selector.index

    first = sorted(backoffs(seed, 1)[0][0] for seed in range(1000))
    late = sorted(backoffs(seed, 2000)[0][-1] for seed in range(200))
    assert first[-1] <= 0.25
    assert 1.5 <= late[-1] <= MAX_BACKOFF_S
    for spread in (first, late):  # no tenth of the time takes more than a quarter of the followers
        tenths = [int(10 * backoff_s / spread[-1]) for backoff_s in spread]
        assert max(tenths.count(tenth) for tenth in range(10)) <= len(spread) / 4
    assert backoffs(1, 20) == backoffs(1, 20) != backoffs(2, 20)
    assert backoffs(1, 4)[1] == 1


def test_backoff_after_a_rejected_update_is_that_of_several_failures():
    bounds = []

    class UpperBound(Random):
        def uniform(self, a, b):
            bounds.append(b)
            return b

    async def reject_twice():
        follower, *_ = make_follower("refused", UpperBound(1), 1)
        follower.restart_after_rejection()
        follower.restart_after_rejection()
        follower.close()

    run_in_model_time(reject_twice())
    assert bounds == [MAX_BACKOFF_S, MAX_BACKOFF_S]
