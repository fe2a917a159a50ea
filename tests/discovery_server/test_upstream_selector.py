"""The order in which upstreams are selected, and the backoff before each of them."""

from __future__ import annotations

from random import Random

import pytest

from loadbalancer.discovery_server.upstream_selector import MAX_BACKOFF_S, UpstreamSelector

UPSTREAMS = 3


def backoffs_after(failures, seed):
    """The backoff after each of `failures` consecutive failures."""
    selector = UpstreamSelector(UPSTREAMS, Random(seed))
    backoffs = []
    for _ in range(failures):
        selector.record_failure()
        backoffs.append(selector.backoff_s)
    return backoffs


def first_backoffs():
    """The backoffs of many followers after their first failure, in ascending order."""
    return sorted(backoffs_after(1, seed)[0] for seed in range(1000))


def late_backoffs():
    """The backoffs of many followers after many failures, in ascending order."""
    return sorted(backoffs_after(2000, seed)[-1] for seed in range(200))


def test_backoff_is_short_at_first_and_bounded():
    assert first_backoffs()[-1] <= 0.25
    assert 1.5 <= late_backoffs()[-1] <= MAX_BACKOFF_S


@pytest.mark.parametrize(
    "backoffs", [pytest.param(first_backoffs, id="first"), pytest.param(late_backoffs, id="late")]
)
def test_no_tenth_of_the_longest_backoff_has_more_than_a_quarter_of_the_followers(backoffs):
    sorted_backoffs = backoffs()
    tenths = [int(10 * backoff_s / sorted_backoffs[-1]) for backoff_s in sorted_backoffs]
    assert max(tenths.count(tenth) for tenth in range(10)) <= len(sorted_backoffs) / 4


def test_backoff_is_reproducible_by_its_seed():
    assert backoffs_after(20, seed=1) == backoffs_after(20, seed=1) != backoffs_after(20, seed=2)


def test_each_failure_selects_the_next_upstream_and_a_success_keeps_it():
    selector = UpstreamSelector(UPSTREAMS, Random(1))
    for _ in range(4):
        selector.record_failure()
    assert selector.index == 1
    selector.record_success()
    assert (selector.index, selector.consecutive_failures, selector.backoff_s) == (1, 0, 0.0)


class UpperBound(Random):
    """Draws the upper bound of each range."""

    def uniform(self, a, b):
        return max(a, b)


def test_rejected_update_has_the_backoff_of_several_failures():
    selector = UpstreamSelector(UPSTREAMS, UpperBound(1))
    for _ in range(2):
        selector.record_success()
        selector.record_rejected_update()
        assert selector.backoff_s == MAX_BACKOFF_S
