"""Load reports in response headers: the proxy ignores malformed ones and forwards the response."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.events import LoadReport
from loadbalancer.platform_settings import parse_load_report
from tests.support.loopback import LoopbackServer, running_proxy, send_request
from tests.support.messages import request, response_bytes

MALFORMED_REPORTS = """{"
%%%
=,=
TEXT ?
TEXT
queue=3
TEXT queue=-1
TEXT queue=1_0
TEXT queue=nan
TEXT queue=1e9
TEXT queue=99999999
TEXT queue=3, util=x
TEXT queue= 3"""


@pytest.mark.parametrize("text", MALFORMED_REPORTS.splitlines())
def test_malformed_load_report_is_ignored(text):
    assert parse_load_report(text, ("queue",)) is None
    assert parse_load_report("TEXT inflight=7, queue=3, util=0.61", ("queue",)) == LoadReport(queue=3.0)


async def test_response_with_a_malformed_load_report_is_forwarded():
    server = LoopbackServer(lambda message: asyncio.sleep(0, response_bytes(200, Srv_Load='{"')))
    async with running_proxy(server) as proxy:
        assert (await send_request(proxy, request())).status == 200
        assert proxy.policy.endpoints.by_name["s0"].reported_queue == 0.0
