"""Checks on the transports that asyncio gives to protocols."""

from __future__ import annotations

import asyncio


def require_stream_transport(transport: asyncio.BaseTransport) -> asyncio.Transport:
    """Return the transport as one of a byte stream.

    Raises:
        TypeError: It is of another kind.
    """
    if not isinstance(transport, asyncio.Transport):
        raise TypeError(f"a stream transport is needed, not {type(transport).__name__}")
    return transport
