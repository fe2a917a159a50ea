"""Fixtures: a connection pool, a clock that a test advances, and whether attempts can be cancelled."""

from __future__ import annotations

import pytest

from tests.support.model_time import AdjustableClock
from tests.support.proxy import open_pool


@pytest.fixture
async def clock():
    """The event loop's clock; request it before the objects that store the loop's `time` method."""
    return AdjustableClock()


@pytest.fixture
async def pool():
    async with open_pool() as pool:
        yield pool


@pytest.fixture(params=[pytest.param(True, id="can cancel"), pytest.param(False, id="cannot cancel")])
def can_cancel(request):
    """Whether the platform lets the proxy cancel attempts."""
    return request.param
