"""Periodic work continues after an error in one of its runs, which the event loop reports."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from loadbalancer.discovery_server.periodic_task import PeriodicTask
from loadbalancer.http.byte_budget import ByteBudget
from loadbalancer.http.connection_registry import ConnectionRegistry
from loadbalancer.http.request_timeouts import RequestTimeouts
from loadbalancer.proxy.statistics import Gauges, Statistics, StatisticsLog
from tests.support.model_time import in_model_time

FAILING_RUN = 2
RUNS = 4


class FailingRunError(Exception):
    """The error of one run."""


class CountedRun:
    """Counts its calls, and fails at one of them."""

    def __init__(self) -> None:
        self.calls = 0
        self.continued = asyncio.Event()  # set some calls after the one that fails

    def __call__(self) -> None:
        self.calls += 1
        if self.calls == RUNS:
            self.continued.set()
        if self.calls == FAILING_RUN:
            raise FailingRunError


def start_timeouts(run: CountedRun) -> Callable[[], None]:
    def clock() -> float:
        run()
        return 0.0

    timeouts = RequestTimeouts(ConnectionRegistry(10, clock, ByteBudget()), asyncio.get_running_loop())
    timeouts.start()
    return timeouts.stop


def start_statistics(run: CountedRun) -> Callable[[], None]:
    def gauges() -> Gauges:
        run()
        return Gauges(0, 0, 0, 0)

    log = StatisticsLog("n0", Statistics(), gauges)
    log.start()
    return log.close


def start_periodic_task(run: CountedRun) -> Callable[[], None]:
    task = PeriodicTask(1.0, run)
    task.start()
    return task.close


@pytest.mark.parametrize(
    "start",
    [
        pytest.param(start_timeouts, id="time-outs of connections"),
        pytest.param(start_statistics, id="statistics log"),
        pytest.param(start_periodic_task, id="periodic task of the discovery server"),
    ],
)
@in_model_time
async def test_error_in_one_run_does_not_end_periodic_work(start):
    """A time-out once failed with ENOTCONN, and no connection of that process timed out from then on."""
    errors: list[BaseException] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, context: errors.append(context["exception"]))
    run = CountedRun()
    stop = start(run)
    async with asyncio.timeout(60.0):
        await run.continued.wait()
    stop()
    assert [type(error) for error in errors] == [FailingRunError]
