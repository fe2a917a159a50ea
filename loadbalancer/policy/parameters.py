"""The constants of the policy, by concern; the comment of each one gives its unit and its effect.

- Weight in flight: a sum over attempts, where an attempt for a request of mean cost has the weight 1.
- Latency fraction: a latency over the latency objective of its service class, so that the latencies of
  different classes can be compared.
- Baseline: the latency fraction at low load. The latency headroom is the distance from there to 1, which is
  the objective.
- Gain: the fraction by which a smoothed value moves towards a new one, from 0 to 1.
"""

from __future__ import annotations

# The cursor table, which holds the thresholds for this proxy's weight in flight by position and priority row.

# Fraction of the shortest latency objective. The time between two moves of the cursor.
CURSOR_PERIOD_FRACTION = 0.15
# Positions. The number of them at the left end that have the full threshold.
FULL_THRESHOLD_POSITIONS = 2
# Positions. The number of them to the right of those, each with a lower threshold than the one before.
REDUCED_THRESHOLD_POSITIONS = 14
# Ratio. The threshold of a reduced position over that of the position before, at exponent 1.
THRESHOLD_DECAY = 0.8
# Halvings of the highest priority weight. At 1/16 of it or less, a request is in the lowest row.
PRIORITY_ROW_HALVINGS = 4.0
# Fraction of the full threshold. The lowest row's threshold is lower by this at every position.
LOWEST_ROW_REDUCTION = 0.25
# Exponent of the decay in the highest row; it is 1 in the lowest row, where thresholds therefore fall faster.
HIGHEST_ROW_EXPONENT = 0.5
# Weight in flight. The lowest threshold; it admits a few requests, whose outcomes show that load has fallen.
MIN_THRESHOLD = 0.1
# Fraction of the highest priority weight. The lower bound of a priority weight; keeps its logarithm finite.
MIN_PRIORITY_WEIGHT = 1e-6
# Factor of the priority weight. Applied to a request that is a client's retry.
RETRY_PRIORITY_FACTOR = 0.5

# The full threshold: by Little's law, the peak completion rate times an allowed latency, within bounds.

# Fraction of the latency headroom. The allowed latency is above the baseline by this.
FULL_THRESHOLD_HEADROOM_FRACTION = 0.30
# Standard deviations of a Poisson count. Added to the threshold, as small pools vary more in proportion.
FULL_THRESHOLD_DEVIATIONS = 2.0
# Latency fraction. The baseline before the first measurement.
DEFAULT_BASELINE = 0.5
# Weight in flight per endpoint, all replicas together. The lower bound while the rate is not known.
STARTUP_IN_FLIGHT_PER_ENDPOINT = 7.0
# Milliseconds. The time after the start for which the rate is not known.
STARTUP_MS = 3000.0
# Weight in flight per endpoint, all replicas together. The lower bound once the rate is known.
MIN_IN_FLIGHT_PER_ENDPOINT = 2.0
# Weight in flight per endpoint, all replicas together. The upper bound where it is in load reports.
MAX_IN_FLIGHT_PER_ENDPOINT = 7.0

# The load signal of latency.

# Fraction of the latency headroom. The target at low load, where latency varies mostly by chance.
TARGET_HEADROOM_FRACTION = 0.3
# Fraction of the latency headroom. The target while endpoints may be congested.
CONGESTED_TARGET_HEADROOM_FRACTION = 0.11
# Fraction of the latency headroom. The target with reported utilisation; latency then reflects lower tiers.
UTILISATION_TARGET_HEADROOM_FRACTION = 0.35
# Weight in flight per endpoint, all replicas together. From here on, endpoints may be congested.
CONGESTION_IN_FLIGHT_PER_ENDPOINT = 5.0
# Latency fraction. A smoothed latency above this counts as load in periods without new outcomes too.
SATURATED_LATENCY_FRACTION = 0.6
# Outcomes. With this many, a period has half the weight in the smoothed latency. A move of the cursor to the
# right waits for as many.
SMOOTHING_OUTCOMES = 20.0
# Outcomes that measure latency. Until there are this many, the baseline is the median of all so far.
MIN_BASELINE_OUTCOMES = 20
# Gain per period. Moves the baseline towards a lower latency.
BASELINE_GAIN_DOWN = 0.1
# Gain per period. Moves the baseline towards a higher latency, while the cursor is at position 0.
BASELINE_GAIN_UP = 0.01

