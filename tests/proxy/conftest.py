"""A connection pool, and a clock that a test advances."""

from __future__ import annotations

import pytest

from tests.support.model_time import AdjustableClock
from tests.support.proxy import open_pool


@pytest.fixture
async def clock():
    """The event loop's clock; a test requests it before the objects that keep the loop's clock."""
    return AdjustableClock()


@pytest.fixture
async def pool():
    async with open_pool() as pool:
        yield pool
