"""The directory that holds the snapshots of one discovery server, and its lock."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"
LOCK_FILE_MODE = 0o600


class StateDirectory:
    """A directory that only one process at a time can use.

    Attributes:
        path: The directory.
    """

    def __init__(self, path: Path) -> None:
        """Set the path; `lock` creates the directory."""
        self.path = path
        self._lock_descriptor: int | None = None

    def lock(self) -> None:
        """Create the directory if it doesn't exist, and lock it until `unlock` or the end of the process.

        Raises:
            BlockingIOError: Another process holds the lock.
            OSError: The directory or its lock file can't be created.
        """
        self.path.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC
        self._lock_descriptor = os.open(self.path / LOCK_FILE, flags, LOCK_FILE_MODE)
        # Two processes that share a state directory would overwrite each other's snapshots. The kernel
        # releases the lock when the process ends, so there is no stale lock after a crash.
        try:
            fcntl.flock(self._lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            message = "another process holds the lock of the state directory"
            raise BlockingIOError(error.errno, message, str(self.path / LOCK_FILE)) from error

    def unlock(self) -> None:
        """Release the lock; no effect if it is not held."""
        if self._lock_descriptor is not None:
            os.close(self._lock_descriptor)
            self._lock_descriptor = None
