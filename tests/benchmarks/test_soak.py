"""The soak: a seeded run on real processes breaks no rule, and its ledger detects each broken one."""

from __future__ import annotations

import pytest

from benchmarks.soak.__main__ import describe, raise_descriptor_limit
from benchmarks.soak.ledger import Execution, Ledger, RequestRecord
from benchmarks.soak.plan import HOSTILE_KINDS, SIGNAL_SERIES, make_plan
from benchmarks.soak.run import play

SEEDS = (7, 10, 13, 14)  # with 32 MB and with 192 MB; all kinds of signals but one
LOAD_S = 4.0


@pytest.mark.parametrize("seed", SEEDS)
async def test_soak_breaks_no_rule(seed):
    raise_descriptor_limit()
    result = await play(make_plan(seed, LOAD_S))
    assert not result.violations, describe(result)
    assert result.statuses["200"] > 0


def test_plan_depends_on_its_seed_alone_and_covers_all_kinds():
    plans = [make_plan(seed, LOAD_S) for seed in range(60)]
    assert plans == [make_plan(seed, LOAD_S) for seed in range(60)]
    assert {group.kind for plan in plans for group in plan.hostile} == set(HOSTILE_KINDS)
    assert {plan.signals for plan in plans} == set(SIGNAL_SERIES)


def request_record(kind: str = "post", status: int | None = 200, **fields) -> RequestRecord:
    record = RequestRecord(kind, sent_s=10.0, deadline_s=1.0, status=status, body=b"q1", answered_s=10.5)
    for name, value in fields.items():
        setattr(record, name, value)
    return record


def execution(began_s: float = 10.1, told_s: float = 0.9) -> Execution:
    return Execution("s0", began_s, told_s)


@pytest.mark.parametrize(
    ("record", "executions", "problem"),
    [
        pytest.param(request_record(), [execution()], None, id="served"),
        pytest.param(request_record(status=None), [], "no final response", id="no response"),
        pytest.param(request_record(status=None, excused=True), [execution()], None, id="killed"),
        pytest.param(request_record(answered_s=11.6), [], "too late", id="late"),
        pytest.param(request_record(body=b"q2"), [], "not made for", id="foreign response"),
        pytest.param(request_record(), [execution(), execution()], "more than once", id="duplicate"),
        pytest.param(request_record("read"), [execution(), execution()], None, id="idempotent retry"),
        pytest.param(request_record(status=503), [execution()], "although executed", id="refused"),
        pytest.param(
            request_record(status=None, left_s=10.0), [execution()], None, id="attempt right after leaving"
        ),
        pytest.param(
            request_record(status=None, left_s=10.0),
            [execution(10.2)],
            "had left",
            id="attempt after leaving",
        ),
        pytest.param(request_record(), [execution(10.5, 0.9)], "told more", id="deadline"),
    ],
)
def test_ledger_detects_each_broken_rule(record, executions, problem):
    ledger = Ledger(requests={"q1": record}, executions={"q1": executions} if executions else {})
    violations = ledger.violations()
    assert len(violations) == (problem is not None)
    assert problem is None or problem in violations[0]


def test_ledger_detects_an_id_that_no_client_has_sent():
    assert Ledger(executions={"q9": [execution()]}).violations() == ["q9: no client sent this id"]
