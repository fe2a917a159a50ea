"""A planned restart, in which one caller cancels its requests as another one still waits for its answers."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

from review.stand_ins.messages import Message, response
from review.stand_ins.node import ROOT, Node, NotStartedError, node_config
from review.stand_ins.record import BROKEN, HELD, NOT_RUN, Record, trouble
from review.stand_ins.servers import Discovery, Server

SERVERS = 10  # 8 to 10 servers in `front`
HANGING = 5  # a quarter to a half of them
WORK_S = 0.1
REQUESTS = 30  # of each caller in a round
DEADLINE_MS = 6000  # of `deposit`
SECOND_ROUND_S = 1.6  # after SIGTERM
EXIT_LIMIT_S = 3.7  # SIGKILL comes no sooner


async def start_caller(name: str, node: Node, *, leaves: bool) -> asyncio.subprocess.Process:
    """Start a caller's process, and let it play its first round."""
    arguments = [name, str(node.port), str(REQUESTS), "deposit", str(DEADLINE_MS), "1" if leaves else "0"]
    caller = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "review.stand_ins.caller",
        *arguments,
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert caller.stdout is not None
    while (line := await caller.stdout.readline()) and line.strip() != b"round 1 done":
        pass
    return caller


async def play(record: Record, folder: Path) -> int:
    hanging: set[str] = set()

    async def answer(server: Server, message: Message, writer: asyncio.StreamWriter) -> None:
        if server.name in hanging:
            record.write(f"server {server.name}: hangs with {message.headers['req-id']}")
            await asyncio.sleep(60.0)
        await asyncio.sleep(WORK_S)
        writer.write(response(200, message.headers["req-id"].encode()))

    servers = [Server(f"s-{number}", answer, record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    entries = [server.entry() for server in servers]
    discovery = Discovery(entries, record)
    await discovery.start()
    node = Node(folder, node_config(discovery.port, entries, {"memory_mb": 192, "sockets": 1024}), record)
    callers: list[asyncio.subprocess.Process] = []
    try:
        await node.start()
        callers.append(await start_caller("leaver", node, leaves=trouble()))
        callers.append(await start_caller("stayer", node, leaves=False))
        if trouble():
            hanging = {server.name for server in servers[:HANGING]}
        node.signal(signal.SIGTERM)
        terminated = time.monotonic()
        await asyncio.sleep(SECOND_ROUND_S)
        for caller in callers:
            assert caller.stdin is not None
            caller.stdin.write(b"go\n")
        outputs = await asyncio.gather(*[caller.communicate() for caller in callers])
        code = await node.ended(10.0)
        record.say(f"node: exit code {code}, {time.monotonic() - terminated:.2f} s after SIGTERM or less")
    finally:
        for caller in callers:
            if caller.returncode is None:
                caller.kill()
        node.close()
    for name, (output, _) in zip(("leaver", "stayer"), outputs, strict=True):
        for line in output.decode().splitlines():
            record.write(f"client {name}: {line}")
    return judge(record, outputs[1][0].decode(), servers)


def judge(record: Record, output: str, servers: list[Server]) -> int:
    """Whether each request of the caller that stayed, and that a server got from the node, has its answer."""
    forwarded = {request_id for server in servers for request_id in server.received}
    answers = dict(line.split() for line in output.splitlines() if line.startswith("stayer-2-"))
    if len(answers) != REQUESTS:
        record.say("the caller that stays has not finished")
        return NOT_RUN
    lost = [name for name, status in answers.items() if name in forwarded and not status.isdigit()]
    answered = sum(status.isdigit() for status in answers.values())
    record.say(f"caller that stayed: {answered} of {REQUESTS} requests answered")
    record.say(f"taken, forwarded and never answered: {len(lost)} {' '.join(lost)}")
    return BROKEN if lost else HELD


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
