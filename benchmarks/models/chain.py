"""Tiers that call one another in model time: each a fleet of its own, all on one event queue.

A request at a tier takes its backend's own work, then one request to the tier below; a rejection or failure
there is an error here. A backend waits without a core, and passes its caller's deadline on. Backends report
no load: what waits for the tiers below would count against them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.models.fleet_entities import (
    AttemptEnd,
    FinalOutcome,
    SimulatedAttempt,
    SimulatedBackend,
    SimulatedClient,
)
from benchmarks.models.fleet_metrics import fraction_served_in_time
from benchmarks.models.fleet_scenario import CLASSES, TRAFFIC_MIX, Scenario
from benchmarks.models.fleet_simulation import MIN_WORK_MS, FleetSimulation
from loadbalancer.events import AttemptResult, LoadReport

MEAN_OWN_WORK_MS = 30.0  # of a request at a tier, on a standard core
NODES_PER_TIER = 4
BACKENDS_PER_TIER = 4
LOAD = 0.3  # fraction of a tier's capacity, by clients alone
UNCOUNTED_MS = 3000.0  # at the beginning
DRAIN_MS = 5000.0  # after the last client
SEEDS_PER_CHAIN = 1000


@dataclass(frozen=True)
class Fault:
    """One tier answers a fraction of its requests with a result, whatever its load."""

    tier: int = 0  # 0 is the top
    result: AttemptResult = AttemptResult.ERROR
    fraction: float = 0.0  # of attempts; of clients if `per_client`
    per_client: bool = False  # every attempt for a client fails, or none

    def affects(self, client: SimulatedClient, result: AttemptResult, draw: Callable[[], float]) -> bool:
        """Return whether an attempt for a client ends with this result because of the fault."""
        if self.result is not result or not self.fraction:
            return False
        return client.always_fails if self.per_client else draw() < self.fraction


NO_FAULT = Fault()


@dataclass(frozen=True)
class ChainScenario:
    """What is run."""

    depth: int  # tiers
    fault: Fault
    max_attempts: int  # of each node for a request
    seconds: float = 13.0  # in which clients come; the first three are not counted
    all_classes: bool = False  # whether requests are of all classes; else all are idempotent

    def tier_scenario(self, number: int) -> Scenario:
        """Return what one tier runs."""
        return Scenario(
            NODES_PER_TIER,
            BACKENDS_PER_TIER,
            load=LOAD,
            start_ms=UNCOUNTED_MS,
            seconds=self.seconds,
            without_slow_start=True,
            error_fraction=0.0,
            settings_overrides={
                "max_attempts": self.max_attempts,
                "load_report_fields": (),
                "classes": CLASSES if self.all_classes else CLASSES[:1],
                "tier": number,
            },
        )


@dataclass(frozen=True)
class ChainMetrics:
    """What one run counted, for each client at the top."""

    clients: int
    attempts_by_tier: list[float]  # a client, the top tier first
    served_fraction: float  # within the class's latency objective
    rejected_fraction: float  # by the top tier
    late_fraction: float  # of all attempts: answered by a backend after their deadline
    shed_by_tier: list[float]  # fraction of its requests that a tier's nodes answered without an attempt


class TierSimulation(FleetSimulation):
    """One tier's nodes and backends."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        *,
        depth: int,
        below: TierSimulation | None,
        fault: Fault,
    ) -> None:
        """Prepare a tier's run.

        Args:
            scenario: What is run.
            seed: Of all random draws of this tier.
            depth: The tier's number, 0 at the top.
            below: The tier that this one calls; None at the bottom.
            fault: The chain's fault, which may be another tier's.
        """
        self.depth = depth
        self.below = below
        self.fault = fault if fault.tier == depth else NO_FAULT
        self.late_attempts = 0
        self.counted_requests = 0
        self.shed_requests = 0  # counted ones that were answered without an attempt
        self._failing_clients_fraction = fault.fraction if fault.per_client else 0.0
        self._completions: dict[int, Callable[[FinalOutcome], None]] = {}  # by the client's identity
        self._end_ms = scenario.seconds * 1000.0
        super().__init__(scenario, seed, below.queue if below else None)

    def create_client(self) -> None:
        """Create a client at the top tier, and schedule the next one."""
        if self.depth or self.now_ms >= self._end_ms:
            return
        names = [service_class.name for service_class in self.scenario.settings().classes]
        name = self.random.choices(names, [TRAFFIC_MIX[name] for name in names])[0]
        client = SimulatedClient(name, self.now_ms, self.draw_own_work())
        client.counted = self.now_ms >= self.scenario.start_ms
        client.always_fails = self.random.random() < self._failing_clients_fraction
        self.clients.append(client)
        self.start_client_attempt(client)
        rate = self.scenario.load * self.total_core_speed() / MEAN_OWN_WORK_MS
        self.schedule(self.random.expovariate(rate), self.create_client)

    def draw_own_work(self) -> float:
        """Return the own work of a request here, in milliseconds of a standard core."""
        return max(MIN_WORK_MS, self.random.expovariate(1.0 / MEAN_OWN_WORK_MS))

    def submit(self, client: SimulatedClient, deadline_ms: float) -> None:
        """See `FleetSimulation`; the request is counted."""
        self.counted_requests += client.counted
        super().submit(client, deadline_ms)

    def submit_for_caller(
        self, caller: SimulatedAttempt, on_completion: Callable[[FinalOutcome], None]
    ) -> None:
        """Send a request of the tier above, with its caller's deadline.

        Args:
            caller: The attempt that the request is made for.
            on_completion: Called with the final answer.
        """
        client = SimulatedClient(caller.client.service_class, self.now_ms, self.draw_own_work())
        client.counted = caller.client.counted
        client.always_fails = caller.client.always_fails
        self.clients.append(client)  # referenced, so that no other object gets its identity
        self._completions[id(client)] = on_completion
        self.submit(client, caller.deadline_ms)

    def begin_slow_start(self) -> None:
        """Do nothing: no backend starts here."""

    def finish_request(self, request_id: str, outcome: FinalOutcome) -> None:
        """See `FleetSimulation`; a caller is notified, and no client makes another attempt."""
        request = self.requests[request_id]
        client = request.client
        client.last_outcome = outcome
        if outcome is FinalOutcome.SERVED:
            client.served_ms = min(client.served_ms, self.now_ms)
        self.shed_requests += client.counted and not request.attempts
        on_completion = self._completions.pop(id(client), None)
        if on_completion is not None:
            on_completion(outcome)

    def load_report(self, _backend: SimulatedBackend) -> LoadReport | None:
        """Return None: backends report no load here."""
        return None

    def reach_backend(self, attempt: SimulatedAttempt) -> None:
        """See `FleetSimulation`; a fault may reject the attempt."""
        if self.fault.affects(attempt.client, AttemptResult.REJECTED, self.random.random):
            self.end_after_delay(attempt, AttemptEnd(AttemptResult.REJECTED, done=False))
        else:
            super().reach_backend(attempt)

    def respond(self, attempt: SimulatedAttempt) -> None:
        """Fail by the fault, respond at the bottom, or else call the tier below."""
        self.late_attempts += attempt.client.counted and self.now_ms > attempt.deadline_ms
        if self.fault.affects(attempt.client, AttemptResult.ERROR, self.random.random):
            self._respond_with(attempt, FinalOutcome.FAILED)
        elif self.below is None:
            self._respond_with(attempt, FinalOutcome.SERVED)
        elif self.now_ms < attempt.deadline_ms:
            self.below.submit_for_caller(attempt, lambda outcome: self._respond_with(attempt, outcome))

    def _respond_with(self, attempt: SimulatedAttempt, outcome: FinalOutcome) -> None:
        succeeded = outcome is FinalOutcome.SERVED
        result = AttemptResult.OK if succeeded else AttemptResult.ERROR
        self.end_after_delay(attempt, AttemptEnd(result, done=succeeded))


