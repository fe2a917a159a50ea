"""Parsing of the platform's JSON settings and of load reports into the types of the policy.

The simulator adapter, the proxy and the discovery client share these parsers. The platform's keys differ from
the names in the program; this module translates them and ignores unknown keys. Times are milliseconds, rates
are per second.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterator, Mapping
from typing import Any, TypeAlias, TypeVar

from loadbalancer.events import LoadReport
from loadbalancer.settings import (
    ConfigurationError,
    DeduplicationScope,
    Idempotency,
    ServiceClass,
    Settings,
    Tenant,
)

JsonObject: TypeAlias = Mapping[str, Any]
"""A decoded JSON object whose values have not been checked yet."""
_Choice = TypeVar("_Choice")

DISCOVERY_POLLED = "ask"  # value of `registryMode` with which the policy polls discovery
WEIGHT_BY_COST = "work"  # value of `valueBy` with which a request in flight counts by its cost hint
# Values of `weights` with which the policy uses listed capacities. With others, such as `live`, a listed
# capacity depends on past load.
STATIC_CAPACITIES = ("nominal", "rough")

# The platform's key of each field of `Settings`, as `key` or `section.key`.
SETTING_KEYS = {
    "zone": "locality",
    "tier": "tier",
    "replicas": "siblings",
    "over_quota_weight": "overShareWorth",
    "can_cancel": "bounds.cancel",
    "sends_retry_after": "bounds.retryAfter",
    "max_retry_after_ms": "bounds.maxRetryAfterMs",
    "max_attempts": "bounds.maxAttempts",
    "cross_zone_price": "prices.crossZone",
    "slow_start_initial_fraction": "invariants.coldFrom",
    "slow_start_ms": "invariants.coldMs",
    "overload_factor": "invariants.overloadFactor",
    "overload_window_ms": "invariants.tipAfterMs",
}
# The platform's key of each field of `ServiceClass`, within an element of `categories`.
CLASS_KEYS = {
    "latency_objective_ms": "aimMs",
    "client_timeout_ms": "giveUpMs",
    "priority_weight": "credit",
    "late_weight": "lateWorth",
    "deduplication_window_ms": "memorySpanMs",
}
# The platform's key of each field of `Tenant`, within an element of `accounts`.
TENANT_KEYS = {"quota_per_s": "quotaPerS"}
# Values of a category's `effect`.
IDEMPOTENCY_BY_EFFECT = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
# Values of a category's `keyScope`.
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
# The platform's names of the values in a load report, and the names that `LoadReport.from_values` reads.
LOAD_REPORT_FIELDS = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
REPORT_FORMAT = "TEXT"  # first word of a load report
REPORT_NUMBER = re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?")  # below a million, without sign or exponent


def parse_settings(config: JsonObject) -> Settings:
    """Parse the settings of a proxy or a simulated node; a key that is absent or null has its default.

    Raises:
        ConfigurationError: a required key is absent or a value is invalid; its field is the platform's key.
    """
    classes = tuple(_parse_service_class(category) for category in config.get("categories") or ())
    tenants = tuple(_parse_tenants(config))
    values: dict[str, Any] = {setting: _find(config, key) for setting, key in SETTING_KEYS.items()}
    try:
        return Settings(
            classes=classes,
            tenants=tenants,
            polls_discovery=config.get("registryMode") == DISCOVERY_POLLED,
            weight_by_cost=config.get("valueBy") == WEIGHT_BY_COST,
            uses_capacity=config.get("weights") in STATIC_CAPACITIES,
            load_report_fields=_parse_load_report_fields(config),
            **{setting: value for setting, value in values.items() if value is not None},
        )
    except ConfigurationError as error:
        raise ConfigurationError(_platform_key(error.field, classes, tenants), error.problem) from error


def _find(config: JsonObject, key: str) -> object:
    section, _, name = key.rpartition(".")
    if section:
        config = config.get(section) or {}
    return config.get(name)


def _parse_load_report_fields(config: JsonObject) -> tuple[str, ...]:
    names = (config.get("feedback") or {}).get("fields") or ()
    return tuple(LOAD_REPORT_FIELDS.get(name, name) for name in names)


def _parse_tenants(config: JsonObject) -> Iterator[Tenant]:
    for account in config.get("accounts") or ():
        if account.get("quotaPerS") is not None:  # an account without a quota is not limited
            yield Tenant(account["name"], account["quotaPerS"])


def _parse_service_class(category: JsonObject) -> ServiceClass:
    for key in ("name", "aimMs", "giveUpMs"):
        if category.get(key) is None:
            raise ConfigurationError(
                f"categories.{key}",
                f"required key is absent or null in the category named {category.get('name')!r}",
            )
    return ServiceClass(
        name=category["name"],
        latency_objective_ms=category["aimMs"],
        client_timeout_ms=category["giveUpMs"],
        priority_weight=category.get("credit", 1.0),
        late_weight=category.get("lateWorth") or 0.0,
        idempotency=_choose("categories.effect", category.get("effect"), IDEMPOTENCY_BY_EFFECT),
        deduplication_scope=_choose(
            "categories.keyScope", category.get("keyScope") or "all", DEDUPLICATION_SCOPES
        ),
        deduplication_window_ms=category.get("memorySpanMs") or 0.0,
        streaming=bool(category.get("stream")),
    )


def _choose(key: str, value: object, choices: Mapping[Any, _Choice]) -> _Choice:
    if value not in choices:
        raise ConfigurationError(key, f"{value!r} is not a known value, expected one of {', '.join(choices)}")
    return choices[value]


def _platform_key(field: str, classes: tuple[ServiceClass, ...], tenants: tuple[Tenant, ...]) -> str:
    """Translate the path of a setting, such as `classes[0].late_weight`, to the platform's key."""
    collection, _, path = field.partition("[")
    index, _, name = path.partition("].")
    match collection:
        case "classes":
            return f"categories[{classes[int(index)].name}].{CLASS_KEYS[name]}" if path else "categories"
        case "tenants":
            return f"accounts[{tenants[int(index)].name}].{TENANT_KEYS[name]}" if path else "accounts"
    return SETTING_KEYS.get(field, field)


def parse_capacity(value: object) -> float:
    """Parse the relative capacity of a listed endpoint; 1.0 if it is not a finite number above 0."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return 1.0
    return float(value) if 0.0 < value < math.inf else 1.0


def parse_load_report(text: str, fields: tuple[str, ...]) -> LoadReport | None:
    """Parse a load report in its text form, `TEXT name=value, name=value`.

    Args:
        text: the value of the header that carries the report.
        fields: `Settings.load_report_fields`; values with other names are dropped.

    Returns:
        The report; None if any part is malformed or none of its values is in `fields`.
    """
    report_format, _, pairs = text.partition(" ")
    report: dict[str, float] = {}
    for pair in pairs.split(","):
        name, _, number = pair.strip().partition("=")
        # float() accepts signs, underscores and words such as `nan`, and a huge queue length would exclude an
        # endpoint from selection, so a value must match `REPORT_NUMBER`. Trade-off: one malformed value
        # discards the report.
        if report_format != REPORT_FORMAT or not REPORT_NUMBER.fullmatch(number):
            return None
        name = LOAD_REPORT_FIELDS.get(name, name)
        if name in fields:
            report[name] = float(number)
    return LoadReport.from_values(report)
