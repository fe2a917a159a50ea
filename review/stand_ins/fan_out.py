"""A caller process that fans out: each round sends some requests and takes the first that is served.

With `leaves`, it then cancels the others of the round, that is, closes their connections; without, it waits
for all answers. Each request has a connection of its own, which the caller announces to close.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time
from collections import Counter

from review.stand_ins.messages import request

ROUND_S = 0.2  # from the start of a round to the start of the next
DEADLINE_MS = 4000  # of `availability`
LATE_S = 0.5


def play_round(port: int, prefix: str, width: int, *, leaves: bool) -> Counter[str]:
    """Play one round; returns how its requests have ended."""
    selector = selectors.DefaultSelector()
    connections = [socket.create_connection(("127.0.0.1", port)) for _ in range(width)]
    for index, connection in enumerate(connections):
        data = request("availability", f"{prefix}-{index}", DEADLINE_MS, "GET")
        connection.sendall(data.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        selector.register(connection, selectors.EVENT_READ)
    results: Counter[str] = Counter()
    give_up = time.monotonic() + DEADLINE_MS / 1000.0 + LATE_S
    while results.total() < width and time.monotonic() < give_up:
        for key, _ in selector.select(0.0 if leaves else 0.1):  # one that leaves reacts at once
            data = key.fileobj.recv(65536)  # type: ignore[union-attr]
            results[data[9:12].decode() if data else "closed"] += 1
            selector.unregister(key.fileobj)
            if leaves and results["200"]:
                break
        if leaves and results["200"]:
            break
    for connection in reversed(connections):
        connection.close()
    results["cancelled" if leaves else "unanswered"] += width - results.total()
    return results


def main() -> None:
    name, port, width, rounds, leaves = sys.argv[1:]
    totals: Counter[str] = Counter()
    for number in range(int(rounds)):
        started = time.monotonic()
        totals += play_round(int(port), f"{name}-{number}", int(width), leaves=leaves == "1")
        time.sleep(max(0.0, started + ROUND_S - time.monotonic()))
    print(dict(totals), flush=True)


if __name__ == "__main__":
    main()
