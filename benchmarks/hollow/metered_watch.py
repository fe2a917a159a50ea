"""The node's real watch, over a connection that counts its bytes."""

from __future__ import annotations

import time

from loadbalancer.discovery import watch_client
from loadbalancer.discovery.watch_client import WatchClient
from loadbalancer.http.client_connection import ClientConnection, Exchange


class MeteredConnection(ClientConnection):
    """The node's connection to discovery; counts its bytes and records when they arrive."""

    received_bytes = 0  # over all connections
    sent_bytes = 0  # over all connections
    read_at_s = 0.0  # when the last bytes arrived
    response_bytes = 0  # of the last response, its head included

    def send_request(self, data: bytes, exchange: Exchange) -> None:
        """See `ClientConnection.send_request`."""
        MeteredConnection.sent_bytes += len(data)
        self.response_bytes = 0
        super().send_request(data, exchange)

    def data_received(self, data: bytes) -> None:
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
    """The node's watch of its list, over a metered connection."""

    @property
    def connection(self) -> MeteredConnection:
        """The connection, which is open while a response is being delivered."""
        if not isinstance(self._connection, MeteredConnection):
            raise TypeError("a hollow node's watch has no metered connection")
        return self._connection


def use_metered_connections() -> None:
    """Have every watch of this process open metered connections; the watch's code is unchanged otherwise."""
    vars(watch_client)["ClientConnection"] = MeteredConnection
