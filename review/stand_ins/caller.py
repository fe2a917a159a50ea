"""A caller process: sends requests on its own kept connections, one at a time on each, and reports to stdout.

It sends a first round at its start and a second one when a line arrives on standard input. With `leaves`, it
cancels what is still open of the second round as soon as one request of it has failed: it closes all its
connections and ends.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time

from review.stand_ins.messages import request

SPACING_S = 0.001
LATE_S = 0.5  # an answer is lost if it is later than this after the deadline
FAILED = ("500", "502", "504")  # 503 is a refusal: a retry is harmless


def main() -> None:
    name, port, count, class_name, deadline_ms, leaves = sys.argv[1:]
    caller = Caller(name, int(port), int(count), class_name, int(deadline_ms))
    caller.play_round(1, leaves=False)
    print("round 1 done", flush=True)
    sys.stdin.readline()
    caller.play_round(2, leaves=leaves == "1")
    print("round 2 done", flush=True)


class Caller:
    """The connections of one caller."""

    def __init__(self, name: str, port: int, count: int, class_name: str, deadline_ms: int) -> None:
        self._name = name
        self._class_name = class_name
        self._deadline_ms = deadline_ms
        self._sockets = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]

    def play_round(self, number: int, *, leaves: bool) -> None:
        """Send one request on each connection and wait for the answers."""
        method = "GET" if self._class_name == "availability" else "POST"
        selector = selectors.DefaultSelector()
        open_ids: dict[socket.socket, str] = {}
        for index, connection in enumerate(self._sockets):
            open_ids[connection] = f"{self._name}-{number}-{index}"
            connection.sendall(request(self._class_name, open_ids[connection], self._deadline_ms, method))
            selector.register(connection, selectors.EVENT_READ)
            time.sleep(SPACING_S)
        give_up = time.monotonic() + self._deadline_ms / 1000.0 + LATE_S
        while open_ids and time.monotonic() < give_up:
            for key, _ in selector.select(0.0 if leaves else 0.1):  # one that leaves reacts at once
                connection = key.fileobj
                assert isinstance(connection, socket.socket)
                status = _read_status(connection)
                if leaves and status in FAILED:
                    for each in reversed(open_ids):
                        each.close()
                    print(f"{open_ids.pop(connection)} {status}", flush=True)
                    print(f"left with {len(open_ids)} requests open", flush=True)
                    return
                selector.unregister(connection)
                print(f"{open_ids.pop(connection)} {status}", flush=True)
        for request_id in open_ids.values():
            print(f"{request_id} unanswered", flush=True)


def _read_status(connection: socket.socket) -> str:
    """The status of the answer, which comes in one piece, or `closed`."""
    try:
        data = connection.recv(65536)
    except OSError:
        data = b""
    return data[9:12].decode() if data else "closed"


if __name__ == "__main__":
    main()
