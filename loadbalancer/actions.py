"""Actions that the policy returns for its host, the proxy or the simulator adapter, to carry out.

Durations are milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Send an attempt for a request; a request's attempts are numbered from 0 in the order of sending."""

    request_id: str
    endpoint: str  # its name
    timeout_ms: float = 0.0  # from the action to the end of the response; 0: until the request's deadline
    # Time after the action within which the attempt must be sent, or it is dropped; 0: no limit.
    max_start_delay_ms: float = 0.0


@dataclass(slots=True)
class Reject:
    """Respond to a request with a rejection, its final response; the client may retry it without harm."""

    request_id: str
    retry_after_ms: float = 0.0  # how long the client should wait before a retry; 0: not sent


@dataclass(slots=True)
class Fail:
    """Respond to a request with a failure, its final response; the request may have been executed."""

    request_id: str


@dataclass(slots=True)
class Cancel:
    """Stop an attempt in flight; the host still reports its `AttemptOutcome`."""

    request_id: str
    attempt: int  # its number in the request


@dataclass(slots=True)
class StartWatch:
    """Send the next watch or poll request for the endpoint list."""


@dataclass(slots=True)
class StartTimer:
    """Deliver a `TimerFired` of this name after a delay."""

    delay_ms: float
    name: str


Action = Send | Reject | Fail | Cancel | StartWatch | StartTimer
