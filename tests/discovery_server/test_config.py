"""The configuration file: the documented example, and the setting that an error names."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from loadbalancer.discovery_server.config import (
    Config,
    ConfigurationError,
    ListLimits,
    ProcessLimits,
    parse_config,
)

PAGE = Path(__file__).parents[2] / "docs" / "discovery-server.md"


def example():
    """The configuration file in the documentation."""
    (block,) = re.findall(r"```toml\n(.*?)```", PAGE.read_text(), flags=re.DOTALL)
    return block


def test_documented_example_has_the_default_settings():
    config = parse_config(example().encode())
    assert [endpoint_list.name for endpoint_list in config.lists] == ["checkout", "stock"]
    assert config == Config(config.state_dir, config.lists, tag=7, seed=1)
    assert (config.list_limits, config.process_limits) == (ListLimits(), ProcessLimits())


@pytest.mark.parametrize(
    ("old", "new", "setting"),
    [
        pytest.param("wait_ms = 3000", 'wait_ms = "soon"', "$.wait_ms", id="a string for a number"),
        pytest.param("wait_ms = 3000", "wait_ms = 60001", "$.wait_ms", id="a duration over its limit"),
        pytest.param("wait_ms = 3000", "wiat_ms = 3000", "wiat_ms", id="an unknown key"),
        pytest.param("id = 7", "id = 131072", "$.id", id="an id with too many bits"),
        pytest.param("entries = 20000", "entries = 0", "$.limits.entries", id="a limit of 0"),
        pytest.param("watches = 4000", "watches = -1", "$.process.watches", id="a negative limit"),
        pytest.param('name = "stock"', 'name = "checkout"', "$.lists[1].name", id="a repeated name"),
        pytest.param('name = "stock"', 'name = "../stock"', "$.lists[1].name", id="a name that is a path"),
        pytest.param(
            'listen = "127.0.0.1:7102"', 'listen = "localhost:7102"', "$.lists[1].listen", id="a host name"
        ),
        pytest.param(
            '"127.0.0.1:7002"]', '"127.0.0.1:70020"]', "$.lists[0].upstreams[1]", id="a port out of range"
        ),
        pytest.param(
            'upstreams = ["127.0.0.1:7001"]', "upstreams = []", "$.lists[1].upstreams", id="no upstream"
        ),
        pytest.param('state_dir = "state/zone-a"', "", "state_dir", id="a missing key"),
        pytest.param("[limits]", "[limits", "line 7", id="malformed TOML"),
    ],
)
def test_bad_configuration_names_the_setting(old, new, setting):
    text = example()
    assert old in text
    with pytest.raises(ConfigurationError, match=re.escape(setting)) as raised:
        parse_config(text.replace(old, new, 1).encode())
    if setting.startswith("$"):
        assert raised.value.path == setting
