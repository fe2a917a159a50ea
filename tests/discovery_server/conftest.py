"""Fixtures of the discovery server's tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.discovery_server.cluster import Cluster


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    """A cluster without processes yet, which closes at the end what the test has started in it."""
    async with Cluster(tmp_path) as cluster:
        yield cluster
