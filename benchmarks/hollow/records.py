"""Figures of a run of hollow nodes: steady phases, events, and the record of one number of watches."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from benchmarks.hollow.change_deliveries import MILLISECONDS_PER_S, ChangeDeliveries, DeliveryFigures
from benchmarks.hollow.phases import Phase
from benchmarks.support.records import Record, prefix_keys


@dataclass(frozen=True, slots=True)
class RoleCost:
    """The processor time of one server role in a steady phase."""

    ms_per_s: float
    ms_per_change: float | None  # None: the baseline phase, or a phase without changes


class SteadyTraffic(Record, frozen=True, kw_only=True):
    """The processor time of the hollow nodes in a steady phase, and the responses to their watches."""

    hollow_cpu_ms_per_s: float
    bytes_out_per_s: float
    bytes_in_per_s: float
    bytes_per_change: float | None = msgspec.field(name="bytes_per_told")  # None: no response with entries
    responses: int = msgspec.field(name="answers")
    failed: int
    complete_lists: int = msgspec.field(name="whole")
    revision_regressions: int = msgspec.field(name="back")


@dataclass(frozen=True, slots=True)
class SteadyFigures:
    """The figures of a phase with a steady rate of changes."""

    changes: int
    costs: dict[str, RoleCost]  # by role
    traffic: SteadyTraffic
    deliveries: DeliveryFigures

    def row(self) -> dict[str, object]:
        """Return the figures by their names in the result file."""
        row: dict[str, object] = {"changes": self.changes}
        for role, cost in self.costs.items():
            row[f"{role}_cpu_ms_per_s"] = cost.ms_per_s
            if cost.ms_per_change is not None:
                row[f"{role}_cpu_ms_per_change"] = cost.ms_per_change
        return row | self.traffic.row() | self.deliveries.row()


def steady_figures(phase: Phase, baseline: Phase) -> SteadyFigures:
    """Return the figures of a phase with a steady rate of changes.

    The processor time per change excludes responses without a change, at their mean cost in the baseline.

    Args:
        phase: The phase.
        baseline: The phase with the fewest changes, which gives the cost of a response without a change.
    """
    return SteadyFigures(
        changes=phase.changes,
        costs={role: _role_cost(role, phase, baseline) for role in phase.cpu_s},
        traffic=_steady_traffic(phase),
        deliveries=phase.deliveries.figures(),
    )


def _role_cost(role: str, phase: Phase, baseline: Phase) -> RoleCost:
    cpu_s = phase.cpu_s[role]
    ms_per_s = cpu_s * MILLISECONDS_PER_S / phase.seconds
    if phase is baseline or not phase.changes:
        return RoleCost(ms_per_s, None)
    responses = phase.total(lambda counters: counters.responses)
    changed_responses = phase.total(lambda counters: counters.changed_responses)
    baseline_responses = baseline.total(lambda counters: counters.responses)
    unchanged_s = baseline.cpu_s[role] / max(1, baseline_responses) * (responses - changed_responses)
    return RoleCost(ms_per_s, (cpu_s - unchanged_s) * MILLISECONDS_PER_S / phase.changes)


def _steady_traffic(phase: Phase) -> SteadyTraffic:
    changed_responses = phase.total(lambda counters: counters.changed_responses)
    changed_bytes = phase.total(lambda counters: counters.changed_response_bytes)
    return SteadyTraffic(
        hollow_cpu_ms_per_s=phase.hollow_cpu_s * MILLISECONDS_PER_S / phase.seconds,
        bytes_out_per_s=phase.total(lambda counters: counters.received_bytes) / phase.seconds,
        bytes_in_per_s=phase.total(lambda counters: counters.sent_bytes) / phase.seconds,
        bytes_per_change=changed_bytes / changed_responses if changed_responses else None,
        responses=phase.total(lambda counters: counters.responses),
        failed=phase.total(lambda counters: counters.failed),
        complete_lists=phase.total(lambda counters: counters.complete_lists),
        revision_regressions=phase.total(lambda counters: counters.revision_regressions),
    )


class EventTraffic(Record, frozen=True, kw_only=True):
    """The processor time of the hollow nodes and the responses to their watches; means for one event."""

    hollow_cpu_ms: float
    seconds: float
    received_bytes: float = msgspec.field(name="received")
    changed_response_bytes: float = msgspec.field(name="news_bytes")
    changed_responses: float = msgspec.field(name="news")
    failed: float
    complete_lists: float = msgspec.field(name="whole")
    revision_regressions: float = msgspec.field(name="back")


@dataclass(frozen=True, slots=True)
class EventFigures:
    """The figures of several bursts or restarts.

    Processor times are means for one event, less the baseline phase's use over the same time. Delivery times
    are quantiles over all events.
    """

    cpu_ms: dict[str, float]  # processor time of one event, by role
    traffic: EventTraffic
    deliveries: DeliveryFigures

    def row(self) -> dict[str, object]:
        """Return the figures by their names in the result file."""
        costs: dict[str, object] = {f"{role}_cpu_ms": cpu_ms for role, cpu_ms in self.cpu_ms.items()}
        return costs | self.traffic.row() | self.deliveries.row()


def event_figures(phases: Sequence[Phase], baseline: Phase) -> EventFigures | None:
    """Return the figures of several bursts or restarts; None if there are none.

    Args:
        phases: A phase for each event.
        baseline: The phase with the fewest changes, whose processor time is subtracted.
    """
    if not phases:
        return None
    deliveries = ChangeDeliveries()
    for phase in phases:
        deliveries.merge(phase.deliveries)
    events = len(phases)
    baseline_periods = sum(phase.seconds for phase in phases) / baseline.seconds
    cpu_ms = {}
    for role in phases[0].cpu_s:
        extra_s = sum(phase.cpu_s[role] for phase in phases) - baseline.cpu_s[role] * baseline_periods
        cpu_ms[role] = extra_s * MILLISECONDS_PER_S / events
    return EventFigures(cpu_ms, _event_traffic(phases, baseline, baseline_periods), deliveries.figures())


def _event_traffic(phases: Sequence[Phase], baseline: Phase, baseline_periods: float) -> EventTraffic:
    events = len(phases)
    extra_s = sum(phase.hollow_cpu_s for phase in phases) - baseline.hollow_cpu_s * baseline_periods
    counters = [part for phase in phases for part in phase.counters]
    return EventTraffic(
        hollow_cpu_ms=extra_s * MILLISECONDS_PER_S / events,
        seconds=sum(phase.seconds for phase in phases) / events,
        received_bytes=sum(part.received_bytes for part in counters) / events,
        changed_response_bytes=sum(part.changed_response_bytes for part in counters) / events,
        changed_responses=sum(part.changed_responses for part in counters) / events,
        failed=sum(part.failed for part in counters) / events,
        complete_lists=sum(part.complete_lists for part in counters) / events,
        revision_regressions=sum(part.revision_regressions for part in counters) / events,
    )


class WatchCounts(Record, frozen=True, kw_only=True):
    """The sizes of a run, and the machine's load average before it."""

    watches: int
    lists: int
    lists_watched: int
    entries: int
    load_before: float


