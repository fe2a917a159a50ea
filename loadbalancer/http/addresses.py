"""Network addresses of the form `host:port`."""

from __future__ import annotations

import socket
from typing import NamedTuple

MAX_PORT = 65535


class Address(NamedTuple):
    """An IP address and a port, in the form that asyncio takes as `*address`."""

    host: str  # an IPv4 or IPv6 address in its canonical form
    port: int


class AddressError(ValueError):
    """Text that is not an IP address and a port; `text` holds it."""

    def __init__(self, text: str, reason: str) -> None:
        super().__init__(reason)
        self.text = text


def parse_address(text: object) -> Address:
    """Parse `host:port`, where the host is an IPv4 or IPv6 address without brackets.

    Raises:
        AddressError: if the text has another form, or the host is a name.
    """
    address = str(text)
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise AddressError(address, f"{text!r} is not of the form host:port with a port from 0 to {MAX_PORT}")
    # Resolving a host name would occupy a thread for an unbounded time. Only numeric addresses are accepted.
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return Address(socket.inet_ntop(family, socket.inet_pton(family, host)), int(port))
    except OSError:
        raise AddressError(
            address, f"{host!r} is not an IPv4 or IPv6 address; host names and brackets are not accepted"
        ) from None


def socket_address(listening: socket.socket) -> Address:
    """Return the address that an IPv4 or IPv6 socket is bound to."""
    host, port = listening.getsockname()[:2]  # an IPv6 socket adds a flow label and a scope
    return Address(host, port)
