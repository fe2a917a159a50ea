"""Type checks of the transports that asyncio passes to protocols."""

from __future__ import annotations

import asyncio


def require_stream_transport(transport: asyncio.BaseTransport) -> asyncio.Transport:
    """Return the transport if it is a byte-stream transport.

    Raises:
        TypeError: The transport has another type.
    """
    if not isinstance(transport, asyncio.Transport):
        raise TypeError(f"expected a byte-stream transport, found {type(transport).__name__}")
    return transport
