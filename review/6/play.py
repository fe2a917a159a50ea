"""Some answers of servers state a length that doesn't fit: a shorter one than their body has."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from stand_ins_2.case import TROUBLE, Agent, Proxy, Record, Registry, Server, exchange, run_case

SERVERS = 3
REQUESTS = 200
INTERVAL_S = 0.05
SPOILT_EVERY = 10  # one answer in ten
SHORTER_BYTES = 20

SETTINGS = {
    "locality": "zone-a",
    "tier": 0,
    "siblings": 1,
    "registryMode": "push",
    "categories": [
        {"name": "availability", "aimMs": 1500, "giveUpMs": 4000, "credit": 3, "effect": "free"},
        {"name": "deposit", "aimMs": 2500, "giveUpMs": 6000, "credit": 8, "effect": "single_shot"},
    ],
    "bounds": {"cancel": False, "maxAttempts": 4, "connIdleMs": 30000},
    "invariants": {"drainGraceMs": 2000},
}


class SpoiltServer(Server):
    """Spoils one answer in `SPOILT_EVERY`; the connection stays open but is of no further use."""

    served = 0  # by all servers

    def encode(self, request_id: str, body: bytes) -> tuple[bytes, bool]:
        SpoiltServer.served += 1
        spoilt = TROUBLE and SpoiltServer.served % SPOILT_EVERY == 0
        length = len(body) - (SHORTER_BYTES if spoilt else 0)
        self.record.add(f"made {request_id} {body!r}" + (f", stated length {length}" if spoilt else ""))
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + body, not spoilt


async def play(record: Record) -> bool:
    servers = [SpoiltServer(number, record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    registry = Registry(lambda: [server.entry() for server in servers])
    agent = Agent(registry, record)
    await agent.start()
    proxy = Proxy(SETTINGS, registry, agent.address)
    wrong = 0
    answers: dict[str, int] = {}

    async def client(number: int) -> None:
        nonlocal wrong
        request_id = f"r-{number}"
        line = "GET /availability" if number % 2 else "POST /deposit"
        length = "" if number % 2 else "Content-Length: 0\r\n"
        head = f"{line} HTTP/1.1\r\nHost: s\r\nReq-Id: {request_id}\r\n{length}\r\n"
        record.add(f"sent {request_id} {line}")
        status, body = await exchange("127.0.0.1", proxy.port, head.encode(), 7.0)
        record.add(f"answer {request_id} {status} {body!r}")
        answers[status] = answers.get(status, 0) + 1
        if status == "200" and body not in [server.body(request_id) for server in servers]:
            wrong += 1
            record.add(f"{request_id}: the client has a whole answer that no server made", show=wrong <= 3)

    try:
        await proxy.start()
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(client(number)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.wait(tasks)
        crashed = not proxy.running
    finally:
        proxy.stop()
    record.add(f"answers: {answers}, wrong: {wrong}", show=True)
    return bool(wrong) or crashed


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), play))
