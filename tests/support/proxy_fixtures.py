"""Fixtures for all test folders: a running proxy with one backend."""

from __future__ import annotations

import resource
from collections.abc import AsyncIterator, Iterator
from typing import Any

import pytest

from loadbalancer.proxy.proxy import Proxy
from tests.support.loopback import LoopbackServer, running_proxy


@pytest.fixture
def backend() -> LoopbackServer:
    """The backend of `proxy`, whose script a test may set; modules override it with other backends."""
    return LoopbackServer()


@pytest.fixture
def proxy_options() -> dict[str, Any]:
    """Further arguments of `running_proxy` for `proxy`; modules override it with their configuration."""
    return {}


@pytest.fixture
async def proxy(backend: LoopbackServer, proxy_options: dict[str, Any]) -> AsyncIterator[Proxy]:
    """A running proxy, which is closed together with its backend and clients after the test."""
    async with running_proxy(backend, **proxy_options) as proxy:
        yield proxy


@pytest.fixture
def descriptors_for_clients() -> Iterator[None]:
    """Raise the limit of this process, which has the clients; only the proxy has few descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 8192)), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
