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
    """The backend of `proxy`, whose script a test may set."""
    return LoopbackServer()


@pytest.fixture
def proxy_options():
    """Further arguments of `running_proxy` for `proxy`; a module with another configuration overrides it."""
    return {}


@pytest.fixture
async def proxy(backend, proxy_options):
    async with running_proxy(backend, **proxy_options) as proxy:
        yield proxy


@pytest.fixture
async def pool():
    async with open_pool() as pool:
        yield pool
