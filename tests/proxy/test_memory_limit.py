"""A proxy process stays within its memory limit, whatever its clients send, hold back or leave unread."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from itertools import islice, product
from pathlib import Path
from string import ascii_lowercase

import pytest

from loadbalancer.http.addresses import Address
from tests.support.loopback import LoopbackServer, ScriptedDiscovery, always
from tests.support.messages import request, response_bytes, targets
from tests.support.program import (
    READINESS_REQUEST,
    free_address,
    running_program,
    send_until_response,
    write_config,
)
from tests.support.proxy_config import config_document

pytestmark = pytest.mark.usefixtures("descriptors_for_clients")

LEAST_MEMORY_MB = 32  # the least memory and the most descriptors that the platform's pages name
MOST_DESCRIPTORS = 1024
CLIENTS = 550  # fewer than the connections that these descriptors allow
UNREAD_S = 2.0  # for which a response stays unread, so that those of many clients do at once
MOST_ATTEMPTS = 50
SERVED = b"HTTP/1.1 200"
UNREAD_REQUESTS = 1000
UNREAD_PAUSE_S = 0.002
LARGE_BODY = b"b" * 65536
LARGE_RESPONSE = response_bytes(body=LARGE_BODY)
HALF_RESPONSE = LARGE_RESPONSE[:-1]
ENDPOINTS = 200  # enough for attempts in flight on all connections to endpoints


def short_fields(count: int) -> bytes:
    """Header lines with different names of three letters, and no values."""
    names = islice(product(ascii_lowercase, repeat=3), count)
    return b"".join("{}{}{}:\r\n".format(*name).encode() for name in names)


HEAD = b"POST /post/1 HTTP/1.1\r\nHost: x\r\nReq-Id: %d\r\n"
HALF_BODY = HEAD + b"Content-Length: 65536\r\n\r\n" + LARGE_BODY[:-1]
HALF_CHUNKED_BODY = HEAD + b"Transfer-Encoding: chunked\r\n\r\nffff\r\n" + LARGE_BODY[:65534]
HEAD_OF_SHORT_FIELDS = HEAD + short_fields(5000)
PIPELINED_SHORT_FIELDS = 20 * (HEAD + short_fields(5000) + b"Content-Length: 0\r\n\r\n")
PIPELINED_BODIES = 20 * (HEAD + b"Content-Length: 30000\r\n\r\n" + LARGE_BODY[:30000])


async def send_and_wait(address: Address, number: int, data: bytes) -> None:
    """Send the bytes and wait for an error or for the end of the connection."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data.replace(b"%d", b"%d" % number))
            await reader.read(1)
        finally:
            writer.transport.abort()


async def write_slowly(address: Address, number: int, data: bytes) -> None:
    """Send the bytes in small pieces, as long as the connection is open."""
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*address)
        end = asyncio.ensure_future(reader.read(1))
        try:
            for start in range(0, len(data), 2000):
                writer.write(data[start : start + 2000])
                await asyncio.wait({end}, timeout=0.05)
                if end.done():
                    return
            await end
        finally:
            end.cancel()
            writer.transport.abort()


async def read_one_byte(address: Address, number: int, data: bytes) -> None:
    """Retry a request until it is served, and read the first byte of the response; the rest stays unread."""
    loop = asyncio.get_running_loop()
    for attempt in range(MOST_ATTEMPTS):
        with socket.socket() as client, contextlib.suppress(OSError):
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.setblocking(False)
            await loop.sock_connect(client, address)
            client.send(data.replace(b"%d", b"%d-%d" % (number, attempt)))
            if await loop.sock_recv(client, len(SERVED)) == SERVED:
                await asyncio.sleep(UNREAD_S)
                return


async def read_nothing(address: Address, number: int, data: bytes) -> None:
    """Send requests one after the other, faster than their responses are read, which is never."""
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, address)
        with contextlib.suppress(OSError):
            for index in range(UNREAD_REQUESTS):
                client.send(data.replace(b"%d", b"%d-%d" % (number, index)))
                await asyncio.sleep(UNREAD_PAUSE_S)


ClientScript = Callable[[Address, int, bytes], Awaitable[None]]
CASES = [
    pytest.param(CLIENTS, send_and_wait, HALF_BODY, id="half bodies"),
    pytest.param(CLIENTS, send_and_wait, HALF_CHUNKED_BODY, id="half chunked bodies"),
    pytest.param(CLIENTS, write_slowly, HALF_BODY, id="slow bodies"),
    pytest.param(CLIENTS, send_and_wait, HEAD_OF_SHORT_FIELDS, id="heads of short fields"),
    pytest.param(CLIENTS, send_and_wait, PIPELINED_SHORT_FIELDS, id="pipelined heads of short fields"),
    pytest.param(CLIENTS, send_and_wait, PIPELINED_BODIES, id="pipelined bodies"),
    pytest.param(8, read_nothing, request(name="%d"), id="unread responses"),
    pytest.param(CLIENTS, read_one_byte, request(name="%d"), id="one unread response of each client"),
    pytest.param(8, read_nothing, request("none", name="%d"), id="unread errors"),
]


def peak_memory_mb(pid: int) -> float:
    """The most resident memory that a process has had, mapped files included."""
    found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert found is not None, f"process {pid} has ended"
    return int(found[1]) / 1024


@contextlib.asynccontextmanager
async def smallest_proxy(
    folder: Path, response: bytes = LARGE_RESPONSE, endpoints: int = 1
) -> AsyncIterator[tuple[int, Address]]:
    """A proxy process with the least memory and the most descriptors; its process id and address."""
    address = free_address()
    backend = LoopbackServer(always(response))
    async with backend, ScriptedDiscovery() as discovery:
        known = {f"s{number}": (backend.endpoint, "Ready") for number in range(endpoints)}
        document = config_document(
            discovery.endpoint,
            known=targets(**known),
            bounds={"maxOpen": 2000},
            limits={"cores": 1.0, "memory_mb": LEAST_MEMORY_MB, "sockets": MOST_DESCRIPTORS},
        )
        with running_program(write_config(folder, document, address), MOST_DESCRIPTORS) as program:
            await send_until_response(address, READINESS_REQUEST)
            yield program.pid, address


@pytest.mark.parametrize(("clients", "script", "data"), CASES)
async def test_process_stays_within_the_least_memory(
    clients: int, script: ClientScript, data: bytes, tmp_path
):
    """Guards against what clients leave incomplete or unread being held without a common limit."""
    async with smallest_proxy(tmp_path) as (pid, address):
        await asyncio.gather(*[script(address, number, data) for number in range(clients)])
        assert (await send_until_response(address, request(name="usual"))).status == 200
        assert peak_memory_mb(pid) < LEAST_MEMORY_MB


async def test_process_stays_within_the_least_memory_while_responses_are_incomplete(tmp_path):
    """Guards against the sum of responses that endpoints leave incomplete."""
    async with smallest_proxy(tmp_path, HALF_RESPONSE, ENDPOINTS) as (pid, address):
        requests = [request(name=f"q{number}", Req_Deadline_Ms="2000") for number in range(CLIENTS)]
        responses = await asyncio.gather(*[send_until_response(address, data) for data in requests])
        assert {response.status for response in responses} <= {502, 503, 504}
        assert peak_memory_mb(pid) < LEAST_MEMORY_MB
