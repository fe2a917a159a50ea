"""Data types of the discovery server: records, updates, change sets and snapshots."""

from __future__ import annotations

import msgspec
import orjson

REMOVED_STATE = "Gone"  # the protocol's state of an endpoint that is no longer listed


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An endpoint's entry of the list, in its wire form.

    Attributes:
        uid: The endpoint's identifier, which is the same after its restarts.
        entry_json: The complete entry as JSON.
        removed: Whether the endpoint is no longer listed; such a record is a tombstone.
    """

    uid: str
    entry_json: bytes
    removed: bool = False


class EndpointUpdate(msgspec.Struct, frozen=True):
    """An update from an upstream.

    Attributes:
        complete: Whether the records are the complete list; otherwise they are changes to the upstream's
            previous list.
        records: The records, in the upstream's order.
    """

    complete: bool
    records: tuple[EndpointRecord, ...]


class ChangeSet(msgspec.Struct, frozen=True, array_like=True):
    """The changes between a revision and the previous one.

    Attributes:
        revision: The revision after the changes.
        records: The changed endpoints; empty if only the revision changes, for a client of another server.
    """

    revision: int
    records: tuple[EndpointRecord, ...] = ()

    @property
    def json_bytes(self) -> int:
        """The size of all entries' JSON, in bytes."""
        return sum(len(record.entry_json) for record in self.records)


class Snapshot(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={"records": "rows", "base_revision": "base", "change_sets": "steps", "lead_ticks": "lead"},
):
    """The stored state of an endpoint list, from which the next process continues.

    The stored field names are those of the first version, so that all versions can read each other's files.

    Attributes:
        name: The list's name in the configuration.
        tag: The low bits of each revision, which distinguish the revisions of different servers.
        revision: The revision of the records.
        records: The listed endpoints at this revision, without tombstones.
        base_revision: The revision before the first of the change sets.
        change_sets: The change log, oldest first.
        lead_ticks: The lead over the clock, in ticks, with which the next process starts; 0 in the files of
            versions that don't store it.
    """

    name: str
    tag: int
    revision: int
    records: tuple[EndpointRecord, ...]
    base_revision: int
    change_sets: tuple[ChangeSet, ...]
    lead_ticks: int = 0


def record_from_entry(entry: dict[str, object]) -> EndpointRecord:
    """The record of an entry that the protocol's parser has accepted.

    Raises:
        orjson.JSONEncodeError: The entry nests more deeply than the encoder allows.
    """
    return EndpointRecord(str(entry["uid"]), orjson.dumps(entry), entry["state"] == REMOVED_STATE)


def tombstone(record: EndpointRecord) -> EndpointRecord:
    """The record that removes this endpoint from the lists of clients."""
    return record_from_entry({**orjson.loads(record.entry_json), "state": REMOVED_STATE})
