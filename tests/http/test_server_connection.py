"""Pipelined requests on a downstream connection, and what a lost connection leaves behind."""

from __future__ import annotations

import asyncio
import gc
import weakref

from loadbalancer.http.request_parser import MAX_PIPELINED_REQUESTS
from tests.support.loopback import (
    HttpClient,
    LoopbackServer,
    StalledBackend,
    request,
    running_proxy,
    until,
)


def test_pipelined_requests_beyond_the_limit_are_answered_429():
    async def main():
        server = StalledBackend()
        async with running_proxy(server) as proxy:
            client = await HttpClient.to(proxy)
            client.writer.write(b"".join(request("post", f"q{number}") for number in range(500)))
            await until(lambda: server.seen)
            (connection,) = proxy.listener.connections
            assert len(connection._parser.requests) == MAX_PIPELINED_REQUESTS
            server.release.set()
            statuses = [(await client.read_response()).status for _ in range(MAX_PIPELINED_REQUESTS + 1)]
            assert statuses == [200] * MAX_PIPELINED_REQUESTS + [429]
            assert await client.reader.read() == b""

    asyncio.run(main())


def test_disconnect_behind_a_pipelined_request_cancels_both():
    async def main():
        server = StalledBackend()
        async with running_proxy(server) as proxy:
            client = await HttpClient.to(proxy)
            client.writer.write(request("post", "q1") + request("post", "q2"))
            await until(lambda: server.seen)
            client.writer.close()
            await until(lambda: not proxy.requests.by_id)
            assert len(server.seen) == 1

    asyncio.run(main())


def test_lost_connections_are_freed_without_the_garbage_collector():
    async def main():
        async with running_proxy(LoopbackServer()) as proxy:
            client = await HttpClient.to(proxy)
            assert (await client.send(request("post", "q1"))).status == 200
            (inbound,), (outbound,) = proxy.listener.connections, proxy.pool._open
            references = [weakref.ref(inbound), weakref.ref(outbound)]
            del inbound, outbound
            client.writer.close()
            proxy.pool.remove("s0")
            gc.disable()
            try:
                await until(lambda: [reference() for reference in references] == [None, None])
            finally:
                gc.enable()

    asyncio.run(main())
