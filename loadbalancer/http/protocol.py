"""Common parts of both sides of an HTTP connection: the transport, its end, and errors in callbacks."""

from __future__ import annotations

import asyncio
from abc import abstractmethod

from loadbalancer.http.byte_budget import ByteBudget
from loadbalancer.http.socket_state import shut_down_sending

RECEIVE_BYTES = 64 * 1024  # at most, in one read of one connection


def new_receive_buffer() -> memoryview:
    """A buffer for reads, which all connections of one owner may share: each read is handled at once."""
    return memoryview(bytearray(RECEIVE_BYTES))


class HttpProtocol(asyncio.BufferedProtocol):
    """One side of a connection. An error in handling received bytes ends this connection only."""

    _transport: asyncio.Transport  # set in `connection_made`

    def __init__(self, budget: ByteBudget, receive_buffer: memoryview) -> None:
        self._budget = budget
        self._receive_buffer = receive_buffer
        self._counted_bytes = 0  # that the budget has of this connection

    @property
    def peer(self) -> str:
        """The other end's address as `host:port`; "" if the connection is lost before it is known."""
        address = self._transport.get_extra_info("peername")
        return "{}:{}".format(*address) if address else ""

    @property
    def unsent_bytes(self) -> int:
        """Bytes that are not sent yet because the peer reads too slowly."""
        return self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and have it report when its write buffer is empty."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With a limit of 0, asyncio calls `resume_writing` as soon as all bytes are sent.
        transport.set_write_buffer_limits(high=0)

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Provide the buffer of the next read."""
        return self._receive_buffer

    def buffer_updated(self, size: int) -> None:
        """Handle the bytes that a read has stored in the buffer."""
        self.data_received(self._receive_buffer[:size])

    def data_received(self, data: bytes | memoryview) -> None:
        """Handle received bytes, which are valid only during the call."""
        try:
            self._receive(data)
        except Exception as error:
            # asyncio itself would close the connection, but it drops an OSError without a log line.
            context = {"message": "received bytes not handled", "exception": error, "protocol": self}
            asyncio.get_running_loop().call_exception_handler(context)
            self.abort()

    @property
    @abstractmethod
    def buffered_bytes(self) -> int:
        """Bytes of messages that the connection holds in the process."""

    @abstractmethod
    def abort(self) -> None:
        """Close at once and discard unsent bytes."""

    @abstractmethod
    def _receive(self, data: bytes | memoryview) -> None:
        """Handle received bytes."""

    def _count_buffered_bytes(self) -> None:
        """Report the bytes that are held now to the budget; called after each change."""
        buffered_bytes = self.buffered_bytes
        if buffered_bytes != self._counted_bytes:
            self._budget.change(buffered_bytes - self._counted_bytes)
            self._counted_bytes = buffered_bytes

    def _release_buffered_bytes(self) -> None:
        """Report to the budget that nothing is held any more, because the connection is lost."""
        self._budget.change(-self._counted_bytes)
        self._counted_bytes = 0

    def _end_sending(self) -> None:
        """End the sending side if all bytes are sent; abort the connection if its peer has closed it."""
        # asyncio's `write_eof` raises an error if the peer has closed the connection. The error would reach
        # any caller that responds to a request: a shutdown, the time-outs or the connection to an endpoint.
        if self._transport.is_closing() or self.unsent_bytes:
            return
        if not shut_down_sending(self._transport):
            self.abort()
