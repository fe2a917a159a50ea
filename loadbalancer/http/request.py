"""A request as a server receives it, and the connection that its response goes to. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol


class RequestConnection(Protocol):
    """The downstream connection of a request, as the owner of the request sees it."""

    @property
    def context(self) -> object:
        """The context of the listening socket that accepted the connection."""

    @property
    def is_open(self) -> bool:
        """Whether the connection has been neither lost nor aborted."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that wait for the client to read."""

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not delivered that yet."""

    def abort(self) -> None:
        """Close at once, and discard unsent bytes."""

    def respond(self, request: HttpRequest, status: int, body: bytes, retry_after_ms: float) -> None:
        """Write the response to the first request of the connection; at most once for each request."""


@dataclass(slots=True, eq=False, repr=False)
class HttpRequest:
    """One complete request and the connection that its response goes to."""

    connection: RequestConnection = field(init=False)  # set when the request is dispatched
    received_at: float = 0.0  # the event loop's time of its last byte, in seconds
    method: bytes = b""
    target: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # by lower-case name
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = True
    dispatched: bool = False
    responded: bool = False
    on_disconnect: Callable[[], None] | None = None  # called if the client disconnects before the response

    @property
    def client_disconnected(self) -> bool:
        """Whether the client has disconnected, even if the event loop has not delivered that yet."""
        return self.connection.client_disconnected

    def respond(self, status: int, body: bytes = b"", retry_after_ms: float = 0.0) -> None:
        """Send the final response; no effect if the request has had one.

        A `retry_after_ms` above 0 is sent as Retry-After.
        """
        if not self.responded:
            self.responded = True
            self.on_disconnect = None  # it refers to what refers to this request
            self.connection.respond(self, status, body, retry_after_ms)

    def cancel(self) -> None:
        """End the request without a response, because its client has disconnected."""
        self.responded = True
        if self.on_disconnect is not None:
            self.on_disconnect()
            self.on_disconnect = None
