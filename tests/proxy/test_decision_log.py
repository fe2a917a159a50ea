"""Counters and log lines of closed connections and refused requests."""

from __future__ import annotations

import pytest

from loadbalancer.http import request_timeouts
from loadbalancer.proxy.decision_log import LINES_PER_REASON
from tests.support.loopback import HttpClient, until
from tests.support.messages import request

HALF_REQUEST = b"GET /read/1 HTTP/1.1\r\nReq-Id: half\r\n"


@pytest.mark.parametrize(
    ("sent", "reason"),
    [
        pytest.param(b"", "no_request", id="nothing sent"),
        pytest.param(HALF_REQUEST, "request_timeout", id="half a request"),
        pytest.param(b"\x00\r\n\r\n", "malformed", id="noise"),
        pytest.param(request(), "idle_timeout", id="idle after a response"),
    ],
)
async def test_closed_connections_are_counted_by_reason(sent, reason, proxy, monkeypatch, caplog):
    monkeypatch.setattr(request_timeouts, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(request_timeouts, "IDLE_TIMEOUT_S", 0.2)
    caplog.set_level("INFO")
    async with await HttpClient.to(proxy) as client:
        client.writer.write(sent)
        await until(lambda: proxy.statistics.closed_connections)
    assert proxy.statistics.closed_connections == {reason: 1}
    assert f"connection closed name=n0 reason={reason} client=127.0.0.1:" in caplog.text


async def test_lines_of_one_reason_are_limited_and_all_requests_are_counted(proxy, caplog):
    caplog.set_level("INFO")
    async with await HttpClient.to(proxy) as client:
        statuses = [(await client.send(request("nope", f"id{number}"))).status for number in range(10)]
    assert statuses == [404] * 10
    assert proxy.statistics.bad_requests == {404: 10}
    lines = [line for line in caplog.messages if line.startswith("request refused")]
    assert lines == [
        f"request refused name=n0 id=id{number} reason=invalid path" for number in range(LINES_PER_REASON)
    ]


async def test_id_that_could_forge_a_log_line_is_not_logged(proxy, caplog):
    caplog.set_level("INFO")
    async with await HttpClient.to(proxy) as client:
        assert (await client.send(request(name="a b name=n1"))).status == 400
    assert "request refused name=n0 id= reason=invalid req-id" in caplog.messages
