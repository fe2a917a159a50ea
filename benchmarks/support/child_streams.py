"""Messages that a child process exchanges with its benchmark over pipes: one line of JSON each."""

from __future__ import annotations

import asyncio
import sys
from typing import TypeVar

import msgspec

MAX_LINE_BYTES = 1 << 28  # of a message

Message = TypeVar("Message")


async def open_standard_input() -> asyncio.StreamReader:
    """Return this process's standard input as an asynchronous stream."""
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer
    )
    return reader


async def read_message(
    reader: asyncio.StreamReader, decoder: msgspec.json.Decoder[Message]
) -> Message | None:
    """Return the next line as a message, or None once the input has ended.

    Raises:
        msgspec.DecodeError: The line is not JSON, or is a message of another type.
    """
    line = await reader.readline()
    return decoder.decode(line) if line else None


def write_message(message: object) -> None:
    """Write a message to standard output as one line of JSON, and flush it."""
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.flush()
