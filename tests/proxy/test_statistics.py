"""Counters: their names in the log line, and when they begin again."""

from __future__ import annotations

import asyncio

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


def test_log_line_has_counters_and_gauges_and_resets_the_counters(monkeypatch, caplog):
    monkeypatch.setattr(statistics_module, "HEARTBEAT_INTERVAL_S", 3600.0)
    monkeypatch.setattr(statistics_module, "LOG_INTERVAL_S", 3600.0)

    async def main() -> Statistics:
        statistics = Statistics()
        statistics.missed_deadlines = 1
        log = StatisticsLog("n0", statistics, lambda: Gauges(7, 0, 0, 0))
        log.start()
        log.close()
        return statistics

    with caplog.at_level("INFO", logger=statistics_module.logger.name):
        statistics = asyncio.run(main())
    (line,) = [record.getMessage() for record in caplog.records]
    assert line.startswith("statistics name=n0 ")
    assert {"missed_deadlines=1", "open_requests=7", "requests_received=0"} <= set(line.split())
    assert statistics.missed_deadlines == 0
