"""Settings of the policy and their validation.

Times are milliseconds; rates are per second.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MIN_POSITIVE = 0.001  # the minimum of a setting that must be above zero


class ConfigurationError(ValueError):
    """A setting has an unusable value; the text is `field: problem`."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(field, problem)

    def __str__(self) -> str:
        return f"{self.field}: {self.problem}"

    @property
    def field(self) -> str:
        """The path of the setting at fault, such as `classes[0].latency_objective_ms`."""
        return str(self.args[0])

    @property
    def problem(self) -> str:
        """What is wrong with its value, as text."""
        return str(self.args[1])


class Idempotency(Enum):
    """What a second execution of a request does."""

    IDEMPOTENT = "idempotent"  # no harm: it may be executed any number of times
    KEYED = "keyed"  # nothing, while the deduplication scope remembers its idempotency key
    NON_IDEMPOTENT = "non_idempotent"  # harm: it must never be executed twice


class DeduplicationScope(Enum):
    """The endpoints that share one record of idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True, frozen=True)
class ServiceClass:
    """A kind of request, with its latency objective, priority and idempotency."""

    name: str
    latency_objective_ms: float  # a response within this has the full value
    client_timeout_ms: float  # the client waits this long, over all attempts
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the priority weight of a response after the objective
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0  # time for which the scope remembers an idempotency key
    streaming: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer of the service and its quota."""

    name: str
    quota_per_s: float  # requests, over all replicas of this proxy together


@dataclass(slots=True, frozen=True)
class Settings:
    """The configuration of a policy, fixed at its start.

    Raises:
        ConfigurationError: a value is out of its range or of the wrong type.
    """

    classes: tuple[ServiceClass, ...]
    tenants: tuple[Tenant, ...] = ()
    zone: str = ""
    tier: int = 0  # 0 is the tier that clients reach
    replicas: int = 1  # proxies that send to this tier, this one included
    polls_discovery: bool = False
    weight_by_cost: bool = False  # weigh requests by their cost hint
    over_quota_weight: float = 1.0  # factor of the priority weight of a request over its tenant's quota
    load_report_fields: tuple[str, ...] = ()
    can_cancel: bool = False
    sends_retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    cross_zone_price: float = 0.0
    uses_capacity: bool = False  # use the capacities in the endpoint list; else all are equal
    slow_start_initial_fraction: float = 1.0  # of its capacity, when an endpoint starts
    slow_start_ms: float = 0.0  # time from its start to its full capacity
    overload_factor: float = 2.0  # an endpoint in slow start fails at this multiple of its share
    overload_window_ms: float = 1500.0  # if it lasts this long

    def __post_init__(self) -> None:
        if not self.classes:
            raise ConfigurationError("classes", "at least one class is needed")
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
            raise ConfigurationError("zone", f"{self.zone!r} is not a text")

    def _check_fractions(self) -> None:
        _check_range("overload_factor", self.overload_factor, MIN_POSITIVE)
        _check_range("over_quota_weight", self.over_quota_weight, 0, 1)
        _check_range("slow_start_initial_fraction", self.slow_start_initial_fraction, MIN_POSITIVE, 1)


def _check_range(field: str, value: object, low: float, high: float = math.inf) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not low <= value <= high or not math.isfinite(value):  # type: ignore[operator,arg-type]
        raise ConfigurationError(field, f"{value!r} is not a number from {low} to {high}")


def _check_unique(field: str, names: Iterable[str]) -> None:
    listed = list(names)
    if len(set(listed)) != len(listed):
        raise ConfigurationError(field, "a name occurs twice")
