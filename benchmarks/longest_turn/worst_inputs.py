"""Worst-case inputs that the rules permit: endpoint lists, request floods, and the backends for them.

Each input is sent by a thread other than that of the proxy's event loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from benchmarks.support.membership import EndpointEntry
from loadbalancer.discovery.watch_connection import MAX_ENDPOINT_LIST_BYTES
from loadbalancer.http.addresses import Address
from loadbalancer.http.message_sizes import MAX_BODY_BYTES

FLOOD_S = 3.0
MIN_READ_S = 0.1  # the least time for which a connection reads, even at the end of the flood
PIPELINED_REQUESTS = 600
OPEN_REQUESTS = 1000  # during the replacement of a list
REQUEST_ADMISSION_S = 2.0  # time for the proxy to admit these requests
LISTEN_BACKLOG = 2048
RECEIVE_BYTES = 65_536
LARGE_PART_BYTES = 1 << 20
SMALL_PART_BYTES = 1400  # about the payload of a packet
MAX_LIST_FRACTION = 0.98  # of the size limit of a list
LIST_SIZE_STEP = 64  # endpoints, in the search for the largest list
LARGE_BODY_BYTES = 60_000_000
CHUNKS = 10_000_000
HEADER_LINES = 500_000
HEADER_VALUE_BYTES = 4_000_000
FIRST_REPLACEMENT_NUMBER = 5000  # the number of the first endpoint of the list that replaces another

# Sends an input to the proxy's address; the socket is the listener that the proxy's watch connects to.
InputSender = Callable[[Address, socket.socket], None]


class EndpointListSizeError(ValueError):
    """An endpoint list is larger than a proxy accepts."""

    def __init__(self, size: int) -> None:
        super().__init__(f"endpoint list has {size} bytes, a proxy accepts at most {MAX_ENDPOINT_LIST_BYTES}")
        self.size = size


@dataclass(frozen=True, slots=True)
class WorstInput:
    """One worst-case input."""

    name: str
    cached_endpoints: int  # in the cached list of the proxy's configuration
    send: InputSender


def endpoint_entries(count: int, port: int, first: int = 0) -> list[EndpointEntry]:
    """Return ready endpoints numbered from `first`, all at the same loopback port."""
    return [
        {
            "uid": f"s{number}",
            "endpoint": f"127.0.0.1:{port}",
            "az": "ab"[number % 2],
            "model": "m2",
            "pod_group": number % 9,
            "state": "Ready",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for number in range(first, first + count)
    ]


def list_response(revision: int, entries: list[EndpointEntry]) -> bytes:
    """Return the response to a watch with a complete list.

    Raises:
        EndpointListSizeError: The response is larger than a proxy accepts.
    """
    body = json.dumps({"rev": revision, "all": True, "targets": entries}, indent=4).encode()
    if len(body) > MAX_ENDPOINT_LIST_BYTES:
        raise EndpointListSizeError(len(body))
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def largest_list_size(port: int) -> int:
    """Return the approximate number of endpoints of the largest list that a proxy accepts."""
    bytes_per_endpoint = len(list_response(2, endpoint_entries(LIST_SIZE_STEP, port))) / LIST_SIZE_STEP
    size = 0
    while bytes_per_endpoint * (size + LIST_SIZE_STEP) < MAX_LIST_FRACTION * MAX_ENDPOINT_LIST_BYTES:
        size += LIST_SIZE_STEP
    return size


class BackendThread(threading.Thread):
    """A backend that responds to each request with the largest body, but never to one for /hold."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        self.port: int = self._listener.getsockname()[1]

    def run(self) -> None:
        """Serve until the process ends."""
        asyncio.run(self._serve())

    async def _serve(self) -> None:
        await asyncio.start_server(self._serve_connection, sock=self._listener)
        await asyncio.Event().wait()

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES + b"y" * MAX_BODY_BYTES
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"/hold" in head.split(b"\r\n")[0]:
                    continue
                _, _, length = head.lower().partition(b"content-length: ")
                await reader.readexactly(int(length.split(b"\r\n")[0] or 0))
                writer.write(response)
                await writer.drain()
        writer.close()


def get_request(request_id: str, path: str = "read/1") -> bytes:
    """Return a GET request."""
    return f"GET /{path} HTTP/1.1\r\nHost: x\r\nReq-Id: {request_id}\r\n\r\n".encode()


