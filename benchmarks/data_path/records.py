"""Records of the data path benchmark: latencies, costs, and the figures of each round."""

from __future__ import annotations

import statistics
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from benchmarks.data_path.measurement import DataPathBenchmark, SliceMeasurements
from benchmarks.data_path.plan import SliceKind
from benchmarks.support.open_loop import histogram
from benchmarks.support.processes import resident_mib
from benchmarks.support.records import Record
from benchmarks.support.regression import standard_error

PERCENTILES = (50.0, 99.0, 99.9)


@dataclass(frozen=True, slots=True)
class LatencyRecord:
    """Latencies in microseconds by percentile: direct, through the proxy, and their difference.

    `added_us` is the difference over all requests, `round_added_us` the median of the differences of the
    rounds. A stall of the machine for some seconds is included in `added_us`; in `round_added_us` it affects
    one round only.
    """

    kind: SliceKind
    requests: int
    direct_us: dict[float, float]
    proxied_us: dict[float, float]
    round_added_us: dict[float, float]
    send_delay_p99_us: float

    @property
    def added_us(self) -> dict[float, float]:
        """The proxied latency less the direct one at each percentile."""
        return {percent: self.proxied_us[percent] - self.direct_us[percent] for percent in self.direct_us}

    def row(self) -> dict[str, object]:
        """Return the figures by their names in the result file."""
        row: dict[str, object] = {
            "list": self.kind.list_size,
            "rate_per_s": self.kind.rate,
            "calls": self.requests,
        }
        columns = {
            "direct": self.direct_us,
            "node": self.proxied_us,
            "added": self.added_us,
            "round_added": self.round_added_us,
        }
        for name, by_percentile in columns.items():
            row |= {f"{name}_p{percent:g}_us": figure for percent, figure in by_percentile.items()}
        return row | {"late_sent_p99_us": self.send_delay_p99_us}


def latency_records(measurements: Mapping[SliceKind, SliceMeasurements]) -> list[LatencyRecord]:
    """Return the latencies of each kind of slice."""
    return [_latency_record(kind, measured) for kind, measured in measurements.items()]


def _latency_record(kind: SliceKind, measured: SliceMeasurements) -> LatencyRecord:
    direct = histogram([latency_us for round_us in measured.direct_us for latency_us in round_us])
    proxied = histogram([latency_us for round_us in measured.proxied_us for latency_us in round_us])
    direct_rounds = [histogram(round_us) for round_us in measured.direct_us]
    proxied_rounds = [histogram(round_us) for round_us in measured.proxied_us]
    return LatencyRecord(
        kind=kind,
        requests=measured.requests,
        direct_us={percent: direct.get_value_at_percentile(percent) for percent in PERCENTILES},
        proxied_us={percent: proxied.get_value_at_percentile(percent) for percent in PERCENTILES},
        round_added_us={
            percent: statistics.median(
                proxied_round.get_value_at_percentile(percent) - direct_round.get_value_at_percentile(percent)
                for direct_round, proxied_round in zip(direct_rounds, proxied_rounds, strict=True)
            )
            for percent in PERCENTILES
        },
        send_delay_p99_us=histogram(measured.send_delays_us).get_value_at_percentile(99.0),
    )


class CostRecord(Record, frozen=True, kw_only=True):
    """A node's resource usage; `cpu_us` is processor time per request, `cpu_error_us` its standard error."""

    list_size: int = msgspec.field(name="list")
    rate: float = msgspec.field(name="rate_per_s")
    cpu_us: float
    cpu_error_us: float
    run_queue_us: float = msgspec.field(name="waited_us")
    idle_cores: float = msgspec.field(name="idle_core")
    idle_mib: float = msgspec.field(name="idle_mb")
    end_mib: float = msgspec.field(name="end_mb")
    opened_per_request: float = msgspec.field(name="opened_per_call")
    success_fraction: float = msgspec.field(name="ok_share")
    load_average: float = msgspec.field(name="load")


def cost_records(
    measurements: Mapping[SliceKind, SliceMeasurements], benchmark: DataPathBenchmark
) -> list[CostRecord]:
    """Return the costs of each kind of slice."""
    return [
        CostRecord(
            list_size=kind.list_size,
            rate=kind.rate,
            cpu_us=statistics.mean(measured.cpu_us),
            cpu_error_us=standard_error(measured.cpu_us),
            run_queue_us=statistics.mean(measured.run_queue_us),
            idle_cores=benchmark.idle_cores[kind.list_size],
            idle_mib=benchmark.idle_mib[kind.list_size],
            end_mib=resident_mib(benchmark.setup.proxies[kind.list_size].pid),
            opened_per_request=sum(measured.opened) / measured.requests,
            success_fraction=measured.succeeded / measured.requests,
            load_average=statistics.mean(measured.load_average),
        )
        for kind, measured in measurements.items()
    ]


class RoundsRecord(Record, frozen=True, kw_only=True):
    """The figures of each round of a kind of slice."""

    list_size: int = msgspec.field(name="list")
    rate: float = msgspec.field(name="rate_per_s")
    cpu_us: list[float]
    opened: list[int]


def rounds_records(measurements: Mapping[SliceKind, SliceMeasurements]) -> list[RoundsRecord]:
    """Return the figures of each kind of slice by round."""
    return [
        RoundsRecord(list_size=kind.list_size, rate=kind.rate, cpu_us=measured.cpu_us, opened=measured.opened)
        for kind, measured in measurements.items()
    ]
