"""A client that closes its connection just before its response is written affects nobody else.

The kernel answers the response with a reset, so that ending the connection fails with ENOTCONN or ECONNRESET.
"""

from __future__ import annotations

import contextlib
from http import HTTPStatus

import pytest

from loadbalancer.actions import Reject
from loadbalancer.http.server_connection import ServerConnection
from loadbalancer.proxy.proxy import Proxy
from tests.support.disconnects import WAYS_TO_DISCONNECT, DisconnectingClient
from tests.support.loopback import HttpClient, StalledBackend, send_request, until
from tests.support.messages import request
from tests.support.scripted_policy import acting_on, script_policy
from tests.support.slow_reader import LARGE_BODY, slow_reader


@pytest.fixture
def backend():
    return StalledBackend()


@pytest.fixture(params=WAYS_TO_DISCONNECT)
def leaving_client(proxy, request):
    """A client that is about to disconnect, each in another way."""
    with contextlib.closing(DisconnectingClient(proxy, request.param)) as client:
        yield client


@pytest.fixture
def unhandled_errors(proxy):
    """The errors that reach the event loop, which logs them and continues."""
    errors = []
    proxy.loop.set_exception_handler(lambda _loop, context: errors.append(context))
    yield errors
    proxy.loop.set_exception_handler(None)


def disconnect_at_response(monkeypatch, client: DisconnectingClient, request_id: bytes) -> None:
    """Disconnect the client right before the response to its request is written."""
    respond = ServerConnection.respond

    def disconnect_and_respond(connection, http_request, *response):
        if http_request.headers[b"req-id"] == request_id:
            client.disconnect()
        respond(connection, http_request, *response)

    monkeypatch.setattr(ServerConnection, "respond", disconnect_and_respond)


def has_partial_requests(proxy: Proxy, number: int) -> bool:
    """Whether so many clients have each sent a part of a request, which the proxy has read."""
    connections = [item for item in proxy.listener.connections if isinstance(item, ServerConnection)]
    return sum(connection._parser.partial is not None for connection in connections) == number


async def test_end_of_shutdown_responds_to_all_clients_although_one_disconnects(
    backend, proxy, leaving_client
):
    """Without the fix the shutdown ends with ENOTCONN, and the other clients get no response."""
    leaving_client.send(request("post", "abandoned"))
    staying = [await HttpClient.to(proxy) for _ in range(3)]
    for number, client in enumerate(staying):
        client.writer.write(request("post", f"q{number}"))
    await until(lambda: len(backend.received) == 4)
    proxy.listener.draining = True
    leaving_client.disconnect()
    proxy.end_requests()
    assert [(await client.read_response()).status for client in staying] == [502, 502, 502]


async def test_outcome_reaches_the_policy_although_the_client_disconnects_at_the_response(
    backend, proxy, leaving_client, monkeypatch, unhandled_errors
):
    """Without the fix the attempt stays in flight for the policy, which in time rejects all requests.

    The error also closes the connection to the endpoint, although its response is complete.
    """
    monkeypatch.setattr("loadbalancer.proxy.connection_pool.REUSE_DELAY_S", 0.0)
    disconnect_at_response(monkeypatch, leaving_client, b"abandoned")
    leaving_client.send(request("post", "abandoned", Connection="close"))
    await until(lambda: backend.received)
    backend.release.set()
    await until(lambda: leaving_client.disconnected and not proxy.listener.connections)
    assert [endpoint.in_flight for endpoint in proxy.policy.endpoints.by_name.values()] == [0.0]
    assert not proxy.policy.requests.open_requests
    assert (await send_request(proxy, request("post", "next"))).status == 200
    assert (len(backend.received), backend.connections, unhandled_errors) == (2, 1, [])


async def test_actions_after_a_rejection_are_executed_although_the_client_disconnects(
    proxy, leaving_client, monkeypatch
):
    """Without the fix an error of the first rejection prevents the response to the second request."""
    disconnect_at_response(monkeypatch, leaving_client, b"abandoned")
    reject_both = [Reject("abandoned"), Reject("q1")]
    script_policy(proxy, acting_on(lambda event: reject_both if event.request_id == "q1" else []))
    leaving_client.send(request("post", "abandoned", Connection="close"))
    await until(lambda: "abandoned" in proxy.requests.by_id)
    assert (await send_request(proxy, request("post", "q1"))).status == 503


async def test_overdue_requests_get_408_although_one_client_disconnects(proxy, leaving_client, monkeypatch):
    """Without the fix the sweep of the time-outs ends with ENOTCONN, and no further one is scheduled."""
    monkeypatch.setattr("loadbalancer.http.request_timeouts.REQUEST_TIMEOUT_S", 0.0)
    proxy.listener.timeouts.stop()
    leaving_client.send(b"POST /post/1 HT")
    await until(lambda: has_partial_requests(proxy, 1))
    staying = await HttpClient.to(proxy)
    staying.writer.write(b"POST /post/1 HT")
    await until(lambda: has_partial_requests(proxy, 2))
    leaving_client.disconnect()
    proxy.listener.timeouts.end_overdue()
    assert (await staying.read_response()).status == 408


async def test_disconnect_after_the_last_byte_of_a_slowly_read_response_raises_nothing(
    backend, proxy, monkeypatch, unhandled_errors
):
    """Without the fix asyncio shuts the socket down in its own callback, and logs ENOTCONN."""
    resume_writing = ServerConnection.resume_writing
    async with slow_reader(proxy) as (client, connection):

        def disconnect_and_resume(connection):
            client.close()
            resume_writing(connection)

        monkeypatch.setattr(ServerConnection, "resume_writing", disconnect_and_resume)
        connection._transport.set_write_buffer_limits(high=0)  # `resume_writing` follows the last byte
        client.sendall(request("post", "q1", Connection="close"))
        await until(lambda: backend.received)
        (pending,) = proxy.requests.by_id.values()
        proxy.requests.respond(pending, HTTPStatus.OK, 4 * LARGE_BODY)  # more than the kernel takes at once
        assert connection.unsent_bytes
        client.setblocking(False)

        def read_until_closed():
            with contextlib.suppress(BlockingIOError):
                return client.fileno() == -1 or not client.recv(4096)

        await until(read_until_closed)
    await until(lambda: not proxy.listener.connections)
    assert unhandled_errors == []
