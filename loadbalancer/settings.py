"""Settings of the policy and their validation.

Times are milliseconds; rates are per second.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MIN_POSITIVE = 0.001  # lower bound of a setting that must be positive


class ConfigurationError(ValueError):
    """A setting has an invalid value; the message is one line, `field: problem`."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(field, problem)

    def __str__(self) -> str:
        return f"{self.field}: {self.problem}"

    @property
    def field(self) -> str:
        """The path of the invalid setting, such as `classes[0].latency_objective_ms`."""
        return str(self.args[0])

    @property
    def problem(self) -> str:
        """Why the value is invalid: what was found and what is expected."""
        return str(self.args[1])


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "idempotent"  # any number of executions has the effect of one
    KEYED = "keyed"  # endpoints drop a repeat while they store its idempotency key
    NON_IDEMPOTENT = "non_idempotent"  # a second execution would do harm: at most one is allowed


class DeduplicationScope(Enum):
    """The endpoints that share one store of idempotency keys, so that any of them drops a repeat."""

    ALL = "all"  # every endpoint
    ZONE = "zone"  # the endpoints of one zone
    CELL = "cell"  # the endpoints of one cell of a zone


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A class of requests that have the same latency objective, priority and idempotency."""

    name: str
    latency_objective_ms: float  # a response within this time of the request has its full value
    client_timeout_ms: float  # the client waits this long for the final response, over all attempts
    priority_weight: float = 1.0  # value of a response; under overload, low weights are rejected first
    late_weight: float = 0.0  # fraction of its value after the objective; 0: attempts stop at the objective
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # how long an idempotency key is stored; retries start within it
    streaming: bool = False  # responses are streamed; their attempts do not stop at the latency objective


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer of the service and its quota."""

    name: str
    quota_per_s: float  # requests per second, over all replicas of this proxy together


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of a policy, fixed at its start.

    Raises:
        ConfigurationError: a value is out of its range or of the wrong type.
    """

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""  # the zone of this proxy; endpoints in other zones rank worse by `cross_zone_price`
    tier: int = 0  # 0: the entry tier, which clients reach; only it has quotas and sends Retry-After
    replicas: int = 1  # number of proxies that send to this tier, including this one
    polls_discovery: bool = False  # the policy starts polls of discovery; else the host keeps a watch open
    weight_by_cost: bool = False  # count a request in flight by its cost hint; else each counts 1
    over_quota_weight: float = 1.0  # factor from 0 to 1 on the priority of requests over their tenant's quota
    load_report_fields: tuple[str, ...] = ()  # names of the values in endpoints' load reports, in their order
    can_cancel: bool = False  # cancel attempts in flight that their request no longer needs
    sends_retry_after: bool = False  # reject with a Retry-After that grows with the load
    max_retry_after_ms: float = 0.0  # upper bound of Retry-After
    max_attempts: int = 1  # per request, including the first one
    # Penalty of endpoints in other zones; 1 ranks one as if `CROSS_ZONE_ATTEMPTS` more were queued at it.
    cross_zone_price: float = 0.0
    uses_capacity: bool = False  # use the capacities in the endpoint list; else all endpoints count as equal
    slow_start_initial_fraction: float = 1.0  # part of its capacity that an endpoint has when it starts
    slow_start_ms: float = 0.0  # time from its start until an endpoint has its full capacity
    # An endpoint in slow start that is sent more than `overload_factor` times its current capacity for
    # `overload_window_ms` fails.
    overload_factor: float = 2.0
    overload_window_ms: float = 1500.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ConfigurationError("classes", "expected at least one service class, found none")
        self._check_classes()
        for index, tenant in enumerate(self.tenants):
            _check_range(f"tenants[{index}].quota_per_s", tenant.quota_per_s, 0)
        self._check_limits()
        self._check_types()
        self._check_fractions()
        _check_unique("classes", (service_class.name for service_class in self.classes))
        _check_unique("tenants", (tenant.name for tenant in self.tenants))

    def _check_classes(self) -> None:
        for index, service_class in enumerate(self.classes):
            for name in ("latency_objective_ms", "client_timeout_ms"):
                _check_range(f"classes[{index}].{name}", getattr(service_class, name), MIN_POSITIVE)
            for name in ("priority_weight", "late_weight", "deduplication_window_ms"):
                _check_range(f"classes[{index}].{name}", getattr(service_class, name), 0)

    def _check_limits(self) -> None:
        for name in ("tier", "max_retry_after_ms", "cross_zone_price", "slow_start_ms", "overload_window_ms"):
            _check_range(name, getattr(self, name), 0)
        for name in ("replicas", "max_attempts"):
            _check_range(name, getattr(self, name), 1)

    def _check_types(self) -> None:
        for name in ("polls_discovery", "weight_by_cost", "can_cancel", "sends_retry_after", "uses_capacity"):
            if not isinstance(getattr(self, name), bool):
                raise ConfigurationError(name, f"{getattr(self, name)!r} is not true or false")
        if not isinstance(self.zone, str):
            raise ConfigurationError("zone", f"{self.zone!r} is not a string")

    def _check_fractions(self) -> None:
        _check_range("overload_factor", self.overload_factor, MIN_POSITIVE)
        _check_range("over_quota_weight", self.over_quota_weight, 0, 1)
        _check_range("slow_start_initial_fraction", self.slow_start_initial_fraction, MIN_POSITIVE, 1)


def _check_range(field: str, value: object, low: float, high: float = math.inf) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not low <= value <= high or not math.isfinite(value):  # type: ignore[operator,arg-type]
        expected = f"a finite number, {low} or more" if math.isinf(high) else f"a number from {low} to {high}"
        raise ConfigurationError(field, f"{value!r} is not {expected}")


def _check_unique(field: str, names: Iterable[str]) -> None:
    listed = list(names)
    if len(set(listed)) != len(listed):
        repeated = next(name for name in listed if listed.count(name) > 1)
        raise ConfigurationError(
            field, f"name {repeated!r} occurs {listed.count(repeated)} times, but names must be unique"
        )
