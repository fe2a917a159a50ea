"""Watches of the endpoint list that fail, fall silent or are opened anew at a bad moment: docs/races.md."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from loadbalancer.events import UpdateKind
from tests.support.loopback import (
    config,
    endpoint_list_response,
    read_message,
    reply,
    running_proxy,
    until,
)
from tests.support.proxy import (
    ManualServer,
)

PUSH = {"registryMode": "push"}


READY_ENDPOINT = ("127.0.0.1:9", "Ready")


class ManualDiscovery(ManualServer):
    """Discovery whose test answers itself: each poll, on whichever connection, waits in `polls`."""

    def __init__(self) -> None:
        super().__init__()
        self.polls: asyncio.Queue[tuple[str, asyncio.StreamWriter]] = asyncio.Queue()

    async def _serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            await self.polls.put((message.first[1].partition("?")[2], writer))

    async def next_poll(self) -> tuple[str, asyncio.StreamWriter]:
        async with asyncio.timeout(20):
            return await self.polls.get()


@contextlib.asynccontextmanager
async def following_watch(monkeypatch, answer_grace_s=60.0, **more):
    """A proxy that follows this discovery, with a backoff that never ends."""
    monkeypatch.setattr("loadbalancer.discovery.watch_client.RESPONSE_GRACE_S", answer_grace_s)
    monkeypatch.setattr("loadbalancer.discovery.watch_client.FIRST_WAIT_MS", 50.0)
    monkeypatch.setattr("loadbalancer.discovery.watch_client.PUSH_BACKOFF_S", 3600.0)
    discovery = ManualDiscovery()
    settings = {"invariants": {"askWithinMs": 100.0}} | more.pop("settings", PUSH)
    async with running_proxy(discovery=discovery, settings=settings, **more) as proxy:
        yield proxy, discovery


@pytest.mark.parametrize("sent_before", [b"", endpoint_list_response(8, True, s9=READY_ENDPOINT)[:-20]])
@pytest.mark.parametrize("first", [True, False])
def test_silent_watch_is_reopened_at_once(first, sent_before, monkeypatch):
    """On a connection's first poll or a later one; before a response or in the middle of it."""

    async def main():
        async with following_watch(monkeypatch, answer_grace_s=1.0) as (proxy, discovery):
            if not first:
                _, writer = await discovery.next_poll()
                writer.write(endpoint_list_response(7, True, s7=READY_ENDPOINT))
            query, silent = await discovery.next_poll()
            silent.write(sent_before)
            assert query.startswith("since=1&" if first else "since=7&")
            reopened_query, writer = await discovery.next_poll()
            assert writer is not silent
            assert reopened_query.partition("&")[0] == query.partition("&")[0]  # from the same revision
            silent.write(
                endpoint_list_response(8, True, s8=READY_ENDPOINT)
            )  # what comes on the broken watch now is ignored
            writer.write(endpoint_list_response(9, True, s9=READY_ENDPOINT))
            await until(lambda: set(proxy.pool._endpoints) == {"s9"})
            assert proxy.statistics.endpoint_lists[UpdateKind.UNAVAILABLE] == 1

    asyncio.run(main())


@pytest.mark.parametrize("settings", [PUSH, {"registryMode": "ask"}])
def test_reset_watch_is_reopened_and_a_drain_right_after_it_is_received(settings, monkeypatch):
    async def main():
        async with following_watch(monkeypatch, settings=settings) as (proxy, discovery):
            _, writer = await discovery.next_poll()
            writer.write(endpoint_list_response(7, True, s7=READY_ENDPOINT))
            _, writer = await discovery.next_poll()
            writer.transport.abort()
            query, writer = await discovery.next_poll()
            assert query.startswith("since=7&")
            writer.write(endpoint_list_response(8, False, s7=("127.0.0.1:9", "Terminating")))
            await until(lambda: not proxy.pool._endpoints)
            assert not proxy.policy.endpoints.ready

    asyncio.run(main())


