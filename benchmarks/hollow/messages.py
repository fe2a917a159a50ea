"""Messages between a run of hollow nodes and the processes that contain the nodes.

Moments are seconds of the machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

import msgspec

from benchmarks.support.membership import EndpointListMessage


class WatchedList(msgspec.Struct):
    """A list and the loopback port at which it is watched."""

    port: int
    cached: EndpointListMessage  # what its nodes start from


class StartNodes(msgspec.Struct):
    """The first message: the nodes of the process. Answered by `NodesStarted`."""

    lists: dict[int, WatchedList]  # by number
    watches: list[int]  # for each node the number of its list
    with_policy: bool  # whether each node has its decisions
    seed: int


class NodesStarted(msgspec.Struct):
    """Each node has had the first answer to its watch."""

    nodes: int


class ExpectChange(msgspec.Struct, tag=True):
    """A change that is about to be written. Answered by `Acknowledgement`."""

    serial: int
    lists: list[int]  # that it changes
    lost_zone: str = ""  # the zone that it takes from them, if it is a zone's loss


class CountersRequest(msgspec.Struct, tag=True):
    """Requests the counters. Answered by `NodeCounters`."""

    clear: bool  # count anew from now on; the answer has the moments too


NODES_REQUESTS: msgspec.json.Decoder[ExpectChange | CountersRequest] = msgspec.json.Decoder(
    ExpectChange | CountersRequest
)  # of the messages after the first one


class Acknowledgement(msgspec.Struct):
    """The message has been dealt with."""


class ChangeDelivery(msgspec.Struct):
    """How one change has reached the nodes of a process."""

    due: int  # watches that are to have it
    delivered: int  # watches that have it
    repeated: int = 0  # times that a watch got it once more as a change
    delivered_at_s: list[float] = []  # for each watch: when it was parsed and delivered
    read_at_s: list[float] = []  # for each watch: when its bytes had been read


class NodeCounters(msgspec.Struct):
    """What the nodes of a process have seen since the counters were cleared."""

    changes: dict[int, ChangeDelivery]  # by serial number
    answers: int = 0  # to watches
    failed: int = 0  # watches that failed
    changed_answers: int = 0  # answers with entries
    changed_answer_bytes: int = 0
    complete_lists: int = 0  # answers with a complete list
    revision_regressions: int = 0  # answers with an older revision than the watch had
    received_bytes: int = 0  # on all connections
    sent_bytes: int = 0
