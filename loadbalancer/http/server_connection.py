"""One downstream connection: dispatches its requests one at a time and writes the response to each."""

from __future__ import annotations

from http import HTTPStatus

from loadbalancer.http.protocol import RECEIVE_BYTES
from loadbalancer.http.refusing_connection import RefusingConnection
from loadbalancer.http.request import HttpRequest
from loadbalancer.http.response_head import encode_response_head
from loadbalancer.http.socket_state import close_may_be_unread

READY_PATH = b"/up"
UNREAD_INPUT_TIMEOUT_S = 0.5  # for which a request waits while its client goes on sending
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
CLIENT_ERRORS = range(400, 500)  # statuses of responses to requests that are not valid


class ServerConnection(RefusingConnection):
    """The server side of a connection. Pipelined requests get their responses one after the other."""

    def respond(self, request: HttpRequest, status: int, body: bytes, retry_after_ms: float) -> None:
        """Write the response to the oldest request; no effect for another, or on a closing connection."""
        requests, registry = self._parser.requests, self._registry
        if self._transport.is_closing() or not requests or requests[0] is not request:
            return
        self.identified = self.identified or status not in CLIENT_ERRORS
        close = len(requests) == 1 and (not request.keep_alive or self._owner.draining or registry.over_limit)
        self._transport.write(encode_response_head(status, len(body), retry_after_ms, close=close) + body)
        requests.popleft()
        self._count_buffered_bytes()
        if close:
            self._close_after_response()
        elif self._owner.rejecting:
            self.reject_undispatched()
        elif self.unsent_bytes:
            # A client that reads no response would exhaust the memory. Its next request therefore waits.
            registry.move_to_phase(self, registry.unread)
            self._yield_memory()
        elif requests:
            self._owner.loop.call_soon(self._dispatch)
        else:
            self._end_request_phase()

    def resume_writing(self) -> None:
        """Continue once a response has been sent: with the end of the sending side, or the next request."""
        self._count_buffered_bytes()
        # asyncio would report a connection that is aborted within this callback as lost twice.
        if self._closing:
            self._owner.loop.call_soon(self._end_sending)
        else:
            self._owner.loop.call_soon(self._continue_after_unread_response)

    def _receive(self, data: bytes | memoryview) -> None:
        """Parse the received bytes and dispatch the first request."""
        parser, registry = self._parser, self._registry
        if self._closing or parser.fault is not None:
            # Bytes left unread would reset the connection at its end, and hide a disconnect.
            self._dispatch()
            return
        parser.feed(data)
        if parser.continue_expected:
            parser.continue_expected = False
            self._transport.write(CONTINUE_RESPONSE)
        if self.phase is not registry.unread:
            self._enter_phase_of_request()
        self._count_buffered_bytes()
        self._yield_memory()
        if self._owner.rejecting:
            self.reject_undispatched()
        if self._closing or self.phase is registry.unread:
            return
        if parser.requests:
            # After a short read that ends with the request, nothing is unread: that saves a system call.
            ends_with_request = parser.partial is None and parser.fault is None and len(parser.requests) == 1
            self._dispatch(all_read=ends_with_request and len(data) < RECEIVE_BYTES)
        elif parser.fault is not None:
            self._respond_to_fault(parser.fault)

    def eof_received(self) -> bool:
        """Treat the end of the client's stream as a disconnect."""
        self._closing = True
        self._parser.requests.cancel_all()
        self._count_buffered_bytes()
        # asyncio reports a lost connection only after all bytes are written, which never happens if the
        # client does not read. Its requests are therefore cancelled here, and a time-out ends the connection.
        if self.unsent_bytes:
            self._registry.move_to_phase(self, self._registry.lingering)
        return False

    def _dispatch(self, *, all_read: bool = False) -> None:
        """Dispatch the oldest request, unless it is dispatched; `all_read`: nothing is unread behind it."""
        requests = self._parser.requests
        unread = self.phase is self._registry.unread
        if self._closing or unread or not requests or requests[0].dispatched:
            return
        request = requests[0]
        if not all_read and not request.refused and close_may_be_unread(self._transport):
            # With a full receive window, a client's close arrives only after the bytes before it are read,
            # and the request would be forwarded although its client has disconnected. The next read
            # therefore dispatches the request, or the close cancels it. Trade-off: a client that never stops
            # sending gets 503 after a time.
            if self._waiting_for_input is not request:
                self._waiting_for_input = request
                self._owner.loop.call_later(UNREAD_INPUT_TIMEOUT_S, self._refuse_undispatched, request)
            return
        request.dispatched = True
        request.connection = self
        if request.refused:
            request.respond(HTTPStatus.SERVICE_UNAVAILABLE)
        elif request.target.partition(b"?")[0] == READY_PATH:
            request.respond(HTTPStatus.OK if self._owner.ready else HTTPStatus.SERVICE_UNAVAILABLE)
        else:
            self._owner.on_request(request)

    def _refuse_undispatched(self, request: HttpRequest) -> None:
        """Refuse a request that has waited too long for the end of its client's input."""
        requests = self._parser.requests
        if requests and requests[0] is request and not request.dispatched:
            request.refuse_unread()
            self._dispatch()

    def _continue_after_unread_response(self) -> None:
        """Dispatch the request that has waited until the client has read the response before it."""
        registry = self._registry
        if self._closing or self.phase is not registry.unread or self.unsent_bytes:
            return
        if self._parser.requests:
            registry.move_to_phase(self, None)
            self._dispatch()
        else:
            self._end_request_phase()

    def _end_request_phase(self) -> None:
        """Respond to a fault behind the last request, or enter the phase without an open request."""
        parser, registry = self._parser, self._registry
        if parser.fault is not None:
            self._respond_to_fault(parser.fault)
            return
        awaiting = parser.partial is not None or not self.identified
        registry.move_to_phase(self, registry.awaiting_request if awaiting else registry.idle)
