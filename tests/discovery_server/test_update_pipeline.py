"""Revisions advanced past a client's: no later process issues them again, and watches are notified."""

from __future__ import annotations

import os
from http import HTTPStatus

import orjson
import pytest

from loadbalancer.discovery_server import snapshot_store
from loadbalancer.discovery_server.revisions import (
    REVISION_GAP_TICKS,
    TAG_BITS,
    required_lead,
)
from loadbalancer.discovery_server.snapshot_writer import WRITE_TIMEOUT_S
from tests.discovery_server.cluster import (
    Client,
    Registry,
    address_of,
    discovery_server,
    list_response,
)
from tests.discovery_server.model import LIST_NAME, MAX_LOG_ENTRIES, ModelNode, ModelServer
from tests.discovery_server.model_environment import ModelCluster
from tests.support.loopback import until

OTHER_TAG = 77
EXCESS_TICKS = 30_000  # 5 min ahead of the current revision


@pytest.fixture
def model_cluster(monkeypatch):
    """A cluster without fsync, which can take long: no test here depends on a crash of the machine."""
    monkeypatch.setattr(os, "fsync", lambda _: None)
    model_cluster = ModelCluster()
    yield model_cluster
    model_cluster.close()


@pytest.fixture
def server(model_cluster):
    """A server that has received and stored its first list."""
    model_cluster.registry.set("a", "Ready")
    server = ModelServer(model_cluster, "server", 0, [model_cluster.registry])
    server.poll_upstream_and_run()
    return server


def restart(server, seconds):
    server.kill()
    server.cluster.run(seconds)
    server.start()


def change(server, uid):
    server.cluster.registry.set(uid, "Ready")
    server.poll_upstream_and_run()


def revision_served_after(server, revision):
    """The revision of the complete list that the server sends to a client with another server's revision."""
    document = orjson.loads(server.cluster.call(server.response_since, revision))
    assert document["all"]
    assert document["rev"] > revision
    return document["rev"]


def serve_client_exceeding(server, ticks):
    """Serve a client whose revision is `ticks` ahead, at its first or second request."""
    client_revision = revision_exceeding(server, ticks)
    try:
        revision_served_after(server, client_revision)
    except ConnectionError:
        server.cluster.run()
        revision_served_after(server, client_revision)


def revision_exceeding(server, ticks):
    return server.store.revision + (ticks << TAG_BITS) + OTHER_TAG


@pytest.mark.parametrize("restart_s", [0.02, 1.0, 1.02, 1.5])
@pytest.mark.parametrize("ticks", [0, 1, EXCESS_TICKS])
def test_revision_advanced_for_a_client_is_not_issued_again_after_a_restart(server, ticks, restart_s):
    for _ in range(5):
        serve_client_exceeding(server, ticks)
    restart(server, restart_s)
    change(server, "b")
    for _ in range(2 * REVISION_GAP_TICKS):
        serve_client_exceeding(server, 0)
    assert not server.cluster.faults


@pytest.mark.parametrize("ticks", [REVISION_GAP_TICKS, EXCESS_TICKS])
def test_client_that_exceeds_the_lead_is_served_once_both_snapshots_store_a_longer_lead(server, ticks):
    client_revision = revision_exceeding(server, ticks)
    before = server.store.revision
    server.disk.slow = True
    for _ in range(3):
        with pytest.raises(ConnectionError):
            revision_served_after(server, client_revision)
    assert server.store.revision == before
    server.disk.slow = False
    server.disk.run_pending()
    server.cluster.run()
    served = revision_served_after(server, client_revision)
    lead_ticks = required_lead(served, server.cluster.now_ms())
    for path in (server.snapshots.newest, server.snapshots.previous):
        snapshot = snapshot_store.decode(path.read_bytes(), LIST_NAME)
        assert (snapshot.revision, snapshot.lead_ticks >= lead_ticks) == (before, True)


def test_clients_that_exceed_the_lead_before_and_after_a_restart_get_no_common_revision(server):
    """Both have one revision of another server; the restart loses the snapshot write for the first one."""
    client_revision = revision_exceeding(server, EXCESS_TICKS)
    server.disk.slow = True
    with pytest.raises(ConnectionError):
        revision_served_after(server, client_revision)
    restart(server, 1.0)
    change(server, "b")
    with pytest.raises(ConnectionError):
        revision_served_after(server, client_revision)
    server.cluster.run()
    revision_served_after(server, client_revision)
    assert not server.cluster.faults


@pytest.mark.parametrize("fault", ["full", "slow"])
def test_client_that_exceeds_the_lead_is_not_served_until_a_failed_disk_recovers(server, fault):
    client_revision = revision_exceeding(server, EXCESS_TICKS)
    setattr(server.disk, fault, True)
    for _ in range(3):
        with pytest.raises(ConnectionError):
            revision_served_after(server, client_revision)
        server.cluster.run(WRITE_TIMEOUT_S + 0.01)
    setattr(server.disk, fault, False)
    server.disk.run_pending()
    server.cluster.run()
    serve_client_exceeding(server, EXCESS_TICKS)


@pytest.mark.parametrize("full", [False, True])
@pytest.mark.parametrize("damage", ["none", "newest lost"])
def test_restarts_that_exceed_the_lead_issue_no_revision_twice(server, full, damage):
    """Each process issues its first revisions with a full or a working disk, and may then lose a file."""
    serve_client_exceeding(server, EXCESS_TICKS)
    change(server, "a")
    for uid in "bcd":
        restart(server, 1.0)
        server.disk.full = full
        change(server, uid)
        change(server, uid)
        if damage == "newest lost":
            server.snapshots.newest.unlink(missing_ok=True)
    assert not server.cluster.faults


def test_watch_older_than_the_change_log_is_notified_when_revisions_advance_for_clients(
    model_cluster, server
):
    node = ModelNode(model_cluster, server)
    node.request()
    node.request()
    revision = node.revision
    assert node.watch is not None
    for _ in range(MAX_LOG_ENTRIES + 1):
        serve_client_exceeding(server, 0)
    server.flush()
    assert node.watch is None
    assert node.revision == server.store.revision > revision


async def test_client_that_exceeds_the_lead_is_rejected_with_503_and_served_after_the_write(tmp_path):
    async with Registry("a") as registry, discovery_server(tmp_path, registry.endpoint) as server:
        await until(lambda: server.ready)
        client = await Client.connect(address_of(server))
        client_revision = (await client.get_list()).revision + (EXCESS_TICKS << TAG_BITS) + OTHER_TAG
        client.send_watch(client_revision)
        rejection = await client.read()
        assert (rejection.status, rejection.headers["retry-after"]) == (503, "1.000")
        response = rejection
        while response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            client.send_watch(client_revision)
            response = await client.read()
        served = list_response(response)
        assert served == (await client.get_list())
        assert (served.complete, served.uids) == (True, ["a"])
        assert served.revision > client_revision
        await client.aclose()
