"""Snapshot files: damage, failed writes, and files of the previous version."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from loadbalancer.discovery_server import snapshot_store
from loadbalancer.discovery_server.records import Snapshot
from loadbalancer.discovery_server.revisions import (
    CLOCK_TICK_MS,
    EPOCH_MS,
    REVISION_GAP_TICKS,
    STARTUP_LEAD_TICKS,
    tick_count,
)
from loadbalancer.discovery_server.snapshot_store import SnapshotError, SnapshotStore
from tests.discovery_server.builders import (
    LIST_NAME,
    TAG,
    apply,
    decoded,
    entry,
    restored,
    snapshots,
    store_with,
)

# Written before fields were renamed: three entries, then a change of one, then a removal with an addition.
PREVIOUS_VERSION = Path(__file__).parent / "data" / "previous_version.snapshot"


def test_snapshot_with_any_byte_cut_off_changed_or_added_is_rejected():
    store = store_with(entry("a"), entry("b"))
    apply(store, False, entry("a", "Gone"))
    snapshot = store.snapshot()
    data = snapshot_store.encode(snapshot)
    assert snapshot_store.decode(data, LIST_NAME) == snapshot
    corrupt = [data[:length] for length in range(len(data))] + [data + b"\0"]
    for index in range(len(data)):
        corrupt += [data[:index] + bytes([data[index] ^ 1 << bit]) + data[index + 1 :] for bit in range(8)]
    for corrupt_data in corrupt:
        with pytest.raises(SnapshotError):
            snapshot_store.decode(corrupt_data, LIST_NAME)
    with pytest.raises(SnapshotError, match=f"of the list 't', found '{LIST_NAME}'"):
        snapshot_store.decode(data, "t")


@pytest.fixture
def store(tmp_path):
    return SnapshotStore(tmp_path, LIST_NAME)


def damage_each_way(path, damage):
    """Damage a file in each way of this kind; yields after each of them."""
    data = path.read_bytes()
    for length in range(len(data)) if damage == "cut" else [0]:
        path.unlink(missing_ok=True)
        if damage in ("cut", "empty"):
            path.write_bytes(data[:length])
        elif damage == "flipped":
            path.write_bytes(data[:9] + b"?" + data[10:])
        elif damage == "unreadable":
            path.mkdir()
        yield


def reloaded(store):
    """What another process loads from the files of this store."""
    return SnapshotStore(store.newest.parent, LIST_NAME).load()


def test_newest_snapshot_is_loaded(store):
    one, two = snapshots(2)
    assert store.load() == (None, [])
    store.write(one)
    store.write(two)
    assert reloaded(store) == (two, [])


@pytest.mark.parametrize("damage", ["cut", "flipped", "empty", "missing", "unreadable"])
def test_previous_snapshot_is_loaded_if_the_newest_is_damaged(store, damage):
    one, two = snapshots(2)
    store.write(one)
    store.write(two)
    for _ in damage_each_way(store.newest, damage):
        snapshot, errors = reloaded(store)
        assert (snapshot, len(errors)) == (one, damage != "missing")


@pytest.mark.parametrize("damage", ["cut", "flipped", "empty", "missing", "unreadable"])
def test_previous_snapshot_is_retained_until_another_valid_one_is_written(store, damage):
    one, two, three, four = snapshots(4)
    store.write(one)
    store.write(two)
    for _ in damage_each_way(store.newest, damage):
        again = SnapshotStore(store.newest.parent, LIST_NAME)
        again.load()
    if damage == "unreadable":
        store.newest.rmdir()
    again.write(three)
    newest_data = store.newest.read_bytes()
    store.newest.write_bytes(newest_data[:-1])
    assert reloaded(store).snapshot == one, "a damaged snapshot replaced the valid one"
    store.newest.write_bytes(newest_data)
    again.write(four)
    assert reloaded(store) == (four, [])
    store.newest.unlink()
    assert reloaded(store) == (three, [])


def test_failed_write_does_not_change_the_files(store, monkeypatch):
    one, two = snapshots(2)
    store.write(one)

    def fail_with_full_disk(_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail_with_full_disk)
    with pytest.raises(OSError, match="No space"):
        store.write(two)
    monkeypatch.undo()
    assert reloaded(store) == (one, [])


def test_stored_fields_keep_their_names():
    assert Snapshot.__struct_encode_fields__ == (
        "name",
        "tag",
        "revision",
        "rows",
        "base",
        "steps",
        "lead",
    )


def test_snapshot_of_the_previous_version_is_read_and_written_byte_for_byte(tmp_path):
    data = PREVIOUS_VERSION.read_bytes()
    (tmp_path / "s.snapshot").write_bytes(data)
    store = SnapshotStore(tmp_path, LIST_NAME)
    snapshot, errors = store.load()
    assert errors == []
    assert snapshot is not None
    store.write(snapshot)
    assert (tmp_path / "s.snapshot").read_bytes() == data
    assert (tmp_path / "s.snapshot.previous").read_bytes() == data


def test_list_of_the_previous_version_is_served_with_its_change_log():
    snapshot = snapshot_store.decode(PREVIOUS_VERSION.read_bytes(), LIST_NAME)
    first, second, last = 1310720786432005, 1310720786563077, 1310720786694149
    listed = {"a": "Ready", "b": "Terminating", "d": "Ready"}
    assert (snapshot.tag, snapshot.revision, snapshot.base_revision) == (TAG, last, first)
    assert [change_set.revision for change_set in snapshot.change_sets] == [second, last]
    responses = restored(snapshot).responses
    assert decoded(responses.since(None)) == (last, True, listed)
    assert decoded(responses.since(second)) == (last, False, {"c": "Gone", "d": "Ready"})
    assert decoded(responses.since(first)).states == {"b": "Terminating", "c": "Gone", "d": "Ready"}
    assert responses.since(last) is None


def test_list_of_the_previous_version_continues_one_gap_above_its_stored_revision():
    """Its snapshot stores no lead, and revisions above the stored one may have been issued."""
    snapshot = snapshot_store.decode(PREVIOUS_VERSION.read_bytes(), LIST_NAME)
    assert snapshot.lead_ticks == 0
    stored_ms = EPOCH_MS + (tick_count(snapshot.revision) - STARTUP_LEAD_TICKS) * CLOCK_TICK_MS
    store = restored(snapshot, stored_ms)
    next_revision = apply(store, False, entry("e"), now_ms=stored_ms)
    assert tick_count(next_revision) == tick_count(snapshot.revision) + REVISION_GAP_TICKS
