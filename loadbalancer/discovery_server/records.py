"""Values that the parts of the discovery server exchange: records, updates, change sets, snapshots."""

from __future__ import annotations

import msgspec
import orjson

REMOVED_STATE = "Gone"  # what the protocol calls an endpoint that is no longer listed


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An endpoint's entry of the list in the form that goes over the wire.

    Attributes:
        uid: The endpoint's identity, which no restart changes.
        entry_json: The whole entry as JSON.
        removed: Whether the entry says that the endpoint is gone: such a record is a tombstone.
    """

    uid: str
    entry_json: bytes
    removed: bool = False


class EndpointUpdate(msgspec.Struct, frozen=True):
    """What an upstream sent: the complete list, or changes to the list that it sent before."""

    complete: bool
    records: tuple[EndpointRecord, ...]


class ChangeSet(msgspec.Struct, frozen=True, array_like=True):
    """The changes that lead to a revision; without records where only the revision had to go up."""

    revision: int
    records: tuple[EndpointRecord, ...] = ()

    @property
    def json_bytes(self) -> int:
        """The bytes of JSON of all its entries."""
        return sum(len(record.entry_json) for record in self.records)


class Snapshot(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={"records": "rows", "base_revision": "base", "change_sets": "steps", "lead_ticks": "lead"},
):
    """All of an endpoint list that a restart has to find again.

    The stored field names are those of the first version, so that all versions read each other's files.

    Attributes:
        name: The list's name in the configuration.
        tag: The discovery server's own low bits of each revision.
        revision: The revision of the records.
        records: The endpoints that are listed at this revision, without tombstones.
        base_revision: The revision before the first of the change sets.
        change_sets: The change log, oldest first.
        lead_ticks: How far ahead of its clock the next process has to begin, in ticks; 0 in the files of
            versions that did not store it.
    """

    name: str
    tag: int
    revision: int
    records: tuple[EndpointRecord, ...]
    base_revision: int
    change_sets: tuple[ChangeSet, ...]
    lead_ticks: int = 0


def record_from_entry(entry: dict[str, object]) -> EndpointRecord:
    """The record of an entry that has passed the protocol's parser."""
    return EndpointRecord(str(entry["uid"]), orjson.dumps(entry), entry["state"] == REMOVED_STATE)


def tombstone(record: EndpointRecord) -> EndpointRecord:
    """The record that tells clients of this endpoint's removal."""
    return record_from_entry({**orjson.loads(record.entry_json), "state": REMOVED_STATE})
