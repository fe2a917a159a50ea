"""The complete requests of one connection that have no response yet, oldest first. No I/O."""

from __future__ import annotations

from collections import deque
from itertools import islice

from loadbalancer.http.message_sizes import MAX_BODY_BYTES
from loadbalancer.http.request import HttpRequest

MAX_PIPELINED_REQUESTS = 32  # complete requests that may wait on one connection


class RequestQueue:
    """Requests that get their responses one after the other."""

    def __init__(self) -> None:
        self._requests: deque[HttpRequest] = deque()

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def first(self) -> HttpRequest | None:
        """The oldest request, None if the queue is empty."""
        return self._requests[0] if self._requests else None

    @property
    def is_full(self) -> bool:
        """Whether no more requests may wait, by their number or by the sum of their bodies."""
        return (
            len(self._requests) >= MAX_PIPELINED_REQUESTS
            or sum([len(request.body) for request in self._requests]) > MAX_BODY_BYTES
        )

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the requests that are held in the process."""
        return sum([request.buffered_bytes for request in self._requests])

    def append(self, request: HttpRequest) -> None:
        """Add a request that is complete."""
        self._requests.append(request)

    def remove_first(self) -> None:
        """Remove the oldest request, which has its response."""
        self._requests.popleft()

    def refuse_waiting(self) -> None:
        """Release the content of the requests that wait behind the first; each still gets its response."""
        for request in islice(self._requests, 1, None):
            request.refuse_unread()

    def cancel_all(self) -> None:
        """Cancel all requests, because their client has disconnected."""
        requests, self._requests = self._requests, deque()
        for request in requests:
            request.cancel()
