"""Merges updates of an endpoint list into the records that they change. No I/O, no state."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from loadbalancer.discovery_server.records import EndpointRecord, EndpointUpdate, tombstone


class UpdateError(ValueError):
    """An update that can't be applied to the endpoint list."""


class MissingListError(UpdateError):
    """An update with changes that precedes the first complete list."""

    def __init__(self) -> None:
        super().__init__(
            "received changes before the complete list; the first update must be a complete list"
        )


def merge_updates(
    current: Mapping[str, EndpointRecord], updates: Sequence[EndpointUpdate], *, initialized: bool
) -> tuple[EndpointRecord, ...]:
    """The records that differ from the current list once these updates are applied in their order.

    Args:
        current: The listed endpoints by uid, without tombstones.
        updates: The updates, in the order of their arrival.
        initialized: Whether the list has been received or restored; until then changes can't be applied.

    Raises:
        MissingListError: An update with changes precedes the first complete list.
    """
    changes: dict[str, EndpointRecord] = {}
    for update in updates:
        if update.complete:
            initialized = True
            _merge_complete_list(current, changes, update.records)
        elif not initialized:
            raise MissingListError
        else:
            changes.update((record.uid, record) for record in update.records)
    return tuple(record for record in changes.values() if _differs(current.get(record.uid), record))


def _merge_complete_list(
    current: Mapping[str, EndpointRecord],
    changes: dict[str, EndpointRecord],
    records: Sequence[EndpointRecord],
) -> None:
    """Add the changes from the current list to this one; an endpoint that it lacks becomes a tombstone."""
    listed = {record.uid: record for record in records if not record.removed}
    for existing in [*current.values(), *changes.values()]:
        latest = changes.get(existing.uid, existing)
        if latest.uid not in listed and not latest.removed:
            changes[latest.uid] = tombstone(latest)
    changes.update(listed)


def _differs(current: EndpointRecord | None, record: EndpointRecord) -> bool:
    return current is not None if record.removed else current != record
