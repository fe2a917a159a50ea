"""One soak run: plays a plan against a real proxy process and collects the broken rules."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from benchmarks.soak.endpoints import SoakEndpoint
from benchmarks.soak.ledger import Ledger
from benchmarks.soak.node import EXIT_TIMEOUT_S, SoakNode
from benchmarks.soak.pipelining_clients import PipeliningCrowd
from benchmarks.soak.plan import KILL_MARGIN_S, LONGEST_DEADLINE_MS, SoakPlan, proxy_settings
from benchmarks.support.free_ports import free_ports
from benchmarks.support.list_server import ListServer
from benchmarks.support.membership import REMOVED, TERMINATING, EndpointEntry, Membership
from loadbalancer.http.addresses import Address

ENDPOINTS = 4
LAG_INTERVAL_S = 0.02
RESTART_PAUSE_S = 1.0
SECOND_KILL_S = 0.6  # after a restart
NEW_CONNECTIONS_S = 0.3  # after SIGTERM, until which clients open new connections
SETTLE_S = 0.3  # before the last signal, so that requests are in flight at it


class SoakResult(msgspec.Struct):
    """The outcome of one run."""

    plan: SoakPlan
    statuses: dict[str, int]
    executions: int
    peak_memory_mb: float
    lag_s: float
    killed_at_end: int  # shutdowns that the earliest SIGKILL ended
    violations: list[str]


async def play(plan: SoakPlan) -> SoakResult:
    """Play one run; all its processes and sockets are closed at the end."""
    with tempfile.TemporaryDirectory() as folder:
        return await _SoakRun(plan, Path(folder)).play()


class _SoakRun:
    """The parts of one run."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._random = Random(plan.seed)
        self._ledger = Ledger()
        self._endpoints = [
            SoakEndpoint(f"s{index}", self._ledger, self._random) for index in range(ENDPOINTS)
        ]
        self._address = Address("127.0.0.1", free_ports(1)[0])
        self._crowd = PipeliningCrowd(self._address, self._ledger, self._random)
        self._tasks: list[asyncio.Task[None]] = []
        self._killed_at_end = 0

    async def play(self) -> SoakResult:
        """Play the run and return its outcome."""
        for endpoint in self._endpoints:
            await endpoint.listen()
        self._lists = ListServer(Membership([_entry(endpoint) for endpoint in self._endpoints]))
        discovery = await self._lists.listen()
        self._node = SoakNode(
            self._folder,
            self._address,
            _document(self._plan, self._address, discovery, self._endpoints),
            self._plan.sockets,
        )
        try:
            await self._start_node()
            self._start_clients()
            await asyncio.sleep(self._plan.load_s / 2)
            await self._play_signals()
            await asyncio.sleep(self._plan.load_s / 2)
            await self._check_usual_service()
            await self._end_node()
            self._crowd.stopping = True
            await asyncio.gather(*self._tasks)
        finally:
            await self._close()
        return self._result()

    def _start_clients(self) -> None:
        plan, crowd = self._plan, self._crowd
        parts: list[Coroutine[Any, Any, None]] = [self._measure_lag(), self._hand_over(), self._drain()]
        parts += [crowd.use() for _ in range(plan.usual_clients)]
        parts += [crowd.leave() for _ in range(plan.leaving_clients)]
        parts += [crowd.pipeline() for _ in range(plan.pipelining_clients)]
        parts += [crowd.misbehave(group) for group in plan.hostile]
        self._tasks = [asyncio.create_task(part) for part in parts]

    async def _play_signals(self) -> None:
        match self._plan.signals:
            case "term":
                await self._terminate()
            case "term twice":
                await self._terminate()
                await self._start_node()
                await self._terminate()
            case "kill":
                await self._kill()
            case "kill twice":
                await self._kill()
                await self._start_node()
                await asyncio.sleep(SECOND_KILL_S)
                await self._kill()
            case _:
                for _ in range(3):
                    self._node.signal(signal.SIGHUP)
                    await asyncio.sleep(0.1)
                await self._terminate()
        await asyncio.sleep(RESTART_PAUSE_S)
        await self._start_node()

    async def _start_node(self) -> None:
        if not await self._node.start():
            self._ledger.complaints.append("start: the proxy is not ready in time")
        self._crowd.start_connecting()

    async def _terminate(self) -> None:
        """End the process with SIGTERM, and with SIGKILL at the earliest time that the platform allows."""
        self._node.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(NEW_CONNECTIONS_S, self._crowd.stop_connecting)
        earliest_kill_s = LONGEST_DEADLINE_MS / 1000.0 + KILL_MARGIN_S
        exit_code = await self._node.wait(earliest_kill_s)
        if exit_code is None:
            # The platform allows that; what the process has not answered by then is lost, and not excused.
            self._killed_at_end += 1
            self._node.signal(signal.SIGKILL)
            await self._node.wait(EXIT_TIMEOUT_S)
        elif exit_code != 0:
            self._ledger.complaints.append(f"shutdown: exit code {exit_code}")

    async def _kill(self) -> None:
        if self._node.exit_code is not None:
            self._ledger.complaints.append(f"the process ended by itself, exit code {self._node.exit_code}")
        self._crowd.killed_at_s.append(asyncio.get_running_loop().time())
        self._node.signal(signal.SIGKILL)
        await self._node.wait(EXIT_TIMEOUT_S)

    async def _check_usual_service(self) -> None:
        """After all trouble, usual requests are served again."""
        before = self._ledger.statuses()["200"]
        await asyncio.sleep(SETTLE_S)
        deadline_s = asyncio.get_running_loop().time() + LONGEST_DEADLINE_MS / 1000.0
        while self._ledger.statuses()["200"] == before:
            if asyncio.get_running_loop().time() > deadline_s:
                self._ledger.complaints.append("service: no usual request is served after the trouble")
                return
            await asyncio.sleep(SETTLE_S)

    async def _end_node(self) -> None:
        if self._node.exit_code is not None:
            self._ledger.complaints.append(f"the process ended by itself, exit code {self._node.exit_code}")
            return
        await self._terminate()

    async def _hand_over(self) -> None:
        """Replace the process at an address; the list has both for a moment."""
        await asyncio.sleep(self._plan.handover_s)
        old = _entry(self._endpoints[0])
        self._endpoints[0].replace_process("new0", int(time.time() * 1000))
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        self._lists.change([_entry(self._endpoints[0])])
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        old["state"] = REMOVED
        self._lists.change([old])

    async def _drain(self) -> None:
        await asyncio.sleep(self._plan.drain_s)
        self._endpoints[1].state = TERMINATING
        self._lists.change([_entry(self._endpoints[1])])

    async def _measure_lag(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._crowd.stopping:
            expected_s = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self._ledger.lag_s = max(self._ledger.lag_s, loop.time() - expected_s)
            self._node.read_memory()

    async def _close(self) -> None:
        self._crowd.stopping = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._node.exit_code is None:
            self._node.signal(signal.SIGKILL)
            await self._node.wait(EXIT_TIMEOUT_S)
        self._lists.close()
        for endpoint in self._endpoints:
            await endpoint.close()

    def _result(self) -> SoakResult:
        ledger, plan = self._ledger, self._plan
        if self._node.peak_memory_mb >= plan.memory_mb:
            ledger.complaints.append(f"memory: {self._node.peak_memory_mb:.1f} MB of {plan.memory_mb} MB")
        ledger.complaints += self._node.faults()
        return SoakResult(
            plan=plan,
            statuses=dict(ledger.statuses()),
            executions=sum(map(len, ledger.executions.values())),
            peak_memory_mb=round(self._node.peak_memory_mb, 1),
            lag_s=round(ledger.lag_s, 3),
            killed_at_end=self._killed_at_end,
            violations=ledger.violations(),
        )


def _entry(endpoint: SoakEndpoint) -> EndpointEntry:
    return {
        "uid": endpoint.name,
        "endpoint": f"127.0.0.1:{endpoint.port}",
        "az": "a",
        "model": "m0",
        "pod_group": 0,
        "state": endpoint.state,
        "capacity_hint": 1.0,
        "boot_ms": endpoint.started_ms,
    }


def _document(
    plan: SoakPlan, address: Address, discovery: str, endpoints: list[SoakEndpoint]
) -> dict[str, Any]:
    """The proxy's configuration."""
    return {
        "name": "n0",
        "listen": "{}:{}".format(*address),
        "discovery": discovery,
        "seed": f"{plan.seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": plan.sockets},
        "known": Membership([_entry(endpoint) for endpoint in endpoints]).complete_list(),
        "settings": proxy_settings(plan),
    }
