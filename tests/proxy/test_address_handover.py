"""A process that comes up at the address of another: attempts go to the process that the list means."""

from __future__ import annotations

import time
from typing import Any

import orjson
import pytest

from loadbalancer.discovery.endpoint_list import parse_endpoint_list
from loadbalancer.events import UpdateKind
from loadbalancer.proxy.proxy import Proxy
from tests.support.loopback import LoopbackServer, running_proxy, send_request
from tests.support.messages import Message, request, response_bytes, targets
from tests.support.proxy import policy_sending_to
from tests.support.proxy_config import config
from tests.support.scripted_policy import script_policy

SHARED = "127.0.0.1:9"
OTHER = "127.0.0.1:10"


def entry(uid: str, endpoint: str = SHARED, state: str = "Ready", started_ms: int = 0) -> dict[str, Any]:
    (target,) = targets(**{uid: (endpoint, state)})
    return target | {"boot_ms": started_ms}


def update(complete: bool, *entries: dict[str, Any]):
    document = orjson.loads(orjson.dumps({"rev": 1, "all": complete, "targets": entries}))
    return (UpdateKind.COMPLETE if complete else UpdateKind.DELTA), parse_endpoint_list(document)


OLD, NEW = entry("old"), entry("new", started_ms=5000)


@pytest.mark.parametrize(
    ("updates", "ready"),
    [
        pytest.param([(True, OLD), (False, NEW)], {"new"}, id="the delta has the new one only"),
        pytest.param([(True, OLD, NEW)], {"new"}, id="a whole list has both"),
        pytest.param([(True, NEW, OLD)], {"new"}, id="a whole list has both, the new one first"),
        pytest.param(
            [(True, OLD), (False, NEW, entry("old", state="Gone"))], {"new"}, id="the delta has both"
        ),
        pytest.param(
            [(True, OLD), (False, NEW), (False, OLD)], {"new"}, id="the old one is listed again later"
        ),
        pytest.param(
            [(True, OLD), (False, NEW), (False, entry("old", state="Gone"))],
            {"new"},
            id="the old one goes later",
        ),
        pytest.param(
            [(True, entry("old", started_ms=9000), NEW)], {"old"}, id="the later start counts, not the order"
        ),
        pytest.param(
            [(True, OLD), (False, entry("new", state="Terminating", started_ms=5000))],
            set(),
            id="a draining one",
        ),
        pytest.param(
            [(True, OLD), (False, entry("new", OTHER, started_ms=5000))], {"old", "new"}, id="elsewhere"
        ),
        pytest.param([(True, OLD, entry("twin"))], {"old", "twin"}, id="no start is known"),
        pytest.param(
            [(True, OLD), (False, NEW), (True, OLD)], {"old"}, id="a whole list without the new one"
        ),
    ],
)
async def test_process_that_started_later_at_an_address_replaces_the_other(updates, ready):
    """Guards against attempts at the name of a process that has gone reaching the one at its address."""
    proxy = Proxy(config("127.0.0.1:1"))
    for complete, *entries in updates:
        proxy.membership.apply(*update(complete, *entries))
    assert proxy.membership.ready_endpoints == ready
    assert {endpoint.listed.name for endpoint in proxy.policy.endpoints.ready} == ready
    assert {name for name in ("old", "new", "twin") if proxy.pool.get(name)} == ready
    proxy.close()


@pytest.mark.parametrize(
    ("started_after_s", "executions"),
    [
        pytest.param(-60.0, 1, id="started before the attempt"),
        pytest.param(60.0, 2, id="started after the attempt"),
    ],
)
async def test_retry_does_not_reach_the_same_process_under_another_name(started_after_s, executions):
    """Guards against a second execution by the process that already had the attempt at the old name."""
    backend = LoopbackServer()

    async def replace_and_reset(_message: Message) -> bytes | None:
        started_ms = int((time.time() + started_after_s) * 1000)
        proxy.membership.apply(*update(True, entry("new", backend.endpoint, started_ms=started_ms)))
        return None if len(backend.received) == 1 else response_bytes()

    backend.script = replace_and_reset
    async with running_proxy(backend) as proxy:
        script_policy(proxy, policy_sending_to("s0", "new"))
        response = await send_request(proxy, request(name="q1"))
    assert backend.request_ids == ["q1"] * executions
    assert response.status == (502 if executions == 1 else 200)
