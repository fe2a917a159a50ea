"""Fixtures of the discovery server's tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from tests.discovery_server.cluster import Cluster


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    """A cluster without servers, which closes at the end of the test what the test starts in it."""
    async with Cluster(tmp_path) as cluster:
        yield cluster
