"""Responses of the soak's endpoints that are spoilt, or that bring more than belongs to them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random

from benchmarks.soak.messages import encode_response

OK_LINE = b"HTTP/1.1 200 OK\r\n"
HUGE_LENGTH = 3_000_000_000
ENDLESS_PIECES = 64  # of a response that does not end, until the endpoint only waits for the close
ENDLESS_PIECE = b"X-Pad: y\r\n" * 100
MAX_EXTRA_BYTES = 40


@dataclass(frozen=True)
class BadResponse:
    """What an endpoint sends, and what it does then.

    Attributes:
        pieces: The bytes, in separate writes.
        ends: Whether the endpoint then ends the stream; otherwise it keeps the connection open, unused.
    """

    pieces: tuple[bytes, ...]
    ends: bool = False


def _cut(random: Random, data: bytes) -> Iterator[bytes]:
    """Split bytes at up to four random positions."""
    positions = sorted({random.randint(1, len(data) - 1) for _ in range(random.randint(1, 4))})
    for start, end in zip([0, *positions], [*positions, len(data)], strict=True):
        yield data[start:end]


def _with_length(length: int, body: bytes) -> bytes:
    return OK_LINE + b"Content-Length: %d\r\n\r\n" % length + body


def _noise(random: Random, _body: bytes) -> BadResponse:
    return BadResponse((b"\x00\x01" + random.randbytes(random.randint(1, MAX_EXTRA_BYTES)) + b"\r\n\r\n",))


def _short_length(random: Random, body: bytes) -> BadResponse:
    stated = len(body) - random.choice((1, 2, random.randint(1, len(body)), len(body)))
    data = _with_length(stated, body)
    # The body comes in one write, since a part that arrives after the stated length can't be told from a copy
    # or noise that comes late.
    head_bytes = len(data) - len(body) if stated and random.choice((True, False)) else 0
    return BadResponse((data[:head_bytes], data[head_bytes:]) if head_bytes else (data,))


def _long_length(random: Random, body: bytes) -> BadResponse:
    return BadResponse((_with_length(len(body) + random.randint(1, MAX_EXTRA_BYTES), body),))


def _huge_length(_random: Random, body: bytes) -> BadResponse:
    return BadResponse((_with_length(HUGE_LENGTH, body), *[ENDLESS_PIECE] * ENDLESS_PIECES))


def _endless_head(_random: Random, _body: bytes) -> BadResponse:
    return BadResponse((OK_LINE, *[ENDLESS_PIECE] * ENDLESS_PIECES))


def _unreadable_head(random: Random, body: bytes) -> BadResponse:
    head = random.choice(
        (b"no colon\r\n", b"Content-Length: -1\r\n", b"Content-Length: 1\r\nContent-Length: 2\r\n")
    )
    return BadResponse((OK_LINE + head + b"\r\n" + body,))


def _early_last_chunk(random: Random, body: bytes) -> BadResponse:
    size = random.randint(1, len(body) - 1)
    head = OK_LINE + b"Transfer-Encoding: chunked\r\n\r\n"
    return BadResponse((head + b"%x\r\n%s\r\n0\r\n\r\n%s" % (size, body[:size], body[size:]),))


def _cut_without_length(random: Random, body: bytes) -> BadResponse:
    return BadResponse((OK_LINE + b"\r\n" + body[: random.randint(0, len(body) - 1)],))


def _second_copy(_random: Random, body: bytes) -> BadResponse:
    return BadResponse((encode_response(200, body) * 2,))


def _noise_behind(random: Random, body: bytes) -> BadResponse:
    extra = random.choice((b"\r\n", random.randbytes(random.randint(1, MAX_EXTRA_BYTES))))
    return BadResponse((encode_response(200, body) + extra,))


def _interim(random: Random, body: bytes) -> BadResponse:
    interim = b"HTTP/1.1 102 Processing\r\n\r\n" * random.randint(1, 3)
    return BadResponse(tuple(_cut(random, interim + encode_response(200, body))))


def _no_length(random: Random, body: bytes) -> BadResponse:
    return BadResponse(tuple(_cut(random, OK_LINE + b"\r\n" + body)), ends=True)


MakeResponse = Callable[[Random, bytes], BadResponse]
"""Makes a response to a request from the body of the whole response."""

BAD_RESPONSES: dict[str, MakeResponse] = {
    "noise": _noise,
    "length too short": _short_length,
    "length too long": _long_length,
    "huge length": _huge_length,
    "endless head": _endless_head,
    "unreadable head": _unreadable_head,
    "chunks that end early": _early_last_chunk,
    "cut without a length": _cut_without_length,
    "second copy behind": _second_copy,
    "noise behind": _noise_behind,
    "interim responses in front": _interim,
    "no length": _no_length,
}
"""Every kind by its name in `docs/disruptions.md`."""
