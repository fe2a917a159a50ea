"""The proxy as a process, `python -m loadbalancer` with a configuration file, and clients of it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson

from benchmarks.support.free_ports import free_ports
from loadbalancer.http.addresses import Address
from tests.support.loopback import HttpClient
from tests.support.messages import Message

ROOT = Path(__file__).parents[2]
READINESS_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
RECONNECT_PAUSE_S = 0.005


@contextlib.contextmanager
def running_program(
    config: Path | None, descriptor_limit: int | None = None, prelude: str = ""
) -> Iterator[subprocess.Popen[str]]:
    """The proxy as a process with its log in a pipe; killed at the end of the context if it still runs.

    A descriptor limit restricts the descriptors that it may have open. The prelude is Python code that the
    process runs before the program, to change constants whose real values are too short for a test.
    """
    environment = {key: value for key, value in os.environ.items() if key != "PROXY_CONFIG"}
    if config is not None:
        environment["PROXY_CONFIG"] = str(config)
    command = [sys.executable, "-m", "loadbalancer"]
    if prelude:
        command[1:] = [
            "-c",
            f"import runpy; {prelude}; runpy.run_module('loadbalancer', run_name='__main__')",
        ]
    if descriptor_limit is not None:
        command = ["/bin/sh", "-c", f'ulimit -S -n {descriptor_limit}; exec "$0" "$@"', *command]
    with subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True) as program:
        try:
            yield program
        finally:
            program.kill()


async def wait_for_log(program: subprocess.Popen[str], text: str) -> None:
    """Read the program's log up to a line with this text; AssertionError if the log ends before it."""
    assert program.stderr is not None
    while text not in (line := await asyncio.to_thread(program.stderr.readline)):
        assert line, f"the program's log ended without a line that contains {text!r}"


def free_address() -> Address:
    """An address of this machine that nothing listens on and that no outgoing connection is given.

    A client that tries to connect before the proxy listens could get this port as its local port, and the
    proxy could then not listen on it. The port is therefore outside the range of ephemeral ports.
    """
    (port,) = free_ports(1)
    return Address("127.0.0.1", port)


def write_config(folder: Path, document: dict[str, Any], listen: Address | None = None) -> Path:
    """Write a configuration file; a given address replaces the one to listen on."""
    path = folder / "config.json"
    path.write_bytes(
        orjson.dumps(document if listen is None else document | {"listen": "{}:{}".format(*listen)})
    )
    return path


async def send_until_response(address: Address, data: bytes) -> Message:
    """Send a request; retry on a new connection while the proxy does not listen or closes connections."""
    while True:
        with socket.socket() as raw, contextlib.suppress(OSError, asyncio.IncompleteReadError):
            raw.setblocking(False)
            await asyncio.get_running_loop().sock_connect(raw, address)
            raw.send(data)
            async with HttpClient(*await asyncio.open_connection(sock=raw)) as client:
                return await client.read_response()
        await asyncio.sleep(RECONNECT_PAUSE_S)
