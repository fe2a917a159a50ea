"""Real proxies as child processes: configuration, start, readiness check and termination."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import deque
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.support.health_check import responds_ok
from benchmarks.support.membership import EndpointListMessage
from benchmarks.support.processes import ROOT, terminate
from loadbalancer.http.addresses import Address, parse_address

START_TIMEOUT_S = 30.0  # from a process's start until it is ready; long enough for a busy machine
READINESS_PATH = "/up"
READINESS_POLL_S = 0.05
MAX_LOG_LINES = 200
DEPLOYED_SOCKETS = 1024  # a node's limit on open file descriptors in the deployment
PROXY_MODULE = "loadbalancer"
LISTENING_LOG_TEXT = "proxy serving"

# A typical deployment: several service classes, latency objectives of seconds, no load reports, high limits.
PLATFORM_SETTINGS: dict[str, Any] = {
    "bounds": {
        "cancel": True,
        "maxAttempts": 3,
        "maxOpen": 20000,
        "retryAfter": True,
        "maxRetryAfterMs": 2000.0,
        "connIdleMs": 15000.0,
        "connectTimeoutMs": 250.0,
    },
    "categories": [
        {"name": "read", "aimMs": 1500.0, "giveUpMs": 4000.0, "credit": 3.0, "effect": "free"},
        {"name": "post", "aimMs": 2500.0, "giveUpMs": 6000.0, "credit": 8.0, "effect": "single_shot"},
        {"name": "move", "aimMs": 2500.0, "giveUpMs": 6000.0, "effect": "guarded", "memorySpanMs": 9000.0},
    ],
    "invariants": {"askWithinMs": 10000.0, "coldFrom": 0.2, "coldMs": 10000.0, "overloadFactor": 2.5},
    "registryMode": "push",
    "locality": "a",
}


def proxy_configuration(
    name: str,
    discovery_address: str,
    cached_list: EndpointListMessage,
    *,
    seed: int,
    sockets: int = DEPLOYED_SOCKETS,
) -> bytes:
    """Return the content of a proxy's configuration file.

    Args:
        name: The node's name.
        discovery_address: Host and port of the list server that the proxy watches.
        cached_list: The complete endpoint list that the proxy starts from.
        seed: Seed of the proxy's random number generator.
        sockets: The proxy's limit on open file descriptors.
    """
    return msgspec.json.encode(
        {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": discovery_address,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": cached_list,
            "settings": PLATFORM_SETTINGS,
        }
    )


class ProxyProcess:
    """A real proxy in a child process, and its most recent log lines."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.pid = process.pid
        self.address = Address("", 0)  # set when the proxy listens
        self.log: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self._process = process
        self._listening = asyncio.Event()
        self._log_reader = asyncio.create_task(self._read_log())

    @classmethod
    async def start(
        cls,
        folder: Path,
        name: str,
        configuration: bytes,
        *,
        module: str = PROXY_MODULE,
        environment: dict[str, str] | None = None,
    ) -> ProxyProcess:
        """Write a proxy's configuration file, start the proxy and wait until it is ready.

        Args:
            folder: The folder of the configuration file.
            name: The file's name, without its suffix.
            configuration: The file's content.
            module: The module that runs as the proxy.
            environment: Variables added to this process's environment.

        Raises:
            TimeoutError: The proxy is not ready within `START_TIMEOUT_S`; it is terminated.
        """
        path = folder / f"{name}.json"
        path.write_bytes(configuration)
        proxy = cls(await _run_module(module, path, environment or {}))
        try:
            await proxy.wait_until_ready()
        except BaseException:
            await proxy.stop()
            raise
        return proxy

    async def wait_until_ready(self) -> None:
        """Wait until the proxy's readiness endpoint responds 200.

        Raises:
            TimeoutError: The proxy is not ready within `START_TIMEOUT_S`.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._listening.wait()
            while True:
                if await self.is_ready():
                    return
                await asyncio.sleep(READINESS_POLL_S)

    async def is_ready(self) -> bool:
        """Return whether the readiness endpoint responds that the proxy can serve."""
        return await responds_ok(self.address, READINESS_PATH)

    async def stop(self) -> None:
        """Terminate the process and read the rest of its log."""
        await terminate(self._process)
        await self._log_reader

    async def _read_log(self) -> None:
        if self._process.stderr is None:
            raise ValueError(
                f"cannot read the log of proxy process {self.pid}: its standard error is not a pipe"
            )
        async for line in self._process.stderr:
            text = line.decode("utf-8", "replace").rstrip()
            self.log.append(text)
            if LISTENING_LOG_TEXT in text:
                self.address = parse_address(text.rpartition("=")[2])
                self._listening.set()


async def _run_module(
    module: str, configuration: Path, environment: dict[str, str]
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", module),
        cwd=ROOT,
        env=os.environ | environment | {"PROXY_CONFIG": str(configuration)},
        stdin=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.PIPE,
    )
