"""A proxy in front of one backend, a connection pool, and a clock that a test advances."""

from __future__ import annotations

import pytest

from tests.support.loopback import LoopbackServer, running_proxy
from tests.support.model_time import AdjustableClock
from tests.support.proxy import open_pool


@pytest.fixture
async def clock():
    """The event loop's clock; a test requests it before the objects that keep the loop's clock."""
    return AdjustableClock()


@pytest.fixture
def backend():
    """The backend of `proxy`."""
    return LoopbackServer()


@pytest.fixture
async def proxy(backend):
    async with running_proxy(backend) as proxy:
        yield proxy


@pytest.fixture
async def pool():
    async with open_pool() as pool:
        yield pool
