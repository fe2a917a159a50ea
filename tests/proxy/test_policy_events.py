"""The policy as the proxy hosts it: its faults, its timers, the requests that it forgets."""

from __future__ import annotations

import asyncio

import pytest

from loadbalancer.actions import Send, StartTimer
from loadbalancer.events import (
    AttemptOutcome,
    ClientDisconnected,
    IncomingRequest,
    TimerFired,
)
from loadbalancer.proxy import policy_runner
from tests.support.loopback import (
    LoopbackServer,
    ScriptedPolicy,
    StalledBackend,
    reply,
    request,
    running_proxy,
    send_request,
    until,
)


@pytest.mark.parametrize("kind", [IncomingRequest, AttemptOutcome])
def test_policy_fault_leaves_no_request_unanswered(kind):
    async def main():
        async with running_proxy(LoopbackServer(lambda message: asyncio.sleep(0, reply(500)))) as proxy:

            def act(event):
                if isinstance(event, kind):
                    raise RuntimeError("broken")
                return [Send(event.request_id, "s0")] if isinstance(event, IncomingRequest) else []

            proxy.policy = scripted = ScriptedPolicy(act)
            assert (await send_request(proxy, request())).status == 500
            assert scripted.events_of(ClientDisconnected)
            assert not proxy.requests.by_id
            assert proxy.listener.ready

    asyncio.run(main())


def test_policy_fault_on_a_timer_does_not_stop_the_timer(monkeypatch):
    async def main():
        monkeypatch.setattr(policy_runner, "FAULT_RETRY_DELAY_S", 0.01)

        def act(event):
            if isinstance(event, TimerFired) and len(scripted.events_of(TimerFired)) == 1:
                raise RuntimeError("broken")
            return []

        async with running_proxy(LoopbackServer()) as proxy:
            proxy.policy = scripted = ScriptedPolicy(act)
            proxy.policy_runner.execute(StartTimer(1.0, "tick"))
            await until(
                lambda: len([event for event in scripted.events_of(TimerFired) if event.name == "tick"]) == 2
            )

    asyncio.run(main())


def test_request_that_the_policy_forgets_is_answered_at_its_deadline():
    async def main():
        async with running_proxy(LoopbackServer()) as proxy:
            proxy.policy = scripted = ScriptedPolicy()
            assert (await send_request(proxy, request(Req_Deadline_Ms="200"))).status == 504
            assert [event.request_id for event in scripted.events_of(ClientDisconnected)] == ["q1"]

    asyncio.run(main())


class ShiftedLoop:
    """The event loop as the proxy sees it, with a clock that a test moves on."""

    def __init__(self, loop):
        self.loop = loop
        self.shift = 0.0

    def time(self):
        return self.loop.time() + self.shift

    def __getattr__(self, name):
        return getattr(self.loop, name)


def test_cursor_step_is_given_time_to_show_in_the_latencies():
    """Guard: each period stepped right on answers from before, and what servers bore was refused."""

    async def main():
        server = StalledBackend()
        async with running_proxy(server) as proxy:
            proxy.policy_runner._forwarder._loop = clock = ShiftedLoop(proxy.loop)

            async def calls(count, latency_s):
                """So many responses with this latency, and the end of the policy's period."""
                seen, clock.shift = len(server.seen), 0.0
                server.release.clear()
                names = [f"q{seen + at}" for at in range(count)]
                asked = asyncio.gather(*(send_request(proxy, request("read", name)) for name in names))
                await until(lambda: len(server.seen) == seen + count)
                clock.shift = latency_s
                server.release.set()
                assert [answer.status for answer in await asked] == [200] * count
                proxy.policy_runner.notify(TimerFired("period"))
                proxy.policy_runner.cancel_timer("period")  # the next one ends when the test says so

            proxy.policy_runner.cancel_timer("period")
            for _ in range(3):
                await calls(8, 0.0)
            assert proxy.policy.cursor == 0
            for _ in range(12):
                await calls(8, 10.0)  # half of what is wanted: too slow, and no jam
            assert 0 < proxy.policy.cursor <= 12 * 8 / 20
            high = proxy.policy.cursor
            for _ in range(6):
                await calls(8, 0.0)
            assert proxy.policy.cursor < high  # back left it waits for nothing

    asyncio.run(main())
