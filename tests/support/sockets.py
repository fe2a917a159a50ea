"""Blocking sockets and listeners that do not accept, on the loopback address, without the event loop."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Iterator

from loadbalancer.http.addresses import Address

FILLERS = 4  # connections that fill an accept queue of length 0


def start_connect(address: Address) -> socket.socket:
    """Start to connect: on loopback this succeeds at once, unless the accept queue is full."""
    connecting = socket.socket()
    connecting.setblocking(False)
    connecting.connect_ex(address)
    return connecting


@contextlib.contextmanager
def full_accept_queue(listener: socket.socket) -> Iterator[None]:
    """Listen on a bound socket with a full accept queue: within the context no connection is established."""
    listener.listen(0)
    with contextlib.ExitStack() as fillers:
        for _ in range(FILLERS):
            fillers.enter_context(start_connect(listener.getsockname()))
        yield


@contextlib.contextmanager
def unaccepting_listener() -> Iterator[socket.socket]:
    """A listener to which no connection is established."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        with full_accept_queue(listener):
            yield listener


def close_by_reset(connected: socket.socket) -> None:
    """Close a connection with a reset instead of an end of stream."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connected.close()