def test_first_poll_of_a_connection_waits_a_second_at_most():
    async def main():
        discovery = ManualDiscovery()
        async with running_proxy(discovery=discovery, settings=PUSH):
            query, writer = await discovery.next_poll()
            assert query == "since=1&timeout_ms=1000"
            writer.write(endpoint_list_response(7, False))
            assert (await discovery.next_poll())[0] == "since=7&timeout_ms=3000"

    asyncio.run(main())


@pytest.mark.parametrize("same", [True, False])
def test_new_discovery_address_in_a_backoff_is_polled_at_once(same, monkeypatch):
    async def main():
        async with following_watch(monkeypatch) as (proxy, discovery):
            for _ in range(2):
                (await discovery.next_poll())[1].close()
            await until(lambda: proxy.statistics.endpoint_lists[UpdateKind.UNAVAILABLE] == 2)
            other = discovery if same else await ManualDiscovery().start()
            for _ in range(2):  # a second SIGHUP changes nothing
                proxy.reconfigure(config(other.endpoint))
            query, writer = await other.next_poll()
            assert query.startswith("since=1&")
            writer.write(endpoint_list_response(9, True, s9=READY_ENDPOINT))
            await until(lambda: set(proxy.pool._endpoints) == {"s9"})
            other.stop()

    asyncio.run(main())


def test_hangup_with_the_same_discovery_address_reopens_the_watch(monkeypatch):
    """The open watch may have fallen silent, and what it missed counts as notified in 4 s."""

    async def main():
        discovery = ManualDiscovery()
        async with running_proxy(discovery=discovery, settings=PUSH) as proxy:
            _, writer = await discovery.next_poll()
            writer.write(endpoint_list_response(7, True, s7=READY_ENDPOINT))
            _, silent = await discovery.next_poll()
            proxy.reconfigure(config(discovery.endpoint))
            query, writer = await discovery.next_poll()
            assert (query, writer is silent) == ("since=7&timeout_ms=1000", False)
            silent.write(endpoint_list_response(8, True, s8=READY_ENDPOINT))
            writer.write(endpoint_list_response(9, True, s9=READY_ENDPOINT))
            await until(lambda: set(proxy.pool._endpoints) == {"s9"})
            assert proxy.statistics.endpoint_lists[UpdateKind.UNAVAILABLE] == 0

    asyncio.run(main())


def test_discovery_that_answers_without_waiting_is_not_polled_without_pause(monkeypatch):
    async def main():
        monkeypatch.setattr("loadbalancer.discovery.watch_client.EMPTY_RESPONSE_PAUSE_S", 3600.0)
        discovery = ManualDiscovery()
        async with running_proxy(discovery=discovery, settings=PUSH) as proxy:
            for _ in range(2):  # the first one has a change
                _, writer = await discovery.next_poll()
                writer.write(endpoint_list_response(7, False))
            await until(lambda: proxy.statistics.endpoint_lists[UpdateKind.DELTA] == 2)
            for _ in range(20):
                await asyncio.sleep(0)
            assert discovery.polls.empty()

    asyncio.run(main())


@pytest.mark.parametrize(
    "malformed",
    [
        reply(200, b"{"),
        reply(200, b'{"rev":true,"all":1,"targets":{}}'),
        endpoint_list_response(9, True, s9=("a.name.that.is.looked.up:80", "Ready")),
        b"no answer at all\r\n\r\n",
    ],
)
def test_unreadable_list_is_one_log_line_and_a_new_watch(malformed, monkeypatch, caplog):
    async def main():
        async with following_watch(monkeypatch) as (proxy, discovery):
            _, writer = await discovery.next_poll()
            writer.write(endpoint_list_response(7, True, s7=READY_ENDPOINT))
            _, bad = await discovery.next_poll()
            caplog.clear()
            bad.write(malformed)
            query, writer = await discovery.next_poll()
            assert query.startswith("since=7&")
            assert (set(proxy.pool._endpoints), set(proxy.policy.endpoints.by_name)) == ({"s7"}, {"s7"})
            lines = [record.getMessage() for record in caplog.records if record.levelname == "WARNING"]
            assert len(lines) == 1
            assert "keeping last known good" in lines[0]

    asyncio.run(main())
