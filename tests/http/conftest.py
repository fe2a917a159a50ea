"""A proxy in front of one backend."""

from __future__ import annotations

import pytest

from tests.support.loopback import LoopbackServer, running_proxy


@pytest.fixture
def backend():
    """The backend of `proxy`; a module with another kind of backend overrides it."""
    return LoopbackServer()


@pytest.fixture
async def proxy(backend):
    async with running_proxy(backend) as proxy:
        yield proxy
