"""The proxy's watch client over a connection that counts bytes."""

from __future__ import annotations

import time

from loadbalancer.discovery import watch_connection
from loadbalancer.discovery.watch_client import WatchClient
from loadbalancer.http.client_connection import ClientConnection, Exchange


class MeteredConnection(ClientConnection):
    """A watch's connection to its list server, which counts bytes and records when they arrive."""

    received_bytes = 0  # total of all connections of the process
    sent_bytes = 0  # total of all connections of the process
    read_at_s = 0.0  # when the last bytes arrived
    response_bytes = 0  # of the last response, including its head

    def send_request(self, data: bytes, exchange: Exchange) -> None:
        """See `ClientConnection.send_request`."""
        MeteredConnection.sent_bytes += len(data)
        self.response_bytes = 0
        super().send_request(data, exchange)

    def data_received(self, data: bytes | memoryview) -> None:
        """See `ClientConnection.data_received`."""
        MeteredConnection.received_bytes += len(data)
        self.response_bytes += len(data)
        self.read_at_s = time.monotonic()
        super().data_received(data)

    @staticmethod
    def clear_totals() -> None:
        """Reset the byte counts of all connections."""
        MeteredConnection.received_bytes = 0
        MeteredConnection.sent_bytes = 0


class MeteredWatch(WatchClient):
    """A node's watch of its endpoint list over a metered connection."""

    @property
    def connection(self) -> MeteredConnection:
        """The current connection; it is open while a response is being delivered."""
        connection = self._connection.current
        if not isinstance(connection, MeteredConnection):
            raise TypeError(
                f"hollow node's watch: expected a MeteredConnection, found {type(connection).__name__}"
            )
        return connection


def use_metered_connections() -> None:
    """Make all watches of this process open metered connections; their code is otherwise unchanged."""
    vars(watch_connection)["ClientConnection"] = MeteredConnection
