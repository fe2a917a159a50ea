"""Messages between a run of hollow nodes and the processes in which the nodes run.

Fields that end in `_at_s` are seconds of the machine's monotonic clock, which is the same in all processes.
"""

from __future__ import annotations

import msgspec

from benchmarks.support.membership import EndpointListMessage


class WatchedList(msgspec.Struct):
    """An endpoint list and the loopback port at which nodes watch it."""

    port: int
    cached: EndpointListMessage  # the initial list of its nodes


class StartNodes(msgspec.Struct):
    """The first message: the nodes of the process. The reply is `NodesStarted`."""

    lists: dict[int, WatchedList]  # by list number
    watches: list[int]  # the list number of each node
    with_policy: bool  # whether each node has a policy
    seed: int


class NodesStarted(msgspec.Struct):
    """Reports that the watch of every node has received its first response."""

    nodes: int


class ExpectChange(msgspec.Struct, tag=True):
    """Announces a change before it is written. The reply is `Acknowledgement`."""

    serial: int
    lists: list[int]  # the numbers of the changed lists
    lost_zone: str = ""  # the removed zone if the change is the loss of a zone, else empty


class CountersRequest(msgspec.Struct, tag=True):
    """Requests the counters. The reply is `NodeCounters`."""

    clear: bool  # reset the counters after the reply, which then includes the delivery times


NODES_REQUESTS: msgspec.json.Decoder[ExpectChange | CountersRequest] = msgspec.json.Decoder(
    ExpectChange | CountersRequest
)  # for all messages after the first


class Acknowledgement(msgspec.Struct):
    """Confirms that a message has been processed."""


class ChangeDelivery(msgspec.Struct):
    """The delivery of one change to the nodes of a process."""

    expected: int  # number of watches of the changed lists
    delivered: int  # number of watches that have received the change
    repeated: int = 0  # deltas that delivered the change to a watch again
    delivered_at_s: list[float] = []  # for each watch: when the change is parsed and delivered
    read_at_s: list[float] = []  # for each watch: when the last bytes of the change are read


class NodeCounters(msgspec.Struct):
    """Counters of the nodes of a process since the last reset."""

    changes: dict[int, ChangeDelivery]  # by serial number
    responses: int = 0  # to watches
    failed: int = 0  # failures of watches
    changed_responses: int = 0  # responses with entries
    changed_response_bytes: int = 0
    complete_lists: int = 0  # responses with a complete list
    revision_regressions: int = 0  # responses with an older revision than the watch's
    received_bytes: int = 0  # on all connections of the process
    sent_bytes: int = 0
