"""Snapshot files of endpoint lists: atomically replaced, with a length and a checksum."""

from __future__ import annotations

import hashlib
import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from loadbalancer.discovery_server.records import Snapshot

MAGIC = b"orchidledge directory 1\n"  # an earlier name of the program; files of all versions begin with it
LENGTH_BYTES = 8
DIGEST_BYTES = 16
DIGEST_START = len(MAGIC) + LENGTH_BYTES
BODY_START = DIGEST_START + DIGEST_BYTES


class SnapshotError(ValueError):
    """A file that is not a complete, undamaged snapshot of this list."""


class LoadedSnapshot(NamedTuple):
    """The newest valid snapshot.

    Attributes:
        snapshot: The snapshot; None without a valid file.
        errors: A message for each newer file that can't be used.
    """

    snapshot: Snapshot | None
    errors: list[str]


def encode(snapshot: Snapshot) -> bytes:
    """Encode the content of a snapshot's file: magic, length, digest and MessagePack body."""
    body = msgspec.msgpack.encode(snapshot)
    return MAGIC + len(body).to_bytes(LENGTH_BYTES, "big") + _digest(body) + body


def decode(data: bytes, name: str) -> Snapshot:
    """Decode the content of a snapshot's file, which must belong to the list of this name.

    Raises:
        SnapshotError: The data is truncated or damaged, or the snapshot belongs to another list.
    """
    body = data[BODY_START:]
    if len(data) < BODY_START or not data.startswith(MAGIC):
        raise SnapshotError(
            f"expected a header of {BODY_START} bytes that begins with {MAGIC!r}, "
            f"found a file of {len(data)} bytes that begins with {data[: len(MAGIC)]!r}"
        )
    stated_length = int.from_bytes(data[len(MAGIC) : DIGEST_START], "big")
    if stated_length != len(body):
        raise SnapshotError(f"the header states a body of {stated_length} bytes, found {len(body)} bytes")
    stated_digest, digest = data[DIGEST_START:BODY_START], _digest(body)
    if stated_digest != digest:
        raise SnapshotError(f"the header states the checksum {stated_digest.hex()}, found {digest.hex()}")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        raise SnapshotError(f"the body is not a snapshot in MessagePack: {error}") from error
    if snapshot.name != name:
        raise SnapshotError(f"expected a snapshot of the list {name!r}, found {snapshot.name!r}")
    return snapshot


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


class SnapshotStore:
    """The newest snapshot file of one list and the previous one. Methods block; only one write at a time.

    Attributes:
        name: The list's name in the configuration.
        newest: The path of the newest snapshot.
        previous: The path of the snapshot before it.
    """

    def __init__(self, directory: Path, name: str) -> None:
        """Use the files of the list of this name in an existing directory."""
        self.name = name
        self.newest = directory / f"{name}.snapshot"
        self.previous = directory / f"{name}.snapshot.previous"
        self._temporary = directory / f"{name}.snapshot.new"
        self._newest_is_valid = False  # only a valid newest file replaces the previous one

    def load(self) -> LoadedSnapshot:
        """Read the newest valid snapshot. A missing file is not an error."""
        errors: list[str] = []
        for path in (self.newest, self.previous):
            try:
                snapshot = decode(path.read_bytes(), self.name)
            except FileNotFoundError:
                continue
            except SnapshotError as error:
                errors.append(f"{path.name}: {error}")
            except OSError as error:
                errors.append(f"{path.name}: the file can't be read: {error.strerror}")
            else:
                self._newest_is_valid = path == self.newest
                return LoadedSnapshot(snapshot, errors)
        return LoadedSnapshot(None, errors)

    def write(self, snapshot: Snapshot) -> None:
        """Make this the newest snapshot, durably.

        Raises:
            OSError: The write failed; the earlier files remain.
        """
        with self._temporary.open("wb") as file:
            file.write(encode(snapshot))
            file.flush()
            os.fsync(file.fileno())
        # If the newest file is damaged, the previous one is the only valid snapshot, and the damaged file
        # must not replace it. The damaged file is overwritten instead, and the previous one is kept.
        if self._newest_is_valid:
            self.newest.replace(self.previous)
        self._temporary.replace(self.newest)
        self._newest_is_valid = True
        self._sync_directory()

    def _sync_directory(self) -> None:
        descriptor = os.open(self.newest.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
