"""HTTP messages of the soak's clients and endpoints."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response; `headers` by lower-case name."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message, whose body has a Content-Length or is empty.

    Raises:
        asyncio.IncompleteReadError: the connection ends before the message does.
        asyncio.LimitOverrunError: the head is longer than the reader's limit.
    """
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:-2])}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(lines[0], headers, body)


def encode_response(status: int, body: bytes, *headers: str) -> bytes:
    """Encode a response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}", f"Content-Length: {len(body)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_request(kind: str, request_id: str, deadline_ms: int, body: bytes = b"") -> bytes:
    """Encode a request of a service class."""
    method = "GET" if kind == "read" else "POST"
    lines = [
        f"{method} /{kind}/1 HTTP/1.1",
        "Host: x",
        f"Req-Id: {request_id}",
        f"Req-Deadline-Ms: {deadline_ms}",
    ]
    if kind == "move":
        lines.append(f"Idempotency-Key: key-{request_id}")
    if kind != "read":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
