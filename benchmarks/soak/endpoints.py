"""Endpoints of a soak run: each records what it executes, and some responses are bad."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

from benchmarks.soak.ledger import Execution, Ledger
from benchmarks.soak.messages import Message, encode_response, read_message

MAX_SERVICE_S = 0.06
# The cumulative probability of each behaviour; any other response is good.
BEHAVIOURS = ((0.01, "error"), (0.03, "decline"), (0.04, "reset"), (0.05, "hang"), (0.06, "noise"))


class SoakEndpoint:
    """One address; the process behind it, and so the name, may change."""

    def __init__(self, name: str, ledger: Ledger, random: Random) -> None:
        self.name = name
        self.started_ms = 0
        self.state = "Ready"
        self._ledger = ledger
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0, backlog=1024)
        self.port: int = self._server.sockets[0].getsockname()[1]

    def replace_process(self, name: str, started_ms: int) -> None:
        """Reset all connections, as a new process at the same address does."""
        for task in self._tasks:
            task.cancel()
        self.name, self.started_ms = name, started_ms

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await self._serve_one(reader, writer):
                pass
        writer.transport.abort()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; return whether the connection stays open."""
        message = await read_message(reader)
        draw = self._random.random()
        behaviour = next((name for limit, name in BEHAVIOURS if draw < limit), "serve")
        if behaviour == "decline":
            writer.write(encode_response(503, b"", "Srv-Declined: 1"))
            return True
        self._record(message)
        await asyncio.sleep(self._random.uniform(0.0, MAX_SERVICE_S))
        match behaviour:
            case "reset":
                return False
            case "hang":
                await reader.read(1)
                return False
            case "error":
                writer.write(encode_response(500, b""))
            case "noise":
                writer.write(b"\x00\x01 no response\r\n\r\n")
            case _:
                writer.write(encode_response(200, message.headers["req-id"].encode()))
        await writer.drain()
        return True

    def _record(self, message: Message) -> None:
        told = message.headers.get("req-deadline-ms")
        now_s = asyncio.get_running_loop().time()
        execution = Execution(self.name, now_s, None if told is None else int(told) / 1000.0)
        self._ledger.record_execution(message.headers.get("req-id", ""), execution)
