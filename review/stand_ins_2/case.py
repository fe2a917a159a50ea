"""Stand-ins for the scripts of the second review. Standard library only; every address is a loopback one."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CASE_LIMIT_S = 110.0  # the whole script
READY_LIMIT_S = 30.0
UNUSABLE_S = 10.0  # for which a server keeps a connection open that is of no further use
HELD, BROKEN, NOT_RUN = 0, 1, 2

now = time.monotonic


class Record:
    """What is sent, answered and run, with the time since the start; each line is written at once."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._started = now()

    def at(self, time_s: float) -> str:
        return f"{time_s - self._started:.3f}"

    def add(self, text: str, *, show: bool = False) -> None:
        line = f"{now() - self._started:9.3f} {text}"
        self._file.write(line + "\n")
        if show:
            print(line, flush=True)

    def close(self) -> None:
        self._file.close()


class Server:
    """A server of the tier: serves each request after `service_s`, and keeps the time of each first byte."""

    def __init__(self, number: int, record: Record, service_s: float = 0.04) -> None:
        self.uid = f"s-{number}"
        self.state = "Ready"
        self.sends: list[float] = []  # the time of the first byte of each request
        self.bodies: list[bytes] = []  # of the requests that it has run
        self.record = record
        self._host = f"127.0.0.{10 + number}"
        self._port = 0
        self._service_s = service_s

    async def start(self) -> None:
        listener = await asyncio.start_server(self._serve, self._host, 0)
        self._port = listener.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"{self._host}:{self._port}",
            "az": "zone-a",
            "model": "m1",
            "pod_group": 1,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with closing(writer), contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                first = await reader.readexactly(1)
                self.sends.append(now())
                headers = headers_of(first + await reader.readuntil(b"\r\n\r\n"))
                self.bodies.append(await reader.readexactly(int(headers.get("content-length", 0))))
                request_id = headers.get("req-id", "")
                self.record.add(f"run {request_id} {self.bodies[-1]!r} at {self.uid} ({self.state})")
                await asyncio.sleep(self._service_s)
                answer, reusable = self.encode(request_id, self.body(request_id))
                writer.write(answer)
                if not reusable:
                    await asyncio.sleep(UNUSABLE_S)
                    return

    def body(self, request_id: str) -> bytes:
        """The body of this server's answer to a request."""
        return f"{request_id} is served by {self.uid}, and this is the end.".encode()

    def encode(self, request_id: str, body: bytes) -> tuple[bytes, bool]:
        """The bytes of an answer, and whether its connection can be used again."""
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body, True


@contextlib.contextmanager
def closing(writer: asyncio.StreamWriter) -> Iterator[None]:
    try:
        yield
    finally:
        writer.transport.abort()


def headers_of(head: bytes) -> dict[str, str]:
    lines = head.decode("latin-1").split("\r\n")[1:]
    return {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines) if name}


def query_of(head: bytes) -> dict[str, str]:
    query = head.split(b" ")[1].decode().partition("?")[2]
    return dict(part.split("=", 1) for part in query.split("&") if part)


def json_response(value: object) -> bytes:
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    return head % len(body) + body


class Registry:
    """The list that discovery has, which all agents share."""

    def __init__(self, entries: Callable[[], list[dict[str, Any]]]) -> None:
        self.revision = 1
        self.entries = entries
        self.changed_at_s: float | None = None

    def change(self) -> None:
        self.revision += 1
        self.changed_at_s = now()


class Agent:
    """Discovery at one address: answers each call with the whole list, `delay_s` later than it could.

    `refuse` is asked at each call; a call for which it is true gets 503.
    """

    def __init__(
        self,
        registry: Registry,
        record: Record,
        delay_s: float = 0.0,
        refuse: Callable[[], bool] = lambda: False,
    ) -> None:
        self.address = ""
        self.calls: list[float] = []
        self._registry = registry
        self._record = record
        self._delay_s = delay_s
        self._refuse = refuse
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    async def stop(self, open_calls_s: float = 0.0) -> None:
        """Accept no new connection from now on, and close the open ones after this time."""
        if self._listener is not None:
            self._listener.close()
        await asyncio.sleep(open_calls_s)
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with closing(writer), contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls.append(now())
                query = query_of(head)
                if self._refuse():
                    self._record.add(f"discovery {self.address}: call {query} refused with 503")
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                until = now() + float(query.get("timeout_ms", 0)) / 1000.0
                while query.get("since") == str(self._registry.revision) and now() < until:
                    await asyncio.sleep(0.005)
                await asyncio.sleep(self._delay_s)
                registry = self._registry
                listed = {"rev": registry.revision, "all": True, "targets": registry.entries()}
                writer.write(json_response(listed))
                await writer.drain()
                self._record.add(f"discovery {self.address}: call {query} answered, rev {registry.revision}")


