"""The lock that reserves a state directory for one process."""

from __future__ import annotations

import pytest

from loadbalancer.discovery_server.state_directory import StateDirectory


@pytest.fixture
def directory(tmp_path):
    directory = StateDirectory(tmp_path / "state" / "zone")
    yield directory
    directory.unlock()


def test_directory_is_created_and_holds_one_lock_until_it_is_unlocked(directory):
    directory.lock()
    other = StateDirectory(directory.path)
    with pytest.raises(BlockingIOError, match="another process holds the lock"):
        other.lock()
    other.unlock()
    directory.unlock()
    directory.lock()
    assert (directory.path / "lock").stat().st_mode & 0o777 == 0o600


def test_lock_fails_where_the_directory_cannot_be_created(tmp_path):
    (tmp_path / "file").write_bytes(b"")
    with pytest.raises(NotADirectoryError):
        StateDirectory(tmp_path / "file" / "state").lock()
