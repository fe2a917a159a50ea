"""Common parts of the parsers of both directions: the limit on bytes without a result, and the release."""

from __future__ import annotations

from typing import Any

import httptools

from loadbalancer.http.message_sizes import MAX_UNPARSED_BYTES


class MessageParser:
    """A parser of one connection's byte stream, whose `on_` methods httptools calls."""

    def __init__(self, make_parser: type[httptools.HttpRequestParser | httptools.HttpResponseParser]) -> None:
        self._parser: Any = make_parser(self)
        self._unparsed_bytes = 0  # in the latest reads; limited by `MAX_UNPARSED_BYTES`

    def close(self) -> None:
        """Release the parser when the connection is lost."""
        # This parser and that of httptools refer to each other, and the garbage collector rarely examines
        # old objects. Deleting one of the references frees both at once.
        del self._parser

    def _count_unparsed(self, size: int) -> None:
        """Count the bytes of a read; the owner resets the count when a part of a message is complete."""
        # httptools keeps an incomplete header, trailer or chunk size without reporting it, so that an endless
        # one would never be counted. Each read is therefore counted too, until one has a result.
        self._unparsed_bytes += size

    @property
    def _exceeds_unparsed_bytes(self) -> bool:
        """Whether the latest reads together hold more than a complete head may have."""
        return self._unparsed_bytes > MAX_UNPARSED_BYTES
