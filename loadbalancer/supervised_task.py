"""Long-lived asyncio tasks that start again after an unexpected exception. No I/O."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

INITIAL_RESTART_DELAY_S = 0.1  # after a first exception; each further one doubles it
MAX_RESTART_DELAY_S = 1.0


def report_unexpected_error(message: str, error: BaseException) -> None:
    """Report an exception that no caller handles to the event loop's exception handler, which logs it."""
    asyncio.get_running_loop().call_exception_handler({"message": message, "exception": error})


def report_failed_task(task: asyncio.Task[None]) -> None:
    """Report the exception of a task that has ended; a callback for `asyncio.Task.add_done_callback`."""
    if not task.cancelled():
        error = task.exception()
        if error is not None:
            report_unexpected_error(f"task failed: {task.get_name()}", error)


def _ignore_failure() -> None:
    """The callback of a task whose owner needs no notification."""


class SupervisedTask:
    """Runs a coroutine function as a task, and again after each exception that it raises.

    asyncio keeps the exception of a task until somebody asks for it. Without a supervisor, the work of a
    long-lived task would end unnoticed.
    """

    def __init__(
        self,
        name: str,
        run: Callable[[], Coroutine[Any, Any, None]],
        on_failure: Callable[[], None] = _ignore_failure,
    ) -> None:
        """A task that doesn't run yet.

        Args:
            name: What the task does, for the log.
            run: The work; when it returns, the task ends.
            on_failure: Called after each exception, before the delay until the next run.
        """
        self._name = name
        self._run = run
        self._on_failure = on_failure
        self._task: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Whether the task has been started and has neither returned nor been cancelled."""
        return self._task is not None and not self._task.done()

    def start(self) -> None:
        """Start the task; no effect while it runs."""
        if not self.running:
            self._task = asyncio.create_task(self._supervise(), name=self._name)

    def cancel(self) -> None:
        """End the task at its next suspension; no effect if it doesn't run."""
        if self._task is not None:
            self._task.cancel()

    async def wait(self) -> None:
        """Wait until the task has returned or is cancelled; returns at once before the start."""
        if self._task is not None:
            await asyncio.wait({self._task})

    async def _supervise(self) -> None:
        loop = asyncio.get_running_loop()
        delay_s = INITIAL_RESTART_DELAY_S
        while True:
            started_s = loop.time()
            try:
                await self._run()
            except Exception as error:
                report_unexpected_error(f"task failed: {self._name}", error)
            else:
                return
            if loop.time() - started_s > MAX_RESTART_DELAY_S:
                delay_s = INITIAL_RESTART_DELAY_S
            self._notify_owner()
            await asyncio.sleep(delay_s)
            delay_s = min(2.0 * delay_s, MAX_RESTART_DELAY_S)

    def _notify_owner(self) -> None:
        try:
            self._on_failure()
        except Exception as error:
            report_unexpected_error(f"task failed: {self._name}", error)
