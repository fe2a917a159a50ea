"""The client side of an HTTP connection: one exchange at a time; no request is sent twice."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from loadbalancer.http.byte_budget import ByteBudget
from loadbalancer.http.message_sizes import MAX_BODY_BYTES
from loadbalancer.http.protocol import HttpProtocol, new_receive_buffer
from loadbalancer.http.response_parser import HttpResponse, ResponseParser
from loadbalancer.http.socket_state import has_unread_data, shut_down_sending

__all__ = ["ClientConnection", "Exchange", "HttpResponse"]


class Exchange(Protocol):
    """The callbacks of one request: exactly one is called, once, unless the owner aborts the connection."""

    def on_response(self, response: HttpResponse) -> None:
        """Handle the complete response; the connection may be used again if it is `reusable`."""

    def on_connection_lost(self, *, request_written: bool) -> None:
        """Handle the end of the connection without a complete response.

        Args:
            request_written: Whether the complete request has been written to the socket.
        """


class ClientConnection(HttpProtocol):
    """The client side of a connection; `on_closed` is called when it is lost.

    A response that the parser finds unusable ends the connection at once.
    """

    def __init__(
        self,
        on_closed: Callable[[ClientConnection], None],
        max_body_bytes: int = MAX_BODY_BYTES,
        budget: ByteBudget | None = None,
        receive_buffer: memoryview | None = None,
        *,
        tolerates_trailing_bytes: bool = False,
    ) -> None:
        """A connection whose messages count against the budget, if there is one.

        Connections may share a receive buffer; without one the connection has its own. Trailing bytes can be
        tolerated where a body itself shows whether it is complete.
        """
        super().__init__(budget or ByteBudget(), receive_buffer or new_receive_buffer())
        self.idle_since = 0.0  # the event loop's time in seconds; written and read by the owner
        self._on_closed = on_closed
        self._parser = ResponseParser(max_body_bytes, tolerates_trailing_bytes=tolerates_trailing_bytes)
        self._exchange: Exchange | None = None
        self._request_written = True
        self._ended = False  # by either end; the transport may still be open

    @property
    def persistent(self) -> bool:
        """Whether the connection stays open for another request, as far as the event loop has reported."""
        return (
            not self._ended
            and not self._parser.unusable
            and self._exchange is None
            and not self._transport.is_closing()
        )

    @property
    def reusable(self) -> bool:
        """Whether a new request may be sent on this connection now."""
        # If the server's end of stream has arrived but the event loop has not delivered it yet, a request
        # sent now ends in a reset. The socket itself is therefore checked.
        return self.persistent and not has_unread_data(self._transport)

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the current request and response that the connection holds in the process."""
        return self._parser.buffered_bytes + self.unsent_bytes

    @property
    def request_written(self) -> bool:
        """Whether the complete current request has been written to the socket."""
        return self._request_written

    def send_request(self, data: bytes, exchange: Exchange) -> None:
        """Start an exchange on a `reusable` connection; `data` is the complete encoded request."""
        assert self._exchange is None
        self._exchange = exchange
        self._parser.start_response()
        self._transport.write(data)
        # A write that fails at once empties the buffer and closes the transport, although no byte is sent. A
        # request on a closing transport therefore counts as not written.
        self._request_written = (
            not self._transport.is_closing() and not self._transport.get_write_buffer_size()
        )
        if not self._request_written:
            self._count_buffered_bytes()

    def abort(self) -> None:
        """Close at once and discard unsent bytes; the exchange, if any, gets no further callback."""
        self._exchange = None
        self._ended = True
        # asyncio closes the socket in the next iteration of the event loop, after the requests that are sent
        # on other connections in this one, so that an abandoned attempt and the next one would be open at the
        # same time. The sending side is therefore shut down at once.
        shut_down_sending(self._transport)
        self._transport.abort()
        # asyncio reports the end one iteration later. Until then, hundreds of connections that are aborted in
        # one iteration would keep the responses that they have partly received.
        self._parser.discard_response()
        if self._counted_bytes:
            self._count_buffered_bytes()

    def resume_writing(self) -> None:
        """Record that the complete request has been written to the socket."""
        # asyncio discards its write buffer before it calls `connection_lost`, so that its size does not show
        # then whether the request is written.
        self._request_written = True
        self._count_buffered_bytes()

    def _receive(self, data: bytes | memoryview) -> None:
        """Parse the received bytes; end the exchange when its response is complete or unusable."""
        parser, exchange = self._parser, self._exchange
        if exchange is None:  # unsolicited bytes would become the response to the next request
            self.abort()
            return
        parser.feed(data)
        if parser.complete and not self._may_be_cut():
            self._deliver_response(exchange)  # nothing of it stays, so that it need not be counted
            return
        self._count_buffered_bytes()
        if parser.complete:  # the next read decides, in the next iteration of the event loop
            return
        if parser.unusable or not self._budget.allows_responses:
            self._fail_exchange()

    def eof_received(self) -> bool:
        """Deliver a response that ends with the stream; asyncio then closes the connection."""
        self._ended = True
        exchange = self._exchange
        if exchange is not None:
            self._parser.feed_end_of_stream()
            if self._parser.complete:
                self._deliver_response(exchange)
        return False

    def connection_lost(self, _exc: Exception | None) -> None:
        """Notify the owner, and fail the exchange."""
        self._ended = True
        self._release_buffered_bytes()
        self._on_closed(self)
        if self._parser.complete and self._exchange is not None:
            self._deliver_response(self._exchange)
        else:
            self._fail_exchange()
        self._parser.close()

    def _may_be_cut(self) -> bool:
        """Whether bytes are unread behind the complete response, which may be the rest of its body."""
        return not self._parser.tolerates_trailing_bytes and has_unread_data(self._transport)

    def _deliver_response(self, exchange: Exchange) -> None:
        self._exchange = None
        response = self._parser.take_response()
        # If the server responds early, the unsent rest of the request would precede the next request.
        if self._parser.unusable or not self._request_written:
            self.abort()
        if self._counted_bytes:
            self._count_buffered_bytes()
        exchange.on_response(response)

    def _fail_exchange(self) -> None:
        exchange = self._exchange
        self.abort()
        if exchange is not None:
            exchange.on_connection_lost(request_written=self._request_written)
