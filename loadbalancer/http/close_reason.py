"""Why the server side closes a downstream connection."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """The decision that ends a connection; the ordinary end after a last response has none."""

    EVICTED = "evicted"  # to keep the number of connections within the limit
    OVER_LIMIT = "over_limit"  # new, and no other connection can be evicted
    NO_REQUEST = "no_request"  # no first byte of a request within its time-out
    REQUEST_TIMEOUT = "request_timeout"  # a request is not complete within its time-out
    IDLE_TIMEOUT = "idle_timeout"
    UNREAD_RESPONSE = "unread_response"  # the client does not read a response within its time-out
    MALFORMED = "malformed"  # bytes that are not a valid request
    MEMORY = "memory"  # too many bytes are held, and this connection has an incomplete request or response
    SHUTDOWN = "shutdown"
