"""The state of a socket in the kernel, which the event loop may not have delivered yet."""

from __future__ import annotations

import asyncio
import select


def is_readable(fileno: int) -> bool:
    """Whether reading would return bytes, the end of the stream or an error at once.

    For a listening socket: whether a connection waits to be accepted.
    """
    return _has_event(fileno, select.POLLIN | select.POLLRDHUP)


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, the end of the stream or an error have arrived that the event loop has not delivered."""
    return is_readable(transport.get_extra_info("socket").fileno())


def peer_has_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has shut down its sending side or the connection, even if bytes are still unread."""
    return _has_event(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)


def _has_event(fileno: int, events: int) -> bool:
    poll = select.poll()
    poll.register(fileno, events)
    return bool(poll.poll(0))
