"""The complete requests of one connection that have no response yet, oldest first. No I/O."""

from __future__ import annotations

from collections import deque
from itertools import islice

from loadbalancer.http.message_sizes import MAX_BODY_BYTES
from loadbalancer.http.request import HttpRequest

MAX_PIPELINED_REQUESTS = 32  # complete requests that may wait on one connection


class RequestQueue(deque[HttpRequest]):
    """Requests that get their responses one after the other."""

    @property
    def is_full(self) -> bool:
        """Whether no more requests may wait, by their number or by the sum of their bodies."""
        if not self:
            return False
        return len(self) >= MAX_PIPELINED_REQUESTS or sum([len(item.body) for item in self]) > MAX_BODY_BYTES

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the requests that are held in the process."""
        total = 0
        for request in self:
            total += request.buffered_bytes
        return total

    def discard_last_undispatched(self) -> None:
        """Remove the last request, unless it is dispatched."""
        if self and not self[-1].dispatched:
            self.pop()

    def refuse_waiting(self) -> None:
        """Release the content of the requests that wait behind the first; each still gets its response."""
        for request in islice(self, 1, None):
            request.refuse_unread()

    def cancel_all(self) -> None:
        """Cancel all requests, because their client has disconnected."""
        while self:
            self.popleft().cancel()
