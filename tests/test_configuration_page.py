"""docs/configuration.md has every key that the code reads, its default, and the error of a bad value."""

from __future__ import annotations

import copy
import json
import tomllib
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import msgspec
import orjson
import pytest

from loadbalancer.discovery_server import config as discovery_server_config
from loadbalancer.proxy.config import Config, parse_config
from loadbalancer.settings import ConfigurationError
from tests.support.documentation import DOCS, EXAMPLES, section, table_rows

PAGE = DOCS / "configuration.md"
KEY_COLUMNS = ("key", "type", "unit", "range", "default", "meaning")
MESSAGE_COLUMNS = ("key", "value", "printed")
EQUIVALENT_VALUE_COLUMNS = ("key", "value", "acts like")
NO_DEFAULT = ("required", "required with a quota", "drawn", "defaults below")
ABSENT = object()

PROXY = section(PAGE, "The proxy's file")
DISCOVERY_SERVER = section(PAGE, "The discovery server's file")
PROXY_EXAMPLE = orjson.loads((EXAMPLES / "proxy.json").read_bytes())
DISCOVERY_SERVER_EXAMPLE = tomllib.loads((EXAMPLES / "discovery-server.toml").read_text())


class RecordingObject(dict[str, Any]):
    """A JSON object that records the path of each key that is read, present or not."""

    def __init__(self, value: dict[str, Any], path: str, read_keys: set[str]) -> None:
        super().__init__({key: recording(item, f"{path}{key}", read_keys) for key, item in value.items()})
        self._path = path
        self._read_keys = read_keys

    def get(self, key: str, default: Any = None) -> Any:
        self._read_keys.add(self._path + key)
        return super().get(key, default)

    def __getitem__(self, key: str) -> Any:
        self._read_keys.add(self._path + key)
        return super().__getitem__(key)


def recording(value: Any, path: str, read_keys: set[str]) -> Any:
    """A copy of a JSON value whose objects record which keys are read."""
    if isinstance(value, dict):
        return RecordingObject(value, f"{path}." if path else "", read_keys)
    if isinstance(value, list):
        return [recording(item, f"{path}[]", read_keys) for item in value]
    return value


def with_value(document: dict[str, Any], path: str, value: object) -> dict[str, Any]:
    """A copy of the document with one key set or removed; `[]` in the path selects the first element."""
    changed = copy.deepcopy(document)
    parent: Any = changed
    *parent_names, key = path.split(".")
    for parent_name in parent_names:
        name, _, is_array = parent_name.partition("[")
        parent = parent.setdefault(name, {})
        if is_array:
            parent = parent[0]
    if value is ABSENT:
        parent.pop(key, None)
    else:
        parent[key] = value
    return changed


def cell_value(cell: str) -> object:
    return ABSENT if cell == "absent" else json.loads(cell)


def load_proxy(path: str, value: object) -> Config:
    return parse_config(orjson.dumps(with_value(PROXY_EXAMPLE, path, value)))


def comparable(config: Config) -> tuple[object, ...]:
    """A configuration as values that compare; an `EndpointList` itself compares by identity."""
    known = config.known_endpoints
    list_fields = (known.revision, known.complete, known.endpoints, known.addresses)
    return replace(config, known_endpoints=PROXY_EXAMPLE_ENDPOINTS), list_fields


PROXY_EXAMPLE_ENDPOINTS = parse_config(orjson.dumps(PROXY_EXAMPLE)).known_endpoints


def load_discovery_server(path: str, value: object) -> discovery_server_config.Config:
    document = with_value(DISCOVERY_SERVER_EXAMPLE, path, value)
    lines = [f"{key} = {toml_value(item)}" for key, item in document.items()]
    return discovery_server_config.parse_config("\n".join(lines).encode())


def toml_value(value: object) -> str:
    """A value in TOML, which writes strings, numbers and booleans as JSON does."""
    if isinstance(value, dict):
        return "{" + ", ".join(f"{key} = {toml_value(item)}" for key, item in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(toml_value, value)) + "]"
    return json.dumps(value)