def simulate_chain(scenario: ChainScenario, seed: int) -> ChainMetrics:
    """Run a chain of tiers; the same seed gives the same metrics."""
    tiers: list[TierSimulation] = []  # the top tier first
    for number in reversed(range(scenario.depth)):
        below = tiers[0] if tiers else None
        tier = TierSimulation(
            scenario.tier_scenario(number),
            SEEDS_PER_CHAIN * seed + number,
            depth=number,
            below=below,
            fault=scenario.fault,
        )
        tiers.insert(0, tier)
    tiers[0].queue.run_until(scenario.seconds * 1000.0 + DRAIN_MS)
    return _chain_metrics(tiers)


def _chain_metrics(tiers: list[TierSimulation]) -> ChainMetrics:
    clients = [client for client in tiers[0].clients if client.counted]
    rejected = sum(client.last_outcome is FinalOutcome.REJECTED for client in clients)
    attempts = sum(tier.counted_attempts for tier in tiers)
    return ChainMetrics(
        clients=len(clients),
        attempts_by_tier=[tier.counted_attempts / len(clients) for tier in tiers],
        served_fraction=fraction_served_in_time(clients),
        rejected_fraction=rejected / len(clients),
        late_fraction=sum(tier.late_attempts for tier in tiers) / max(1, attempts),
        shed_by_tier=[tier.shed_requests / max(1, tier.counted_requests) for tier in tiers],
    )
