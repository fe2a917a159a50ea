"""Requests as clients send them: what is read, what is answered at once."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.actions import Reject
from loadbalancer.events import (
    IncomingRequest,
)
from tests.support.loopback import (
    HttpClient,
    LoopbackServer,
    ScriptedPolicy,
    StalledBackend,
    reply,
    request,
    running_proxy,
    send_request,
    until,
)


async def test_policy_is_told_what_the_headers_say():
    async with running_proxy(LoopbackServer()) as proxy:
        proxy.policy = scripted = ScriptedPolicy(lambda event: [Reject(event.request_id, 250.0)])
        before = proxy.clock.now_ms()
        answer = await send_request(
            proxy,
            request(Req_Owner="acme", Req_Retry="1", Req_Cost="1500", Req_Deadline_Ms="5000"),
        )
        assert (answer.status, answer.headers["retry-after"]) == (503, "0.250")
        incoming = scripted.events_of(IncomingRequest)[0]
        assert (incoming.service_class, incoming.tenant, incoming.is_retry, incoming.cost_hint_ms) == (
            "read",
            "acme",
            True,
            1.5,
        )
        assert incoming.deadline_ms < proxy.clock.now_ms() + 5000  # the response margin is subtracted
        assert incoming.deadline_ms > before + 4900


BIG = b"x" * 65537


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /read/1 HTTP/1.1\r\nbad header\r\n\r\n", 400),
        (b"GET /read/1 HTTP/1.1\r\nHost: x\r\n\r\n", 400),  # no id
        (request(Req_Deadline_Ms="soon"), 400),
        (request(Req_Deadline_Ms="-5"), 400),
        (request(X_Long="y" * 20_000), 400),
        (b"GET /read/1 HTTP/1.1\r\nX-Endless: " + b"y" * 200_000, 400),
        (request("move"), 400),  # no key
        (request("other"), 404),
        (b"GET / HTTP/1.1\r\nReq-Id: q\r\n\r\n", 404),
        (request().replace(b"GET", b"POST"), 405),
        (request("post", body=BIG), 413),
        (b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nContent-Length: 99999999\r\n\r\n", 413),
        (
            b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n"
            + BIG
            + b"\r\n0\r\n\r\n",
            413,
        ),
    ],
)
async def test_bad_request_is_answered_and_never_reaches_the_policy(data, status):
    async with running_proxy(LoopbackServer()) as proxy:
        proxy.policy = scripted = ScriptedPolicy()
        assert (await send_request(proxy, data)).status == status
        assert not scripted.events_of(IncomingRequest)
        assert not proxy.requests.by_id


async def test_body_of_64_kib_passes_with_a_length_and_chunked():
    server = LoopbackServer()
    async with running_proxy(server) as proxy:
        assert (await send_request(proxy, request("post", "q1", b"x" * 65536))).status == 200
        chunked = b"POST /post/1 HTTP/1.1\r\nReq-Id: q2\r\nTransfer-Encoding: chunked\r\n\r\n"
        assert (await send_request(proxy, chunked + b"3\r\nabc\r\n0\r\n\r\n")).status == 200
        assert [len(message.body) for message in server.seen] == [65536, 3]


async def test_request_id_that_is_pending_is_not_sent_twice():
    server = StalledBackend()
    async with running_proxy(server) as proxy:
        first = asyncio.create_task(send_request(proxy, request("post", "q1")))
        await until(lambda: server.seen)
        assert (await send_request(proxy, request("post", "q1"))).status == 400
        server.release.set()
        assert (await first).status == 200
        assert len(server.seen) == 1


async def test_pipelined_requests_are_answered_in_order():
    async with running_proxy(
        LoopbackServer(lambda message: asyncio.sleep(0, reply(200, message.body)))
    ) as proxy:
        client = await HttpClient.to(proxy)
        client.writer.write(b"".join(request("post", f"q{at}", b"%d" % at) for at in range(5)))
        assert [(await client.read_response()).body for _ in range(5)] == [b"0", b"1", b"2", b"3", b"4"]
        assert (await client.send(request("post", "q9", b"9"))).body == b"9"
        client.writer.close()
