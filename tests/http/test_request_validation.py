"""Requests that the proxy has to reject, and headers that it must not forward."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.actions import Send
from loadbalancer.events import ClientDisconnected, IncomingRequest
from loadbalancer.http.request_parser import SINGLE_VALUE_HEADERS
from loadbalancer.proxy.request_forwarding import FORWARDED_HEADERS
from tests.support.loopback import StalledBackend, running_proxy, send_request, until
from tests.support.messages import request
from tests.support.scripted_policy import acting_on, script_policy


def post_with_head(head: str) -> bytes:
    """A request with these lines in its head, and a body that is only the last chunk."""
    return f"POST /post/1 HTTP/1.1\r\nReq-Id: q1\r\n{head}\r\n".encode() + b"0\r\n\r\n"


def post_with_id(request_id: str) -> bytes:
    return request("post", "NAME").replace(b"NAME", request_id.encode("latin-1"))


LENGTH = "Content-Length: 5\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
AMBIGUOUS_HEADS = {
    "length and chunks": LENGTH + CHUNKED,
    "chunks and length": CHUNKED + LENGTH,
    "unknown coding": "Transfer-Encoding: identity\r\n",
    "two codings": CHUNKED + CHUNKED,
    "one length twice": LENGTH + LENGTH,
    "two lengths": LENGTH + "Content-Length: 6\r\n",
    "negative length": "Content-Length: -1\r\n",
    "second request id": LENGTH + "Req-Id: other\r\n",
    "two deadlines": LENGTH + "Req-Deadline-Ms: 900\r\nReq-Deadline-Ms: 901\r\n",
    "deadline with underscore": LENGTH + "Req-Deadline-Ms: 1_0\r\n",
    "deadline with exponent": LENGTH + "Req-Deadline-Ms: 1e3\r\n",
    "fractional deadline": LENGTH + "Req-Deadline-Ms: 10.5\r\n",
    "deadline too late": LENGTH + "Req-Deadline-Ms: 99999999999\r\n",
    "deadline is no number": LENGTH + "Req-Deadline-Ms: nan\r\n",
}


@pytest.mark.parametrize(
    "data",
    [
        *(pytest.param(post_with_head(head), id=name) for name, head in AMBIGUOUS_HEADS.items()),
        pytest.param(post_with_id("a b"), id="request id with blank"),
        pytest.param(post_with_id("q\xe9"), id="request id beyond ASCII"),
        pytest.param(post_with_id("q" * 129), id="request id too long"),
        pytest.param(
            b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\nIdempotency-Key: k\r\n\r\n",
            id="trailer",
        ),
        pytest.param(
            b"POST /post/1 HTTP/1.1\r\nReq-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n0\r\nNote: " + b"y" * 1_000_000,
            id="trailer that does not end",
        ),
        pytest.param(
            request().replace(b"\r\n\r\n", b"\r\nContent-Length: 3\r\n\r\nabc"),
            id="body of an idempotent request",
        ),
    ],
)
async def test_invalid_request_gets_400_and_is_not_forwarded(backend, proxy, data):
    assert (await send_request(proxy, data)).status == 400
    assert (backend.received, proxy.requests.by_id) == ([], {})


async def test_request_id_in_use_gets_400_and_does_not_affect_its_request():
    server = StalledBackend()
    async with running_proxy(server) as proxy:
        scripted = script_policy(proxy, acting_on(lambda event: [Send(event.request_id, "s0")]))
        first = asyncio.create_task(send_request(proxy, request("post", "q1")))
        await until(lambda: server.received)
        assert (await send_request(proxy, request("post", "q1"))).status == 400
        assert (
            len(proxy.requests.by_id),
            len(scripted.events_of(IncomingRequest)),
            scripted.events_of(ClientDisconnected),
        ) == (1, 1, [])
        server.release.set()
        assert (await first).status == 200


async def test_only_the_forwarded_headers_reach_the_endpoint(backend, proxy):
    headers = {"Connection": "Srv-Load", "Srv_Load": "TEXT queue=0", "Cookie": "c", "Req_Owner": "acme"}
    assert (await send_request(proxy, request("post", "q1", b"ab", **headers))).status == 200
    names = {"host", "req-id", "req-owner", "req-deadline-ms", "content-length"}
    assert set(backend.received[0].headers) == names


def test_each_forwarded_header_may_occur_only_once():
    assert FORWARDED_HEADERS <= SINGLE_VALUE_HEADERS
