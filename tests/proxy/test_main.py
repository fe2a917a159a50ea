"""The program: configuration, start, reload on SIGHUP, and graceful shutdown on SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import signal
import socket
import subprocess
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import orjson
import pytest

from loadbalancer.__main__ import EXIT_SYSTEM_ERROR, main
from loadbalancer.http.addresses import Address
from tests.support.loopback import HttpClient, LoopbackServer, ScriptedDiscovery, StalledBackend, until
from tests.support.messages import Message, endpoint_list_response, request, response_bytes, targets
from tests.support.program import (
    READINESS_REQUEST,
    free_address,
    running_program,
    send_until_response,
    wait_for_log,
    write_config,
)
from tests.support.proxy_config import SETTINGS, config_document

# Instead of 2.4 s and 1.2 s, a proxy in shutdown serves for 3.4 s and then has 59.6 s to end its requests.
SLOW_SHUTDOWN = (
    "from loadbalancer.proxy import graceful_shutdown as shutdown; "
    "shutdown.EXIT_MARGIN_S, shutdown.CLOSING_PHASE_S = 60.0, 59.6"
)


def assert_rejected_configuration(path: Path | None) -> None:
    """The program prints one line and exits with code 2."""
    with running_program(path) as program:
        _, log = program.communicate()
        assert program.returncode == 2
        assert log.count("\n") == 1


DOCUMENT = config_document("127.0.0.1:1")


@pytest.mark.parametrize(
    "document",
    [
        pytest.param({key: DOCUMENT[key] for key in DOCUMENT if key != "listen"}, id="no address"),
        pytest.param(DOCUMENT | {"listen": "nowhere"}, id="bad address"),
        pytest.param(DOCUMENT | {"seed": "not hex"}, id="bad seed"),
        pytest.param(DOCUMENT | {"known": []}, id="bad endpoint list"),
        pytest.param(DOCUMENT | {"settings": None}, id="no settings"),
        pytest.param(DOCUMENT | {"settings": SETTINGS | {"categories": []}}, id="no service class"),
        pytest.param(DOCUMENT | {"limits": {"sockets": "many"}}, id="bad limit"),
    ],
)
def test_bad_configuration_is_one_line_and_exit_code_2(tmp_path, document):
    assert_rejected_configuration(write_config(tmp_path, document))


@pytest.mark.parametrize(
    "name",
    [
        pytest.param(None, id="none named"),
        pytest.param("none.json", id="missing"),
        pytest.param("bad.json", id="unreadable"),
    ],
)
def test_missing_or_unreadable_configuration_is_one_line_and_exit_code_2(tmp_path, name):
    (tmp_path / "bad.json").write_text("{")
    assert_rejected_configuration(tmp_path / name if name else None)


def test_address_that_cannot_be_bound_is_one_line_and_exit_code_1(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as used:
        document = DOCUMENT | {"listen": "{}:{}".format(*used.getsockname())}
        with running_program(write_config(tmp_path, document)) as program:
            _, log = program.communicate()
            assert (program.returncode, log.count("\n")) == (EXIT_SYSTEM_ERROR, 1)


def test_system_error_after_the_start_is_not_reported_as_one_of_the_start(monkeypatch):
    """The shutdown once failed with ENOTCONN, and the one line in the log did not show where."""

    async def fail_in_shutdown():
        raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")

    monkeypatch.setattr("loadbalancer.__main__.serve", fail_in_shutdown)
    with pytest.raises(OSError, match="not connected"):
        main()


@dataclass(frozen=True)
class ServingProxy:
    """A ready proxy process with one endpoint, which responds to the request `held` after `release`."""

    program: subprocess.Popen[str]
    address: Address
    endpoint: LoopbackServer
    release: asyncio.Event


@contextlib.asynccontextmanager
async def serving_proxy(folder: Path, prelude: str) -> AsyncIterator[ServingProxy]:
    release = asyncio.Event()

    async def respond(message: Message) -> bytes:
        if message.headers["req-id"] == "held":
            await release.wait()
        return response_bytes()

    address = free_address()
    async with LoopbackServer(respond) as endpoint, ScriptedDiscovery() as discovery:
        document = config_document(discovery.endpoint, known=targets(s0=(endpoint.endpoint, "Ready")))
        with running_program(write_config(folder, document, address), prelude=prelude) as program:
            assert (await send_until_response(address, READINESS_REQUEST)).status == 200
            yield ServingProxy(program, address, endpoint, release)


async def wait_until_not_ready(address: Address) -> Message:
    """Return the first response to a readiness request whose status is not 200."""
    while (response := await send_until_response(address, READINESS_REQUEST)).status == 200:
        pass
    return response


async def test_sigterm_serves_new_requests_finishes_those_in_flight_and_exits_with_0(tmp_path):
    async with (
        serving_proxy(tmp_path, SLOW_SHUTDOWN) as proxy,
        await HttpClient.connect(proxy.address) as busy,
        await HttpClient.connect(proxy.address) as idle,
    ):
        for client in (busy, idle):
            assert (await client.send(READINESS_REQUEST)).status == 200
        busy.writer.write(request(name="held"))
        await until(lambda: proxy.endpoint.received)
        proxy.program.send_signal(signal.SIGTERM)
        assert (await wait_until_not_ready(proxy.address)).status == 503
        response = await idle.send(request(name="kept"))  # on a connection from before the signal
        assert (response.status, response.headers.get("connection")) == (200, None)
        assert (await send_until_response(proxy.address, request(name="new"))).status == 200
        assert await idle.reader.read() == b""  # closed by the shutdown, between two requests
        assert proxy.program.poll() is None
        proxy.release.set()
        response = await busy.read_response()
        assert (response.status, response.headers["connection"]) == (200, "close")
        assert await asyncio.to_thread(proxy.program.wait) == 0


async def test_sighup_applies_another_discovery_address_and_ignores_a_bad_file(tmp_path):
    changes = endpoint_list_response(7, True, s0=("127.0.0.1:9", "Ready"))
    async with ScriptedDiscovery(changes) as first, ScriptedDiscovery() as second:
        path = write_config(tmp_path, config_document(first.endpoint))
        with running_program(path) as program:
            await until(lambda: len(first.received) == 2)
            path.write_text("{")
            program.send_signal(signal.SIGHUP)
            await wait_for_log(program, "bad configuration")
            write_config(tmp_path, config_document(second.endpoint))
            program.send_signal(signal.SIGHUP)
            await until(lambda: second.received)
            assert "since=7&" in second.received[0].start_line[1]  # the proxy keeps its list
            await until(lambda: all(reader.at_eof() for reader in first.readers))  # the old watch is closed
            program.send_signal(signal.SIGTERM)
            await asyncio.to_thread(program.communicate)
            assert program.returncode == 0


def test_sigterm_before_the_configuration_is_read_shuts_down_cleanly(tmp_path):
    """The file is a pipe: the proxy has set its signal handlers and waits to read when the signal arrives."""
    path = tmp_path / "config.json"
    os.mkfifo(path)
    with running_program(path) as program:
        with path.open("wb") as pipe:  # blocks until the proxy opens the pipe
            program.send_signal(signal.SIGTERM)
            pipe.write(orjson.dumps(config_document("127.0.0.1:1")))
        _, log = program.communicate()
        assert program.returncode == 0
        assert "Traceback" not in log


async def test_sighup_during_the_shutdown_is_applied(tmp_path):
    address = free_address()
    async with StalledBackend() as hung, ScriptedDiscovery() as first, ScriptedDiscovery() as second:
        document = config_document(first.endpoint, known=targets(s0=(hung.endpoint, "Ready")))
        with running_program(write_config(tmp_path, document, address)) as program:
            await until(lambda: first.received)  # the proxy listens before it polls
            async with await HttpClient.connect(address) as client:
                client.writer.write(request(name="held"))
                await until(lambda: hung.received)
                program.send_signal(signal.SIGTERM)
                await wait_until_not_ready(address)
                write_config(tmp_path, document | {"discovery": second.endpoint}, address)
                program.send_signal(signal.SIGHUP)
                await until(lambda: second.received)
                # At the end of the shutdown the proxy rejects the request: a client can retry it elsewhere.
                assert (await client.read_response()).status == 503
            assert await asyncio.to_thread(program.wait) == 0
