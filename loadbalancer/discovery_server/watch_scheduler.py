"""Completes waiting watches on the event loop: in batches after a change, and at their deadlines."""

from __future__ import annotations

import asyncio

from loadbalancer.discovery_server.endpoint_store import EndpointStore
from loadbalancer.discovery_server.unread_responses import UnreadResponses
from loadbalancer.discovery_server.watch_registry import Watch, WatchRegistry

FLUSH_BATCH_SIZE = 64  # responses written in one iteration of the event loop
UNREAD_RECHECK_S = 0.02  # between two attempts to flush while clients have too many unread bytes
EXPIRY_LEAD_MS = 1.0  # a timer may fire early by the resolution of the loop's clock


class WatchScheduler:
    """Schedules the completion of a registry's watches. Must be created within a running event loop."""

    def __init__(self, registry: WatchRegistry, unread: UnreadResponses) -> None:
        """Complete the watches of this registry, but not while clients have too many unread bytes."""
        self._registry = registry
        self._unread = unread
        self._loop = asyncio.get_running_loop()
        self._flush_scheduled = False
        self._expiry_timer: asyncio.TimerHandle | None = None
        self._expiry_ms: float | None = None

    def add(self, watch: Watch, timeout_ms: float) -> bool:
        """Add a watch that waits for a change up to this time; False if the registry is full."""
        now_ms = self._loop.time() * 1000.0
        if not self._registry.add(watch, now_ms + timeout_ms):
            return False
        self._schedule_expiry()
        return True

    def cancel(self, watch: Watch) -> None:
        """Remove a watch whose client has disconnected."""
        self._registry.cancel(watch)

    def notify(self, store: EndpointStore) -> None:
        """Respond to the watches that a change of this list affects."""
        self._registry.notify(store)
        self._schedule_flush()

    async def complete_all(self) -> None:
        """Respond to all watches, whether or not their list has changed."""
        self._registry.complete_all()
        while self._registry.outbox_size:
            self._registry.flush(FLUSH_BATCH_SIZE)
            await asyncio.sleep(0)

    def close(self) -> None:
        """Cancel the timer of the deadlines."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush)

    def _flush(self) -> None:
        if self._registry.outbox_size:
            self._unread.enforce_limit()
            if self._unread.over_limit:
                self._loop.call_later(UNREAD_RECHECK_S, self._flush)
                return
        # A change that affects thousands of watches blocks the event loop if all responses are written in
        # one iteration. Between batches other callbacks run; the last watch gets its response a few
        # iterations later.
        self._flush_scheduled = self._registry.flush(FLUSH_BATCH_SIZE)
        if self._flush_scheduled:
            self._loop.call_soon(self._flush)

    def _schedule_expiry(self) -> None:
        deadline_ms = self._registry.next_deadline_ms
        if deadline_ms is not None and (self._expiry_ms is None or deadline_ms < self._expiry_ms):
            if self._expiry_timer is not None:
                self._expiry_timer.cancel()
            self._expiry_ms = deadline_ms
            self._expiry_timer = self._loop.call_at(deadline_ms / 1000.0, self._expire)

    def _expire(self) -> None:
        self._expiry_timer = None
        self._expiry_ms = None
        self._registry.expire(self._loop.time() * 1000.0 + EXPIRY_LEAD_MS)
        self._schedule_flush()
        self._schedule_expiry()
