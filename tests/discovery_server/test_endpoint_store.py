"""Responses of an endpoint store: deltas, complete lists, and the limits of the list and its change log."""

from __future__ import annotations

import pytest

from loadbalancer.discovery_server.endpoint_store import ListLimitError
from loadbalancer.discovery_server.revisions import TAG_BITS
from loadbalancer.discovery_server.update_merge import MissingListError
from tests.discovery_server.builders import (
    NOW_MS,
    apply,
    decoded,
    decoded_or_none,
    empty_store,
    entry,
    restored,
    store_with,
    update,
)


def test_response_is_a_merged_delta_or_the_complete_list():
    store = store_with(*(entry(uid) for uid in "abcdef"))
    first = store.revision
    second = apply(store, False, entry("b", "Terminating"))
    third = apply(store, False, entry("b", "Gone"), entry("g"))
    assert first < second < third
    complete = dict.fromkeys("acdefg", "Ready")
    cases = {
        third: None,
        second: (third, False, {"b": "Gone", "g": "Ready"}),
        first: (third, False, {"b": "Gone", "g": "Ready"}),
        None: (third, True, complete),
        first - 1: (third, True, complete),
        second + 1: (third, True, complete),
        third + (1 << TAG_BITS): (third, True, complete),
        0: (third, True, complete),
        -1: (third, True, complete),
    }
    assert {revision: decoded_or_none(store.responses.since(revision)) for revision in cases} == cases
    assert decoded(store.responses.unchanged()) == (third, False, {})


def test_first_list_is_complete_for_a_client_at_revision_0():
    store = store_with(entry("a"))
    assert decoded(store.responses.since(0)) == (store.revision, True, {"a": "Ready"})
    apply(store, False, entry("b"))
    assert decoded(store.responses.since(0)) == (store.revision, True, {"a": "Ready", "b": "Ready"})


def test_complete_list_from_upstream_becomes_a_delta():
    rest = [entry(f"x{index}") for index in range(9)]
    store = store_with(entry("a"), entry("b"), *rest)
    before = store.revision
    assert apply(store, True, entry("b"), entry("a"), *rest) == before
    after = apply(store, True, entry("b", "Terminating"), entry("c"), *rest)
    expected = (after, False, {"a": "Gone", "b": "Terminating", "c": "Ready"})
    assert decoded(store.responses.since(before)) == expected
    assert apply(store, False, entry("never listed", "Gone")) == after


def test_complete_list_replaces_a_longer_delta():
    store = store_with(*(entry(uid) for uid in "abcdef"))
    before = store.revision
    after = apply(store, True, entry("f"), entry("g"))
    assert decoded(store.responses.since(before)) == (after, True, {"f": "Ready", "g": "Ready"})


@pytest.mark.parametrize("limits", [{"max_log_entries": 9}, {"max_log_bytes": 500}])
def test_revision_older_than_the_change_log_gets_the_complete_list(limits):
    store = store_with(*(entry(f"s{index}") for index in range(40)), **limits)
    changes = (apply(store, False, entry(f"s{index}", port=10)) for index in range(40))
    revisions = [store.revision, *changes]
    complete = [decoded(store.responses.since(revision)).complete for revision in revisions[:-1]]
    assert complete == sorted(complete, reverse=True)
    assert 2 <= complete.count(False) <= 8
    reloaded = restored(store.snapshot(), **limits)
    assert [decoded_or_none(reloaded.responses.since(revision)) for revision in revisions] == [
        decoded_or_none(store.responses.since(revision)) for revision in revisions
    ]


def test_list_over_its_limits_is_rejected_but_may_shrink():
    store = store_with(entry("a"), entry("b"), max_entries=3, max_bytes=400)
    for uids in (["c", "d"], ["c" * 300]):
        with pytest.raises(ListLimitError):
            apply(store, False, *(entry(uid) for uid in uids))
    apply(store, False, entry("c"), entry("a", "Gone"))
    over_limit = restored(store.snapshot(), max_entries=1)
    apply(over_limit, True, entry("c"))
    assert list(over_limit.records) == ["c"]


def test_changes_before_a_complete_list_are_rejected():
    with pytest.raises(MissingListError, match="before the complete list"):
        empty_store().prepare([update(False, entry("a"))], NOW_MS)


def test_cached_responses_are_replaced_after_a_commit():
    store = store_with(*(entry(uid) for uid in "abcdef"))
    first = store.revision
    apply(store, False, entry("g"))
    for revision in (None, first):
        store.responses.since(revision)
    store.responses.unchanged()
    last = apply(store, False, entry("h"))
    assert decoded(store.responses.since(None)) == (last, True, dict.fromkeys("abcdefgh", "Ready"))
    assert decoded(store.responses.since(first)) == (last, False, {"g": "Ready", "h": "Ready"})
    assert decoded(store.responses.unchanged()) == (last, False, {})
