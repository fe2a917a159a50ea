"""Endpoints of a soak run: each records what it executes, and some responses are bad."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from random import Random

from benchmarks.soak.bad_responses import BAD_RESPONSES, BadResponse
from benchmarks.soak.ledger import Execution, Ledger, response_body
from benchmarks.soak.messages import Message, encode_response, read_message

MAX_SERVICE_S = 0.06
# The probability of each behaviour; any other response is good.
BEHAVIOURS = {"error": 0.01, "decline": 0.02, "reset": 0.01, "hang": 0.01} | dict.fromkeys(
    BAD_RESPONSES, 0.008
)
PIECE_PAUSE_S = 0.002


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
        _reset(writer)

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; return whether the connection stays open."""
        message = await read_message(reader)
        behaviour = self._draw_behaviour()
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
            case "serve":
                writer.write(encode_response(200, response_body(message.headers["req-id"])))
            case _:
                body = response_body(message.headers["req-id"])
                await _send_bad_response(BAD_RESPONSES[behaviour](self._random, body), reader, writer)
                return False
        await writer.drain()
        return True

    def _draw_behaviour(self) -> str:
        draw = self._random.random()
        for name, probability in BEHAVIOURS.items():
            draw -= probability
            if draw < 0.0:
                return name
        return "serve"

    def _record(self, message: Message) -> None:
        told = message.headers.get("req-deadline-ms")
        now_s = asyncio.get_running_loop().time()
        execution = Execution(self.name, now_s, None if told is None else int(told) / 1000.0)
        self._ledger.record_execution(message.headers.get("req-id", ""), execution)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as a process that fails does."""
    # An orderly end would complete a body without a length.
    linger_0 = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_0)
    writer.transport.abort()


async def _send_bad_response(
    response: BadResponse, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Send a bad response, and wait until the proxy closes the connection if the endpoint does not."""
    for piece in response.pieces:
        writer.write(piece)
        await writer.drain()
        await asyncio.sleep(PIECE_PAUSE_S)
    if response.ends:
        writer.write_eof()
    await reader.read(1)
