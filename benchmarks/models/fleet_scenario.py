"""The constants of the simulated fleet, its service classes and its scenarios."""

from __future__ import annotations

from dataclasses import dataclass

from loadbalancer.settings import Idempotency, ServiceClass, Settings

MEAN_WORK_MS = {"read": 80.0, "post": 120.0, "amend": 200.0}  # by service class, on a standard core
TRAFFIC_MIX = {"read": 0.37, "post": 0.35, "amend": 0.28}  # fraction of requests by service class
AVERAGE_WORK_MS = sum(MEAN_WORK_MS[name] * TRAFFIC_MIX[name] for name in MEAN_WORK_MS)
CLASSES = (
    ServiceClass(
        "read",
        latency_objective_ms=1500,
        client_timeout_ms=4000,
        priority_weight=3,
        idempotency=Idempotency.IDEMPOTENT,
    ),
    ServiceClass(
        "post",
        latency_objective_ms=2500,
        client_timeout_ms=6000,
        priority_weight=8,
        idempotency=Idempotency.NON_IDEMPOTENT,
    ),
    ServiceClass(
        "amend",
        latency_objective_ms=2500,
        client_timeout_ms=6000,
        priority_weight=2,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=10000,
    ),
)
CLASSES_BY_NAME = {service_class.name: service_class for service_class in CLASSES}

BACKEND_CORES = 2
ACTIVE_PER_CORE = 14  # attempts in flight that a backend accepts
QUEUED_PER_CORE = 16  # attempts that it accepts in addition
CORE_SPEEDS = (2.0, 1.2, 0.8)  # by kind of backend; 1: a standard core
CONGESTION_THRESHOLD = 24.0  # attempts in flight a core, above which a backend slows down
CONGESTION_SLOWDOWN = 0.18  # added to the slowdown factor for each multiple of the threshold above it
NETWORK_DELAY_MS = 0.4  # one way
LOAD_REPORT_MAX_AGE_MS = 200.0

SLOW_START_INITIAL_FRACTION = 0.12
SLOW_START_MS = 23000.0
OVERLOAD_FACTOR = 2.5  # times its current capacity: the load above which a warming backend fails
OVERLOAD_WINDOW_MS = 1500.0  # the duration of such a load after which it fails
WINDOW_INTERVAL_MS = 100.0  # between the ends of two counted windows


@dataclass(frozen=True)
class Scenario:
    """The parameters of a simulated run; the slow start of some backends begins at `start_ms`."""

    nodes: int = 5
    servers: int = 20
    load: float = 0.6  # fraction of the capacity of all backends when warmed up
    slow_start_fraction: float = 0.1  # of the backends
    restart: bool = False  # whether the same backends restart, after a second; else others replace them
    burst_factor: float = 1.0  # multiple of the load for a few seconds from `start_ms` on
    traffic_sigma: float = 0.0  # skew of the nodes' traffic: sigma of a lognormal distribution
    client_attempts: int = 1  # the maximum for a client
    client_retry_delay_ms: float = 0.0
    error_fraction: float = 0.001  # of attempts to which a backend responds with an error
    degraded_fraction: float = 0.0  # of the other backends, which slow down at `start_ms`
    # The range of the delay of a node's notification of a change.
    notification_delay_ms: tuple[float, float] = (400.0, 2500.0)
    start_ms: float = 4000.0
    seconds: float = 12.0
    without_slow_start: bool = False  # whether no backend is replaced or restarted, for comparison
    max_attempts: int = 4  # the maximum of a node for a request
    load_report_fields: tuple[str, ...] = ("eps", "inflight")
    classes: tuple[ServiceClass, ...] = CLASSES
    tier: int = 0

    def settings(self) -> Settings:
        """Return the nodes' settings."""
        return Settings(
            classes=self.classes,
            tier=self.tier,
            replicas=self.nodes,
            load_report_fields=self.load_report_fields,
            can_cancel=True,
            sends_retry_after=True,
            max_retry_after_ms=2000.0,
            max_attempts=self.max_attempts,
            uses_capacity=True,
            slow_start_initial_fraction=SLOW_START_INITIAL_FRACTION,
            slow_start_ms=SLOW_START_MS,
            overload_factor=OVERLOAD_FACTOR,
        )


NODE_COUNTS = (5, 20, 30, 200)
SCENARIOS = {
    "steady": Scenario(),
    "burst": Scenario(load=0.7, burst_factor=2.0, slow_start_fraction=0.2),
    "retries": Scenario(
        load=0.9,
        slow_start_fraction=0.3,
        client_attempts=5,
        client_retry_delay_ms=50.0,
        error_fraction=0.05,
        degraded_fraction=0.3,
    ),
    "uneven": Scenario(
        load=0.7,
        slow_start_fraction=0.3,
        traffic_sigma=1.2,
        client_attempts=4,
        client_retry_delay_ms=200.0,
    ),
    "restart": Scenario(
        load=0.7,
        slow_start_fraction=0.6,
        restart=True,
        client_attempts=4,
        client_retry_delay_ms=100.0,
    ),
    "most": Scenario(load=0.6, slow_start_fraction=0.9, client_attempts=5),
    "storm": Scenario(
        load=0.8,
        slow_start_fraction=0.9,
        burst_factor=1.5,
        restart=True,
        client_attempts=5,
        traffic_sigma=1.0,
    ),
    "all": Scenario(load=0.8, slow_start_fraction=1.0, burst_factor=1.5, client_attempts=5),
}
