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
        errors: The fault of each newer file.
    """

    snapshot: Snapshot | None
    errors: list[str]


def encode(snapshot: Snapshot) -> bytes:
    """The content of a snapshot's file: magic, length, digest and MessagePack body."""
    body = msgspec.msgpack.encode(snapshot)
    return MAGIC + len(body).to_bytes(LENGTH_BYTES, "big") + _digest(body) + body


def decode(data: bytes, name: str) -> Snapshot:
    """The snapshot in the content of a file, which must be of the list of this name.

    Raises:
        SnapshotError: A byte is missing, changed or added, or the snapshot is of another list.
    """
    body = data[BODY_START:]
    if len(data) < BODY_START or not data.startswith(MAGIC):
        raise SnapshotError("the header is not a snapshot's")
    if int.from_bytes(data[len(MAGIC) : DIGEST_START], "big") != len(body):
        raise SnapshotError(f"the length in the header is not that of the body: {len(body)} bytes")
    if data[DIGEST_START:BODY_START] != _digest(body):
        raise SnapshotError("the checksum is wrong")
    try:
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as error:
        raise SnapshotError(str(error)) from error
    if snapshot.name != name:
        raise SnapshotError(f"it is of the list {snapshot.name!r}")
    return snapshot


def _digest(body: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


class SnapshotStore:
    """The newest snapshot file of one list and the previous one. Its methods block; one writer at a time.

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
        self._newest_is_valid = False  # only a valid one replaces the previous one

    def load(self) -> LoadedSnapshot:
        """Read the newest valid snapshot. A missing file is no error."""
        errors: list[str] = []
        for path in (self.newest, self.previous):
            try:
                snapshot = decode(path.read_bytes(), self.name)
            except FileNotFoundError:
                continue
            except SnapshotError as error:
                errors.append(f"{path.name}: {error}")
            except OSError as error:
                errors.append(f"{path.name}: {error.strerror}")
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
        # Guard: after a start with a damaged newest file, that file would replace the only valid snapshot. It
        # is therefore overwritten, and the previous one stays.
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
