"""The constants of the policy, by concern; the comment of each one gives its unit and its effect.

- Weight in flight: the sum of the weights of attempts, where one for a request of mean cost has the weight 1.
- Latency fraction: a latency divided by the latency objective of its service class, so that the latencies of
  different classes can be compared.
- Baseline: the latency fraction at low load. The latency headroom is the distance from there to 1, which is
  the objective.
- Gain: the fraction by which a smoothed value moves towards a new one, from 0 to 1.
- Time constant: the time in which a deviation decays to about 37 percent (1/e) of itself.
"""

from __future__ import annotations

# The cursor table, which holds the thresholds for this proxy's weight in flight by position and priority row.

CURSOR_PERIOD_FRACTION = 0.15  # time between cursor moves, as a fraction of the shortest latency objective
FULL_THRESHOLD_POSITIONS = 2  # number of left-most positions; the highest row has the full threshold there
# Number of positions to the right of those, each with a lower threshold than the one before.
REDUCED_THRESHOLD_POSITIONS = 14
THRESHOLD_DECAY = 0.8  # ratio of a reduced position's threshold to that of the position before, at exponent 1
# Number of halvings of the highest priority weight at which the lowest row begins: 1/16 of it or less.
PRIORITY_ROW_HALVINGS = 4.0
# Fraction by which the threshold is reduced at every position of the lowest row, also at position 0.
LOWEST_ROW_REDUCTION = 0.25
# Exponent of the decay in the highest row; it is 1 in the lowest row, where thresholds therefore fall faster.
HIGHEST_ROW_EXPONENT = 0.5
# Lowest threshold, as weight in flight; it admits a few requests, whose outcomes show that load has fallen.
MIN_THRESHOLD = 0.1
# Lower bound of a priority weight, as a fraction of the highest; keeps its logarithm finite.
MIN_PRIORITY_WEIGHT = 1e-6
RETRY_PRIORITY_FACTOR = 0.5  # factor of the priority weight of a request that is a client's retry

# The full threshold: by Little's law, the peak completion rate times an allowed latency, within bounds, plus
# standard deviations.

# Allowed latency above the baseline, as a fraction of the latency headroom.
FULL_THRESHOLD_HEADROOM_FRACTION = 0.30
# Standard deviations of a Poisson count added to the bounded value, as small pools vary more in proportion.
FULL_THRESHOLD_DEVIATIONS = 2.0
DEFAULT_BASELINE = 0.5  # baseline before the first measurement, as a latency fraction
# Lower bound while the completion rate is not known, as weight in flight per endpoint of all replicas
# together.
STARTUP_IN_FLIGHT_PER_ENDPOINT = 7.0
STARTUP_MS = 3000.0  # milliseconds after the start for which the completion rate is not known
# Lower bound once the completion rate is known, as weight in flight per endpoint of all replicas together.
MIN_IN_FLIGHT_PER_ENDPOINT = 2.0
# Upper bound before the standard deviations are added, where load reports include requests in flight, as
# weight in flight per endpoint of all replicas together.
MAX_IN_FLIGHT_PER_ENDPOINT = 7.0

# The load signal of latency.

# Target at low load, where latency varies mostly by chance, as a fraction of the latency headroom.
TARGET_HEADROOM_FRACTION = 0.3
# Target while endpoints may be congested, as a fraction of the latency headroom.
CONGESTED_TARGET_HEADROOM_FRACTION = 0.11
# Target with reported utilisation, as a fraction of the latency headroom; latency then reflects lower tiers.
UTILISATION_TARGET_HEADROOM_FRACTION = 0.35
# Weight in flight per endpoint of all replicas together at or above which endpoints may be congested.
CONGESTION_IN_FLIGHT_PER_ENDPOINT = 5.0
# Smoothed latency fraction above which the pool is saturated: latency counts as load in periods without new
# outcomes too, and the cursor moves right without waiting for outcomes.
SATURATED_LATENCY_FRACTION = 0.6
# Number of latency measurements with which a period contributes half of the smoothed latency; a move of the
# cursor to the right waits for as many outcomes of attempts.
SMOOTHING_OUTCOMES = 20.0
# Number of latency measurements below which the baseline is the median of all of them.
MIN_BASELINE_MEASUREMENTS = 20
BASELINE_GAIN_DOWN = 0.1  # gain per period of the baseline towards a lower latency
# Gain per period of the baseline towards a higher latency, while the cursor is at position 0.
BASELINE_GAIN_UP = 0.01

