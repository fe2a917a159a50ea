"""Delivery times: a change that does not reach all its watches counts as missed and has no last delivery."""

from __future__ import annotations

from benchmarks.hollow.change_deliveries import ChangeDeliveries
from benchmarks.hollow.messages import ChangeDelivery


def test_last_delivery_time_is_the_maximum_of_a_change_that_reaches_all_watches():
    first = ChangeDelivery(2, 2, 0, delivered_at_s=[11.0, 13.0], read_at_s=[11.0, 12.0])
    second = ChangeDelivery(1, 1, 1, delivered_at_s=[12.0], read_at_s=[12.0])
    incomplete = ChangeDelivery(3, 2, 0, delivered_at_s=[10.5, 19.0], read_at_s=[10.5, 18.0])
    deliveries = ChangeDeliveries()
    deliveries.add_change(10.0, [first, second])
    assert deliveries.last_times_s == [3.0]
    assert (deliveries.expected, deliveries.delivered, deliveries.repeated) == (3, 3, 1)
    deliveries.add_change(10.0, [incomplete])  # one watch has not received it: there is no last delivery
    assert deliveries.last_times_s == [3.0]
    figures = deliveries.figures()
    assert (figures.last_ms, figures.read_last_ms, figures.missed) == (3000.0, 8000.0, 1)
