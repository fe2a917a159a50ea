"""Endpoint lists as an upstream sends them, with their entries unchanged."""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from loadbalancer.discovery.endpoint_list import EndpointList, EndpointListError, parse_endpoint_list
from loadbalancer.discovery_server.records import EndpointUpdate, record_from_entry


@dataclass(slots=True, frozen=True)
class UpstreamEndpointList(EndpointList):
    """An endpoint list and the update with its entries as the upstream sent them."""

    update: EndpointUpdate


def parse_upstream_list(document: object) -> UpstreamEndpointList:
    """Parse the decoded JSON of an upstream's response.

    Raises:
        EndpointListError: The list or one of its entries is malformed.
    """
    endpoint_list = parse_endpoint_list(document)
    assert isinstance(document, dict), "`parse_endpoint_list` accepts only JSON objects"
    try:
        records = tuple(record_from_entry(entry) for entry in document["targets"])
    except orjson.JSONEncodeError as error:
        # Without this, one deeply nested field that no reader uses would end the following of the list.
        raise EndpointListError("targets", f"an entry can't be encoded: {error}") from error
    return UpstreamEndpointList(
        endpoint_list.revision,
        endpoint_list.complete,
        endpoint_list.endpoints,
        endpoint_list.addresses,
        EndpointUpdate(endpoint_list.complete, records),
    )
