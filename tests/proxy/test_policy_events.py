"""The policy in the proxy: its faults, its timers, and requests for which it returns no action."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.actions import Send, StartTimer
from loadbalancer.events import AttemptOutcome, ClientDisconnected, IncomingRequest, TimerFired
from loadbalancer.policy.policy import PERIOD_TIMER
from loadbalancer.proxy import policy_runner
from tests.support.loopback import StalledBackend, always, running_proxy, send_request, until
from tests.support.messages import request, response_bytes
from tests.support.scripted_policy import script_policy


@pytest.mark.parametrize("kind", [IncomingRequest, AttemptOutcome])
async def test_request_gets_a_response_after_a_policy_fault(kind, backend, proxy):
    backend.script = always(response_bytes(500))

    def act(event):
        if isinstance(event, kind):
            raise RuntimeError("fault of the scripted policy")
        return [Send(event.request_id, "s0")] if isinstance(event, IncomingRequest) else []

    scripted = script_policy(proxy, act)
    assert (await send_request(proxy, request())).status == 500
    assert scripted.events_of(ClientDisconnected)
    assert not proxy.requests.by_id
    assert proxy.listener.ready


async def test_policy_fault_on_a_timer_does_not_stop_the_timer(monkeypatch, proxy):
    monkeypatch.setattr(policy_runner, "FAULT_RETRY_DELAY_S", 0.01)

    def act(event):
        if isinstance(event, TimerFired) and len(scripted.events_of(TimerFired)) == 1:
            raise RuntimeError("fault of the scripted policy")
        return []

    scripted = script_policy(proxy, act)
    proxy.policy_runner.execute(StartTimer(1.0, "tick"))
    await until(lambda: [event.name for event in scripted.events_of(TimerFired)].count("tick") == 2)


async def test_request_without_an_action_of_the_policy_fails_at_its_deadline(proxy):
    scripted = script_policy(proxy)
    assert (await send_request(proxy, request(Req_Deadline_Ms="200"))).status == 504
    assert [event.request_id for event in scripted.events_of(ClientDisconnected)] == ["q1"]


BATCH_SIZE = 8


async def complete_batch(clock, proxy, backend, latency_s):
    """Serve a batch of requests with this latency, and end the policy's period."""
    received = len(backend.received)
    backend.release.clear()
    requests = [request("read", f"q{received + index}") for index in range(BATCH_SIZE)]
    responses = asyncio.gather(*(send_request(proxy, data) for data in requests))
    await until(lambda: len(backend.received) == received + BATCH_SIZE)
    clock.advance(latency_s)
    backend.release.set()
    assert [response.status for response in await responses] == [200] * BATCH_SIZE
    proxy.policy_runner.notify(TimerFired(PERIOD_TIMER))
    proxy.policy_runner.cancel_timer(PERIOD_TIMER)  # the test decides when the next period ends


async def test_cursor_move_waits_until_the_latencies_show_the_effect_of_the_last_one(clock):
    """Otherwise responses from before a move cause more moves right, which reject sustainable load."""
    async with running_proxy(backend := StalledBackend()) as proxy:
        proxy.policy_runner.cancel_timer(PERIOD_TIMER)
        for _ in range(3):
            await complete_batch(clock, proxy, backend, 0.0)
        assert proxy.policy.cursor == 0
        for _ in range(12):  # half of the objective: too high a latency, but not saturated
            await complete_batch(clock, proxy, backend, 10.0)
        highest = proxy.policy.cursor
        assert 0 < highest <= 12 * BATCH_SIZE / 20
        for _ in range(6):
            await complete_batch(clock, proxy, backend, 0.0)
        assert proxy.policy.cursor < highest  # a move to the left does not wait
