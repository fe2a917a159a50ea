"""Messages between a run of hollow nodes and the processes that contain the nodes.

Times in fields that end in `_at_s` are seconds of the machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

import msgspec

from benchmarks.support.membership import EndpointListMessage


class WatchedList(msgspec.Struct):
    """A list and the loopback port at which it is watched."""

    port: int
    cached: EndpointListMessage  # that its nodes start from


class StartNodes(msgspec.Struct):
    """The first message: the nodes of the process. Its reply is `NodesStarted`."""

    lists: dict[int, WatchedList]  # by number
    watches: list[int]  # for each node the number of its list
    with_policy: bool  # whether each node has a policy
    seed: int


class NodesStarted(msgspec.Struct):
    """The watch of each node has had its first response."""

    nodes: int


class ExpectChange(msgspec.Struct, tag=True):
    """Announces a change before it is written. Its reply is `Acknowledgement`."""

    serial: int
    lists: list[int]  # that the change concerns
    lost_zone: str = ""  # the zone that the lists lose, if the change is a zone's loss


class CountersRequest(msgspec.Struct, tag=True):
    """Requests the counters. Its reply is `NodeCounters`."""

    clear: bool  # reset the counters afterwards; the reply then also has the delivery times


NODES_REQUESTS: msgspec.json.Decoder[ExpectChange | CountersRequest] = msgspec.json.Decoder(
    ExpectChange | CountersRequest
)  # of the messages after the first one


class Acknowledgement(msgspec.Struct):
    """The message has been processed."""


class ChangeDelivery(msgspec.Struct):
    """The delivery of one change to the nodes of a process."""

    expected: int  # watches that the change concerns
    delivered: int  # watches that have received it
    repeated: int = 0  # times that a watch received it again as a delta
    delivered_at_s: list[float] = []  # for each watch: when it was parsed and delivered
    read_at_s: list[float] = []  # for each watch: when its bytes had been read


class NodeCounters(msgspec.Struct):
    """Counters of the nodes of a process since the last reset."""

    changes: dict[int, ChangeDelivery]  # by serial number
    responses: int = 0  # to watches
    failed: int = 0  # watches that failed
    changed_responses: int = 0  # with entries
    changed_response_bytes: int = 0
    complete_lists: int = 0  # responses with a complete list
    revision_regressions: int = 0  # responses with an older revision than the watch had
    received_bytes: int = 0  # on all connections
    sent_bytes: int = 0