# The load signals of load reports and rejections.

TARGET_IN_FLIGHT_PER_ENDPOINT = 6.0  # target of the mean weight in flight per endpoint, by load reports
TARGET_UTILISATION = 0.97  # target of the median reported utilisation, where 1 is at capacity
# Largest reduction of the target utilisation, with very many replicas, which each send little of the load.
UTILISATION_MARGIN = 0.03
MAX_REPLICAS_WITHOUT_MARGIN = 8.0  # number of replicas up to which the margin is 0
TARGET_REJECTED_FRACTION = 0.05  # target of endpoints' rejections, as a fraction of a period's outcomes
REPORT_FRESHNESS_MS = 1500.0  # age in milliseconds up to which a load report counts in the load signals

# The rate of completed attempts.

COMPLETION_RATE_SMOOTHING_MS = 1000.0  # time constant of the smoothed rate, in milliseconds
# Time constant in milliseconds of the decay of the peak rate, and of slow start's usual rate.
PEAK_RATE_DECAY_MS = 15000.0

# Smoothing per outcome.

ENDPOINT_GAIN = 0.2  # gain per outcome of an endpoint's latency, and of its failure ratio after a success
FAILURE_GAIN = 0.4  # gain per outcome of an endpoint's failure ratio after a failure: faster up than down
# Gain per outcome or request of the mean latency of a class, the mean objective and the mean cost.
CLASS_GAIN = 0.03

# The ranking of endpoints.

SAMPLED_ENDPOINTS = 3  # number of endpoints sampled for an attempt; the one of the lowest rank gets it
# Time constant in milliseconds of an endpoint's latency, which decays to the mean without new measurements.
LATENCY_DECAY_MS = 8000.0
# Time constant in milliseconds of an endpoint's failure ratio, which decays to 0 without new attempts.
FAILURE_DECAY_MS = 30000.0
# Upper bound of the failure ratio in the rank; a failing endpoint still gets some attempts.
MAX_FAILURE_RATIO = 0.9
# Exponent of the success ratio in the rank; failing endpoints lose attempts more than in proportion.
FAILURE_EXPONENT = 3.0
# Time constant in milliseconds of a reported queue, which decays to the assumed queue.
QUEUE_REPORT_DECAY_MS = 500.0
# Width of the range of a rank's random factor, which is centred on 1; separates equal ranks.
RANK_JITTER = 0.1
# Requests added to the queue of an endpoint in another zone, per unit of the cross-zone price setting.
CROSS_ZONE_ATTEMPTS = 64.0

# Slow start. The share of an endpoint is its current capacity divided by that of the pool.

# Fraction of the overload factor; the product times a warming endpoint's share is the limit on the fraction
# of all attempts that are sent to it.
OVERLOAD_FACTOR_FRACTION = 0.85
# Fraction of the pool's full capacity from which shares are computed at least; below it, most of the pool
# counts as warming up.
MIN_POOL_CAPACITY_FRACTION = 0.6
# Lower bound of tokens as a divisor; keeps the quotient finite when the bucket is empty.
MIN_ATTEMPT_TOKENS = 1e-6

# Requests.

MIN_REQUEST_WEIGHT = 0.25  # lower bound of the weight in flight of a request's attempts, by its cost
MAX_REQUEST_WEIGHT = 4.0  # upper bound of the weight in flight of a request's attempts, by its cost
# Fraction of the latency objective at which attempts time out if a later response has no value.
OBJECTIVE_TIMEOUT_FRACTION = 0.98
MIN_ATTEMPT_MS = 1.0  # milliseconds remaining for a request at or below which no attempt is sent

# The backoff of discovery.

MAX_BACKOFF_DOUBLINGS = 10  # upper bound of the number of doublings of the initial backoff
MIN_BACKOFF_JITTER = 0.5  # lower bound of the random factor of the backoff, whose upper bound is 1
