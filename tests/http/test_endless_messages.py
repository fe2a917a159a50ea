"""A message that never ends, at any of its elements, is given up once it exceeds the limit of unparsed bytes.

Without that limit the HTTP library keeps the element, and copies all of it at each read.
"""

from __future__ import annotations

import tracemalloc

import pytest

from loadbalancer.http.message_sizes import MAX_BODY_BYTES, MAX_UNPARSED_BYTES
from loadbalancer.http.request_parser import RequestParser
from loadbalancer.http.response_parser import ResponseParser

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BODY = b"2\r\nok\r\n"
REQUEST = b"POST /post/1 HTTP/1.1\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\n"
MAX_HELD_BYTES = 4 * MAX_UNPARSED_BYTES  # the limit, a read, and the copies of both during a read

ENDLESS = {
    "blank lines before the message": (b"", b"\r\n"),
    "header name": (b"START", b"n"),
    "header value": (b"STARTNote: ", b"v"),
    "chunk extension": (b"START" + CHUNKED + b"2;note=", b"e"),
    "extension of the last chunk": (b"START" + CHUNKED + BODY + b"0;note=", b"e"),
    "trailer name": (b"START" + CHUNKED + BODY + b"0\r\n", b"n"),
    "trailer value": (b"START" + CHUNKED + BODY + b"0\r\nNote: ", b"v"),
    "trailer value after a large body": (
        b"START" + CHUNKED + b"%x\r\n" % MAX_BODY_BYTES + b"b" * MAX_BODY_BYTES + b"\r\n0\r\nNote: ",
        b"v",
    ),
}
CASES = [pytest.param(*case, id=name) for name, case in ENDLESS.items()]
PIECE_SIZES = [pytest.param(100, id="small pieces"), pytest.param(MAX_UNPARSED_BYTES, id="large pieces")]


def bytes_until_fault(parser: RequestParser | ResponseParser, prefix: bytes, piece: bytes) -> int:
    """The bytes that the parser takes after the prefix until the message is faulty, at most a megabyte."""

    def is_faulty() -> bool:
        return parser.unusable if isinstance(parser, ResponseParser) else parser.fault is not None

    parser.feed(prefix)
    assert not is_faulty()
    received = 0
    while not is_faulty() and received < 1_000_000:
        parser.feed(piece)
        received += len(piece)
    return received


@pytest.mark.parametrize("size", PIECE_SIZES)
@pytest.mark.parametrize(("prefix", "repeated"), CASES)
@pytest.mark.parametrize(
    ("start_line", "make_parser"),
    [
        pytest.param(REQUEST, lambda: RequestParser(lambda: 0.0), id="request"),
        pytest.param(RESPONSE, lambda: ResponseParser(MAX_BODY_BYTES), id="response"),
    ],
)
def test_endless_message_is_given_up_within_the_limit(start_line, make_parser, prefix, repeated, size):
    parser = make_parser()
    piece = repeated * (size // len(repeated))
    tracemalloc.start()
    try:
        received = bytes_until_fault(parser, prefix.replace(b"START", start_line), piece)
        buffered_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert received <= MAX_UNPARSED_BYTES + len(piece)
    assert buffered_bytes <= MAX_BODY_BYTES + MAX_HELD_BYTES
