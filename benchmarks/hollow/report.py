"""Rows, slopes and tables of runs of hollow nodes; the result files' names are those of earlier runs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import asdict
from typing import Any

from benchmarks.hollow.change_deliveries import MILLISECONDS_PER_S, ChangeDeliveries
from benchmarks.hollow.run import Phase
from benchmarks.support.regression import MIN_SLOPE_SIZES, Slope, linear_regression
from benchmarks.support.report import format_table

COLUMN_GROUPS = ("", "calm_", "rate_", "burst_", "return_", "restart_", "log_")  # by prefix; "": all others
FITTED_SUFFIXES = ("_ms", "_mib", "_per_s", "_per_change", "_per_told", "_received", "_news_bytes")


def steady_record(phase: Phase, calm: Phase) -> dict[str, Any]:
    """Return the figures of a phase of steady changes.

    Args:
        phase: The phase.
        calm: The phase with the fewest changes, which shows what an answer without a change costs.
    """
    answers = phase.total(lambda counters: counters.answers)
    changed_answers = phase.total(lambda counters: counters.changed_answers)
    changed_bytes = phase.total(lambda counters: counters.changed_answer_bytes)
    calm_answers = calm.total(lambda counters: counters.answers)
    record: dict[str, Any] = {"changes": phase.changes}
    for role, cpu_s in phase.cpu_s.items():
        record[f"{role}_cpu_ms_per_s"] = cpu_s * MILLISECONDS_PER_S / phase.seconds
        if phase is not calm and phase.changes:
            unchanged_s = calm.cpu_s[role] / max(1, calm_answers) * (answers - changed_answers)
            record[f"{role}_cpu_ms_per_change"] = (cpu_s - unchanged_s) * MILLISECONDS_PER_S / phase.changes
    received_bytes = phase.total(lambda counters: counters.received_bytes)
    sent_bytes = phase.total(lambda counters: counters.sent_bytes)
    record |= {
        "hollow_cpu_ms_per_s": phase.hollow_cpu_s * MILLISECONDS_PER_S / phase.seconds,
        "bytes_out_per_s": received_bytes / phase.seconds,
        "bytes_in_per_s": sent_bytes / phase.seconds,
        "bytes_per_told": changed_bytes / changed_answers if changed_answers else None,
        "answers": answers,
        "failed": phase.total(lambda counters: counters.failed),
        "whole": phase.total(lambda counters: counters.complete_lists),
        "back": phase.total(lambda counters: counters.revision_regressions),
    }
    return record | phase.deliveries.record()


def event_record(name: str, phases: Sequence[Phase], calm: Phase) -> dict[str, Any]:
    """Return the figures of several bursts or restarts.

    Costs are means of what one event costs beyond the calm phase, times are of all events together.

    Args:
        name: The prefix of the figures' names.
        phases: One for each event.
        calm: The phase with the fewest changes.
    """
    if not phases:
        return {}
    deliveries = ChangeDeliveries()
    for phase in phases:
        deliveries.merge(phase.deliveries)
    events = len(phases)
    seconds = sum(phase.seconds for phase in phases)
    calm_phases = seconds / calm.seconds
    record: dict[str, Any] = {}
    for role in phases[0].cpu_s:
        extra_s = sum(phase.cpu_s[role] for phase in phases) - calm.cpu_s[role] * calm_phases
        record[f"{role}_cpu_ms"] = extra_s * MILLISECONDS_PER_S / events
    extra_hollow_s = sum(phase.hollow_cpu_s for phase in phases) - calm.hollow_cpu_s * calm_phases
    record["hollow_cpu_ms"] = extra_hollow_s * MILLISECONDS_PER_S / events
    record["seconds"] = seconds / events
    record |= {key: total / events for key, total in _counter_totals(phases).items()}
    record |= deliveries.record()
    return {f"{name}_{key}": value for key, value in record.items()}


def _counter_totals(phases: Sequence[Phase]) -> dict[str, int]:
    counters = [counters for phase in phases for counters in phase.counters]
    return {
        "received": sum(one.received_bytes for one in counters),
        "news_bytes": sum(one.changed_answer_bytes for one in counters),
        "news": sum(one.changed_answers for one in counters),
        "failed": sum(one.failed for one in counters),
        "whole": sum(one.complete_lists for one in counters),
        "back": sum(one.revision_regressions for one in counters),
    }


def regression_slopes(records: Sequence[Mapping[str, Any]]) -> dict[str, Slope]:
    """Return each figure's line over the watches, where sizes are enough and no figure is missing."""
    sizes = [record["watches"] for record in records]
    if len(set(sizes)) < MIN_SLOPE_SIZES:
        return {}
    slopes = {}
    for key in records[0]:
        values = [record.get(key) for record in records]
        figures = [value for value in values if isinstance(value, int | float)]
        if key.endswith(FITTED_SUFFIXES) and len(figures) == len(values):
            slopes[key] = linear_regression(sizes, figures)
    return slopes


def format_report(records: Sequence[Mapping[str, Any]], slopes: Mapping[str, Slope]) -> str:
    """Return the records as a table for each group of columns, then the slopes."""
    parts = [_format_group(records, group) for group in COLUMN_GROUPS]
    slope_records = [{"figure": name, **asdict(slope)} for name, slope in slopes.items()]
    return "\n\n".join([*parts, f"slopes over watches\n{format_table(slope_records)}"])


def _format_group(records: Sequence[Mapping[str, Any]], group: str) -> str:
    other_groups = tuple(name for name in COLUMN_GROUPS if name and name != group)
    keys = [
        key
        for key in dict.fromkeys(key for record in records for key in record)
        if key.startswith(group) and (group or not key.startswith(other_groups))
    ]
    columns = [
        {"watches": record["watches"]} | {key.removeprefix(group): record.get(key, 0) for key in keys}
        for record in records
    ]
    return f"{group.rstrip('_') or 'sizes and memory'}\n{format_table(columns)}"
