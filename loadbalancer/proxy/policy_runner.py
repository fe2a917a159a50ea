"""Runs the policy: passes it one event at a time, executes its actions and runs its timers."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from loadbalancer.actions import Action, Cancel, Fail, Reject, Send, StartTimer, StartWatch
from loadbalancer.events import (
    AttemptOutcome,
    ClientDisconnected,
    Event,
    IncomingRequest,
    MembershipUpdate,
    TimerFired,
    UpdateKind,
)
from loadbalancer.policy.policy import LoadBalancingPolicy
from loadbalancer.proxy.clock import Clock
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.pending_request import PendingRequests
from loadbalancer.proxy.request_forwarding import RequestForwarder
from loadbalancer.proxy.statistics import Statistics

logger = logging.getLogger(__name__)

FAULT_RETRY_DELAY_S = 0.5  # before restarting a timer or a watch after a policy fault


class PolicyRunner:
    """Connects the policy to the requests, the endpoints and the watch of one proxy.

    Attributes:
        policy: decides on every event.
        requests: the pending requests.
    """

    def __init__(
        self,
        policy: LoadBalancingPolicy,
        clock: Clock,
        pool: ConnectionPool,
        statistics: Statistics,
        start_watch: Callable[[], None],
    ) -> None:
        """`start_watch` starts the watch of the endpoint list, or polls it once more."""
        self.policy = policy
        self.requests = PendingRequests(statistics, self.notify)
        self._clock = clock
        self._statistics = statistics
        self._start_watch = start_watch
        self._forwarder = RequestForwarder(policy.settings, clock, self.requests, pool, self.notify)
        self._loop = asyncio.get_running_loop()
        self._events: deque[Event] = deque()
        self._handling_events = False
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def notify(self, event: Event) -> None:
        """Pass an event to the policy and execute its actions; events that these cause are queued."""
        self._events.append(event)
        if self._handling_events:
            return
        self._handling_events = True
        try:
            while self._events:
                event = self._events.popleft()
                for action in self._handle(event):
                    self.execute(action)
        finally:
            self._handling_events = False

    def execute(self, action: Action) -> None:
        """Execute one action."""
        match action:
            case Send():
                self._forwarder.send(action)
            case Reject():
                self.requests.reject(action.request_id, action.retry_after_ms)
            case Fail():
                self.requests.fail(action.request_id)
            case Cancel():
                self.requests.cancel_attempt(action.request_id, action.attempt)
            case StartTimer():
                self._start_timer(action.delay_ms / 1000.0, action.name)
            case StartWatch():
                self._start_watch()

    def cancel_timer(self, name: str) -> None:
        """Cancel the policy's timer of this name, if it is running."""
        timer = self._timers.pop(name, None)
        if timer is not None:
            timer.cancel()

    def close(self) -> None:
        """Cancel all timers of the policy."""
        for timer in self._timers.values():
            timer.cancel()

    def _handle(self, event: Event) -> list[Action]:
        try:
            return self.policy.handle(self._clock.now_ms(), event)
        except Exception:
            # An exception of the policy would leave clients without a final response and stop the policy's
            # timers. The runner therefore handles the event itself and continues with the next one.
            logger.exception("policy fault event=%s", type(event).__name__)
            self._statistics.policy_faults += 1
            self._recover(event)
            return []

    def _recover(self, event: Event) -> None:
        """Handle an event in place of the policy after its exception."""
        match event:
            case IncomingRequest() | AttemptOutcome():
                self._fail_without_attempts(event.request_id)
            case TimerFired():
                self._start_timer(FAULT_RETRY_DELAY_S, event.name)
            case MembershipUpdate(kind=UpdateKind.UNAVAILABLE | UpdateKind.REFUSED):
                self._loop.call_later(FAULT_RETRY_DELAY_S, self._start_watch)

    def _fail_without_attempts(self, request_id: str) -> None:
        """Fail an open request that has no attempt in flight, since no further event would end it."""
        pending = self.requests.by_id.get(request_id)
        if pending is None or pending.ended or pending.attempts_in_flight:
            return
        self.requests.respond(pending, HTTPStatus.INTERNAL_SERVER_ERROR)
        self._events.append(ClientDisconnected(request_id))

    def _start_timer(self, delay_s: float, name: str) -> None:
        self._timers[name] = self._loop.call_later(delay_s, self.notify, TimerFired(name))
