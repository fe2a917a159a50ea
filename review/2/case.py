"""Some answers of servers never end; the platform kills a node that exceeds its memory."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

from review.stand_ins.messages import Message, read_message, request, response
from review.stand_ins.node import Node, NotStartedError, node_config
from review.stand_ins.record import BROKEN, HELD, NOT_RUN, Record, trouble
from review.stand_ins.servers import Discovery, Server

SERVERS = 10  # 8 to 10 servers in `front`
MEMORY_MB = 192  # the most that a node gets on the days that are scored
WORK_S = 0.1
REQUESTS_PER_S = 55  # 110 a second on 2 nodes
PLAY_S = 30.0
DEADLINE_MS = 6000  # of `deposit`
LATE_S = 0.5  # an answer is lost if it is later than this after the deadline
SPOILT_ONE_IN = 4  # answers
PIECE = b"x" * 65536
# The answer is whole up to here; a field of its trailer section follows, whose line never ends.
SPOILT_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nNote: "


class Servers:
    """The servers of the tier; any of them alike spoils one answer in eight."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._answers = 0
        self.spoilt = 0
        self.list = [Server(f"s-{number}", self._answer, record) for number in range(SERVERS)]

    def received(self, request_id: str) -> bool:
        return any(request_id in server.received for server in self.list)

    async def _answer(self, server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        self._answers += 1
        if not trouble() or self._answers % SPOILT_ONE_IN:
            writer.write(response(200, message.headers["req-id"].encode()))
            return
        self.spoilt += 1
        self._record.write(f"server {server.name}: answer to {message.headers['req-id']} never ends")
        writer.write(SPOILT_HEAD)
        while True:  # until the node closes the connection
            writer.write(PIECE)
            await writer.drain()


class Client:
    """Usual clients: one request on each connection, whose answer they wait for."""

    def __init__(self, node: Node, record: Record) -> None:
        self._node = node
        self._record = record
        self.results: dict[str, str] = {}

    async def send(self, number: int) -> None:
        request_id = f"r-{number}"
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self._node.port)
        except OSError:
            self.results[request_id] = "not accepted"
            return
        try:
            writer.write(request("deposit", request_id, DEADLINE_MS))
            answer = await asyncio.wait_for(read_message(reader), DEADLINE_MS / 1000.0 + LATE_S)
            result = str(answer.status)
            if answer.status == 200 and answer.body not in (request_id.encode(), b"ok"):
                result = "foreign"
        except TimeoutError:
            result = "unanswered"
        except (OSError, asyncio.IncompleteReadError):
            result = "closed without an answer"
        finally:
            writer.close()
        self.results[request_id] = result
        self._record.write(f"client: {request_id} {result}")


async def watch_memory(node: Node, record: Record) -> float:
    """The platform: kill the node when it exceeds its memory; returns the most that it had, in MB."""
    most = 0.0
    while node.process.poll() is None:
        memory = node.memory_mb()
        if memory > most + 10.0:
            record.write(f"node: {memory:.0f} MB of memory")
        most = max(most, memory)
        if memory > MEMORY_MB:
            record.say(f"node: {memory:.0f} MB of memory, over its limit of {MEMORY_MB} MB")
            node.signal(signal.SIGKILL)
            return most
        await asyncio.sleep(0.02)
    return most


async def play(record: Record, folder: Path) -> int:
    servers = Servers(record)
    for server in servers.list:
        await server.start()
    entries = [server.entry() for server in servers.list]
    discovery = Discovery(entries, record)
    await discovery.start()
    limits: dict[str, object] = {"memory_mb": MEMORY_MB, "sockets": 1024}
    node = Node(folder, node_config(discovery.port, entries, limits), record)
    client = Client(node, record)
    try:
        await node.start()
        watch = asyncio.create_task(watch_memory(node, record))
        sends = []
        started = time.monotonic()
        while time.monotonic() - started < PLAY_S and node.process.poll() is None:
            sends.append(asyncio.create_task(client.send(len(sends))))
            await asyncio.sleep(1.0 / REQUESTS_PER_S)
        await asyncio.gather(*sends)
        killed = node.process.poll() is not None
        if not killed:
            node.signal(signal.SIGTERM)
            await node.ended(10.0)
        most = await watch
    finally:
        node.close()
    record.say(f"{len(sends)} requests, {servers.spoilt} answers that never end, most memory {most:.0f} MB")
    counts = {result: list(client.results.values()).count(result) for result in client.results.values()}
    record.say(f"answers to clients: {counts}")
    lost = [
        request_id
        for request_id, result in client.results.items()
        if not result.isdigit() and servers.received(request_id)
    ]
    record.say(f"taken, forwarded and never answered: {len(lost)} {' '.join(lost)}")
    return BROKEN if killed or lost else HELD


def main() -> int:
    with Record(Path(__file__).parent) as record, tempfile.TemporaryDirectory() as folder:
        try:
            code = asyncio.run(play(record, Path(folder)))
        except NotStartedError as error:
            record.say(f"the node did not start: {error}")
            return NOT_RUN
        record.say({HELD: "verdict: held", BROKEN: "verdict: broken"}.get(code, "verdict: could not run"))
        return code


if __name__ == "__main__":
    sys.exit(main())
