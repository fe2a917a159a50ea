"""The fields of the configuration file, and errors that name the invalid one."""

from __future__ import annotations

import orjson
import pytest

from loadbalancer.proxy.config import parse_config
from loadbalancer.settings import ConfigurationError
from tests.support.proxy_config import config, config_document


def test_seed_is_hexadecimal():
    assert config("127.0.0.1:1").seed == 0x8C1F30D27A5BE964


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        pytest.param({"listen": "nowhere"}, "listen", id="listen"),
        pytest.param({"discovery": "a.name:80"}, "discovery", id="discovery"),
        pytest.param({"seed": "not hexadecimal"}, "seed", id="seed"),
        pytest.param({"known": []}, "known", id="known"),
        pytest.param({"limits": {"sockets": 0}}, "sockets", id="sockets"),
        pytest.param({"bounds": {"maxOpen": "many"}}, "maxOpen", id="maxOpen"),
    ],
)
def test_error_names_the_field_at_fault(changes, field):
    document = config_document("127.0.0.1:1", bounds=changes.get("bounds", {}))
    document |= {name: value for name, value in changes.items() if name != "bounds"}
    with pytest.raises(ConfigurationError) as error:
        parse_config(orjson.dumps(document))
    assert error.value.field == field


def test_error_names_a_missing_field():
    document = config_document("127.0.0.1:1")
    del document["discovery"]
    with pytest.raises(ConfigurationError) as error:
        parse_config(orjson.dumps(document))
    assert error.value.field == "discovery"
