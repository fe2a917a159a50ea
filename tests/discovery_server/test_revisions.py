"""Revisions increase and are never issued for two lists, whatever the clock, the disk and the clients do."""

from __future__ import annotations

import pytest

from loadbalancer.discovery_server.revisions import (
    CLOCK_TICK_MS,
    EPOCH_MS,
    MAX_TRUSTED_LEAD_TICKS,
    STARTUP_LEAD_TICKS,
    TAG_BITS,
)
from tests.discovery_server.builders import (
    NOW_MS,
    TAG,
    advance_past,
    apply,
    decoded,
    entry,
    restored,
    store_with,
    update,
)


@pytest.mark.parametrize(
    "clock",
    [
        pytest.param([NOW_MS] * 9, id="stopped"),
        pytest.param([NOW_MS - index * 1e9 for index in range(9)], id="running backwards"),
        pytest.param([0.0] * 9, id="before the epoch"),
        pytest.param([EPOCH_MS + 6.5e11] * 9, id="20 years later"),
    ],
)
def test_revisions_increase_with_any_clock_and_stay_exact_in_a_double(clock):
    store = store_with(now_ms=clock[0])
    revisions = [store.revision]
    for index, now_ms in enumerate(clock):
        revisions.append(apply(store, False, entry(f"s{index}"), now_ms=now_ms))
        snapshot = store.snapshot()
        if index % 3 == 2:
            store = restored(snapshot, now_ms)
    assert revisions == sorted(set(revisions))
    assert revisions[-1] < 2**53
    assert {revision % (1 << TAG_BITS) for revision in revisions} == {TAG}


def test_revisions_lost_with_the_disk_are_not_issued_again():
    """A process issues 50 revisions at the same clock reading, and their snapshots are lost."""
    start_ms, restart_ms = NOW_MS - 1000.0, NOW_MS + 1.0
    old = store_with(entry("a"), now_ms=start_ms)
    lost = [apply(old, False, entry("a", port=10 + index)) for index in range(50)]
    first_snapshot = store_with(entry("a"), now_ms=start_ms).snapshot()
    for new in (store_with(entry("z")), restored(first_snapshot, restart_ms)):
        latest = apply(new, False, entry("y"), now_ms=restart_ms)
        assert latest not in lost
        for revision in lost:
            if new.is_outdated_for(revision, restart_ms):
                advance_past(new, revision, restart_ms)
            response = decoded(new.responses.since(revision))
            assert (response.revision > revision, response.complete) == (True, True)


@pytest.mark.parametrize("remaining", ["an older snapshot", "nothing"])
def test_lost_revision_ahead_of_the_clock_is_not_issued_again(remaining):
    """A process issues revisions five minutes ahead of the clock, and the last five are lost."""
    old = store_with(entry("a"))
    advance_past(old, old.revision + (30_000 << TAG_BITS))
    snapshot = old.snapshot()
    lost = [apply(old, False, entry("a", port=10 + index)) for index in range(5)]
    restart_ms = NOW_MS + 1000.0
    if remaining == "nothing":
        new = store_with(entry("z"), now_ms=restart_ms)
        assert new.is_outdated_for(lost[0], restart_ms)
        advance_past(new, lost[0], restart_ms)
    else:
        new = restored(snapshot, restart_ms)
        apply(new, False, entry("z"), now_ms=restart_ms)
    assert new.revision > max(lost)
    assert [decoded(new.responses.since(revision)).complete for revision in lost] == [True] * 5


def test_prepared_revision_is_not_issued_for_another_list():
    """During the snapshot write a client of another server advances the revision; the process is killed."""
    store = store_with(entry("a"), now_ms=NOW_MS - 61_300.0)
    change_set = store.prepare([update(False, entry("b"))], NOW_MS)
    snapshot = store.snapshot(change_set)
    advance_past(store, store.revision + 1)
    reloaded = restored(snapshot)
    assert reloaded.revision != store.revision


def test_newer_revision_of_a_client_is_exceeded_unless_no_clock_can_have_issued_it():
    store = store_with(entry("a"))
    other_tag_revision = store.revision + (1000 << TAG_BITS) + 1
    assert store.is_outdated_for(other_tag_revision, NOW_MS)
    before = store.revision
    advance_past(store, other_tag_revision)
    assert store.revision > other_tag_revision
    assert store.responses.since(before) is None
    assert decoded(store.responses.since(other_tag_revision)).complete is True
    now_ticks = int((NOW_MS - EPOCH_MS) / CLOCK_TICK_MS)
    limit = (now_ticks + MAX_TRUSTED_LEAD_TICKS) << TAG_BITS
    assert store.is_outdated_for(limit, NOW_MS) is True
    assert store.is_outdated_for(limit + (1 << TAG_BITS), NOW_MS) is False
    assert STARTUP_LEAD_TICKS < MAX_TRUSTED_LEAD_TICKS


def test_revision_advanced_for_a_client_is_not_issued_again_after_a_restart_of_one_second():
    """The process is killed before the revision is stored."""
    old = store_with(entry("a"))
    snapshot = old.snapshot()
    advance_past(old, old.revision + 77)
    restart_ms = NOW_MS + 1000.0
    new = restored(snapshot, restart_ms)
    apply(new, False, entry("b"), now_ms=restart_ms)
    assert new.revision != old.revision
