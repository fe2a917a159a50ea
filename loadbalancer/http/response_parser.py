"""Parses an upstream connection's byte stream into responses, within the size limits. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus

import httptools

from loadbalancer.http.message_parser import MessageParser
from loadbalancer.http.message_sizes import MAX_FIELDS, MAX_HEAD_BYTES

# The headers that are read; others are counted against the limit and dropped, since a stored header takes
# some hundred bytes in addition to its own.
READ_HEADERS = frozenset(b"content-length transfer-encoding srv-declined srv-load".split())
FIRST_FINAL_STATUS = int(HTTPStatus.OK)  # responses with a lower one are interim


@dataclass(slots=True, eq=False, repr=False)
class HttpResponse:
    """The final response to one request; interim ones are discarded."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)  # those of `READ_HEADERS`, by lower-case name
    body: bytearray = field(default_factory=bytearray)


class ResponseParser(MessageParser):
    """Parses the responses to successive requests on one connection.

    A response that trailing bytes follow may be cut: its stated length may be shorter than its body. It
    counts as malformed, unless the trailing bytes repeat it byte for byte, or the owner tolerates them.

    Attributes:
        response: The response to the current request.
        complete: Whether the response has been received in full; reset by trailing bytes.
        unusable: Whether the connection must not be used for another request: a response exceeds a limit, is
            malformed, has trailing bytes, or announces the end of the connection.
        tolerates_trailing_bytes: Whether a response with trailing bytes stays complete, because its body
            itself shows whether it is complete.
    """

    def __init__(self, max_body_bytes: int, *, tolerates_trailing_bytes: bool = False) -> None:
        super().__init__(httptools.HttpResponseParser)
        self.tolerates_trailing_bytes = tolerates_trailing_bytes
        self.response = HttpResponse()
        self.complete = False
        self.unusable = False
        self._max_body_bytes = max_body_bytes
        self._in_head = True
        self._until_close = False  # the end of the connection delimits the body
        self._field_bytes = 0  # of the names and values in the head, or in the trailer section
        self._fields = 0  # in the head and the trailer section
        self._last_read = b""  # the read that has completed the response

    def start_response(self) -> None:
        """Reset the state before the response to the next request."""
        self.response = HttpResponse()
        self.complete = False
        self._in_head = True
        self._until_close = False
        self._field_bytes = self._fields = self._unparsed_bytes = 0

    def feed(self, data: bytes | memoryview) -> None:
        """Parse the next bytes, at least one; must not be called after `close`. Raises nothing."""
        if self.complete:
            self._on_trailing_bytes(self._last_read + data)
            return
        self._count_unparsed(len(data))
        # httptools doesn't report where in a read a response ends, and skips line breaks behind it. The last
        # byte is therefore parsed separately: it completes the response, or trails a complete one.
        self._parse(data[:-1])
        if self.complete:
            self._on_trailing_bytes(bytes(data))
            return
        self._parse(data[-1:])
        if self.complete:
            self._last_read = bytes(data)
        if self._exceeds_unparsed_bytes:
            self.unusable = True

    def feed_end_of_stream(self) -> None:
        """Complete a response whose body ends with the connection; must not be called after a reset."""
        # A peer that fails resets its connections. Only an orderly end of the stream therefore completes such
        # a response.
        if self._until_close and not self.complete and not self.unusable:
            self.response.status = self._parser.get_status_code()
            self.complete = self.unusable = True

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the response that are held in the process."""
        headers = self.response.headers
        header_bytes = sum([len(value) for value in headers.values()])
        return len(self.response.body) + header_bytes + len(self._last_read)

    def take_response(self) -> HttpResponse:
        """Return the complete response, and hold it no more."""
        response = self.response
        self.discard_response()
        return response

    def discard_response(self) -> None:
        """Release what has been received of the response."""
        self.response = HttpResponse()
        self._last_read = b""

    def _parse(self, data: bytes | memoryview) -> None:
        """Pass bytes to httptools, which calls the `on_` methods."""
        if self.unusable:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.unusable = True

    def _on_trailing_bytes(self, received: bytes) -> None:
        """Keep the response if trailing bytes are tolerated, or if `received` is it and one copy of it."""
        self.unusable = True
        if self.tolerates_trailing_bytes:
            return
        self.complete = _is_response_sent_twice(received, self._max_body_bytes)
        if not self.complete:
            self.discard_response()

    def on_message_begin(self) -> None:
        """Reject a second response to one request; like the other `on_` methods, called by httptools."""
        if self.complete:
            self.unusable = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header that is read; trailers are ignored."""
        self._field_bytes += len(name) + len(value)
        self._fields += 1
        if self._field_bytes > MAX_HEAD_BYTES or self._fields > MAX_FIELDS:
            self.unusable = True
        name = name.lower()
        if self._in_head and name in READ_HEADERS:
            self.response.headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the body length that the head of a final response declares."""
        self._field_bytes = 0
        if self.complete or self._parser.get_status_code() < FIRST_FINAL_STATUS:
            return
        self._in_head = False
        self._unparsed_bytes = 0
        headers = self.response.headers
        length = headers.get(b"content-length")
        # A body whose declared length exceeds the limit would be received in vain, and is rejected.
        if length is None:
            self._until_close = b"transfer-encoding" not in headers
        elif b"transfer-encoding" in headers or int(length) > self._max_body_bytes:
            self.unusable = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._unparsed_bytes = 0
        if len(self.response.body) + len(body) > self._max_body_bytes:
            self.unusable = True
        if not self.unusable:
            self.response.body += body

    def on_message_complete(self) -> None:
        """Complete the response, or discard an interim one."""
        if self.complete or self.unusable:
            return
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            self.response = HttpResponse()
            self._field_bytes = self._fields = 0
            return
        self.response.status = status
        self.complete = True
        if not self._parser.should_keep_alive():
            self.unusable = True


def _is_response_sent_twice(received: bytes, max_body_bytes: int) -> bool:
    """Whether the bytes are one complete response and the same bytes once more."""
    half = len(received) // 2
    if received[:half] != received[half:]:
        return False
    parser = ResponseParser(max_body_bytes)
    parser.feed(received[:half])
    parser.close()
    return parser.complete
