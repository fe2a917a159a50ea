"""The proxy as a process: `python -m loadbalancer` with a configuration file, and clients that reach it."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson

from benchmarks.support.free_ports import free_ports
from tests.support.loopback import HttpClient, Message

ROOT = Path(__file__).parents[2]
READINESS_REQUEST = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
RECONNECT_PAUSE_S = 0.005

Address = tuple[str, int]


def start_program(config: Path | None, descriptor_limit: int | None = None) -> subprocess.Popen[str]:
    """Start the proxy; with a limit it may open no more descriptors than that."""
    environment = {key: value for key, value in os.environ.items() if key != "PROXY_CONFIG"}
    if config is not None:
        environment["PROXY_CONFIG"] = str(config)
    command = [sys.executable, "-m", "loadbalancer"]
    if descriptor_limit is not None:
        command = ["/bin/sh", "-c", f'ulimit -S -n {descriptor_limit}; exec "$0" "$@"', *command]
    return subprocess.Popen(command, cwd=ROOT, env=environment, stderr=subprocess.PIPE, text=True)


def free_address() -> Address:
    """An address of this machine that nothing listens on, and that no outgoing connection gets.

    Guard: clients that try to connect until the proxy listens were given that very port as their own.
    """
    (port,) = free_ports(1)
    return "127.0.0.1", port


def write_config(folder: Path, row: dict[str, Any], listen: Address | None = None) -> Path:
    """Write a configuration file; with an address, the proxy listens there."""
    path = folder / "config.json"
    path.write_bytes(orjson.dumps(row if listen is None else row | {"listen": "{}:{}".format(*listen)}))
    return path


async def connect_client(address: Address) -> HttpClient:
    return HttpClient(*await asyncio.open_connection(*address))


async def ask_until_answered(address: Address, data: bytes) -> Message:
    """Send a request, again on a new connection where there was no listener or the proxy closed one."""
    while True:
        raw = socket.socket()
        raw.setblocking(False)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await asyncio.get_running_loop().sock_connect(raw, address)
            raw.send(data)
            client = HttpClient(*await asyncio.open_connection(sock=raw))
            try:
                return await client.read_response()
            finally:
                client.writer.close()
        raw.close()
        await asyncio.sleep(RECONNECT_PAUSE_S)
