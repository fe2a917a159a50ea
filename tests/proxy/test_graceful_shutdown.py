"""Requests in flight, half read or just accepted as the proxy shuts down."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from loadbalancer.http.eviction import evict_one
from loadbalancer.proxy import graceful_shutdown
from loadbalancer.proxy.graceful_shutdown import shut_down
from tests.support.loopback import (
    HttpClient,
    LoopbackServer,
    ScriptedPolicy,
    StalledBackend,
    reply,
    request,
    running_proxy,
    until,
)
from tests.support.proxy import (
    GatedConnects,
    policy_sending_to,
)


@pytest.fixture
def short_shutdown(monkeypatch):
    """A proxy that leaves service within a moment."""
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_GRACE_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "MAX_CLIENT_TIMEOUT_S", 0.0)
    monkeypatch.setattr(graceful_shutdown, "EXIT_MARGIN_S", 0.3)
    monkeypatch.setattr(graceful_shutdown, "CLOSING_PHASE_S", 0.3)
    monkeypatch.setattr(graceful_shutdown, "LINGER_S", 20.0)


def test_request_in_flight_at_the_end_is_rejected_if_it_is_idempotent(short_shutdown):
    """Its server hangs: the safe one is refused, the unsafe one that may have run fails."""

    async def main():
        hung = StalledBackend()
        async with running_proxy(hung) as proxy:
            safe, unsafe = await HttpClient.to(proxy), await HttpClient.to(proxy)
            safe.writer.write(request("read", "safe"))
            unsafe.writer.write(request("post", "unsafe"))
            await until(lambda: len(hung.seen) == 2)
            stopped = asyncio.ensure_future(shut_down(proxy))
            assert ((await safe.read_response()).status, (await unsafe.read_response()).status) == (503, 502)
            assert await safe.reader.read() == b""
            safe.writer.close()
            unsafe.writer.close()
            await stopped

    asyncio.run(main())


def test_request_whose_attempt_connects_at_the_end_is_rejected_and_never_sent(short_shutdown):
    async def main():
        server = LoopbackServer()
        async with running_proxy(server) as proxy:
            gated = GatedConnects(proxy)
            client = await HttpClient.to(proxy)
            client.writer.write(request("post"))
            await until(lambda: gated.connects)
            stopped = asyncio.ensure_future(shut_down(proxy))
            assert (await client.read_response()).status == 503
            gated.gate.set()
            client.writer.close()
            await stopped
            await until(lambda: not proxy.pool.size)
            assert server.seen == []

    asyncio.run(main())


def test_request_read_after_the_end_of_the_others_is_rejected_at_once(short_shutdown):
    async def main():
        server = StalledBackend()
        async with running_proxy(server) as proxy:
            late, held = await HttpClient.to(proxy), await HttpClient.to(proxy)
            late.writer.write(request("post", "late")[:30])  # so that it is not closed as idle
            held.writer.write(request("read", "held"))
            await until(lambda: server.seen and proxy.listener.registry.awaiting_request)
            stopped = asyncio.ensure_future(shut_down(proxy))
            assert (await held.read_response()).status == 503
            late.writer.write(request("post", "late")[30:])
            assert (await late.read_response()).status == 503
            assert [message.headers["req-id"] for message in server.seen] == ["held"]
            held.writer.close()
            late.writer.close()
            await stopped

    asyncio.run(main())


def test_request_half_read_when_the_shutdown_starts_is_served(short_shutdown, monkeypatch):
    async def main():
        monkeypatch.setattr(graceful_shutdown, "EXIT_MARGIN_S", 20.0)
        monkeypatch.setattr(graceful_shutdown, "CLOSING_PHASE_S", 20.0)
        server = StalledBackend()
        async with running_proxy(server) as proxy:
            held, half = await HttpClient.to(proxy), await HttpClient.to(proxy)
            held.writer.write(request("read", "held"))
            half.writer.write(request("post", "half")[:30])
            await until(lambda: server.seen and proxy.listener.registry.awaiting_request)
            stopped = asyncio.ensure_future(shut_down(proxy))
            idle = await HttpClient.to(proxy)
            assert await idle.reader.read() == b""  # by now idle connections are being closed
            half.writer.write(request("post", "half")[30:])
            server.release.set()
            for client in (half, held):
                answer = await client.read_response()
                assert (answer.status, answer.headers["connection"]) == (200, "close")
                client.writer.close()
            await stopped

    asyncio.run(main())


def test_connections_in_the_kernels_queue_are_served_when_listening_stops():
    async def main():
        async with (
            running_proxy(LoopbackServer(), limits={"sockets": 132}) as proxy,
            contextlib.AsyncExitStack() as stack,
        ):
            assert proxy.listener.limit // 20 == 3  # as many are accepted in a turn
            proxy.policy = ScriptedPolicy(policy_sending_to("s0"))  # which refuses none
            address = proxy.listener.address
            burst = [stack.enter_context(socket.create_connection(address)) for _ in range(30)]
            for at, client in enumerate(burst):
                client.sendall(request(name=f"q{at}"))
            await proxy.listener.stop_listening()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)
            await until(lambda: proxy.statistics.responses[200] == 30)
            for client in burst:
                client.settimeout(20)
                assert client.recv(12) == b"HTTP/1.1 200"

    asyncio.run(main())


BODY = b"z" * 65536


@pytest.mark.parametrize("keep", [True, False])
def test_closing_does_not_truncate_a_response_that_is_read_slowly(keep, monkeypatch):
    async def main():
        async def answers(message):
            return reply(200, BODY)

        monkeypatch.setattr("loadbalancer.http.request_timeouts.LINGER_TIMEOUT_S", 0.0)
        monkeypatch.setattr("loadbalancer.http.eviction.IDLE_GRACE_S", 0.0)
        async with running_proxy(LoopbackServer(answers)) as proxy, contextlib.AsyncExitStack() as stack:
            raw = stack.enter_context(socket.socket())
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
            raw.connect(proxy.listener.address)
            await until(lambda: proxy.listener.connections)
            (connection,) = proxy.listener.connections
            own = connection._transport.get_extra_info("socket")
            own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
            raw.sendall(request("post", Connection="keep-alive" if keep else "close"))
            await until(lambda: proxy.statistics.responses[200])
            assert connection._transport.get_write_buffer_size()
            # All that closes connections without a request has its turn.
            proxy.listener.timeouts.end_overdue()
            proxy.listener.close_idle_connections()
            evict_one(proxy.listener.registry, 0.0) if keep else None
            raw.setblocking(False)
            got = b""
            while not got.endswith(BODY):
                part = await asyncio.get_running_loop().sock_recv(raw, 65536)
                assert part, f"cut short after {len(got)} bytes"
                got += part

    asyncio.run(main())
