"""The state of a socket in the kernel, which the event loop may not have delivered yet, and its shutdown."""

from __future__ import annotations

import asyncio
import select
import socket


def is_readable(fileno: int) -> bool:
    """Whether reading would return bytes, the end of the stream or an error at once.

    For a listening socket: whether a connection waits to be accepted.
    """
    return _has_event(fileno, select.POLLIN | select.POLLRDHUP)


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, the end of the stream or an error have arrived that the event loop has not delivered."""
    return is_readable(transport.get_extra_info("socket").fileno())


def close_may_be_unread(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes are unread, and the end of the stream may follow them without having arrived yet.

    False if the end has arrived: `peer_has_closed` shows it then.
    """
    events = _events(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    return events == select.POLLIN


def peer_has_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has shut down its sending side or the connection, even if bytes are still unread."""
    return _has_event(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)


def shut_down_sending(transport: asyncio.BaseTransport) -> bool:
    """Shut down the sending side of a transport's socket; return False if the connection is lost.

    Unlike `asyncio.WriteTransport.write_eof`, it raises nothing. Bytes in the transport's write
    buffer are not sent afterwards.
    """
    # A peer that has closed its socket responds to further bytes with a reset. If the reset arrives before
    # the shutdown, the shutdown fails with ENOTCONN; on one machine it arrives within the system call that
    # writes the bytes. `is_closing` is false then, since the event loop has not delivered the close yet.
    try:
        transport.get_extra_info("socket").shutdown(socket.SHUT_WR)
    except OSError:
        return False
    return True


def _has_event(fileno: int, events: int) -> bool:
    return _events(fileno, events) != 0


def _events(fileno: int, events: int) -> int:
    """Those of the events that have occurred, and errors."""
    poll = select.poll()
    poll.register(fileno, events)
    found = poll.poll(0)
    return found[0][1] if found else 0
