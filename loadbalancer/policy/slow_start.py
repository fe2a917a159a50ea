"""Slow start: the capacity of endpoints that are warming up, and the limit on the attempts sent to them.

An endpoint in slow start that is sent more than `overload_factor` times its current capacity for
`overload_window_ms` fails. Both are settings; the capacity in attempts per second is not given. Slow start
therefore approximates the rule by shares. The capacity of an endpoint, relative to the others, is assumed to
rise linearly from its start until it has warmed up; its share is this current capacity divided by that of the
pool. A random draw per attempt limits the fraction of all replicas' attempts that a warming endpoint gets to
`OVERLOAD_FACTOR_FRACTION` times `overload_factor` times its share, without any coordination between replicas.
While most of the pool is warming up, the pool's capacity is assumed to be higher (`draw_eligible`).
"""

from __future__ import annotations

from random import Random

from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.parameters import (
    MIN_ATTEMPT_TOKENS,
    MIN_POOL_CAPACITY_FRACTION,
    OVERLOAD_FACTOR_FRACTION,
    PEAK_RATE_DECAY_MS,
    SAMPLED_ENDPOINTS,
)
from loadbalancer.policy.tracked_endpoint import TrackedEndpoint
from loadbalancer.settings import Settings


class SlowStart:
    """Limits the attempts that all replicas together send to an endpoint that is warming up."""

    def __init__(self, settings: Settings, random: Random, endpoints: EndpointSet, now_ms: float) -> None:
        self._random = random
        self._endpoints = endpoints
        self._ramp_ms = settings.slow_start_ms
        self._initial_fraction = settings.slow_start_initial_fraction
        self._ramp_fraction = 1.0 - settings.slow_start_initial_fraction
        self._allowed_factor = OVERLOAD_FACTOR_FRACTION * settings.overload_factor
        self._window_ms = settings.overload_window_ms
        # Long-term mean of the weight of completed attempts per ms; not updated while most of the pool is
        # warming up.
        self._usual_rate = 0.0
        self._usual_rate_duration_ms = 0.0  # for which it has been measured, up to `PEAK_RATE_DECAY_MS`
        # Token bucket for attempts while most of the pool is warming up, filled at the usual rate. An attempt
        # takes as many tokens as its weight. If fewer remain, `draw_eligible` assumes a larger pool capacity,
        # which reduces the probability that a warming endpoint gets the attempt.
        self._attempt_tokens = 0.0
        self._refilled_ms = now_ms

    def is_warmed_up(self, now_ms: float, endpoint: TrackedEndpoint) -> bool:
        """Whether the endpoint has reached its full capacity."""
        started_ms = endpoint.listed.started_ms
        return started_ms is None or now_ms - started_ms >= self._ramp_ms

    def current_capacity(self, now_ms: float, endpoint: TrackedEndpoint) -> float:
        """The assumed capacity of the endpoint at this time; it rises linearly during slow start."""
        started_ms = endpoint.listed.started_ms
        if started_ms is None or now_ms - started_ms >= self._ramp_ms:
            return endpoint.full_capacity
        age_ms = max(0.0, now_ms - started_ms)
        return endpoint.full_capacity * (
            self._initial_fraction + self._ramp_fraction * age_ms / self._ramp_ms
        )

    def draw_eligible(
        self,
        now_ms: float,
        sampled: list[TrackedEndpoint],
        candidates_capacity: float,
        weight: float,
    ) -> list[TrackedEndpoint]:
        """The sampled endpoints that may get an attempt; takes tokens if most of the pool is warming up.

        `candidates_capacity` is the sum of all candidates' capacities, or 0 if all of them are in `sampled`.
        `weight` is the attempt's weight in flight, and the number of tokens that it takes.
        """
        is_warmed_up = self.is_warmed_up
        if all([is_warmed_up(now_ms, endpoint) for endpoint in sampled]):
            return sampled
        pool_capacity, min_capacity = self._pool_capacities(now_ms)
        if pool_capacity >= min_capacity or self._usual_rate <= 0.0:
            # The pool has at least the minimum capacity, or no usual rate is known. The shares of the current
            # capacity add up to all attempts, which would overload a pool most of which is warming up. The
            # shares are therefore computed from at least the minimum capacity. Trade-off: attempts for which
            # the pool has capacity are held back.
            pool_capacity = max(pool_capacity, min_capacity)
        else:
            # When attempts come faster than the usual rate, few tokens remain. The pool capacity assumed here
            # is then larger, and the shares smaller.
            pool_capacity = (
                min_capacity * weight / max(self._take_attempt_tokens(now_ms, weight), MIN_ATTEMPT_TOKENS)
            )
        is_eligible = self.is_eligible
        return [item for item in sampled if is_eligible(now_ms, item, candidates_capacity, pool_capacity)]

    def is_eligible(
        self, now_ms: float, endpoint: TrackedEndpoint, candidates_capacity: float, pool_capacity: float
    ) -> bool:
        """Whether a sampled endpoint may get the attempt; a random draw if it is warming up.

        If each replica limited only the number of its own attempts, those of all replicas together would
        overload a warming endpoint. A probability per attempt is therefore limited, which holds for any
        number of replicas together: an endpoint is sampled with a probability of up to `SAMPLED_ENDPOINTS`
        times its share of `candidates_capacity` (0: all candidates are sampled), and the draw limits the
        probability that it is both sampled and eligible to the allowed multiple of its share of
        `pool_capacity`. Trade-off: the number of attempts in one overload window varies.
        """
        if self.is_warmed_up(now_ms, endpoint):
            return True
        capacity = self.current_capacity(now_ms, endpoint)
        chance = min(1.0, SAMPLED_ENDPOINTS * capacity / candidates_capacity) if candidates_capacity else 1.0
        return self._random.random() * chance * pool_capacity < self._allowed_factor * capacity

    def update_usual_rate(self, now_ms: float, completed_weight: float, period_ms: float) -> None:
        """Update the usual rate with the weight completed in a period, and empty the token bucket.

        While most of the pool is warming up, nothing changes.
        """
        pool_capacity, min_capacity = self._pool_capacities(now_ms)
        if pool_capacity < min_capacity:
            return
        self._usual_rate_duration_ms = min(PEAK_RATE_DECAY_MS, self._usual_rate_duration_ms + period_ms)
        gain = min(1.0, period_ms / self._usual_rate_duration_ms)
        self._usual_rate += gain * (completed_weight / period_ms - self._usual_rate)
        self._attempt_tokens = 0.0
        self._refilled_ms = now_ms

    def _take_attempt_tokens(self, now_ms: float, weight: float) -> float:
        """Take up to `weight` tokens and return the number; the bucket holds those of one overload window.

        Clients that retry at once after each rejection cause a new draw for each retry. Without the bucket,
        warming endpoints would get several times the attempts that they have capacity for while most of the
        pool is warming up. Attempts above the usual rate therefore get no tokens, and the probability that a
        warming endpoint gets them is close to 0. Trade-off: new traffic above the usual rate gets hardly any
        attempts until the pool has warmed up.
        """
        max_tokens = self._usual_rate * self._window_ms
        tokens = self._attempt_tokens + self._usual_rate * (now_ms - self._refilled_ms)
        used = min(weight, tokens, max_tokens)
        self._attempt_tokens = min(tokens, max_tokens) - used
        self._refilled_ms = now_ms
        return used

    def _pool_capacities(self, now_ms: float) -> tuple[float, float]:
        """The current capacity of the pool, and the minimum below which most of it counts as warming up."""
        ready = self._endpoints.ready
        capacity = sum([self.current_capacity(now_ms, endpoint) for endpoint in ready])
        full_capacity = sum([endpoint.full_capacity for endpoint in ready])
        return capacity, MIN_POOL_CAPACITY_FRACTION * full_capacity
