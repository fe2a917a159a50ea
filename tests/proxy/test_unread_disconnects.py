"""A client that disconnects with much still unread: none of its requests is forwarded afterwards."""

from __future__ import annotations

import contextlib
import signal
import socket
from pathlib import Path

import pytest

from loadbalancer.http import server_connection
from tests.support.loopback import LoopbackServer, ScriptedDiscovery, send_request
from tests.support.messages import request, targets
from tests.support.program import (
    READINESS_REQUEST,
    free_address,
    running_program,
    send_until_response,
    write_config,
)
from tests.support.proxy_config import config_document

UNREAD_BYTES = 4_000_000  # more than the kernel's receive buffer holds while the proxy is stopped
LONG_REQUEST = request("post", "long", b"b" * 60_000)


def send_and_close(address: tuple[str, int], data: bytes) -> None:
    """Send as many bytes as the kernel takes, and close the connection."""
    with socket.create_connection(address) as client:
        client.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while data:
                data = data[client.send(data) :]


@pytest.mark.parametrize(
    "following",
    [
        pytest.param(b"".join(request(name=f"q{number}") for number in range(40_000)), id="short requests"),
        pytest.param(LONG_REQUEST * (UNREAD_BYTES // len(LONG_REQUEST)), id="long requests"),
        pytest.param(b"x" * UNREAD_BYTES, id="noise"),
    ],
)
async def test_request_before_much_unread_input_is_not_forwarded_after_a_disconnect(
    following: bytes, tmp_path: Path
):
    """Guards against a FIN that waits behind a full receive window, where the socket does not show it."""
    address = free_address()
    async with LoopbackServer() as backend, ScriptedDiscovery() as discovery:
        document = config_document(discovery.endpoint, known=targets(s0=(backend.endpoint, "Ready")))
        with running_program(write_config(tmp_path, document, address)) as program:
            await send_until_response(address, READINESS_REQUEST)
            program.send_signal(signal.SIGSTOP)
            send_and_close(address, request("post", "first") + following)
            program.send_signal(signal.SIGCONT)
            assert (await send_until_response(address, request(name="usual"))).status == 200
            assert backend.request_ids == ["usual"]


async def test_client_that_never_stops_sending_gets_a_final_response(proxy, backend, monkeypatch):
    monkeypatch.setattr(server_connection, "UNREAD_INPUT_TIMEOUT_S", 0.1)
    monkeypatch.setattr(server_connection, "close_may_be_unread", lambda _transport: True)
    assert (await send_request(proxy, request() + b"GET /read")).status == 503  # more input follows
    assert backend.request_ids == []
