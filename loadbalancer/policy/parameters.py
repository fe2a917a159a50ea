"""The tuned constants of the policy, by concern.

They were found by measurement; a change of one is a change of behaviour. Times are milliseconds. Numbers in
flight are weights, where a request of mean cost has the weight 1. A latency fraction is a latency over the
latency objective of its service class, so that classes can be compared.
"""

from __future__ import annotations

# The cursor table, which holds thresholds for this proxy's attempts in flight by position and priority row.
CURSOR_PERIOD_FRACTION = 0.15  # of the shortest latency objective: the time between two moves of the cursor
FULL_THRESHOLD_POSITIONS = 2  # positions at the left end that hold the full threshold
REDUCED_THRESHOLD_POSITIONS = 14  # positions after them
THRESHOLD_DECAY = 0.8  # ratio of a reduced position's threshold to the position before
PRIORITY_ROW_HALVINGS = 4.0  # halvings of the highest priority weight that reach the lowest row
LOWEST_ROW_REDUCTION = 0.25  # fraction by which the lowest row's full threshold is lower
HIGHEST_ROW_EXPONENT = 0.5  # of the decay, against 1 in the lowest row: low priorities are shed first
MIN_THRESHOLD = 0.1  # weight in flight; admits a few requests, to detect that load has fallen
MIN_PRIORITY_WEIGHT = 1e-6  # relative to the highest; keeps the logarithm finite
RETRY_PRIORITY_FACTOR = 0.5  # factor of the class's priority weight for a client's retry

# The full threshold, by Little's law from the completion rate.
FULL_THRESHOLD_LATENCY_FRACTION = 0.30  # of the way from quiet latency to the objective: allowed latency
FULL_THRESHOLD_DEVIATIONS = 2.0  # standard deviations of a Poisson count added: small pools vary more
DEFAULT_BASELINE = 0.5  # latency fraction of a quiet pool before the first measurement
STARTUP_IN_FLIGHT_PER_ENDPOINT = 7.0  # minimum over all replicas, until the rate is known
STARTUP_MS = 3000.0  # time until the rate is known
MIN_IN_FLIGHT_PER_ENDPOINT = 2.0  # minimum over all replicas, afterwards
MAX_IN_FLIGHT_PER_ENDPOINT = 7.0  # maximum over all replicas, if endpoints report requests in flight

# Load by latency.
TARGET_LATENCY_FRACTION = 0.3  # of the way from quiet latency to the objective; latency is then mostly chance
CONGESTED_TARGET_LATENCY_FRACTION = 0.11  # the same while endpoints may be congested
UTILISATION_TARGET_LATENCY_FRACTION = 0.35  # with reported utilisation: latency then shows the tiers below
CONGESTION_IN_FLIGHT_PER_ENDPOINT = 5.0  # over all replicas, from which endpoints may be congested
SATURATED_LATENCY_FRACTION = 0.6  # of the objective; a smoothed latency over it counts without new outcomes
SMOOTHING_OUTCOMES = 20.0  # outcomes of a period that give it half the weight in the smoothed latency
MIN_BASELINE_OUTCOMES = 20  # outcomes from which the first quiet baseline is taken
BASELINE_GAIN_DOWN = 0.1  # smoothing of the quiet baseline towards a lower latency, per period
BASELINE_GAIN_UP = 0.01  # smoothing of the quiet baseline towards a higher latency, per period

# Load by reports and rejections.
TARGET_IN_FLIGHT_PER_ENDPOINT = 6.0  # reported requests in flight
TARGET_UTILISATION = 0.97  # median of the reported ones
UTILISATION_MARGIN = 0.03  # below the target with very many replicas, each of which sees little of the load
MAX_REPLICAS_WITHOUT_MARGIN = 8.0  # number of replicas up to which the margin is 0
TARGET_REJECTED_FRACTION = 0.05  # of the attempts
REPORT_FRESHNESS_MS = 1500.0  # age up to which a load report counts as load

# The rate of completed attempts.
COMPLETION_RATE_SMOOTHING_MS = 1000.0
PEAK_RATE_DECAY_MS = 15000.0  # of the peak rate; also the smoothing time of the usual rate

# Smoothing per outcome, for an endpoint or a class.
ENDPOINT_GAIN = 0.2  # of latency, and of the failure ratio after a success
FAILURE_GAIN = 0.4  # of the failure ratio after a failure: failures are learned faster than forgotten
CLASS_GAIN = 0.03  # of the latency and cost of a class

# Ranking of endpoints.
SAMPLED_ENDPOINTS = 3  # endpoints sampled by capacity for an attempt; the best ranked one gets it
LATENCY_DECAY_MS = 8000.0  # decay of an endpoint's latency to the mean, without new measurements
FAILURE_DECAY_MS = 30000.0  # decay of an endpoint's failure ratio, without new attempts
MAX_FAILURE_RATIO = 0.9  # in the rank, so that a failing endpoint still gets some attempts
FAILURE_EXPONENT = 3.0  # of the success ratio: failing endpoints lose attempts more than in proportion
QUEUE_REPORT_DECAY_MS = 500.0  # decay of a reported queue to the mean of the other endpoints
RANK_JITTER = 0.1  # width of the random factor that separates equal ranks
CROSS_ZONE_ATTEMPTS = 64.0  # queue length that another zone counts as, times the price of crossing

# Slow start.
OVERLOAD_FACTOR_FRACTION = 0.85  # of the overload factor: the share that a warming endpoint may get
MIN_POOL_CAPACITY_FRACTION = 0.6  # of a pool's full capacity: the minimum that its endpoints' shares assume
MIN_USED_TOKENS = 1e-6  # keeps the quotient finite when the token bucket is empty

# Requests.
MIN_REQUEST_WEIGHT = 0.25  # by cost, relative to a mean request
MAX_REQUEST_WEIGHT = 4.0  # by cost, relative to a mean request
OBJECTIVE_TIMEOUT_FRACTION = 0.98  # of the objective, at which attempts without value after it are stopped
MIN_ATTEMPT_MS = 1.0  # remaining time up to which no attempt is sent

# Discovery.
MAX_BACKOFF_DOUBLINGS = 10  # of the initial backoff
MIN_BACKOFF_JITTER = 0.5  # least random factor of the backoff; the greatest is 1
