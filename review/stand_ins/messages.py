"""Reads HTTP/1.1 messages and writes the simple ones that the stand-ins send."""

from __future__ import annotations

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A request or a response with a declared length, or none."""

    start: str  # the request line or the status line
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split()[1])

    @property
    def path(self) -> str:
        """The target of a request."""
        return self.start.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; raises IncompleteReadError at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start, headers, body)


def response(status: int, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


def request(class_name: str, request_id: str, deadline_ms: int, method: str = "POST") -> bytes:
    lines = [
        f"{method} /{class_name} HTTP/1.1",
        "Host: service.internal",
        f"Req-Id: {request_id}",
        f"Req-Deadline-Ms: {deadline_ms}",
    ]
    if method == "POST":
        lines.append("Content-Length: 0")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
