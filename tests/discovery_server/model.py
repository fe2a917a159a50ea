"""Stand-ins for a model of the discovery servers: registry, wire, disk and clock.

Stores, watches and snapshots are the real ones. What is drawn at random is up to the test. The model records
what each server held at each revision that it issued.
"""

from __future__ import annotations

import asyncio
import tempfile
from concurrent.futures import Executor, Future
from pathlib import Path

import orjson
import structlog

from loadbalancer.discovery_server import snapshot_store
from loadbalancer.discovery_server.config import ListLimits
from loadbalancer.discovery_server.endpoint_store import EndpointStore
from loadbalancer.discovery_server.revisions import EPOCH_MS, TAG_BITS
from loadbalancer.discovery_server.snapshot_store import SnapshotStore
from loadbalancer.discovery_server.snapshot_writer import SnapshotWriter
from loadbalancer.discovery_server.update_pipeline import (
    RevisionNotReservedError,
    UpdateCallbacks,
    UpdatePipeline,
)
from loadbalancer.discovery_server.upstream_list import parse_upstream_list
from loadbalancer.discovery_server.watch_registry import Watch, WatchRegistry
from tests.support.model_time import ModelLoop

LIST_NAME = "s"
WATCH_TIMEOUT_MS = 3000.0
MAX_WATCHES = 100
MAX_LOG_ENTRIES = 7


class ModelDisk(Executor):
    """Writes at once or, while it is slow, once it is told to; while it is full, all writes fail."""

    def __init__(self):
        self.slow = self.full = False
        self.pending = []

    def submit(self, fn, /, *args):
        future = Future()
        self.pending.append((future, fn, args))
        if not self.slow:
            self.run_pending()
        return future

    def run_pending(self):
        pending, self.pending = self.pending, []
        for future, fn, args in pending:
            if self.full:
                future.set_exception(OSError(28, "No space left on device"))
            else:
                fn(*args)
                future.set_result(None)


class ModelRegistry:
    """The truth: an entry's `version` says which change it is of."""

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
        """Count revisions anew, without the changes of before."""
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
    """What all servers and nodes share: loop, clock, the disk's directory, the record of revisions."""

    def __init__(self):
        self.loop = ModelLoop()
        self.directory = tempfile.TemporaryDirectory()
        self.log = structlog.testing.CapturingLogger()
        self.registry = ModelRegistry()
        self.clock_offset_ms = 0.0
        self.issued = {}  # by revision: what the server that issued it held, uid to version
        self.faults = []  # an exception would end a task unseen

    def now_ms(self):
        return EPOCH_MS + 1e11 + self.clock_offset_ms + self.loop.time() * 1000.0

    def record(self, store):
        view = {record.uid: orjson.loads(record.entry_json)["version"] for record in store.records.values()}
        if self.issued.setdefault(store.revision, view) != view:
            self.faults.append(f"one revision for two states: {view} and {self.issued[store.revision]}")

    def run(self, seconds=0.001):
        """Let what has been started continue; a pending write may stay pending."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def call(self, function, *args):
        """What the function returns, called within the running loop."""

        async def call():
            return function(*args)

        return self.loop.run_until_complete(call())

    def close(self):
        self.loop.close()
        self.directory.cleanup()


class RecordingStore(EndpointStore):
    """Records each commit, and checks that its snapshot is on the disk before any client sees it."""

    def __init__(self, server, *args):
        super().__init__(*args)
        self._server = server

    def commit(self, change_set):
        super().commit(change_set)
        cluster = self._server.cluster
        cluster.record(self)
        if change_set.records and not self._server.pipeline.writer.outdated:
            snapshot = snapshot_store.decode(self._server.snapshots.newest.read_bytes(), LIST_NAME)
            if set(snapshot.records) != set(self.records.values()):
                cluster.faults.append("sent before it was on the disk")


class ModelServer:
    """A discovery server; of its follower only what it requests, and what it does with the answer."""

    def __init__(self, cluster, name, tag, upstreams):
        self.cluster, self.tag, self.upstreams = cluster, tag, upstreams
        self.path = Path(cluster.directory.name) / name
        self.path.mkdir()
        self.start()

    def start(self):
        self.disk, self.watches = ModelDisk(), WatchRegistry(MAX_WATCHES)
        limits = ListLimits(max_log_entries=MAX_LOG_ENTRIES)
        store = RecordingStore(self, LIST_NAME, self.tag, limits, self.cluster.now_ms())
        self.snapshots = SnapshotStore(self.path, LIST_NAME)
        snapshot, _ = self.snapshots.load()
        if snapshot is not None:
            store.restore(snapshot, self.cluster.now_ms())
            self.cluster.record(store)
        writer = SnapshotWriter(self.snapshots, self.disk, self.cluster.log)
        self.pipeline = UpdatePipeline(
            store,
            writer,
            UpdateCallbacks(self.watches.notify, self.disconnect),
            self.cluster.now_ms,
            self.cluster.log,
        )
        self.connection = None  # the upstream, and the revision last received on this connection
        self.rejected_revisions = []  # of unknown clients, whose requests wait for the disk
        self.alive = True

    def disconnect(self):
        self.connection = None

    @property
    def store(self):
        return self.pipeline.store

    def response_since(self, revision):
        if not self.alive or not self.store.initialized:
            raise ConnectionError
        try:
            return self.pipeline.response_since(revision)
        except RevisionNotReservedError as error:
            raise ConnectionError from error  # as after a 503

    def poll_upstream(self):
        """The follower's next request; a failure or a lost connection takes it to the next upstream."""
        upstream, revision = self.connection or (self.upstreams[0], None)
        try:
            body = upstream.response_since(revision)
        except ConnectionError:
            self.connection = None
            self.upstreams = [*self.upstreams[1:], self.upstreams[0]]
            return
        if body is not None:
            received = parse_upstream_list(orjson.loads(body))
            assert revision is not None or received.complete
            self.connection = upstream, received.revision
            if received.complete or received.update.records:
                self.pipeline.submit(received.update)

    def poll_upstream_and_run(self):
        async def poll():
            self.poll_upstream()
            await asyncio.sleep(0.001)

        self.cluster.loop.run_until_complete(poll())

    def flush(self, batch_size=MAX_WATCHES):
        self.watches.flush(batch_size)

    def expire(self, now_ms):
        self.watches.expire(now_ms)

    def kill(self):
        """As by SIGKILL: what was not on the disk is lost."""
        self.alive = False
        if self.pipeline._task is not None:
            self.pipeline._task.cancel()
            self.cluster.run()
        self.disk.pending.clear()


