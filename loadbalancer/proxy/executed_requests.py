"""The ids of ended requests that an endpoint may have executed and that must not be executed again."""

from __future__ import annotations

from collections import deque

MAX_IDS = 4096  # the latest ones; at 170 requests/s, those of the last 24 s


class ExecutedRequests:
    """The latest ids; the oldest is forgotten when there are too many."""

    def __init__(self) -> None:
        self._ids: set[str] = set()
        self._oldest_first: deque[str] = deque()

    def __contains__(self, request_id: object) -> bool:
        return request_id in self._ids

    def add(self, request_id: str) -> None:
        """Remember an id; no effect if it is remembered already."""
        if request_id in self._ids:
            return
        self._ids.add(request_id)
        self._oldest_first.append(request_id)
        if len(self._oldest_first) > MAX_IDS:
            self._ids.remove(self._oldest_first.popleft())
