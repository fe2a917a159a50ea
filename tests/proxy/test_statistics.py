"""Counters: their names in the log line, and their reset."""

from __future__ import annotations

import re

from loadbalancer.events import UpdateKind
from loadbalancer.proxy import statistics as statistics_module
from loadbalancer.proxy.statistics import Gauges, Statistics, StatisticsLog


def test_fields_have_the_counters_names_and_only_the_kinds_that_occurred():
    statistics = Statistics()
    statistics.requests_received = 3
    statistics.responses[200] += 2
    statistics.attempts["connect_failed"] += 1
    statistics.endpoint_lists[UpdateKind.UNAVAILABLE] += 1
    fields = {name: value for name, value in statistics.fields().items() if value}
    assert fields == {
        "requests_received": 3,
        "responses_200": 2,
        "attempts_connect_failed": 1,
        "endpoint_lists_unavailable": 1,
    }


async def test_log_line_has_counters_and_gauges_and_resets_the_counters(caplog):
    statistics = Statistics()
    statistics.missed_deadlines = 1
    gauges = Gauges(
        open_requests=7, cursor=2, downstream_connections=8, upstream_connections=9, buffered_bytes=5
    )
    log = StatisticsLog("n0", statistics, lambda: gauges)
    with caplog.at_level("INFO", logger=statistics_module.logger.name):
        log.start()
        log.close()
    (line,) = [record.getMessage() for record in caplog.records]
    assert re.match(r"statistics name=n0 memory_mb=[1-9]\d* peak_memory_mb=[1-9]\d* ", line)
    assert {"missed_deadlines=1", "open_requests=7", "requests_received=0"} <= set(line.split())
    assert line.endswith(
        " open_requests=7 cursor=2 downstream_connections=8 upstream_connections=9"
        " buffered_bytes=5 peak_buffered_bytes=0"
    )
    assert statistics.missed_deadlines == 0