def struct_keys(struct: type[msgspec.Struct], prefix: str = "") -> Iterator[str]:
    """The keys that a configuration struct has in its file."""
    for field in msgspec.structs.fields(struct):
        key = prefix + field.encode_name
        yield key
        if isinstance(field.default, msgspec.Struct):
            yield from struct_keys(type(field.default), f"{key}.")
        if key == "lists":
            yield from struct_keys(discovery_server_config.ListConfig, "lists[].")


def test_every_key_that_the_proxy_reads_is_on_the_page_and_no_other(monkeypatch):
    read_keys: set[str] = set()
    loads = orjson.loads
    monkeypatch.setattr(orjson, "loads", lambda data: recording(loads(data), "", read_keys))
    parse_config(orjson.dumps(PROXY_EXAMPLE))
    on_page = [key for key, *_ in table_rows(PROXY, KEY_COLUMNS)]
    assert len(on_page) == len(set(on_page))
    assert set(on_page) == read_keys


def test_every_key_of_the_discovery_server_is_on_the_page_and_no_other():
    on_page = [key for key, *_ in table_rows(DISCOVERY_SERVER, KEY_COLUMNS)]
    assert sorted(on_page) == sorted(struct_keys(discovery_server_config.Config))


@pytest.mark.parametrize(
    ("key", "default"),
    [(row[0], row[4]) for row in table_rows(PROXY, KEY_COLUMNS) if row[4] not in NO_DEFAULT],
)
def test_default_of_the_proxy_has_the_effect_of_an_absent_key(key, default):
    explicit = load_proxy(key, json.loads(default))
    assert comparable(load_proxy(key, ABSENT)) == comparable(explicit)


@pytest.mark.parametrize(
    ("key", "default"),
    [(row[0], row[4]) for row in table_rows(DISCOVERY_SERVER, KEY_COLUMNS) if row[4] not in NO_DEFAULT],
)
def test_default_of_the_discovery_server_has_the_effect_of_an_absent_key(key, default):
    assert load_discovery_server(key, ABSENT) == load_discovery_server(key, json.loads(default))


@pytest.mark.parametrize(("key", "value", "printed"), table_rows(PROXY, MESSAGE_COLUMNS))
def test_error_message_of_the_proxy_is_the_one_on_the_page(key, value, printed):
    with pytest.raises(ConfigurationError) as raised:
        load_proxy(key, cell_value(value))
    assert str(raised.value) == printed


@pytest.mark.parametrize(("key", "value", "printed"), table_rows(DISCOVERY_SERVER, MESSAGE_COLUMNS))
def test_error_message_of_the_discovery_server_is_the_one_on_the_page(key, value, printed):
    with pytest.raises(discovery_server_config.ConfigurationError) as raised:
        load_discovery_server(key, cell_value(value))
    assert str(raised.value) == printed


@pytest.mark.parametrize(("key", "value", "effective"), table_rows(PROXY, EQUIVALENT_VALUE_COLUMNS))
def test_unusual_value_has_the_effect_of_the_value_that_the_page_names(key, value, effective):
    assert comparable(load_proxy(key, json.loads(value))) == comparable(
        load_proxy(key, json.loads(effective))
    )


@pytest.mark.parametrize("text", [PROXY, DISCOVERY_SERVER], ids=["proxy", "discovery server"])
def test_every_required_key_has_an_error_message_for_its_absence(text):
    required = {row[0] for row in table_rows(text, KEY_COLUMNS) if row[4].startswith("required")}
    absent = {key for key, value, _ in table_rows(text, MESSAGE_COLUMNS) if value == "absent"}
    assert required == absent


@pytest.mark.parametrize("text", [PROXY, DISCOVERY_SERVER], ids=["proxy", "discovery server"])
def test_every_key_with_a_range_or_a_number_has_an_error_message(text):
    """Keys that accept any string, and choices that fall back to a default, are never rejected."""
    never_rejected = {
        "known.targets[].capacity_hint",
        "settings.registryMode",
        "settings.valueBy",
        "settings.weights",
    }
    rejectable = {
        row[0]
        for row in table_rows(text, KEY_COLUMNS)
        if row[3] or row[1] in {"number", "integer", "object", "table"}
    }
    with_message = {key for key, *_ in table_rows(text, MESSAGE_COLUMNS)}
    assert rejectable - with_message - never_rejected == set()
