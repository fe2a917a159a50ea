"""Clients of a soak run: usual ones, ones that leave, and hostile ones."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from itertools import islice, product
from random import Random
from string import ascii_lowercase

from benchmarks.soak.ledger import Ledger, RequestRecord
from benchmarks.soak.messages import encode_request, read_message
from benchmarks.soak.plan import HostileGroup
from loadbalancer.http.addresses import Address

KINDS = ("read", "post", "move")
MIN_DEADLINE_MS, MAX_DEADLINE_MS = 300, 2000
MAX_PAUSE_S = 0.1  # between two requests of a usual client
LONG_BODY_PROBABILITY = 0.1
RESET_PROBABILITY = 0.5  # of a leaving client, which otherwise closes in an orderly way
LONG_BODY = b"b" * 60_000
RECONNECT_PAUSE_S = 0.02
OWED_S = 3.0  # within which a client that stops in the middle of a request gets an error or a close
OWED_MARGIN_S = 1.0  # for the delays of this process
SHORT_FIELDS = b"".join(
    "{}{}{}:\r\n".format(*name).encode() for name in islice(product(ascii_lowercase, repeat=3), 5000)
)


class Crowd:
    """The clients of one run that send one request at a time, and the hostile ones."""

    def __init__(self, address: Address, ledger: Ledger, random: Random) -> None:
        self._address = address
        self._ledger = ledger
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._count = 0
        self._may_connect = True
        self.killed_at_s: list[float] = []  # when the process was killed
        self.stopping = False  # whether clients send no further request

    def stop_connecting(self) -> None:
        """Open no new connection, because the proxy is shutting down; open ones are still used."""
        self._may_connect = False

    def start_connecting(self) -> None:
        """Open new connections again."""
        self._may_connect = True

    async def use(self) -> None:
        """Send one request after the other on one connection, as long as it stays open."""
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self.stopping:
            fresh = connection is None
            if connection is None:
                connection = await self._connect()
            if connection is None:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            if not await self._request(*connection, fresh=fresh):
                connection[1].transport.abort()
                connection = None
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
        if connection is not None:
            connection[1].transport.abort()

    async def leave(self) -> None:
        """Send requests and close each connection before the response, now and then by a reset."""
        while not self.stopping:
            connection = await self._connect()
            if connection is not None:
                _, writer = connection
                record, data = self._new_request()
                with contextlib.suppress(OSError):
                    writer.write(data)
                    await asyncio.sleep(self._random.uniform(0.0, 0.05))
                    if self._random.random() < RESET_PROBABILITY:
                        writer.transport.abort()
                    writer.close()
                record.left_s = self._loop.time()
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    async def misbehave(self, group: HostileGroup) -> None:
        """Run the clients of a hostile group."""
        await asyncio.sleep(group.start_s)
        await asyncio.gather(*[self._misbehave(group.kind) for _ in range(group.clients)])

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        if not self._may_connect:
            return None
        try:
            return await asyncio.open_connection(*self._address)
        except OSError:
            return None

    def _new_request(self, deadline_ms: int | None = None) -> tuple[RequestRecord, bytes]:
        self._count += 1
        kind = self._random.choice(KINDS)
        deadline_ms = deadline_ms or self._random.randint(MIN_DEADLINE_MS, MAX_DEADLINE_MS)
        long = kind != "read" and self._random.random() < LONG_BODY_PROBABILITY
        request_id = f"q{self._count}"
        record = RequestRecord(kind, self._loop.time(), deadline_ms / 1000.0)
        self._ledger.requests[request_id] = record
        return record, encode_request(kind, request_id, deadline_ms, LONG_BODY if long else b"")

    async def _request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, fresh: bool
    ) -> bool:
        """Send one request and read its response; return whether the connection stays open."""
        record, data = self._new_request()
        request_id = next(reversed(self._ledger.requests))
        try:
            writer.write(data)
            async with asyncio.timeout(record.deadline_s + OWED_S):
                message = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            if not fresh and request_id not in self._ledger.executions:
                # The proxy closed the connection between two requests, and has not read this one: the client
                # sends it once more. Here the next request takes its place.
                del self._ledger.requests[request_id]
            record.excused = any(killed_s >= record.sent_s for killed_s in self.killed_at_s)
            return False
        record.status, record.body, record.answered_s = message.status, message.body, self._loop.time()
        return message.headers.get("connection") != "close"

    async def _misbehave(self, kind: str) -> None:
        if kind == "unread":
            await self._leave_unread()
            return
        connection = await self._connect()
        if connection is None:
            return
        reader, writer = connection
        try:
            with contextlib.suppress(OSError):
                started_s = self._loop.time()
                await _send_hostile(kind, reader, writer)
                if kind != "connect only":
                    await self._await_error(kind, reader, started_s)
        finally:
            writer.transport.abort()

    async def _await_error(self, kind: str, reader: asyncio.StreamReader, started_s: float) -> None:
        """Read until the proxy responds with an error or closes the connection."""
        try:
            async with asyncio.timeout(OWED_S + OWED_MARGIN_S):
                await reader.read(1)
        except TimeoutError:
            waited_s = self._loop.time() - started_s
            self._ledger.complaints.append(f"{kind}: no error or close within {waited_s:.1f} s")

    async def _leave_unread(self) -> None:
        """Send requests whose responses are never read."""
        with socket.socket() as client, contextlib.suppress(OSError):
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.settimeout(0.0)
            await self._loop.sock_connect(client, self._address)
            for number in range(200):
                client.send(b"GET /none/%d HTTP/1.1\r\nReq-Id: u\r\n\r\n" % number)
                await asyncio.sleep(0.005)


async def _send_hostile(kind: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    head = b"POST /post/1 HTTP/1.1\r\nReq-Id: hostile\r\n"
    match kind:
        case "half body":
            writer.write(head + b"Content-Length: 65536\r\n\r\n" + LONG_BODY)
        case "short fields":
            writer.write(head + SHORT_FIELDS)
        case "slow writer":
            writer.write(head + b"Content-Length: 65536\r\n\r\n")
            while not reader.at_eof() and not writer.is_closing():
                writer.write(LONG_BODY[:1500])
                await asyncio.sleep(0.1)
        case "flood":
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    while not writer.is_closing():
                        writer.write(b"GET /none/1 HTTP/1.1\r\nReq-Id: f\r\n\r\n" * 20)
                        await writer.drain()
                        await asyncio.sleep(0)  # `drain` alone lets no other task run
        case "short length":
            writer.write(head + b"Content-Length: 10\r\n\r\n" + LONG_BODY[:59])
        case "noise":
            writer.write(b"\x00 no request\r\n\r\n")
        case "connect only":
            await asyncio.sleep(1.0)
