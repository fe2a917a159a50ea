"""The directory on sockets: registry, region, zone and nodes on loopback."""

from __future__ import annotations

import asyncio
import contextlib

import orjson
import structlog
from loopback import Message, Peer, read_message, reply, targets, until

from orchidledge.directory.config import Bounds, Config, Service
from orchidledge.directory.process import Directory
from orchidledge.directory.state import Limits


class Registry(Peer):
    """Answers watches as the protocol says, always with the whole list."""

    def __init__(self, **states: tuple[str, str]) -> None:
        super().__init__(self._answer)
        self.rev, self.states = 1, states
        self._changed = asyncio.Event()

    def set(self, **states: tuple[str, str]) -> None:
        self.rev, self.states = self.rev + 1, states
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, message: Message) -> bytes:
        query = dict(part.split("=") for part in message.first[1].partition("?")[2].split("&") if part)
        if query.get("since") == str(self.rev):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(query["timeout_ms"]) / 1000.0):
                    await self._changed.wait()
        return reply(200, orjson.dumps({"rev": self.rev, "all": True, "targets": targets(**self.states)}))


@contextlib.asynccontextmanager
async def directory(path, *upstreams, limits=None, **bounds):
    config = Config(
        str(path),
        (Service("s", "127.0.0.1:0", tuple(upstreams)),),
        seed=1,
        limits=limits or Limits(),
        process=Bounds(**bounds),
    )
    made = Directory(config, structlog.get_logger())
    try:
        await made.start()
        yield made
    finally:
        made.close()


def endpoint(made):
    host, port = made.addresses["s"]
    return f"{host}:{port}"


async def get(made, target="/discovery/hosts"):
    reader, writer = await asyncio.open_connection(*made.addresses["s"])
    writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    message = await read_message(reader)
    writer.close()
    return message


def up(*names):
    return {name: ("127.0.0.1:9", "Ready") for name in names}


def test_a_change_goes_from_the_registry_by_region_and_zone_to_a_watch(tmp_path):
    async def main():
        registry = await Registry(**up("a")).start()
        async with (
            directory(tmp_path / "region", registry.endpoint) as region,
            directory(tmp_path / "zone", endpoint(region)) as zone,
        ):
            await until(lambda: zone.front.ready)
            whole = orjson.loads((await get(zone)).body)
            watch = asyncio.create_task(get(zone, f"/discovery/hosts?since={whole['rev']}&timeout_ms=60000"))
            await until(lambda: zone.hub.count == 1)
            registry.set(**up("a", "b"))
            news = orjson.loads((await watch).body)
        registry.stop()
        assert [target["uid"] for target in whole["targets"]] == ["a"]
        assert (news["all"], [target["uid"] for target in news["targets"]]) == (False, ["b"])
        assert news["rev"] > whole["rev"]

    asyncio.run(main())
