"""A bad client: sends half a request on each of its connections, and closes all at the first answer."""

from __future__ import annotations

import selectors
import socket
import sys

HALF_A_REQUEST = b"POST /deposit HTTP/1.1\r\nHost: service.internal\r\nReq-Id: half"
PATIENCE_S = 4.0


def main() -> None:
    port, count = int(sys.argv[1]), int(sys.argv[2])
    selector = selectors.DefaultSelector()
    connections = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
    for connection in connections:
        connection.sendall(HALF_A_REQUEST)
        selector.register(connection, selectors.EVENT_READ)
    selector.select(PATIENCE_S)
    for connection in connections:
        connection.close()


if __name__ == "__main__":
    main()
