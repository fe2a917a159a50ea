"""An id that comes again: a request that may have been executed is not sent a second time."""

from __future__ import annotations

import pytest

from loadbalancer.proxy.executed_requests import MAX_IDS, ExecutedRequests
from tests.support.loopback import HttpClient, StalledBackend, send_request, until
from tests.support.messages import Message, request, response_bytes

KEYED = {"Idempotency_Key": "k1"}


@pytest.fixture
def backend():
    return StalledBackend()


@pytest.fixture(params=[True, False], ids=["can cancel", "cannot cancel"])
def proxy_options(request):
    return {"bounds": {"cancel": request.param}}


@pytest.mark.parametrize(
    ("kind", "headers", "again"),
    [
        pytest.param("post", {}, False, id="not idempotent"),
        pytest.param("move", KEYED, False, id="with an idempotency key"),
        pytest.param("read", {}, True, id="idempotent"),
    ],
)
async def test_id_whose_client_has_left_runs_once_unless_a_repeat_does_no_harm(
    kind, headers, again, backend, proxy
):
    """Guards against a second execution when the id comes again after its client has disconnected."""
    data = request(kind, "left", **headers)
    async with await HttpClient.to(proxy) as client:
        client.writer.write(data)
        await until(lambda: backend.received)
    await until(lambda: not proxy.requests.open_count)
    backend.release.set()
    await until(lambda: not proxy.requests.by_id)
    assert (await send_request(proxy, data)).status == (200 if again else 400)
    assert backend.request_ids == ["left"] * (2 if again else 1)


async def test_id_pipelined_twice_runs_once(backend, proxy):
    backend.release.set()
    async with await HttpClient.to(proxy) as client:
        client.writer.write(2 * request("post", "twice"))
        statuses = [(await client.read_response()).status for _ in range(2)]
    assert (statuses, backend.request_ids) == ([200, 400], ["twice"])


async def test_id_of_a_request_that_no_endpoint_executed_may_come_again(backend, proxy):
    async def decline_first(_message: Message) -> bytes:
        return response_bytes(503, Srv_Declined="1") if len(backend.received) == 1 else response_bytes()

    backend.script = decline_first
    assert (await send_request(proxy, request("post", "again"))).status == 503
    assert (await send_request(proxy, request("post", "again"))).status == 200


def test_number_of_remembered_ids_is_limited():
    executed = ExecutedRequests()
    for number in range(MAX_IDS + 1):
        executed.add(f"q{number}")
        executed.add(f"q{number}")
    assert "q0" not in executed
    assert all(f"q{number}" in executed for number in range(1, MAX_IDS + 1))
