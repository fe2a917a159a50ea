"""The statistics of a discovery server process."""

from __future__ import annotations

import msgspec


class ServerStatistics(msgspec.Struct, frozen=True):
    """Gauges and counters of one process; `docs/operations.md` says what each of them indicates.

    The field names and their order are those of the log event `statistics`.

    Attributes:
        lists: Configured lists.
        initialized_lists: Lists that have been received or restored, so that they can be served.
        connected_upstreams: Lists whose upstream has responded to the last request.
        connections: Open connections of clients.
        waiting_watches: Watches without a response.
        completed_watches: Responses to watches since the start.
        encodings: Encoded response bodies since the start.
        rejected_requests: Requests with a 4xx or 503 response since the start.
        dropped_clients: Clients disconnected since the start because they have not read a response in time.
        outdated_snapshots: Lists whose newest snapshot is not on the disk.
        event_loop_errors: Exceptions since the start that a task or a callback did not handle.
    """

    lists: int
    initialized_lists: int
    connected_upstreams: int
    connections: int
    waiting_watches: int
    completed_watches: int
    encodings: int
    rejected_requests: int
    dropped_clients: int
    outdated_snapshots: int
    event_loop_errors: int

    def as_log_fields(self) -> dict[str, int]:
        """The fields of the log event, by name."""
        return msgspec.structs.asdict(self)
