"""Builders of endpoint entries, updates and stores, and a reader of response bodies."""

from __future__ import annotations

from typing import Any, NamedTuple

import orjson

from loadbalancer.discovery_server.config import ListLimits
from loadbalancer.discovery_server.endpoint_store import EndpointStore
from loadbalancer.discovery_server.records import EndpointUpdate, Snapshot, record_from_entry
from loadbalancer.discovery_server.revisions import EPOCH_MS
from loadbalancer.discovery_server.upstream_list import parse_upstream_list

NOW_MS = EPOCH_MS + 1e11
LIST_NAME = "s"
TAG = 5

Entry = dict[str, Any]


class Response(NamedTuple):
    """The content of a response body: its revision, whether it is complete, and each endpoint's state."""

    revision: int
    complete: bool
    states: dict[str, str]


def entry(uid: str, state: str = "Ready", port: int = 9) -> Entry:
    return {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "a", "model": "m2", "state": state}


def update(complete: bool, *entries: Entry) -> EndpointUpdate:
    return EndpointUpdate(complete, tuple(record_from_entry(item) for item in entries))


def empty_store(now_ms: float = NOW_MS, **limits: int) -> EndpointStore:
    return EndpointStore(LIST_NAME, TAG, ListLimits(**limits), now_ms)


def store_with(*entries: Entry, now_ms: float = NOW_MS, **limits: int) -> EndpointStore:
    store = empty_store(now_ms, **limits)
    apply(store, True, *entries, now_ms=now_ms)
    return store


def restored(snapshot: Snapshot, now_ms: float = NOW_MS, **limits: int) -> EndpointStore:
    store = empty_store(now_ms, **limits)
    store.restore(snapshot, now_ms)
    return store


def apply(store: EndpointStore, complete: bool, *entries: Entry, now_ms: float = NOW_MS) -> int:
    """Apply an update; returns the revision after it."""
    change_set = store.prepare([update(complete, *entries)], now_ms)
    if change_set is not None:
        store.commit(change_set)
    return store.revision


def advance_past(store: EndpointStore, revision: int, now_ms: float = NOW_MS) -> None:
    """Advance the store as the update pipeline does for a client that holds this newer revision."""
    change_set = store.prepare((), now_ms, minimum_revision=revision)
    assert change_set is not None
    store.commit(change_set)


def snapshots(count: int) -> list[Snapshot]:
    """Snapshots of one list, one after each of `count` changes."""
    store = store_with(entry("a"))
    result = []
    for index in range(count):
        apply(store, False, entry("a", port=10 + index))
        result.append(store.snapshot())
    return result


def decoded_or_none(body: bytes | None) -> Response | None:
    """The content of a response body, or None without a body."""
    return None if body is None else decoded(body)


def decoded(body: bytes | None) -> Response:
    """The content of a response body, which must be present."""
    assert body is not None
    document = orjson.loads(body)
    parse_upstream_list(document)  # raises an error if nodes and followers could not parse it
    states = {target["uid"]: target["state"] for target in document["targets"]}
    return Response(document["rev"], document["all"], states)
