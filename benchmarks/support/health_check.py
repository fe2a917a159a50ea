"""HTTP health checks of servers under test."""

from __future__ import annotations

import asyncio

from loadbalancer.http.addresses import Address


async def responds_ok(address: Address, path: str) -> bool:
    """Return whether a GET request for this path gets a response with status 200.

    Raises:
        OSError: Nothing accepts connections at the address.
    """
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: benchmark\r\nConnection: close\r\n\r\n".encode())
        status_line = await reader.readline()
    finally:
        writer.close()
    return b" 200 " in status_line
