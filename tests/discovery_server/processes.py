"""Discovery servers as separate processes, and readers of their log."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from loadbalancer.http.addresses import Address
from tests.discovery_server.cluster import LIST_NAME

ROOT = Path(__file__).parents[2]
PROCESS_EXIT_S = 20


class Exit(NamedTuple):
    """The exit code of a process, and its output on standard error."""

    code: int
    errors: str


def configuration(directory: Path, upstream: str) -> str:
    """A configuration file of one list, whose state directory is `state` in this directory."""
    return (
        f'state_dir = "{directory}/state"\n[[lists]]\nname = "{LIST_NAME}"\n'
        f'listen = "127.0.0.1:0"\nupstreams = ["{upstream}"]\n'
    )


@contextlib.contextmanager
def running_process(directory: Path, settings: str) -> Iterator[subprocess.Popen[str]]:
    """A discovery server's process with this configuration, which is killed at the end of the context."""
    file = directory / "config.toml"
    file.write_text(settings)
    command = [sys.executable, "-m", "loadbalancer.discovery_server", str(file)]
    with subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True) as process:
        try:
            yield process
        finally:
            process.kill()


def run_until_exit(directory: Path, settings: str) -> Exit:
    """Run a process until it exits by itself."""
    with running_process(directory, settings) as process:
        _, errors = process.communicate(timeout=PROCESS_EXIT_S)
    return Exit(process.returncode, errors)


async def log_event(process: subprocess.Popen[str], event: str) -> dict[str, Any]:
    """The fields of the next log line of this event."""
    assert process.stderr is not None
    while True:
        fields: dict[str, Any] = orjson.loads(await asyncio.to_thread(process.stderr.readline))
        if fields["event"] == event:
            return fields


async def listening_address(process: subprocess.Popen[str]) -> Address:
    """The address on which the process serves its list, read from its log."""
    host, _, port = (await log_event(process, "listening"))["address"].rpartition(":")
    return Address(host, int(port))


async def exit_code(process: subprocess.Popen[str]) -> int:
    """Wait until a process exits; returns its exit code."""
    return await asyncio.to_thread(process.wait, PROCESS_EXIT_S)
