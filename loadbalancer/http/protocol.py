"""Common parts of both sides of an HTTP connection: the transport, its end, and errors in callbacks."""

from __future__ import annotations

import asyncio
from abc import abstractmethod

from loadbalancer.http.socket_state import shut_down_sending


class HttpProtocol(asyncio.Protocol):
    """One side of a connection. An error in handling received bytes ends this connection only."""

    _transport: asyncio.Transport  # set in `connection_made`

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

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        try:
            self._receive(data)
        except Exception as error:
            # asyncio itself would close the connection, but it drops an OSError without a log line.
            context = {"message": "received bytes not handled", "exception": error, "protocol": self}
            asyncio.get_running_loop().call_exception_handler(context)
            self.abort()

    @abstractmethod
    def abort(self) -> None:
        """Close at once and discard unsent bytes."""

    @abstractmethod
    def _receive(self, data: bytes) -> None:
        """Handle received bytes."""

    def _end_sending(self) -> None:
        """End the sending side if all bytes are sent; abort the connection if its peer has closed it."""
        # asyncio's `write_eof` raises an error if the peer has closed the connection. The error would reach
        # any caller that responds to a request: a shutdown, the time-outs or the connection to an endpoint.
        if self._transport.is_closing() or self.unsent_bytes:
            return
        if not shut_down_sending(self._transport):
            self.abort()
