"""Servers of the tier, and discovery's agent on the node's machine."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

from review.stand_ins.messages import Message, read_message, response
from review.stand_ins.record import Record

Answer = Callable[["Server", Message, asyncio.StreamWriter], Awaitable[None]]


async def listen(
    handler: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> tuple[asyncio.Server, int]:
    """Serve on a free port of the loopback address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The end of the run cancels this task; asyncio would log that as an error.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await handler(reader, writer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, server.sockets[0].getsockname()[1]


class Server:
    """A server of the tier; `answer` writes its answer to each request."""

    def __init__(self, name: str, answer: Answer, record: Record) -> None:
        self.name = name
        self.received: dict[str, int] = {}  # requests by id, whose last byte has come
        self._answer = answer
        self._record = record

    async def start(self) -> None:
        _, self.port = await listen(self._serve)

    def entry(self, state: str = "Ready") -> dict[str, object]:
        """Its entry in the list, started long ago."""
        return {
            "uid": self.name,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "catania-1",
            "model": "front-mid",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            request_id = message.headers.get("req-id", "")
            self.received[request_id] = self.received.get(request_id, 0) + 1
            self._record.write(f"server {self.name}: begins {message.path} {request_id}")
            await self._answer(self, message, writer)


class Discovery:
    """The agent: answers the whole list or, to a watch, what has changed since."""

    def __init__(self, entries: list[dict[str, object]], record: Record) -> None:
        self.revision = 1
        self.entries = entries
        self._record = record
        self._changed = asyncio.Event()

    async def start(self) -> None:
        _, self.port = await listen(self._serve)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            query = parse_qs(urlsplit((await read_message(reader)).path).query)
            since = int(query.get("since", ["-1"])[0])
            wait_s = int(query.get("timeout_ms", ["0"])[0]) / 1000.0
            if since == self.revision:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), wait_s)
            complete = since != self.revision
            targets = self.entries if complete else []
            body = json.dumps({"rev": self.revision, "all": complete, "targets": targets}).encode()
            writer.write(response(200, body))
