"""Free loopback ports that a server can bind again after a restart."""

from __future__ import annotations

import contextlib
import socket
import time
from pathlib import Path
from random import Random

LOWEST_PORT = 10_000
OUTGOING_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class InsufficientPortsError(OSError):
    """Fewer loopback ports are free than requested."""

    def __init__(self, requested: int, free: int) -> None:
        super().__init__(f"requested {requested} loopback ports below the outgoing range, found {free} free")
        self.requested = requested
        self.free = free


def first_outgoing_port() -> int:
    """Return the first port of the range that the machine uses for outgoing connections."""
    return int(OUTGOING_PORT_RANGE.read_text().split()[0])


def free_ports(count: int) -> list[int]:
    """Return distinct free loopback ports below the range of outgoing connections.

    While a server is down, a node that reconnects to it can get the server's own port as its outgoing port;
    the server then cannot bind the port and its restart fails. The kernel takes no outgoing port below the
    range, so ports from there stay available.

    Raises:
        InsufficientPortsError: Fewer than `count` ports are free.
    """
    candidates = list(range(LOWEST_PORT, first_outgoing_port()))
    Random(time.monotonic_ns()).shuffle(candidates)
    ports: list[int] = []
    for port in candidates:
        if len(ports) == count:
            return ports
        with socket.socket() as trial, contextlib.suppress(OSError):
            trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            trial.bind(("127.0.0.1", port))
            ports.append(port)
    if len(ports) < count:
        raise InsufficientPortsError(count, len(ports))
    return ports
