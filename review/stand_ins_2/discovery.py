"""A discovery server, started as a process, and a registry as its upstream."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import subprocess
import tempfile
from pathlib import Path
from typing import Any

from stand_ins_2.case import ROOT, Record, closing, free_port, json_response, now, query_of

ENVIRONMENTS = (".venv-review-2", ".venv-dev")
IMPORTS = "import click, httptools, msgspec, orjson, structlog"


def entry(uid: str) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": "127.0.0.11:7070",
        "az": "zone-a",
        "model": "m1",
        "pod_group": 1,
        "state": "Ready",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


class Upstream:
    """The registry; answers each call with the whole list.

    Attributes:
        whole_list_s: how long it takes to answer a call for the whole list.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.revision = 1
        self.uids = ["s-0"]
        self.whole_list_s = 0.0
        self.port = 0

    async def start(self) -> None:
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = listener.sockets[0].getsockname()[1]

    def add(self, uid: str) -> None:
        self.revision += 1
        self.uids.append(uid)
        self.record.add(f"the registry adds {uid}, rev {self.revision}", show=True)

    def body(self) -> bytes:
        """The body of the next answer."""
        listed = {"rev": self.revision, "all": True, "targets": [entry(uid) for uid in self.uids]}
        return json.dumps(listed).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with closing(writer), contextlib.suppress(ConnectionError):
                while True:
                    query = query_of(await reader.readuntil(b"\r\n\r\n"))
                    self.record.add(f"the registry gets a call {query}")
                    until = now() + float(query.get("timeout_ms", 0)) / 1000.0
                    while query.get("since") == str(self.revision) and now() < until:
                        await asyncio.sleep(0.01)
                    if "since" not in query:
                        await asyncio.sleep(self.whole_list_s)
                    writer.write(json_response(self.body()))
                    self.record.add(f"the registry answers the call {query}")
        except asyncio.IncompleteReadError:
            self.record.add("the discovery server ends its connection to the registry")


class DiscoveryServer:
    """One discovery server with one list, `checkout`, and the defaults of its configuration."""

    def __init__(self, upstream: Upstream) -> None:
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._port = free_port()
        self._process: subprocess.Popen[bytes] | None = None
        self._config = self._folder / "server.toml"
        self._config.write_text(
            f'state_dir = "{self._folder}/state"\nid = 1\n\n[[lists]]\nname = "checkout"\n'
            f'listen = "127.0.0.1:{self._port}"\nupstreams = ["127.0.0.1:{upstream.port}"]\n'
        )

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        command = [_python(), "-m", "loadbalancer.discovery_server", self._config]
        with (self._folder / "log").open("wb") as log:
            self._process = subprocess.Popen(command, cwd=ROOT, stderr=log)

    def stop(self, record: Record) -> None:
        """Kill the process, keep its log in the record, and remove its folder."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()
            for line in (self._folder / "log").read_text().splitlines():
                record.add("log " + line)
        shutil.rmtree(self._folder, ignore_errors=True)

    async def listed_uids(self) -> list[str]:
        """The uids that a client gets; an empty list without an answer."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                with closing(writer):
                    writer.write(b"GET /discovery/hosts HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
                    head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        except (OSError, TimeoutError):
            return []
        return [target["uid"] for target in json.loads(body)["targets"]] if b" 200 " in head else []

    async def lists(self, uid: str, limit_s: float) -> bool:
        """Whether a client gets this uid within the limit."""
        end_s = now() + limit_s
        while now() < end_s:
            if uid in await self.listed_uids():
                return True
            await asyncio.sleep(0.1)
        return False


def _python() -> Path:
    """The interpreter of an environment with the libraries; FileNotFoundError if there is none."""
    for environment in ENVIRONMENTS:
        python = ROOT / environment / "bin/python"
        if python.exists() and subprocess.run([python, "-c", IMPORTS], check=False).returncode == 0:
            return python
    raise FileNotFoundError("no environment with the discovery server's libraries: run review/build-2.sh")