class ModelNode:
    """Sends requests as the watch client does, from the revision it holds, to any server."""

    def __init__(self, cluster, server):
        self.cluster, self.server = cluster, server
        self.revision, self.view = 0, {}
        self.received = {}  # by uid: the state and version last received
        self.watch = None

    def disconnect(self):
        if self.watch is not None:
            self.server.watches.cancel(self.watch)
        self.watch = None

    def request(self):
        if self.watch is not None:
            return
        try:
            body = self.cluster.call(self.server.response_since, self.revision)
        except ConnectionError:
            return
        if body is not None:
            self.receive(body)
            return
        self.watch = Watch(self.server.store, self.revision, self.on_watch_completed)
        deadline_ms = self.cluster.loop.time() * 1000.0 + WATCH_TIMEOUT_MS
        assert self.server.watches.add(self.watch, deadline_ms)

    def on_watch_completed(self, body):
        self.watch = None
        self.receive(body)

    def receive(self, body):
        document = orjson.loads(body)
        revision, complete = document["rev"], document["all"]
        entries = {entry["uid"]: (entry["state"], entry["version"]) for entry in document["targets"]}
        assert revision >= self.revision, "a revision went back"
        repeated = set() if complete else self.repeated_uids(entries, revision)
        assert not repeated, f"received twice: {repeated}"
        # A removal stays in what was received: one added and removed in between may come as a tombstone
        # alone.
        self.received = entries if complete else self.received | entries
        self.view = {uid: version for uid, (state, version) in self.received.items() if state != "Gone"}
        assert len(self.view) == len(entries) or not complete
        self.revision = revision
        assert self.view == self.cluster.issued[revision], "not what the server held at this revision"

    def repeated_uids(self, entries, revision):
        """Entries of a delta that say what was received before, though they had not changed in between.

        What had changed, and back, does come again: an endpoint that a server's disk had lost.
        """
        tag = revision % (1 << TAG_BITS)
        between = [
            view
            for issued, view in self.cluster.issued.items()
            if self.revision < issued <= revision and issued % (1 << TAG_BITS) == tag
        ]
        return {
            uid
            for uid, entry in entries.items()
            if self.received.get(uid) == entry
            and all(view.get(uid) == self.view.get(uid) for view in between)
        }
