"""A received request and the interface of the connection that carries its response. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

OBJECT_BYTES = 1024  # of the objects of one request, without the bytes of its head and body


class RequestConnection(Protocol):
    """The interface of a request's downstream connection for the code that handles the request."""

    @property
    def context(self) -> object:
        """The context of the listening socket that accepted the connection."""

    @property
    def is_open(self) -> bool:
        """Whether the connection is neither lost nor aborted."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that are not sent yet because the client reads too slowly."""

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not delivered that yet."""

    def abort(self) -> None:
        """Close at once and discard unsent bytes."""

    def respond(self, request: HttpRequest, status: int, body: bytes, retry_after_ms: float) -> None:
        """Write the response to the oldest open request of the connection; at most once for each request."""


@dataclass(slots=True, eq=False, repr=False)
class HttpRequest:
    """One request and the connection that carries its response."""

    connection: RequestConnection = field(init=False)  # set when the request is dispatched
    received_at: float = 0.0  # the event loop's time in seconds at which the last byte is parsed
    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # the ones that are read, by lower-case name
    body: bytearray = field(default_factory=bytearray)
    head_bytes: int = 0  # of the target and of the names and values of the headers
    keep_alive: bool = True
    refused: bool = False  # its content is released, and its response is 503
    dispatched: bool = False
    responded: bool = False
    on_disconnect: Callable[[], None] | None = None  # called if the client disconnects before the response

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the request that are held in the process."""
        return OBJECT_BYTES + self.head_bytes + len(self.body)

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not delivered that yet."""
        return self.connection.client_disconnected

    def respond(self, status: int, body: bytes = b"", retry_after_ms: float = 0.0) -> None:
        """Send the final response; no effect if the request already has one.

        A `retry_after_ms` above 0 is sent as Retry-After.
        """
        if not self.responded:
            self.responded = True
            self.on_disconnect = None  # it may refer back to this request, which would form a reference cycle
            self._release_body()
            self.connection.respond(self, status, body, retry_after_ms)

    def cancel(self) -> None:
        """End the request without a response, because its client has disconnected."""
        self.responded = True
        if self.on_disconnect is not None:
            self.on_disconnect()
            self.on_disconnect = None
        self._release_body()

    def refuse_unread(self) -> None:
        """Release the content of a request that nobody has seen; its response will be 503."""
        self.refused = True
        self.target, self.headers, self.head_bytes = b"", {}, 0
        self._release_body()

    def _release_body(self) -> None:
        # An attempt that may not be cancelled keeps the request until its own end.
        self.body = bytearray()
