"""Malformed, oversized and unsolicited responses on an upstream connection."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct

import pytest

from loadbalancer.events import AttemptResult
from loadbalancer.http.client_connection import HttpResponse
from loadbalancer.http.message_sizes import MAX_BODY_BYTES
from tests.support.loopback import LoopbackServer
from tests.support.messages import read_message, response_bytes
from tests.support.proxy import attempt_result, make_pool, open_pool, start_attempt

POST = b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nContent-Length: 0\r\n\r\n"
OK_HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_RESPONSE = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"


class EndlessBackend(LoopbackServer):
    """A backend that sends `response` to the first request of a connection, then `repeated` endlessly."""

    def __init__(self, response: bytes, repeated: bytes) -> None:
        super().__init__()
        self._response = response
        self._repeated = repeated

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(self._response)
        while self._repeated and not writer.transport.is_closing():
            writer.write(self._repeated)
            await asyncio.sleep(0)


async def attempt_and_pooled_connections(response: bytes, repeated: bytes = b"") -> tuple[AttemptResult, int]:
    """The result of one attempt, and the number of pooled connections after it."""
    async with EndlessBackend(response, repeated) as server:
        with contextlib.closing(make_pool()) as pool:
            pool.add("s", server.address)
            result = await attempt_result(pool, data=POST)
            await asyncio.sleep(0)
            return result, pool.size


@pytest.mark.parametrize(
    ("response", "repeated"),
    [
        pytest.param(OK_HEAD + b"X-Endless: ", b"y" * 1000, id="endless header"),
        pytest.param(OK_HEAD, b"X-Pad: y\r\n", id="endless head"),
        pytest.param(b"", b"HTTP/1.1 102 Processing\r\n\r\n", id="endless interim responses"),
        pytest.param(CHUNKED_RESPONSE + b"0\r\nNote: ", b"y" * 1000, id="endless trailer"),
        pytest.param(CHUNKED_RESPONSE + b"1;", b"y" * 1000, id="endless chunk extension"),
        pytest.param(OK_HEAD + b"Content-Length: 3000000000\r\n\r\n", b"", id="length over the limit"),
        pytest.param(OK_HEAD + b"\r\n", b"until the end", id="no length"),
        pytest.param(
            OK_HEAD + b"Content-Length: 3\r\nContent-Length: 9\r\n\r\nabcdefghi", b"", id="two lengths"
        ),
        pytest.param(
            OK_HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
            b"",
            id="length and chunks",
        ),
        pytest.param(
            OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n", b"", id="malformed chunk"
        ),
        pytest.param(OK_HEAD + b"no colon\r\nContent-Length: 0\r\n\r\n", b"", id="malformed header"),
    ],
)
async def test_unusable_response_resets_the_attempt_and_closes_its_connection(response, repeated):
    assert await attempt_and_pooled_connections(response, repeated) == (AttemptResult.RESET, 0)


@pytest.mark.parametrize(
    "trailing",
    [
        pytest.param(response_bytes(), id="second response"),
        pytest.param(os.urandom(40) + b"\r\n\r\n", id="random bytes"),
    ],
)
async def test_bytes_after_a_complete_response_close_the_connection(trailing):
    assert await attempt_and_pooled_connections(response_bytes() + trailing) == (AttemptResult.OK, 0)


async def test_trailer_after_a_body_longer_than_a_head_is_ignored():
    """The trailer's bytes were once added to those of the body and compared with the limit of a head."""
    chunks = b"%x\r\n%s\r\n" % (MAX_BODY_BYTES, b"b" * MAX_BODY_BYTES)
    response = OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\nNote: v\r\n\r\n"
    assert await attempt_and_pooled_connections(response) == (AttemptResult.OK, 1)


class ClosingBackend(LoopbackServer):
    """A backend that responds to the first request of a connection and ends it, orderly or by a reset."""

    def __init__(self, response: bytes, *, reset: bool) -> None:
        super().__init__()
        self._response = response
        self._reset = reset

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_message(reader)
        writer.write(self._response)
        if self._reset:
            linger_0 = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_0)
        writer.close()


@pytest.mark.parametrize(
    ("head", "reset", "expected"),
    [
        pytest.param(OK_HEAD, False, (AttemptResult.OK, b"abc"), id="no length, orderly end"),
        pytest.param(b"HTTP/1.0 200 OK\r\n", False, (AttemptResult.OK, b"abc"), id="HTTP/1.0"),
        pytest.param(
            b"HTTP/1.1 102 Processing\r\n\r\n" + OK_HEAD,
            False,
            (AttemptResult.OK, b"abc"),
            id="after an interim response",
        ),
        pytest.param(
            b"HTTP/1.1 500 Error\r\n", False, (AttemptResult.ERROR, b"abc"), id="error without length"
        ),
        pytest.param(OK_HEAD, True, (AttemptResult.RESET, None), id="no length, reset"),
        pytest.param(
            OK_HEAD + b"Content-Length: 4\r\n",
            False,
            (AttemptResult.RESET, None),
            id="shorter than its length",
        ),
        pytest.param(
            OK_HEAD + b"Transfer-Encoding: chunked\r\n",
            False,
            (AttemptResult.RESET, None),
            id="chunks that are none",
        ),
    ],
)
async def test_response_without_length_is_complete_only_at_an_orderly_end(head, reset, expected):
    """Of such responses the platform wants those that come whole forwarded; a reset is no end."""
    ended: asyncio.Future[tuple[AttemptResult, bytes | None]] = asyncio.get_running_loop().create_future()

    def record(result: AttemptResult, response: HttpResponse | None) -> None:
        ended.set_result((result, None if response is None else bytes(response.body)))

    async with ClosingBackend(head + b"\r\nabc", reset=reset) as server, open_pool() as pool:
        pool.add("s", server.address)
        start_attempt(pool, "s", record, POST)
        assert await ended == expected


async def test_end_of_stream_within_a_head_resets_the_attempt():
    async with ClosingBackend(OK_HEAD, reset=False) as server, open_pool() as pool:
        pool.add("s", server.address)
        assert await attempt_result(pool) is AttemptResult.RESET
