"""A chain of tiers in model time: each tier is a separate fleet, and all share one event queue.

A request at a tier consists of its backend's own work, then one request to the next lower tier; if that is
rejected or fails, the backend responds with an error. While a backend waits for the lower tier, it occupies
no core. It propagates its caller's deadline. Backends send no load reports: attempts that wait for lower
tiers would count as load.
"""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.models.chain_scenario import ChainScenario
from benchmarks.models.chain_tier import TierSimulation
from benchmarks.models.event_queue import EventQueue
from benchmarks.models.fleet_entities import FinalOutcome
from benchmarks.models.fleet_metrics import fraction_served_in_time

DRAIN_MS = 5000.0  # after the last arrival, for unfinished requests
SEEDS_PER_CHAIN = 1000


@dataclass(frozen=True)
class ChainMetrics:
    """The results of one run, per client of the top tier."""

    clients: int
    attempts_by_tier: list[float]  # per client, the top tier first
    served_fraction: float  # of the clients, within their class's latency objective
    rejected_fraction: float  # of the clients, by the top tier
    late_fraction: float  # of all attempts: those whose backend finishes its work after the deadline
    shed_by_tier: list[float]  # fraction of a tier's requests that its nodes finish without an attempt


class ChainSimulation:
    """The tiers of a chain; clients send their requests to the top one."""

    def __init__(self, scenario: ChainScenario, seed: int) -> None:
        self.scenario = scenario
        self.queue = EventQueue()
        self.tiers: list[TierSimulation] = []  # the top tier first
        lower_tier: TierSimulation | None = None
        for number in reversed(range(scenario.depth)):
            lower_tier = TierSimulation(
                scenario.tier_scenario(number),
                SEEDS_PER_CHAIN * seed + number,
                self.queue,
                lower_tier=lower_tier,
                fault=scenario.fault,
            )
            self.tiers.insert(0, lower_tier)

    def run(self) -> ChainMetrics:
        """Run the scenario to its end, and `DRAIN_MS` longer so that the last requests can finish."""
        self.queue.run_until(self.scenario.seconds * 1000.0 + DRAIN_MS)
        return self._metrics()

    def _metrics(self) -> ChainMetrics:
        clients = [client for client in self.tiers[0].clients.all if client.counted]
        rejected = sum(client.last_outcome is FinalOutcome.REJECTED for client in clients)
        attempts = [tier.nodes.counted_attempts for tier in self.tiers]
        late_attempts = sum(tier.backends.late_attempts for tier in self.tiers)
        return ChainMetrics(
            clients=len(clients),
            attempts_by_tier=[tier_attempts / len(clients) for tier_attempts in attempts],
            served_fraction=fraction_served_in_time(clients),
            rejected_fraction=rejected / len(clients),
            late_fraction=late_attempts / max(1, sum(attempts)),
            shed_by_tier=[
                tier.clients.shed_requests / max(1, tier.clients.counted_requests) for tier in self.tiers
            ],
        )


def simulate_chain(scenario: ChainScenario, seed: int) -> ChainMetrics:
    """Simulate a chain of tiers; a seed determines the metrics."""
    return ChainSimulation(scenario, seed).run()
