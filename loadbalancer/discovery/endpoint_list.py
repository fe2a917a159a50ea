"""The endpoint list and its parsing from the wire format."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeVar

from loadbalancer.events import Endpoint, EndpointState
from loadbalancer.http.addresses import Address, AddressError, parse_address
from loadbalancer.platform_settings import parse_capacity

_Kind = TypeVar("_Kind")

STATES = {
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}
ENTRY_FORMAT = "objects with strings uid, endpoint and state, and numbers pod_group and boot_ms"


class EndpointListError(ValueError):
    """A malformed endpoint list.

    Attributes:
        field: the name on the wire of the field at fault; "" if the value isn't an object.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field or 'endpoint list'}: {reason}")
        self.field = field


@dataclass(slots=True, frozen=True, eq=False, repr=False)
class EndpointList:
    """All endpoints of a service at a revision, or those that have changed since an earlier revision."""

    revision: int
    complete: bool  # False: only the endpoints that have changed
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, Address]  # by the endpoint's name


def parse_endpoint_list(value: object) -> EndpointList:
    """Parse an endpoint list from its JSON value.

    An endpoint's name is its uid, which is the same after a restart and at every node.

    Raises:
        EndpointListError: a required field is absent, or a field has the wrong type or value.
    """
    if not isinstance(value, dict):
        raise EndpointListError("", f"found a value of type {type(value).__name__}, expected an object")
    revision = _required(value, "rev", int)
    complete = _required(value, "all", bool)
    targets = _required(value, "targets", list)
    try:
        endpoints = tuple(_parse_endpoint(target) for target in targets)
        addresses = {target["uid"]: parse_address(target["endpoint"]) for target in targets}
    except EndpointListError:
        raise
    except AddressError as error:
        raise EndpointListError("targets.endpoint", str(error)) from error
    except KeyError as error:
        raise EndpointListError(
            f"targets.{error.args[0]}", "missing from an entry; each entry requires uid, endpoint and state"
        ) from error
    except (TypeError, AttributeError, ValueError) as error:
        raise EndpointListError(
            "targets", f"an entry can't be read ({type(error).__name__}: {error}); expected {ENTRY_FORMAT}"
        ) from error
    return EndpointList(revision, complete, endpoints, addresses)


def _required(value: dict[str, Any], field: str, kind: type[_Kind]) -> _Kind:
    if field not in value:
        raise EndpointListError(field, f"missing; expected a value of type {kind.__name__}")
    found = value[field]
    if not isinstance(found, kind):
        raise EndpointListError(field, f"{found!r} is not of type {kind.__name__}")
    return found


def _parse_endpoint(target: dict[str, Any]) -> Endpoint:
    state = STATES.get(target["state"])
    if state is None:
        raise EndpointListError("targets.state", f"{target['state']!r} is not one of {', '.join(STATES)}")
    if not isinstance(target["uid"], str):
        raise EndpointListError("targets.uid", f"{target['uid']!r} is not a string")
    started_ms = target.get("boot_ms") or 0
    return Endpoint(
        name=target["uid"],
        zone=target.get("az") or "",
        cell=int(target.get("pod_group") or 0),
        state=state,
        started_ms=float(started_ms) if started_ms > 0 else None,  # 0: long ago
        capacity=parse_capacity(target.get("capacity_hint")),
    )
