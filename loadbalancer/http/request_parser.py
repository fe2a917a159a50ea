"""Parses a downstream connection's byte stream into requests, within the size limits. No I/O."""

from __future__ import annotations

import re
from collections.abc import Callable
from http import HTTPStatus

import httptools

from loadbalancer.http.message_parser import MessageParser
from loadbalancer.http.message_sizes import MAX_BODY_BYTES, MAX_BODY_PARTS, MAX_FIELDS, MAX_HEAD_BYTES
from loadbalancer.http.request import HttpRequest
from loadbalancer.http.request_queue import RequestQueue

SUPPORTED_VERSIONS = ("1.1", "1.0")
TARGET_PATTERN = re.compile(rb"/[\x21-\x7e]*")

# The headers that are read or forwarded; others are counted against the limits and dropped, since a stored
# header takes some hundred bytes in addition to its own.
# If a header occurs twice, this server may use one value and a server that the request is forwarded to the
# other. A second occurrence of any of these is therefore a fault.
SINGLE_VALUE_HEADERS = frozenset(
    b"host req-id idempotency-key req-owner req-retry req-cost req-extra req-deadline-ms".split()
    + b"accept content-type content-encoding content-length transfer-encoding expect".split()
)


class _OversizedRequestError(Exception):
    """Raised in a parser callback to stop the parser, and handled in `RequestParser.feed`."""


class RequestParser(MessageParser):
    """Parses one connection's byte stream into requests, within the size limits.

    After a fault the rest of the stream is not parsed: the owner of the connection responds to the complete
    requests that precede it, then sends the fault's status and closes the connection. A request that is
    followed by bytes that are no request may be cut, because its stated length may be wrong. Unless it is
    dispatched, it gets no response of its own: the fault's status is the response to it and to those bytes.

    Attributes:
        requests: The complete requests; the owner removes a request when it has responded.
        partial: The partly received request, or None.
        fault: The status of the response to the first part of the stream that isn't a valid request, or None.
        continue_expected: Whether the client waits for `100 Continue`; reset by the owner.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        super().__init__(httptools.HttpRequestParser)
        self._clock = clock
        self.requests = RequestQueue()
        self.partial: HttpRequest | None = None
        self.fault: HTTPStatus | None = None
        self.continue_expected = False
        self._in_head = False
        self._section_bytes = 0  # counted against the limit of the head or of the body
        self._fields = 0
        self._body_parts = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the requests that are held in the process, the partly received one included."""
        partial = 0 if self.partial is None else self.partial.buffered_bytes
        return partial + self.requests.buffered_bytes

    def feed(self, data: bytes | memoryview) -> None:
        """Parse the next bytes; must not be called after a fault or `close`. Raises nothing."""
        self._count_unparsed(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:  # a limit is exceeded; `fault` is set
            self._fail(HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserUpgrade as upgrade:  # to a protocol that is not supported
            self._fail_malformed(behind_request=upgrade.args[0] < len(data))
        except httptools.HttpParserError:
            self._fail_malformed(behind_request=self.partial is None or self._in_head)
        if self._exceeds_unparsed_bytes:
            self._fail(HTTPStatus.BAD_REQUEST)
        if self.fault is not None:
            self.discard_partial()

    def refuse_rest(self, status: HTTPStatus) -> None:
        """Parse nothing more: what follows the complete requests gets this status."""
        self._fail(status)
        self.discard_partial()

    def discard_partial(self) -> None:
        """Release the partly received request; its bytes that still arrive must not be parsed."""
        self.partial = None

    def _fail(self, status: HTTPStatus) -> None:
        if self.fault is None:
            self.fault = status

    def _fail_malformed(self, *, behind_request: bool) -> None:
        """Parse nothing behind bytes that are no part of a valid request."""
        self._fail(HTTPStatus.BAD_REQUEST)
        # The head of a request shows that the request before it ends where its length says. Other bytes may
        # be the rest of that request's body, and an endpoint would execute it with a part of its body.
        if behind_request:
            self.requests.discard_last_undispatched()

    def _fail_oversized(self, status: HTTPStatus) -> None:
        self._fail(status)
        # No data is parsed after a fault, but httptools would still report the rest of the current read, up
        # to 30,000 headers of an endless head. An exception in a callback stops it, as its own errors do.
        raise _OversizedRequestError

    def on_message_begin(self) -> None:
        """Start a request; like the other `on_` methods, called by httptools."""
        self.partial = HttpRequest()
        self._section_bytes = 0
        self._fields = self._body_parts = 0
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._section_bytes += len(url)
        if self._section_bytes > MAX_HEAD_BYTES:
            self._fail_oversized(HTTPStatus.BAD_REQUEST)
        if self.partial is not None:
            self.partial.target += url
            self.partial.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header that is read; a repeated single-value header or a trailer is a fault."""
        self._section_bytes += len(name) + len(value)
        self._fields += 1
        if self._section_bytes > MAX_HEAD_BYTES or self._fields > MAX_FIELDS:
            self._fail_oversized(HTTPStatus.BAD_REQUEST)
        request = self.partial
        if request is None or self.fault is not None:
            return
        name = name.lower()
        # A trailer could overwrite a header that is already checked, and is therefore a fault.
        if not self._in_head or name in request.headers:
            self.fault = HTTPStatus.BAD_REQUEST
        elif name in SINGLE_VALUE_HEADERS:
            request.headers[name] = value
            request.head_bytes += len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Check the framing, target, version and expectation that the complete head declares."""
        self._in_head = False
        self._unparsed_bytes = 0
        request = self.partial
        if request is None or self.fault is not None:
            return
        self._section_bytes = 0
        self.fault = _head_fault(request, self._parser.get_http_version())
        expects = request.headers.get(b"expect", b"").lower() == b"100-continue"
        self.continue_expected = expects and self.fault is None and not self.requests

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._unparsed_bytes = 0
        self._section_bytes += len(body)
        self._body_parts += 1
        if self._section_bytes > MAX_BODY_BYTES or self._body_parts > MAX_BODY_PARTS:
            self._fail_oversized(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if self.partial is not None and self.fault is None:
            self.partial.body += body

    def on_message_complete(self) -> None:
        """Queue the complete request, unless the queue has reached its limit."""
        request, self.partial = self.partial, None
        self._unparsed_bytes = 0
        if request is None or self.fault is not None:
            return
        request.received_at = self._clock()
        request.method = self._parser.get_method()
        request.keep_alive = self._parser.should_keep_alive()
        # A client that pipelines requests without end would exhaust the memory. Their number and the sum of
        # their bodies are therefore limited.
        if self.requests.is_full:
            self.fault = HTTPStatus.TOO_MANY_REQUESTS
            return
        self.requests.append(request)


def _head_fault(request: HttpRequest, version: str) -> HTTPStatus | None:
    """The status for a head whose framing, target or version is not accepted; None if all are."""
    headers = request.headers
    length, coding = headers.get(b"content-length"), headers.get(b"transfer-encoding")
    # With both a length and a coding, two readers may disagree on where the request ends, so that one of them
    # parses a second request (request smuggling). Only one of the two, or none, is accepted.
    if coding is not None and (length is not None or coding.lower() != b"chunked"):
        return HTTPStatus.BAD_REQUEST
    if length is not None and int(length) > MAX_BODY_BYTES:
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    if not TARGET_PATTERN.fullmatch(request.target):
        return HTTPStatus.BAD_REQUEST
    return None if version in SUPPORTED_VERSIONS else HTTPStatus.HTTP_VERSION_NOT_SUPPORTED