@dataclass(frozen=True, slots=True)
class EventsRecord:
    """The figures of a run's bursts and restarts; None: the plan has none."""

    burst: EventFigures | None
    recovery: EventFigures | None
    restart: EventFigures | None
    restart_serving_ms: float | None  # from a server's start until it serves, the maximum over all restarts

    def row(self) -> dict[str, object]:
        """Return the figures by their names in the result file."""
        row: dict[str, object] = {}
        events = {"burst_": self.burst, "return_": self.recovery, "restart_": self.restart}
        for prefix, figures in events.items():
            if figures is not None:
                row |= prefix_keys(prefix, figures.row())
        if self.restart_serving_ms is not None:
            row["restart_serving_ms"] = self.restart_serving_ms
        return row


@dataclass(frozen=True, slots=True)
class HollowRecord:
    """The figures of one number of watches; memory is in MiB, by role."""

    counts: WatchCounts
    memory_before_mib: dict[str, float]  # before the watches start
    memory_mib: dict[str, float]  # after all watches have started
    baseline: SteadyFigures
    rate: SteadyFigures
    events: EventsRecord
    end_memory_mib: dict[str, float]
    logged_problems: Mapping[str, int]
    load_after: float

    def row(self) -> dict[str, object]:
        """Return the figures by their names in the result file."""
        memory_row = {f"{role}_rss_mib": mib for role, mib in self.memory_mib.items()}
        end_memory_row = {f"end_{role}_rss_mib": mib for role, mib in self.end_memory_mib.items()}
        return {
            **self.counts.row(),
            **{f"{role}_rss_before_mib": mib for role, mib in self.memory_before_mib.items()},
            **memory_row,
            **prefix_keys("calm_", self.baseline.row()),
            **prefix_keys("rate_", self.rate.row()),
            **self.events.row(),
            **end_memory_row,
            **prefix_keys("log_", self.logged_problems),
            "load_after": self.load_after,
        }
