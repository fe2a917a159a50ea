"""Requests from clients: which are accepted, and which get an error response at once."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.actions import Reject
from loadbalancer.events import IncomingRequest
from tests.support.loopback import HttpClient, StalledBackend, running_proxy, send_request, until
from tests.support.messages import request, response_bytes
from tests.support.scripted_policy import acting_on, script_policy


async def test_headers_become_the_fields_of_the_incoming_request(proxy):
    scripted = script_policy(proxy, acting_on(lambda event: [Reject(event.request_id, 250.0)]))
    before = proxy.clock.now_ms()
    response = await send_request(
        proxy,
        request(Req_Owner="acme", Req_Retry="1", Req_Cost="1500", Req_Deadline_Ms="5000"),
    )
    assert (response.status, response.headers["retry-after"]) == (503, "0.250")
    incoming = scripted.events_of(IncomingRequest)[0]
    fields = (incoming.service_class, incoming.tenant, incoming.is_retry, incoming.cost_hint_ms)
    assert fields == ("read", "acme", True, 1.5)
    assert incoming.deadline_ms < proxy.clock.now_ms() + 5000  # the response margin is subtracted
    assert incoming.deadline_ms > before + 4900


CHUNKED = b"POST /post/1 HTTP/1.1\r\nReq-Id: q2\r\nTransfer-Encoding: chunked\r\n\r\n"
TOO_LONG = b"x" * 65537


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"nonsense\r\n\r\n", 400, id="no request line"),
        pytest.param(b"GET /read/1 HTTP/1.1\r\nbad header\r\n\r\n", 400, id="bad header"),
        pytest.param(b"GET /read/1 HTTP/1.1\r\nHost: x\r\n\r\n", 400, id="no id"),
        pytest.param(request(Req_Deadline_Ms="soon"), 400, id="deadline not a number"),
        pytest.param(request(Req_Deadline_Ms="-5"), 400, id="negative deadline"),
        pytest.param(request(X_Long="y" * 20_000), 400, id="long header"),
        pytest.param(b"GET /read/1 HTTP/1.1\r\nX-Endless: " + b"y" * 200_000, 400, id="endless header"),
        pytest.param(b"GET /read/1 HTTP/1.1\r\n" + 300 * b"A: b\r\n", 400, id="300 fields"),
        pytest.param(request("move"), 400, id="no idempotency key"),
        pytest.param(request("other"), 404, id="unknown service class"),
        pytest.param(b"GET / HTTP/1.1\r\nReq-Id: q\r\n\r\n", 404, id="no service class"),
        pytest.param(request().replace(b"GET", b"POST"), 405, id="wrong method"),
        pytest.param(request("post", body=TOO_LONG), 413, id="body over 64 KiB"),
        pytest.param(
            b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nContent-Length: 99999999\r\n\r\n", 413, id="long length"
        ),
        pytest.param(CHUNKED + b"10001\r\n" + TOO_LONG + b"\r\n0\r\n\r\n", 413, id="chunked over 64 KiB"),
        pytest.param(CHUNKED + 4097 * b"1\r\nx\r\n", 413, id="4097 chunks"),
    ],
)
async def test_bad_request_gets_an_error_and_never_reaches_the_policy(data, status, proxy):
    scripted = script_policy(proxy)
    assert (await send_request(proxy, data)).status == status
    assert not scripted.events_of(IncomingRequest)
    assert not proxy.requests.by_id


async def test_body_of_64_kib_passes_with_a_length_and_chunked(backend, proxy):
    assert (await send_request(proxy, request("post", "q1", b"x" * 65536))).status == 200
    assert (await send_request(proxy, CHUNKED + b"3\r\nabc\r\n0\r\n\r\n")).status == 200
    assert [len(message.body) for message in backend.received] == [65536, 3]


async def test_request_id_that_is_pending_is_not_sent_twice():
    server = StalledBackend()
    async with running_proxy(server) as proxy:
        first = asyncio.create_task(send_request(proxy, request("post", "q1")))
        await until(lambda: server.received)
        assert (await send_request(proxy, request("post", "q1"))).status == 400
        server.release.set()
        assert (await first).status == 200
        assert len(server.received) == 1


async def test_pipelined_requests_get_their_responses_in_order(backend, proxy):
    backend.script = lambda message: asyncio.sleep(0, response_bytes(200, message.body))
    client = await HttpClient.to(proxy)
    client.writer.write(b"".join(request("post", f"q{index}", b"%d" % index) for index in range(5)))
    assert [(await client.read_response()).body for _ in range(5)] == [b"0", b"1", b"2", b"3", b"4"]
    assert (await client.send(request("post", "q9", b"9"))).body == b"9"


@pytest.mark.parametrize(
    ("data", "body"),
    [
        pytest.param(request("post", "q2")[:-2] + 253 * b"A: b\r\n" + b"\r\n", b"", id="256 fields"),
        pytest.param(CHUNKED + 4096 * b"1\r\nx\r\n" + b"0\r\n\r\n", 4096 * b"x", id="4096 chunks"),
    ],
)
async def test_request_with_the_most_fields_or_chunks_is_forwarded(data, body, backend, proxy):
    assert (await send_request(proxy, data)).status == 200
    assert backend.received[0].body == body
