"""Rules of the stateful model test, by what they act on: registry, disks, servers and clients.

The model has a registry, the servers of one region and two zones, and nodes. Rules can run at any time.
"""

from __future__ import annotations

import orjson
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from loadbalancer.discovery_server.revisions import TAG_BITS
from tests.discovery_server.model import ModelNode, ModelServer
from tests.discovery_server.model_environment import ModelCluster

UIDS = ["s0", "s1", "s2", "s3"]
STATES = ["Ready", "Terminating", "Gone", "Gone"]
UNKNOWN_TAG = 77
RESTART_S = [1.0, 1.02, 1.5]
RECOVERY_ROUNDS = 4
SERVERS = st.integers(0, 3)
NODES = st.integers(0, 3)


class ClusterMachine(RuleBasedStateMachine):
    """The cluster, its invariants, and its recovery at the end of an example."""

    def __init__(self):
        super().__init__()
        self.cluster = ModelCluster()
        self.registry = self.cluster.registry
        self.servers, self.nodes = [], []

    @initialize()
    def start_servers_and_nodes(self):
        region = [ModelServer(self.cluster, f"region-{index}", index, [self.registry]) for index in range(2)]
        zones = [
            ModelServer(self.cluster, f"zone-{index}", 2 + index, region[index:] + region[:index])
            for index in range(2)
        ]
        self.servers = [*region, *zones]
        self.nodes = [ModelNode(self.cluster, zones[index % 2]) for index in range(3)]
        self.nodes.append(ModelNode(self.cluster, region[0]))

    @rule()
    def propagate(self):
        """Let each server and node send one request."""
        for server in self.servers:
            if server.alive:
                server.poll_upstream_and_run()
                server.flush()
        for node in self.nodes:
            node.request()

    @rule(seconds=st.sampled_from([0.01, 0.5, 4.0]))
    def time_passes(self, seconds):
        self.cluster.run(seconds)
        for server in self.servers:
            server.expire(self.cluster.loop.time() * 1000.0)

    @invariant()
    def no_fault_is_recorded(self):
        assert not self.cluster.faults

    @invariant()
    def no_watch_waits_for_an_available_change(self):
        for server in self.servers:
            waiting = server.watches.waiting_revisions(server.store)
            assert all(server.store.responses.since(revision) is None for revision in waiting)

    def teardown(self):
        """Check that without faults each node receives the registry's list, and that revisions then stay."""
        if self.servers:
            self.repair_all()
            for _ in range(RECOVERY_ROUNDS):
                self.propagate()
            expected_view = {uid: entry["version"] for uid, entry in self.registry.entries.items()}
            assert [node.view for node in self.nodes] == [expected_view] * len(self.nodes)
            revisions = [server.store.revision for server in self.servers]
            for server in self.servers:
                server.expire(1e12)
                server.flush()
                server.poll_upstream_and_run()
            assert [server.store.revision for server in self.servers] == revisions
        self.cluster.close()

    def repair_all(self):
        for server in self.servers:
            server.disk.full = server.disk.slow = False
            server.disk.run_pending()
            if not server.alive:
                server.start()
            server.flush()


class RegistryRules(ClusterMachine):
    """Changes of the registry's list."""

    @rule(uid=st.sampled_from(UIDS), state=st.sampled_from(STATES), propagated=st.booleans())
    def change(self, uid, state, propagated):
        self.registry.set(uid, state)
        if propagated:
            self.propagate()

    @rule(revision=st.integers(0, 30))
    def registry_restarts(self, revision):
        self.registry.restart(revision)
        for server in self.servers[:2]:
            server.disconnect()

    @rule()
    def propagate_with_expiry(self):
        self.propagate()
        self.time_passes(4.0)
        for server in self.servers:
            server.flush()
        self.propagate()


