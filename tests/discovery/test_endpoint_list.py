"""Parsing of endpoint lists: the endpoints, and the field that the error for a malformed list names."""

from __future__ import annotations

import pytest

from loadbalancer.discovery.endpoint_list import EndpointListError, parse_endpoint_list
from loadbalancer.events import Endpoint, EndpointState

TARGET = {
    "uid": "a",
    "endpoint": "127.0.0.1:9",
    "state": "Terminating",
    "az": "z",
    "pod_group": 3,
    "boot_ms": 7,
}


def message(**changes: object) -> dict[str, object]:
    return {"rev": 4, "all": False, "targets": [TARGET]} | changes


def test_entry_becomes_an_endpoint_and_its_address():
    endpoint_list = parse_endpoint_list(message())
    assert (endpoint_list.revision, endpoint_list.complete) == (4, False)
    assert endpoint_list.endpoints == (Endpoint("a", "z", 3, EndpointState.DRAINING, 7.0),)
    assert endpoint_list.addresses == {"a": ("127.0.0.1", 9)}


@pytest.mark.parametrize(
    ("malformed", "field"),
    [
        pytest.param([], "", id="no object"),
        pytest.param({"rev": 1, "all": True}, "targets", id="no targets"),
        pytest.param(message(rev="4"), "rev", id="revision no number"),
        pytest.param(message(all=1), "all", id="all no boolean"),
        pytest.param(message(targets={}), "targets", id="targets no array"),
        pytest.param(message(targets=[TARGET | {"state": "Asleep"}]), "targets.state", id="unknown state"),
        pytest.param(message(targets=[TARGET | {"uid": 5}]), "targets.uid", id="uid no string"),
        pytest.param(
            message(targets=[TARGET | {"endpoint": "host.name:80"}]), "targets.endpoint", id="host name"
        ),
        pytest.param(message(targets=[{"uid": "a", "state": "Ready"}]), "targets.endpoint", id="no address"),
        pytest.param(message(targets=[TARGET | {"pod_group": "x"}]), "targets", id="pod group no number"),
        pytest.param(message(targets=[5]), "targets", id="target no object"),
    ],
)
def test_malformed_list_is_rejected_with_the_name_of_the_field(malformed, field):
    with pytest.raises(EndpointListError) as caught:
        parse_endpoint_list(malformed)
    assert caught.value.field == field
