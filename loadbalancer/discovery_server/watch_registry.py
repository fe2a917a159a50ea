"""The waiting watches of all lists of a process, and their completion in batches. No I/O; times in ms.

A change moves the watches that it affects to the outbox. `flush` completes a batch of them with the list as
it is at that time. A burst of changes therefore produces one response for each watch, and the event loop runs
other callbacks between the batches of a change that affects thousands of watches.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable

from loadbalancer.discovery_server.endpoint_store import EndpointStore

DEADLINE_TICK_MS = 20.0  # deadlines are rounded up to a multiple of it
SendBody = Callable[[bytes], None]  # sends the response with this body


class Watch:
    """One waiting request for changes.

    Attributes:
        store: The list.
        revision: The revision that the client holds.
        deadline_tick: The deadline, in ticks of `DEADLINE_TICK_MS`; set by the registry.
    """

    __slots__ = ("_send_body", "deadline_tick", "revision", "store")

    def __init__(self, store: EndpointStore, revision: int, send_body: SendBody) -> None:
        """Create a watch of the store's list; `send_body` is called at most once."""
        self.store = store
        self.revision = revision
        self.deadline_tick = 0
        self._send_body: SendBody | None = send_body

    @property
    def finished(self) -> bool:
        """Whether the watch has been completed or cancelled."""
        return self._send_body is None

    def cancel(self) -> None:
        """End the watch without a response: its client has disconnected."""
        self._send_body = None  # releases the reference to the connection

    def complete(self, body: bytes) -> None:
        """Send the response, unless the watch has been completed or cancelled."""
        send_body, self._send_body = self._send_body, None
        if send_body is not None:
            send_body(body)


class WatchRegistry:
    """Holds watches up to a limit, and completes each one after a change, at its deadline or at shutdown.

    Attributes:
        count: The number of watches without a response, including those in the outbox.
        completed: The number of completed watches since the start.
    """

    def __init__(self, limit: int) -> None:
        """Create an empty registry for at most `limit` watches."""
        self.count = 0
        self.completed = 0
        self._limit = limit
        self._by_revision: dict[EndpointStore, dict[int, dict[Watch, None]]] = {}
        # With one event loop timer for each watch, the timer of a completed watch would remain in the loop
        # until the watch's deadline, up to a minute. The timer wheel holds the watches by deadline tick
        # instead.
        self._by_deadline: dict[int, dict[Watch, None]] = {}
        self._deadline_ticks: list[int] = []  # a heap of the wheel's keys
        self._outbox: deque[Watch] = deque()

    def add(self, watch: Watch, deadline_ms: float) -> bool:
        """Hold the watch until its deadline; return False, without holding it, if the registry is full."""
        if self.count >= self._limit:
            return False
        self.count += 1
        self._by_revision.setdefault(watch.store, {}).setdefault(watch.revision, {})[watch] = None
        watch.deadline_tick = int(-(-deadline_ms // DEADLINE_TICK_MS))
        if watch.deadline_tick not in self._by_deadline:
            heapq.heappush(self._deadline_ticks, watch.deadline_tick)
        self._by_deadline.setdefault(watch.deadline_tick, {})[watch] = None
        return True

    def cancel(self, watch: Watch) -> None:
        """Remove a watch whose client has disconnected."""
        if not watch.finished:
            watch.cancel()
            self.count -= 1
            self._remove(watch)

    def notify(self, store: EndpointStore) -> None:
        """Move the watches that a change of this list affects to the outbox."""
        for revision in self.waiting_revisions(store):
            if store.responses.since(revision) is not None:
                for watch in list(self._by_revision[store][revision]):
                    self._move_to_outbox(watch)

    def waiting_revisions(self, store: EndpointStore) -> list[int]:
        """The revisions at which watches of the list wait."""
        return list(self._by_revision.get(store, ()))

    def expire(self, now_ms: float) -> None:
        """Move the watches whose deadline has passed to the outbox."""
        while self._deadline_ticks and self._deadline_ticks[0] * DEADLINE_TICK_MS <= now_ms:
            # The heap may contain a tick without watches, and the same tick twice.
            deadline_tick = heapq.heappop(self._deadline_ticks)
            for watch in list(self._by_deadline.get(deadline_tick, ())):
                self._move_to_outbox(watch)

    def complete_all(self) -> None:
        """Move all watches to the outbox, for a shutdown."""
        for watch in [watch for watches in self._by_deadline.values() for watch in watches]:
            self._move_to_outbox(watch)

    @property
    def next_deadline_ms(self) -> float | None:
        """The time at which `expire` has to be called next; None if no watch is waiting."""
        while self._deadline_ticks and self._deadline_ticks[0] not in self._by_deadline:
            heapq.heappop(self._deadline_ticks)
        return self._deadline_ticks[0] * DEADLINE_TICK_MS if self._deadline_ticks else None

    @property
    def outbox_size(self) -> int:
        """The number of watches in the outbox, including those whose clients have disconnected since."""
        return len(self._outbox)

    def flush(self, batch_size: int) -> bool:
        """Complete at most `batch_size` watches of the outbox; True if more remain."""
        for _ in range(min(batch_size, len(self._outbox))):
            watch = self._outbox.popleft()
            if not watch.finished:
                self.count -= 1
                self.completed += 1
                responses = watch.store.responses
                watch.complete(responses.since(watch.revision) or responses.unchanged())
        return bool(self._outbox)

    def _move_to_outbox(self, watch: Watch) -> None:
        self._remove(watch)
        self._outbox.append(watch)

    def _remove(self, watch: Watch) -> None:
        by_revision = self._by_revision.get(watch.store, {})
        for table, key in ((by_revision, watch.revision), (self._by_deadline, watch.deadline_tick)):
            if watch in table.get(key, ()):
                del table[key][watch]
                if not table[key]:
                    del table[key]
