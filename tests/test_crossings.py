"""Two events that cross, on real connections, the bad order forced by events: docs/crossings.md."""

from __future__ import annotations

import asyncio

from loopback import Caller, Scripted, read_message, reply, request, running, until
from test_node import send_to


class Raw:
    """A server whose test reads and writes each of its connections by hand."""

    def __init__(self) -> None:
        self.links: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def start(self) -> Raw:
        self._server = await asyncio.start_server(self._take, "127.0.0.1", 0)
        self.endpoint = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.append((reader, writer))

    def stop(self) -> None:
        self._server.close()
        for _, writer in self.links:
            writer.close()


def test_a_second_answer_that_comes_late_is_not_served_to_the_next_request(monkeypatch):
    """The node writes the next request while the second answer to the one before is on its way."""

    async def main():
        monkeypatch.setattr("orchidledge.net.upstream.REST_S", 60.0, raising=False)
        server = Raw()
        async with running(server) as node:
            node.balancer = Scripted(send_to("s0"))
            caller = await Caller.to(node)
            caller.writer.write(request(name="q1"))
            await until(lambda: server.links)
            reader, writer = server.links[0]
            await read_message(reader)
            writer.write(reply(200, b"first"))
            assert (await caller.answer()).body == b"first"
            caller.writer.write(request(name="q2"))
            asked = [asyncio.ensure_future(read_message(reader))]
            await until(lambda: asked[0].done() or len(server.links) == 2)
            writer.write(reply(200, b"first"))  # the late second answer, after q2 has gone out
            if len(server.links) == 2:
                await read_message(server.links[1][0])
            server.links[-1][1].write(reply(200, b"second"))
            assert (await caller.answer()).body == b"second"
            asked[0].cancel()
            caller.writer.close()

    asyncio.run(main())
