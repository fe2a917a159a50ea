"""The environment of the model's discovery servers: registry, disks, clock and the record of revisions."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import ParamSpec, TypeVar

import orjson
import structlog

from loadbalancer.discovery_server.revisions import EPOCH_MS
from tests.support.model_time import ModelLoop

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")


class ModelDisk(Executor):
    """Writes immediately; while it is slow, writes wait for `run_pending`; while it is full, they fail."""

    def __init__(self):
        self.slow = self.full = False
        self.pending = []

    def submit(
        self, fn: Callable[Parameters, Result], /, *args: Parameters.args, **kwargs: Parameters.kwargs
    ) -> Future[Result]:
        future: Future[Result] = Future()
        self.pending.append((future, fn, args, kwargs))
        if not self.slow:
            self.run_pending()
        return future

    def run_pending(self):
        pending, self.pending = self.pending, []
        for future, fn, args, kwargs in pending:
            if self.full:
                future.set_exception(OSError(28, "No space left on device"))
            else:
                future.set_result(fn(*args, **kwargs))


class ModelRegistry:
    """The registry's list; the `version` of an entry is the number of its latest change."""

    def __init__(self):
        self.revision, self.version, self.entries = 1, 0, {}
        self.log = []  # (revision, entry)

    def set(self, uid, state):
        if state == "Gone" and uid not in self.entries:
            return
        self.version += 1
        entry = {"uid": uid, "endpoint": "127.0.0.1:9", "state": state, "version": self.version}
        self.revision += 1
        self.log.append((self.revision, entry))
        self.entries.pop(uid, None)
        if state != "Gone":
            self.entries[uid] = entry

    def restart(self, revision):
        """Continue from this revision, without a log of earlier changes."""
        self.revision, self.log = revision, []

    def response_since(self, revision):
        if revision is None or not any(logged == revision + 1 for logged, _ in self.log):
            if revision == self.revision:
                return None
            return self._encode(True, list(self.entries.values()))
        return self._encode(False, [entry for logged, entry in self.log if logged > revision])

    def _encode(self, complete, entries):
        return orjson.dumps({"rev": self.revision, "all": complete, "targets": entries})


class ModelCluster:
    """The event loop, clock, state directory and record of revisions that all servers and nodes share."""

    def __init__(self):
        self.loop = ModelLoop()
        self.directory = tempfile.TemporaryDirectory()
        self.log = structlog.testing.CapturingLogger()
        self.registry = ModelRegistry()
        self.clock_offset_ms = 0.0
        self.issued = {}  # by revision: the list of the server that issued it, as versions by uid
        self.faults = []  # collected, since an exception in a task would go unnoticed

    def now_ms(self):
        return EPOCH_MS + 1e11 + self.clock_offset_ms + self.loop.time() * 1000.0

    def record(self, store):
        view = {record.uid: orjson.loads(record.entry_json)["version"] for record in store.records.values()}
        if self.issued.setdefault(store.revision, view) != view:
            self.faults.append(f"one revision for two lists: {view} and {self.issued[store.revision]}")

    def run(self, seconds=0.001):
        """Run the loop for some model time; a pending write may stay pending."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def call(self, function, *args):
        """Call a function while the event loop runs, and return its result."""

        async def call():
            return function(*args)

        return self.loop.run_until_complete(call())

    def close(self):
        self.loop.close()
        self.directory.cleanup()
