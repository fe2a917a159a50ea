"""Actions that the policy returns for its host to carry out.

Times are milliseconds on one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Send an attempt for a request; its number is the count of the attempts sent before it."""

    request_id: str
    endpoint: str  # by name
    timeout_ms: float = 0.0  # 0: until the deadline of the request
    # A connection that opens later than this after the action must not carry the attempt; 0: no limit.
    max_start_delay_ms: float = 0.0


@dataclass(slots=True)
class Reject:
    """The final response to a request that the client may retry without harm."""

    request_id: str
    retry_after_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """The final response to a request that may have been executed."""

    request_id: str


@dataclass(slots=True)
class Cancel:
    """Stop an attempt in flight; its outcome is still due."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class StartWatch:
    """Send the next watch or poll request for the endpoint list."""


@dataclass(slots=True)
class StartTimer:
    """Deliver a `TimerFired` of this name after a delay."""

    delay_ms: float
    name: str


Action = Send | Reject | Fail | Cancel | StartWatch | StartTimer
