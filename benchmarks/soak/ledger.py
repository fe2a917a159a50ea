"""What clients and endpoints saw of each request, and the rules that this must not break."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

LEAVER_GRACE_S = 0.1  # an attempt that begins later than this after its client has left breaks the rule
FINAL_RESPONSE_GRACE_S = 0.5  # after the deadline, until which a final response is only worthless
DEADLINE_SLACK_S = 0.15  # that an endpoint may be told more than the client has left
REFUSED_STATUSES = (429, 503)
OK_STATUS = 200
IDEMPOTENT_KIND = "read"


def response_body(request_id: str) -> bytes:
    """The body of each whole response to a request; its end is a line break, which a parser may skip."""
    return f"{request_id} is served\r\n".encode()


@dataclass
class Execution:
    """One execution of a request by an endpoint."""

    endpoint: str
    began_s: float  # on the event loop's clock
    told_s: float | None  # the time for which the proxy says that it waits


@dataclass
class RequestRecord:
    """One request of a client.

    Attributes:
        kind: the service class.
        sent_s: when the last byte was sent, on the event loop's clock.
        deadline_s: the time for which the client waits.
        left_s: when the client closed the connection, if it did.
        status: of the final response; None without one.
        body: of the final response.
        answered_s: when the final response was complete.
        excused: whether the process was killed while the request was open.
    """

    kind: str
    sent_s: float
    deadline_s: float
    left_s: float | None = None
    status: int | None = None
    body: bytes = b""
    answered_s: float = 0.0
    excused: bool = False


@dataclass
class Ledger:
    """All requests and executions of a run, by request id.

    Attributes:
        lag_s: the longest delay of this process's own event loop, by which times may be wrong.
        complaints: broken rules that are not about one request.
    """

    requests: dict[str, RequestRecord] = field(default_factory=dict)
    executions: dict[str, list[Execution]] = field(default_factory=dict)
    lag_s: float = 0.0
    complaints: list[str] = field(default_factory=list)

    def record_execution(self, request_id: str, execution: Execution) -> None:
        """Record that an endpoint begins to execute a request."""
        self.executions.setdefault(request_id, []).append(execution)

    def statuses(self) -> Counter[str]:
        """The numbers of final responses by status; `left`, `excused` and `none` without one."""
        return Counter(_outcome(record) for record in self.requests.values())

    def violations(self) -> list[str]:
        """Each broken rule, with the id of its request."""
        found = list(self.complaints)
        for request_id, record in self.requests.items():
            executions = self.executions.get(request_id, [])
            problems = [
                *self._response_problems(request_id, record),
                *self._execution_problems(record, executions),
            ]
            found += [f"{request_id}: {problem}: {record} {executions}" for problem in problems]
        found += [
            f"{unknown}: no client sent this id" for unknown in self.executions.keys() - self.requests.keys()
        ]
        return found

    def _response_problems(self, request_id: str, record: RequestRecord) -> Iterator[str]:
        if record.left_s is not None or record.excused:
            return
        if record.status is None:
            yield "lost: no final response"
            return
        if record.answered_s > record.sent_s + record.deadline_s + FINAL_RESPONSE_GRACE_S + self.lag_s:
            yield "lost: the final response is too late"
        if record.status == OK_STATUS and record.body != response_body(request_id):
            yield "lost: the response was not made for this request"

    def _execution_problems(self, record: RequestRecord, executions: list[Execution]) -> Iterator[str]:
        if record.kind != IDEMPOTENT_KIND:
            if len(executions) > 1 and record.kind == "post":
                yield "duplicate: executed more than once"
            if executions and record.status in REFUSED_STATUSES:
                yield "refused although executed"
        for execution in executions:
            if record.left_s is not None and execution.began_s > record.left_s + LEAVER_GRACE_S + self.lag_s:
                yield "lost: an attempt began after the client had left"
            remaining_s = record.sent_s + record.deadline_s - execution.began_s
            told_s = execution.told_s
            if told_s is not None and told_s > max(0.0, remaining_s) + DEADLINE_SLACK_S + self.lag_s:
                yield "deadline: the endpoint was told more than is left"


def _outcome(record: RequestRecord) -> str:
    if record.left_s is not None:
        return "left"
    if record.status is not None:
        return str(record.status)
    return "excused" if record.excused else "none"
