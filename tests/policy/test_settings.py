"""Validation of settings: the error names the field at fault."""

from __future__ import annotations

import pytest

from loadbalancer.settings import ConfigurationError, ServiceClass, Settings
from tests.support.builders import IDEMPOTENT_READ


def test_a_bad_setting_is_named():
    with pytest.raises(ValueError, match="replicas"):
        Settings(classes=(IDEMPOTENT_READ,), replicas=0)
    with pytest.raises(ValueError, match="classes"):
        Settings(classes=())
    with pytest.raises(ValueError, match=r"classes\[0\].latency_objective_ms"):
        Settings(classes=(ServiceClass("x", latency_objective_ms=-1, client_timeout_ms=1),))
    with pytest.raises(ValueError, match="slow_start_ms"):
        Settings(classes=(IDEMPOTENT_READ,), slow_start_ms=float("nan"))


@pytest.mark.parametrize(("field", "value"), [("can_cancel", "yes"), ("zone", 3), ("max_attempts", "2")])
def test_a_setting_of_the_wrong_type_is_named_with_its_value(field, value):
    with pytest.raises(ValueError, match=f"{field}: {value!r}"):
        Settings(classes=(IDEMPOTENT_READ,), **{field: value})


def test_the_error_has_the_field_at_fault():
    with pytest.raises(ConfigurationError) as raised:
        Settings(classes=(IDEMPOTENT_READ, IDEMPOTENT_READ))
    assert raised.value.field == "classes"
    assert str(raised.value) == "classes: a name occurs twice"