class ClientRules(ClusterMachine):
    """Requests of nodes, and of clients whose revisions the servers have not issued."""

    @rule(node=NODES)
    def node_sends_a_request(self, node):
        self.nodes[node].request()

    @rule(node=NODES)
    def node_disconnects(self, node):
        self.nodes[node].disconnect()

    @rule(node=NODES, server=SERVERS)
    def node_moves_to_another_server(self, node, server):
        self.nodes[node].disconnect()
        self.nodes[node].server = self.servers[server]

    @rule(server=SERVERS, ticks=st.integers(-3, 30_000))
    def request_from_an_unknown_revision(self, server, ticks):
        """Send the request of an unidentified client, or of a node of a server that no longer exists."""
        target = self.servers[server]
        if target.alive and target.store.initialized:
            revision = target.store.revision + (ticks << TAG_BITS) + UNKNOWN_TAG
            try:
                self.check_unknown_client_is_served(server, revision)
            except ConnectionError:
                target.rejected_revisions.append(revision)
                if not target.disk.slow:
                    self.resume_disk(server, full=False)

    def resume_disk(self, server, full):
        """Complete the pending writes of a server's disk, or fail them if it is full; later ones succeed."""
        disk = self.servers[server].disk
        disk.full = full
        disk.run_pending()
        disk.slow = False
        self.cluster.run()
        disk.full = False
        if self.servers[server].alive and not full:
            self.check_rejected_clients_are_served(server)

    def check_rejected_clients_are_served(self, server):
        """Check that each client is served at its first or second request; the first may start a write."""
        rejected, self.servers[server].rejected_revisions = self.servers[server].rejected_revisions, []
        for revision in rejected:
            try:
                self.check_unknown_client_is_served(server, revision)
            except ConnectionError:
                self.cluster.run()
                self.check_unknown_client_is_served(server, revision)

    def check_unknown_client_is_served(self, server, revision):
        body = self.cluster.call(self.servers[server].response_since, revision)
        assert body is not None
        document = orjson.loads(body)
        assert (document["all"], document["rev"] > revision) == (True, True)


class DiskRules(ClientRules):
    """Slow and full disks."""

    @rule(server=SERVERS)
    def disk_turns_slow(self, server):
        self.servers[server].disk.slow = True

    @rule(server=SERVERS, full=st.booleans())
    def disk_resumes(self, server, full):
        self.resume_disk(server, full)

    @rule(
        server=SERVERS,
        uids=st.lists(st.sampled_from(UIDS), min_size=1, max_size=3),
        state=st.sampled_from(STATES),
        unknown_client=st.booleans(),
        full=st.booleans(),
    )
    def change_while_the_disk_is_slow(self, server, uids, state, unknown_client, full):
        """Change the list while a snapshot write is pending, so that later changes wait for it."""
        self.disk_turns_slow(server)
        for uid in uids:
            self.registry.set(uid, state)
            self.propagate()
        if unknown_client:
            self.request_from_an_unknown_revision(server, 30)
        self.disk_resumes(server, full)
        self.propagate()


class ServerRules(ClusterMachine):
    """Lost connections, kills and restarts of servers."""

    @rule(server=SERVERS)
    def server_polls_its_upstream(self, server):
        if self.servers[server].alive:
            self.servers[server].poll_upstream_and_run()

    @rule(server=SERVERS)
    def upstream_connection_is_lost(self, server):
        self.servers[server].disconnect()

    @rule(server=SERVERS)
    def kill(self, server):
        """Kill the server as by SIGKILL; its clients and followers lose their connections."""
        killed = self.servers[server]
        killed.alive = False
        for node in self.nodes:
            if node.server is killed:
                node.disconnect()
        for follower in self.servers:
            if follower.connection is not None and follower.connection[0] is killed:
                follower.disconnect()
        killed.kill()

    @rule(
        server=SERVERS,
        damage=st.sampled_from(["", "", "newest cut", "newest missing", "all missing"]),
        fraction=st.floats(0.0, 0.999),
        clock_ms=st.sampled_from([0.0, 0.0, 0.0, 500.0, -500.0]),
        seconds=st.sampled_from(RESTART_S),
    )
    def restart(self, server, damage, fraction, clock_ms, seconds):
        """Kill and restart a server; a restart takes at least 1 s, so starts are that far apart."""
        self.kill(server)
        self.cluster.run(seconds)
        self.cluster.clock_offset_ms += clock_ms
        restarted = self.servers[server]
        newest = restarted.path / "s.snapshot"
        if damage and newest.exists():
            data = newest.read_bytes()
            newest.unlink()
            if damage == "newest cut":
                newest.write_bytes(data[: int(fraction * len(data))])
            elif damage == "all missing":
                (restarted.path / "s.snapshot.previous").unlink(missing_ok=True)
        restarted.start()

    @rule(server=SERVERS, batch_size=st.integers(1, 2))
    def flush(self, server, batch_size):
        self.servers[server].flush(batch_size)
