"""The platform's JSON settings, translated to the policy's settings."""

from __future__ import annotations

import pytest

from loadbalancer.platform_settings import parse_settings
from loadbalancer.settings import ConfigurationError
from tests.simulator.wire_messages import CONFIG


def test_absent_settings_have_their_defaults():
    settings = parse_settings({"categories": CONFIG["categories"][:1]})
    assert settings.replicas == 1
    assert settings.tenants == ()
    assert settings.max_attempts == 1
    assert not settings.can_cancel


@pytest.mark.parametrize("key", ["name", "aimMs", "giveUpMs"])
def test_error_names_a_missing_setting(key):
    category = {name: value for name, value in CONFIG["categories"][0].items() if name != key}
    with pytest.raises(ConfigurationError) as raised:
        parse_settings({"categories": [category]})
    problem = f"required key is absent or null in the category named {category.get('name')!r}"
    assert str(raised.value) == f"categories.{key}: {problem}"


@pytest.mark.parametrize(
    ("config", "field"),
    [
        ({"siblings": 0}, "siblings"),
        ({"overShareWorth": 2.0}, "overShareWorth"),
        ({"bounds": {"maxAttempts": 0}}, "bounds.maxAttempts"),
        ({"invariants": {"coldFrom": "much"}}, "invariants.coldFrom"),
        ({"categories": []}, "categories"),
        ({"categories": [CONFIG["categories"][0] | {"effect": "odd"}]}, "categories.effect"),
        ({"categories": [CONFIG["categories"][0] | {"keyScope": "odd"}]}, "categories.keyScope"),
        ({"categories": [CONFIG["categories"][0] | {"aimMs": 0}]}, "categories[read].aimMs"),
        ({"accounts": [{"name": "free"}, {"name": "t", "quotaPerS": -1}]}, "accounts[t].quotaPerS"),
        ({"accounts": [{"name": "t", "quotaPerS": 1}] * 2}, "accounts"),
    ],
)
def test_error_names_the_platforms_key_of_a_bad_setting(config, field):
    with pytest.raises(ConfigurationError) as raised:
        parse_settings(CONFIG | config)
    assert raised.value.field == field


@pytest.mark.parametrize(
    ("weights", "uses_capacity"), [("nominal", True), ("rough", True), ("live", False), ("off", False)]
)
def test_listed_capacities_are_used_unless_they_depend_on_load(weights, uses_capacity):
    """Requests in flight, which the platform calls `concurrent`, are otherwise reported and not read."""
    feedback = {"fields": ["err_ps", "concurrent"], "via": "inline"}
    settings = parse_settings(CONFIG | {"feedback": feedback, "weights": weights})
    assert settings.uses_capacity is uses_capacity
    assert settings.load_report_fields == ("eps", "inflight")
