"""The responses that end a downstream connection, and its end after its last response."""

from __future__ import annotations

from http import HTTPStatus

from loadbalancer.http.close_reason import CloseReason
from loadbalancer.http.downstream_connection import DownstreamConnection
from loadbalancer.http.response_head import encode_response_head

# Why a connection is closed after a response with this status to bytes that do not become a request.
REASONS_BY_STATUS = {
    HTTPStatus.REQUEST_TIMEOUT: CloseReason.REQUEST_TIMEOUT,
    HTTPStatus.SERVICE_UNAVAILABLE: CloseReason.MEMORY,
}


class RefusingConnection(DownstreamConnection):
    """A downstream connection that refuses what it has received and not passed on."""

    def refuse_partial_request(self) -> None:
        """Respond with 503 to a request that is partly received, discard it and end the connection."""
        self._parser.refuse_rest(HTTPStatus.SERVICE_UNAVAILABLE)
        self._respond_to_fault(HTTPStatus.SERVICE_UNAVAILABLE)

    def reject_undispatched(self) -> None:
        """Respond with 503 to the requests that wait, unless one is dispatched, and end the connection."""
        parser, requests = self._parser, self._parser.requests
        if self._closing or self._transport.is_closing() or not requests or requests[0].dispatched:
            return
        self._registry.on_close(self, CloseReason.SHUTDOWN)
        statuses = [HTTPStatus.SERVICE_UNAVAILABLE] * len(requests)
        if parser.fault is not None:
            statuses.append(parser.fault)
        requests.clear()
        # All responses go out in one write. If each request were dispatched in an iteration of the event loop
        # of its own, some could still wait when the process ends.
        not_last = encode_response_head(HTTPStatus.SERVICE_UNAVAILABLE, 0, 0.0, close=False)
        last = encode_response_head(statuses[-1], 0, 0.0, close=True)
        self._transport.write(not_last * (len(statuses) - 1) + last)
        self._close_after_response()

    def expire(self) -> None:
        """End the connection on the time-out of its phase, with 408 if a request is partly received."""
        if self._closing:
            self.abort()
        elif self._parser.partial is not None:
            self._respond_to_fault(HTTPStatus.REQUEST_TIMEOUT)
        else:
            idle = self.phase is self._registry.idle
            self.close_if_idle(CloseReason.IDLE_TIMEOUT if idle else CloseReason.NO_REQUEST)

    def _respond_to_fault(self, status: HTTPStatus) -> None:
        """Respond to bytes that do not become a request, and end the connection."""
        self._registry.on_close(self, REASONS_BY_STATUS.get(status, CloseReason.MALFORMED))
        self._transport.write(encode_response_head(status, 0, 0.0, close=True))
        self._close_after_response()

    def _close_after_response(self) -> None:
        """End the sending side once the response is sent, and linger."""
        # Closing a socket with unread bytes resets the connection, and the client loses the response. Bytes
        # that the client still sends are therefore read and discarded until the time-out of the phase.
        self._closing = True
        self._parser.discard_partial()
        self._count_buffered_bytes()
        if not self._transport.is_closing():
            self._registry.move_to_phase(self, self._registry.lingering)
            self._end_sending()
