"""The watch client without a proxy: the revisions that it requests, and the responses that it accepts."""

from __future__ import annotations

import contextlib

import pytest

from loadbalancer.discovery.watch_client import WatchClient, WatchOptions
from loadbalancer.events import UpdateKind
from loadbalancer.http.addresses import parse_address
from tests.support.loopback import ScriptedDiscovery, until
from tests.support.messages import endpoint_list_response

ENDPOINT = ("127.0.0.1:9", "Ready")
COMPLETE = endpoint_list_response(5, True, a=ENDPOINT)
DELTA = endpoint_list_response(6, False, b=ENDPOINT)
CLOSED = None  # in place of a response: the connection is closed without one


@pytest.mark.parametrize(
    ("refresh_on_connect", "responses", "revisions", "updates"),
    [
        pytest.param(
            False,
            [COMPLETE, DELTA, CLOSED, DELTA],
            ["1", "5", "6", "6", "6"],
            "full delta failed delta",
            id="revision retained across connections",
        ),
        pytest.param(
            True,
            [COMPLETE, DELTA, CLOSED, COMPLETE, DELTA],
            ["", "5", "6", "", "5", "6"],
            "full delta failed full delta",
            id="complete list on each connection",
        ),
        pytest.param(
            True,
            [DELTA, COMPLETE],
            ["", "", "5"],
            "failed full",
            id="delta rejected in place of a complete list",
        ),
    ],
)
async def test_watch_requests_changes_since_its_revision(refresh_on_connect, responses, revisions, updates):
    kinds: list[UpdateKind] = []
    options = WatchOptions(500.0, retries_forever=True, refresh_on_connect=refresh_on_connect)
    async with ScriptedDiscovery(*responses) as discovery:
        address = parse_address(discovery.endpoint)
        watch = WatchClient(address, 1, options, lambda kind, _: kinds.append(kind))
        with contextlib.closing(watch):
            watch.start()
            await until(lambda: len(discovery.received) == len(revisions))
        queries = [
            message.start_line[1].partition("?since=")[2].partition("&")[0] for message in discovery.received
        ]
    assert queries == revisions
    assert " ".join(kind.value for kind in kinds) == updates
