"""The event of a scenario that puts backends in slow start: their replacement or their restart."""

from __future__ import annotations

from collections.abc import Sequence

from benchmarks.models.fleet_backends import SimulatedBackends
from benchmarks.models.fleet_entities import AttemptEnd, SimulatedBackend
from benchmarks.models.fleet_nodes import SimulatedNode, SimulatedNodes
from benchmarks.models.simulation_context import SimulationContext
from loadbalancer.events import AttemptResult, Endpoint, EndpointState, MembershipUpdate, UpdateKind

DEGRADED_SLOWDOWN = 4.0  # factor
RESTART_MS = 1000.0  # between the stop and the start of a restarted backend


class BackendReplacement:
    """Replaces or restarts some backends, degrades some of the others, and notifies the nodes."""

    def __init__(
        self, context: SimulationContext, backends: SimulatedBackends, nodes: SimulatedNodes
    ) -> None:
        self.warming_backends: list[SimulatedBackend] = []  # the backends in slow start
        self._context = context
        self._backends = backends
        self._nodes = nodes

    def begin(self) -> None:
        """Choose backends at random, and replace, restart or degrade them."""
        scenario, random = self._context.scenario, self._context.random
        initial, fraction = self._backends.initial, scenario.slow_start_fraction
        count = 0 if scenario.without_slow_start else max(1, round(fraction * scenario.servers))
        replaced = random.sample(initial, count)
        others = [backend for backend in initial if backend not in replaced]
        degraded_count = round(scenario.degraded_fraction * len(others))
        for backend in random.sample(others, degraded_count):
            backend.slowdown = DEGRADED_SLOWDOWN
        if scenario.restart:
            self._restart(replaced)
        else:
            self._replace(replaced)

    def _restart(self, restarted: list[SimulatedBackend]) -> None:
        for backend in restarted:
            backend.stop()
        for attempt in self._nodes.pending_attempts():
            if attempt.backend in restarted:
                self._backends.end_after_delay(attempt, AttemptEnd(AttemptResult.RESET, done=False))
        for observer in self._context.observers:
            observer.on_backends_stopped(restarted)
        self._context.queue.schedule(RESTART_MS, self._bring_up, restarted, [])

    def _replace(self, replaced: list[SimulatedBackend]) -> None:
        started = [SimulatedBackend("n" + backend.address, backend.core_speed) for backend in replaced]
        self._backends.by_address.update({backend.address: backend for backend in started})
        self._bring_up(started, replaced)

    def _bring_up(self, started: list[SimulatedBackend], removed: Sequence[SimulatedBackend]) -> None:
        self.warming_backends = started
        queue = self._context.queue
        for backend in started:
            backend.up = True
            backend.started_ms = queue.now_ms
            backend.arrivals.clear()
        changed = (
            *(backend.endpoint() for backend in started),
            *(backend.endpoint(EndpointState.REMOVED) for backend in removed),
        )
        for node in self._nodes.nodes:
            delay_ms = self._context.random.uniform(*self._context.scenario.notification_delay_ms)
            queue.schedule(delay_ms, self._notify, node, changed)

    def _notify(self, node: SimulatedNode, changed: tuple[Endpoint, ...]) -> None:
        node.notified = True
        node.handle_event(MembershipUpdate(UpdateKind.DELTA, changed))
