"""Parses the query of a request for an endpoint list: the client's revision, and how long it waits."""

from __future__ import annotations

import re
from typing import NamedTuple

MAX_WAIT_MS = 60_000
PARAMETER = re.compile(rb"since=(-?[0-9]{1,18})|timeout_ms=([0-9]{1,9})|[^&=]+(=[^&]*)?")
PROTOCOL_PARAMETERS = (b"since", b"timeout_ms")


class QueryError(ValueError):
    """A query that the protocol doesn't allow."""


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
            raise QueryError("malformed query")
        if match[1] is not None and since is None:
            since = int(match[1])
        elif match[2] is not None and timeout_ms is None:
            timeout_ms = min(int(match[2]), MAX_WAIT_MS)
        elif part.partition(b"=")[0] in PROTOCOL_PARAMETERS:
            raise QueryError("malformed or repeated value")
    return WatchQuery(since, timeout_ms or 0)
