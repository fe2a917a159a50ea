"""Parses the query of a request for an endpoint list: the client's revision, and how long it waits."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_WAIT_MS = 60_000
PARAMETER = re.compile(rb"since=(-?[0-9]{1,18})|timeout_ms=([0-9]{1,9})|[^&=]+(=[^&]*)?")
PROTOCOL_PARAMETERS = (b"since", b"timeout_ms")
VALUE_FORMATS = {b"since": "an integer of 1 to 18 digits", b"timeout_ms": "1 to 9 digits"}


class QueryError(ValueError):
    """A query that violates the discovery protocol."""


class WatchQuery(NamedTuple):
    """The parameters of a request for an endpoint list.

    Attributes:
        since: The revision that the client holds; None if it requests the complete list.
        timeout_ms: How long the client waits for a change, in milliseconds; 0 if it doesn't wait.
    """

    since: int | None
    timeout_ms: int


def parse_query(query: bytes) -> WatchQuery:
    """Parse the part of a request target after the question mark; unknown parameters are ignored.

    Raises:
        QueryError: A parameter is malformed, or one of the protocol's parameters is repeated.
    """
    since: int | None = None
    timeout_ms: int | None = None
    for part in query.split(b"&") if query else ():
        match = PARAMETER.fullmatch(part)
        if match is None:
            raise QueryError(f"watch query: malformed parameter {part!r}, expected `name` or `name=value`")
        if match[1] is not None and since is None:
            since = int(match[1])
        elif match[2] is not None and timeout_ms is None:
            timeout_ms = min(int(match[2]), MAX_WAIT_MS)
        elif part.partition(b"=")[0] in PROTOCOL_PARAMETERS:
            raise QueryError(_invalid_parameter_message(match))
    return WatchQuery(since, timeout_ms or 0)


def _invalid_parameter_message(match: re.Match[bytes]) -> str:
    """Describe a parameter of the protocol that is repeated or has a malformed value."""
    name, _, value = match[0].partition(b"=")
    if match[1] is not None or match[2] is not None:
        return f"watch query: `{name.decode()}` occurs twice"
    return f"watch query: malformed `{name.decode()}`: expected {VALUE_FORMATS[name]}, found {value!r}"