# The load signals of load reports and rejections.

# Weight in flight per endpoint, by load reports. The target of its mean.
TARGET_IN_FLIGHT_PER_ENDPOINT = 6.0
# Utilisation, where 1 is at capacity. The target of the median of the reported ones.
TARGET_UTILISATION = 0.97
# Utilisation. The target is lower by up to this with very many replicas, which each send little of the load.
UTILISATION_MARGIN = 0.03
# Replicas. Up to this number, the margin is 0.
MAX_REPLICAS_WITHOUT_MARGIN = 8.0
# Fraction of the outcomes of a period. The target of rejections.
TARGET_REJECTED_FRACTION = 0.05
# Milliseconds. The age up to which a load report counts in the load signals.
REPORT_FRESHNESS_MS = 1500.0

# The rate of completed attempts.

# Milliseconds. The time constant of the smoothed rate.
COMPLETION_RATE_SMOOTHING_MS = 1000.0
# Milliseconds. The time constant of the decay of the peak rate, and of slow start's usual rate.
PEAK_RATE_DECAY_MS = 15000.0

# Smoothing per outcome.

# Gain per outcome. Moves an endpoint's latency, and its failure ratio after a success.
ENDPOINT_GAIN = 0.2
# Gain per outcome. Moves an endpoint's failure ratio after a failure: faster up than down.
FAILURE_GAIN = 0.4
# Gain per outcome or request. Moves the mean latency of a class, the mean objective and the mean cost.
CLASS_GAIN = 0.03

# The ranking of endpoints.

# Endpoints. The number of them that are sampled for an attempt; the best ranked one gets it.
SAMPLED_ENDPOINTS = 3
# Milliseconds. The time constant of an endpoint's latency, which decays to the mean without new measurements.
LATENCY_DECAY_MS = 8000.0
# Milliseconds. The time constant of an endpoint's failure ratio, which decays to 0 without new attempts.
FAILURE_DECAY_MS = 30000.0
# Ratio. The upper bound of the failure ratio in the rank; a failing endpoint still gets some attempts.
MAX_FAILURE_RATIO = 0.9
# Exponent of the success ratio in the rank. Failing endpoints lose attempts more than in proportion.
FAILURE_EXPONENT = 3.0
# Milliseconds. The time constant of a reported queue, which decays to the mean of the reporting endpoints.
QUEUE_REPORT_DECAY_MS = 500.0
# Width of the range of the random factor of a rank, which is centred on 1. Separates equal ranks.
RANK_JITTER = 0.1
# Requests per unit of the cross-zone cost setting. Added to the queue of an endpoint in another zone.
CROSS_ZONE_ATTEMPTS = 64.0

# Slow start. The share of an endpoint is its current capacity over that of the pool.

# Fraction of the overload factor. The product is the multiple of its share that a warming endpoint may get.
OVERLOAD_FACTOR_FRACTION = 0.85
# Fraction of the pool's full capacity. The lower bound of the pool's capacity in the shares; below it, most
# of the pool counts as warming up.
MIN_POOL_CAPACITY_FRACTION = 0.6
# Tokens. The lower bound of a divisor; keeps the quotient finite when the bucket is empty.
MIN_ATTEMPT_TOKENS = 1e-6

# Requests.

# Weight of a request by its cost, relative to a request of mean cost. The lower bound.
MIN_REQUEST_WEIGHT = 0.25
# Weight of a request by its cost, relative to a request of mean cost. The upper bound.
MAX_REQUEST_WEIGHT = 4.0
# Fraction of the latency objective. Attempts are stopped at this time if a later response has no value.
OBJECTIVE_TIMEOUT_FRACTION = 0.98
# Milliseconds. With this or less time remaining for a request, no attempt is sent.
MIN_ATTEMPT_MS = 1.0

# The backoff of discovery.

# Doublings of the initial backoff. The upper bound of their number.
MAX_BACKOFF_DOUBLINGS = 10
# Factor of the backoff. The lower bound of the random factor, whose upper bound is 1.
MIN_BACKOFF_JITTER = 0.5