class Proxy:
    """One proxy, started with the `run` line of the deploy file."""

    def __init__(self, settings: dict[str, Any], registry: Registry, discovery: str) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._config = self._folder / "config.json"
        self.port = free_port()
        self.document = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": registry.revision, "all": True, "targets": registry.entries()},
            "settings": settings,
        }
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def write_config(self) -> None:
        new = self._config.with_suffix(".new")
        new.write_text(json.dumps(self.document))
        new.replace(self._config)

    async def start(self) -> None:
        """Start the process and wait until it is ready; TimeoutError if it isn't."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with (self._folder / "log").open("wb") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=os.environ | {"PROXY_CONFIG": str(self._config)},
                stderr=log,
            )
        limit_s = now() + READY_LIMIT_S
        while now() < limit_s:
            if await ask("127.0.0.1", self.port, b"GET /up HTTP/1.1\r\nHost: s\r\n\r\n", 1.0) == "200":
                return
            await asyncio.sleep(0.02)
        raise TimeoutError("the proxy is not ready")

    def reload(self, discovery: str) -> None:
        """Replace the configuration file by one that names this discovery, and send SIGHUP."""
        self.document["discovery"] = discovery
        self.write_config()
        assert self._process is not None
        self._process.send_signal(signal.SIGHUP)

    def terminate(self) -> None:
        """Begin a planned restart: SIGTERM."""
        assert self._process is not None
        self._process.terminate()

    def stop(self) -> None:
        """Kill the process, and remove its folder."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
        shutil.rmtree(self._folder, ignore_errors=True)


class Clients:
    """Clients at a steady rate; each request on a connection of its own."""

    def __init__(self, port: int, service_class: str, rate_per_s: float, record: Record) -> None:
        self.answers: Counter[str] = Counter()
        self._port = port
        self._class = service_class
        self._interval_s = 1.0 / rate_per_s
        self._record = record
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, duration_s: float) -> None:
        end_s = now() + duration_s
        while now() < end_s:
            self._count += 1
            task = asyncio.create_task(self._ask(f"r-{self._count}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._interval_s)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _ask(self, request_id: str) -> None:
        head = (
            f"GET /{self._class} HTTP/1.1\r\nHost: s\r\nReq-Id: {request_id}\r\nReq-Deadline-Ms: 4000\r\n\r\n"
        )
        self._record.add(f"sent {request_id}")
        status = await ask("127.0.0.1", self._port, head.encode(), 5.0)
        self.answers[status] += 1
        self._record.add(f"answer {request_id} {status}")


async def ask(host: str, port: int, data: bytes, limit_s: float) -> str:
    """The status of the answer to this request; "none" without a whole answer."""
    return (await exchange(host, port, data, limit_s))[0]


async def exchange(host: str, port: int, data: bytes, limit_s: float) -> tuple[str, bytes]:
    """The status and the body of the first answer on a new connection; "none" without a whole answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, port)
            with closing(writer):
                writer.write(data)
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(int(headers_of(head).get("content-length", 0)))
                return head.split(b" ")[1].decode(), body
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return "none", b""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def run_case(record_path: Path, play: Callable[[Record], Coroutine[Any, Any, bool]]) -> int:
    """Play a case; 1 if its rule was broken, 0 if it held, 2 if the case couldn't run."""
    # SystemExit lets `play` end the processes that it has started.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(NOT_RUN))
    record = Record(record_path)
    try:
        broken = asyncio.run(asyncio.wait_for(play(record), CASE_LIMIT_S))
    except Exception as error:
        record.add(f"the case couldn't run: {type(error).__name__}: {error}", show=True)
        return NOT_RUN
    else:
        record.add("the rule was broken" if broken else "the rule held", show=True)
        return BROKEN if broken else HELD
    finally:
        record.close()
