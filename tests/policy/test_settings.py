"""Validation of settings: the error names the field at fault."""

from __future__ import annotations

import pytest

from loadbalancer.settings import ConfigurationError, ServiceClass, Settings
from tests.support.builders import IDEMPOTENT_READ


@pytest.mark.parametrize(
    ("fields", "path"),
    [
        pytest.param({"replicas": 0}, "replicas", id="below its minimum"),
        pytest.param({"classes": ()}, "classes", id="no class"),
        pytest.param(
            {"classes": (ServiceClass("x", latency_objective_ms=-1, client_timeout_ms=1),)},
            r"classes\[0\].latency_objective_ms",
            id="in a class",
        ),
        pytest.param({"slow_start_ms": float("nan")}, "slow_start_ms", id="not a number"),
    ],
)
def test_error_names_the_bad_setting(fields, path):
    with pytest.raises(ValueError, match=path):
        Settings(**{"classes": (IDEMPOTENT_READ,), **fields})


@pytest.mark.parametrize(("field", "value"), [("can_cancel", "yes"), ("zone", 3), ("max_attempts", "2")])
def test_error_names_a_setting_of_the_wrong_type_and_its_value(field, value):
    with pytest.raises(ValueError, match=f"{field}: {value!r}"):
        Settings(classes=(IDEMPOTENT_READ,), **{field: value})


def test_error_has_the_field_at_fault():
    with pytest.raises(ConfigurationError) as raised:
        Settings(classes=(IDEMPOTENT_READ, IDEMPOTENT_READ))
    assert raised.value.field == "classes"
    assert str(raised.value) == "classes: name 'read' occurs 2 times, but names must be unique"