def post_request(request_id: str) -> bytes:
    """Return a POST request with the largest body."""
    head = f"POST /post/1 HTTP/1.1\r\nHost: x\r\nReq-Id: {request_id}\r\nContent-Length: {MAX_BODY_BYTES}"
    return f"{head}\r\n\r\n".encode() + b"x" * MAX_BODY_BYTES


def flood(address: Address, payload: Callable[[], bytes], connections: int) -> None:
    """Send at full speed for `FLOOD_S` and read the responses; each closed connection is replaced."""
    deadline = time.monotonic() + FLOOD_S

    async def flood_connection() -> None:
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*address)
                reading = asyncio.create_task(reader.read())
                writer.write(payload())
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reading, max(MIN_READ_S, deadline - time.monotonic()))
                writer.transport.abort()

    async def flood_all() -> None:
        await asyncio.gather(*(flood_connection() for _ in range(connections)))

    asyncio.run(flood_all())


def respond_to_watch(response: bytes, part_bytes: int, discovery: socket.socket) -> None:
    """Respond to the next watch in parts, and wait for its next poll, after it has applied the list."""
    connection, _ = discovery.accept()
    with connection, contextlib.suppress(OSError):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.recv(RECEIVE_BYTES)
        for start in range(0, len(response), part_bytes):
            connection.sendall(response[start : start + part_bytes])
        connection.recv(RECEIVE_BYTES)


def list_inputs(port: int) -> Iterator[WorstInput]:
    """Yield the inputs from discovery; all endpoints are at this loopback port."""
    size = largest_list_size(port)
    largest = list_response(2, endpoint_entries(size, port))
    replacement = list_response(2, endpoint_entries(1000, port, FIRST_REPLACEMENT_NUMBER))

    def watch(part_bytes: int) -> InputSender:
        return lambda _, discovery: respond_to_watch(largest, part_bytes, discovery)

    def replace_under_load(address: Address, discovery: socket.socket) -> None:
        connections = [socket.create_connection(address) for _ in range(OPEN_REQUESTS)]
        for number, connection in enumerate(connections):
            connection.sendall(get_request(f"h{number}", "read/hold"))
        time.sleep(REQUEST_ADMISSION_S)
        respond_to_watch(replacement, LARGE_PART_BYTES, discovery)
        for connection in connections:
            connection.close()

    name = f"{len(largest) >> 20} MB list of {size} servers"
    yield WorstInput(f"{name}, at once", 13, watch(len(largest)))
    yield WorstInput(f"{name}, in parts of 1,400 bytes", 13, watch(SMALL_PART_BYTES))
    yield WorstInput(f"{name}, all of them in the cached list", size, watch(LARGE_PART_BYTES))
    yield WorstInput("list replacing 1,000 servers, 1,000 requests open", 1000, replace_under_load)


def flood_inputs() -> Iterator[WorstInput]:
    """Yield the inputs from clients."""
    numbers = itertools.count()
    large = b"POST /post/1 HTTP/1.1\r\nReq-Id: b\r\nContent-Length: %d\r\n\r\n" % LARGE_BODY_BYTES
    large += bytes(LARGE_BODY_BYTES)
    chunked = b"POST /post/1 HTTP/1.1\r\nReq-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunked += b"1\r\nx\r\n" * CHUNKS
    headers = b"GET /read/1 HTTP/1.1\r\n" + b"X-A: b\r\n" * HEADER_LINES
    header = b"GET /read/1 HTTP/1.1\r\nX-A: " + b"y" * HEADER_VALUE_BYTES

    def clients(payload: Callable[[], bytes], connections: int) -> InputSender:
        return lambda address, _: flood(address, payload, connections)

    def post() -> bytes:
        return post_request(f"p{next(numbers)}")

    def pipelined() -> bytes:
        return b"".join(get_request(f"g{next(numbers)}") for _ in range(PIPELINED_REQUESTS))

    def pipelined_bad() -> bytes:
        return get_request("b", "none") * PIPELINED_REQUESTS

    yield WorstInput("400 bodies of 64 KiB at once, responses as long", 200, clients(post, 400))
    yield WorstInput("60 MB bodies from 8 clients at full speed", 13, clients(lambda: large, 8))
    yield WorstInput("60 MB chunked from 8 clients at full speed", 13, clients(lambda: chunked, 8))
    yield WorstInput("600 pipelined requests from 50 clients", 200, clients(pipelined, 50))
    yield WorstInput("600 pipelined bad requests from 50 clients", 13, clients(pipelined_bad, 50))
    yield WorstInput("endless heads from 50 clients", 13, clients(lambda: headers, 50))
    yield WorstInput("one endless header from 50 clients", 13, clients(lambda: header, 50))
