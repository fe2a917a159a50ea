"""The simulated connection pools, and the number of connections that a simulated fleet has open."""

from __future__ import annotations

from benchmarks.models.connection_pool import ModelledConnectionPool
from benchmarks.models.event_queue import EventQueue
from benchmarks.models.fleet_records import fleet_record
from benchmarks.models.fleet_scenario import Scenario
from benchmarks.models.pooled_fleet import RESULTS_WITH_RESPONSE, PooledFleetSimulation
from benchmarks.models.simulation_context import FleetObserver
from loadbalancer.proxy.connection_pool import IDLE_TIMEOUT_FRACTION

IDLE_TIMEOUT_S = 4.0  # of the backends for idle connections; nodes close them after half of it
MAX_IDLE_MS = 1000.0 * IDLE_TIMEOUT_S * IDLE_TIMEOUT_FRACTION * 1.25  # a node sweeps four times per timeout


def advance(queue, ms):
    queue.schedule(ms, lambda: None)
    queue.run_until(queue.now_ms + ms + 0.001)


def test_newest_connection_idle_for_the_reuse_delay_is_reused():
    queue = EventQueue()
    pool = ModelledConnectionPool(queue, IDLE_TIMEOUT_S)
    first, second = pool.acquire("a"), pool.acquire("a")
    pool.release("a", first, reusable=True)
    advance(queue, 100.0)
    newest_ms = queue.now_ms
    pool.release("a", second, reusable=True)
    assert (pool.opened, pool.connections["a"]) == (2, 2)
    advance(queue, 5.0)
    pool.acquire("a")  # the newest is idle for 5 ms only, less than the reuse delay
    assert (pool.opened, pool.reused, pool.idle_since_ms["a"]) == (2, 1, [newest_ms])
    pool.acquire("a")
    assert (pool.opened, pool.reused) == (3, 1)
    advance(queue, 10.0)
    pool.acquire("a")
    assert (pool.opened, pool.reused, pool.connections["a"]) == (3, 2, 3)


def test_idle_connection_is_closed_after_half_of_the_backends_timeout():
    queue = EventQueue()
    pool = ModelledConnectionPool(queue, IDLE_TIMEOUT_S)
    pool.release("a", pool.acquire("a"), reusable=True)
    advance(queue, 1000.0 * IDLE_TIMEOUT_S * IDLE_TIMEOUT_FRACTION + 1.0)
    pool.acquire("a")  # the idle one is past its timeout, whether or not a sweep has closed it
    assert (pool.opened, pool.reused) == (2, 0)
    advance(queue, 1000.0 * IDLE_TIMEOUT_S)
    assert (pool.connections["a"], pool.sweep_scheduled) == (1, False)


def test_lost_connection_is_not_reused():
    queue = EventQueue()
    pool = ModelledConnectionPool(queue, IDLE_TIMEOUT_S)
    pool.release("a", pool.acquire("a"), reusable=False)
    assert pool.connections["a"] == 0
    incarnation = pool.acquire("a")
    pool.drop_backend("a")
    pool.release("a", incarnation, reusable=True)
    assert (pool.connections["a"], pool.idle_since_ms) == (0, {})


class ConnectionChecker(FleetObserver):
    """Checks eight times per second that the nodes have no more connections than the attempts need."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.attempts_in_flight = 0
        self.responses_ms = []
        self.checks = 0
        fleet.queue.schedule(0.0, self.check)

    def on_attempt_sent(self, _attempt):
        self.attempts_in_flight += 1

    def on_attempt_end(self, _attempt, end):
        self.attempts_in_flight -= 1
        self.responses_ms += [self.fleet.queue.now_ms] * (end.result in RESULTS_WITH_RESPONSE)

    def check(self):
        self.checks += 1
        pools = self.fleet.connections.pools[IDLE_TIMEOUT_S]
        idle = sum(len(since_ms) for pool in pools for since_ms in pool.idle_since_ms.values())
        connections = sum(pool.connections.total() for pool in pools)
        oldest_idle_ms = self.fleet.queue.now_ms - MAX_IDLE_MS
        assert min((count for pool in pools for count in pool.connections.values()), default=0) >= 0
        assert connections - idle <= self.attempts_in_flight
        assert idle <= sum(response_ms >= oldest_idle_ms for response_ms in self.responses_ms)
        self.fleet.queue.schedule(125.0, self.check)


def test_nodes_have_no_more_connections_than_their_requests_need():
    scenario = Scenario(
        6,
        8,
        load=0.5,
        slow_start_fraction=0.25,
        restart=True,
        error_fraction=0.05,
        start_ms=4000.0,
        seconds=7.0,
    )
    fleet = PooledFleetSimulation(scenario, 1, (IDLE_TIMEOUT_S,))
    checker = ConnectionChecker(fleet)
    fleet.context.observers.append(checker)
    fleet.run()
    pools = fleet.connections.pools[IDLE_TIMEOUT_S]
    attempts = sum(len(request.attempts) for request in fleet.nodes.requests.values())
    assert attempts > 500
    assert checker.checks >= 50
    assert sum(pool.opened + pool.reused for pool in pools) == attempts
    assert sum(pool.reused for pool in pools) > sum(pool.opened for pool in pools) > 0
    assert fleet.usage[IDLE_TIMEOUT_S].samples


def test_same_seed_gives_the_same_fleet_record():
    def record(seed):
        return {name: figure for name, figure in fleet_record(4, seed, 1).row().items() if name != "ms/call"}

    assert record(1) == record(1)
    assert record(1) != record(2)
    assert record(1)["served"] > 0.99
    assert 0.0 < record(1)["opened/call 30s"] <= record(1)["opened/call 15s"] < 0.5
