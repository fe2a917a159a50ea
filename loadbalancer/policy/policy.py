"""The policy: takes the events of loadbalancer/events.py and returns the actions of loadbalancer/actions.py.

- Host: the program that delivers the events and carries out the actions; the proxy or the simulator adapter.
- Tier: a level of services that send requests to each other; clients reach tier 0, the entry tier, and it
  sends requests to lower tiers.
- Pool: the endpoints of one tier in the endpoint list, to which this proxy sends attempts.
- Replicas: the proxies that send to the same tier, including this one.
- Period: the time between two moves of the cursor, which selects the thresholds of admission.
- Rejection: a request that admission does not admit, or an attempt that its endpoint declines to execute, is
  rejected. As the final response, a rejection states that the client may retry without harm; a failure does
  not.

Admission (admission.py): the weight of the proxy's attempts in flight is compared with the threshold for the
priority of an arriving request. The request is admitted if the weight is at least 1 below the threshold, at
random if it is less than 1 below, and rejected otherwise. Once per period, the thresholds are lowered by at
most one step if the load of the pool is above its target, and raised by one step if it is not.

Selection (selection.py): up to three endpoints are sampled at random, with probabilities in proportion to
their capacity, and the one of the lowest rank gets the attempt. An endpoint that is warming up gets a limited
fraction of the attempts (slow_start.py).

Retries (retry_rules.py): if an attempt fails, the request is retried at another endpoint only if a second
execution is impossible or harmless.

The policy does no I/O: `LoadBalancingPolicy.handle(now_ms, event)` depends on the settings, the seed and the
events so far with their times, and on nothing else.
"""

from __future__ import annotations

from random import Random

from loadbalancer.actions import Action, StartTimer, StartWatch
from loadbalancer.events import (
    AttemptOutcome,
    ClientDisconnected,
    Event,
    HealthChecked,
    IncomingRequest,
    MembershipUpdate,
    ResponseStarted,
    ShutdownStarted,
    TimerFired,
    UpdateKind,
)
from loadbalancer.policy.admission import AdmissionControl, FullThreshold
from loadbalancer.policy.completion_rate import CompletionRate
from loadbalancer.policy.cursor_table import cursor_period_ms
from loadbalancer.policy.discovery_backoff import DiscoveryBackoff
from loadbalancer.policy.endpoint_set import EndpointSet
from loadbalancer.policy.latency_baseline import ClassLatency, LatencyBaseline
from loadbalancer.policy.load_estimator import LoadEstimator
from loadbalancer.policy.load_signals import OutcomeCounter
from loadbalancer.policy.outcome_recorder import OutcomeRecorder
from loadbalancer.policy.request_tracker import RequestTracker
from loadbalancer.policy.selection import EndpointSelector
from loadbalancer.policy.slow_start import SlowStart
from loadbalancer.settings import Settings

# Names of timers; the simulator's SLEEP and ALARM messages carry them.
PERIOD_TIMER = "period"
WATCH_TIMER = "watch"


class LoadBalancingPolicy:
    """Decides for one proxy which requests are admitted, where their attempts go, and how they end.

    Attributes:
        settings: the configuration, fixed at the start.
        period_ms: the length of a period.
        endpoints: the listed endpoints and their state.
        class_latency: the mean latency of each service class.
        latency: the pool's smoothed latency and its baseline at low load.
        completion_rate: the rate of completed attempts.
        outcome_counter: the numbers of outcomes and rejections in the current period.
        outcome_recorder: updates the four above and the endpoint with each outcome.
        load_estimator: the load of the pool.
        slow_start: the assumed capacity of endpoints that are warming up, and the limit on their attempts.
        selector: selects the endpoint of an attempt.
        admission: the cursor table and tenants' quotas.
        requests: open requests and their attempts.
    """

    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        random = Random(seed)
        self.settings = settings
        self.period_ms = cursor_period_ms(settings)
        self.endpoints = EndpointSet(uses_capacity=settings.uses_capacity)
        self.class_latency = ClassLatency()
        self.latency = LatencyBaseline()
        self.completion_rate = CompletionRate(settings, self.period_ms)
        self.outcome_counter = OutcomeCounter(is_entry_tier=settings.tier == 0)
        self.outcome_recorder = OutcomeRecorder(
            self.class_latency, self.latency, self.completion_rate, self.outcome_counter
        )
        self.load_estimator = LoadEstimator(
            settings.replicas, self.endpoints, self.latency, self.outcome_counter
        )
        self.slow_start = SlowStart(settings, random, self.endpoints, now_ms)
        full_threshold = FullThreshold(settings.replicas, self.endpoints, self.latency, self.completion_rate)
        self.admission = AdmissionControl(settings, random, self.endpoints, full_threshold, now_ms)
        self.selector = EndpointSelector(
            settings, random, self.endpoints, self.class_latency, self.slow_start
        )
        self.requests = RequestTracker(
            settings, self.endpoints, self.admission, self.selector, self.outcome_recorder
        )
        self._discovery_backoff = DiscoveryBackoff(random, now_ms)
        self._started = False

    @property
    def cursor(self) -> int:
        """The position of the cursor in its table, for statistics; 0 admits the most."""
        return self.admission.cursor

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event; returns the actions for the host to carry out, in this order.

        Event times never decrease. The first event also starts the policy's own timer and, where
        discovery is polled, its watch.
        """
        if not self._started:
            return [*self._start(now_ms), *self.handle(now_ms, event)]
        actions: list[Action] = []
        match event:
            case IncomingRequest():
                actions = self.requests.receive(now_ms, event)
            case AttemptOutcome():
                actions = self._on_outcome(now_ms, event)
            case TimerFired():
                actions = self._on_timer(now_ms, event)
            case MembershipUpdate():
                actions = self._on_membership(now_ms, event)
            case ClientDisconnected():
                actions = self.requests.disconnect(event.request_id)
            case ResponseStarted():
                actions = self.requests.start_response(event.request_id, event.attempt)
            case ShutdownStarted():
                self.requests.drain()
            case HealthChecked():
                self.endpoints.observe_load_report(now_ms, event.endpoint, event.load_report)
        return actions

    def _start(self, now_ms: float) -> list[Action]:
        self._started = True
        timer = StartTimer(self.period_ms, PERIOD_TIMER)
        return [timer, *self._start_watch(now_ms)] if self.settings.polls_discovery else [timer]

    def _on_timer(self, now_ms: float, timer: TimerFired) -> list[Action]:
        if timer.name == PERIOD_TIMER:
            self._end_period(now_ms)
            return [StartTimer(self.period_ms, PERIOD_TIMER)]
        return self._start_watch(now_ms) if timer.name == WATCH_TIMER else []

    def _on_outcome(self, now_ms: float, outcome: AttemptOutcome) -> list[Action]:
        # A late response of the process before a restart has the load of that process, not of the new one.
        if not self.requests.is_of_replaced_endpoint(outcome):
            self.endpoints.observe_load_report(now_ms, outcome.endpoint, outcome.load_report)
        return self.requests.finish_attempt(now_ms, outcome)

    def _on_membership(self, now_ms: float, update: MembershipUpdate) -> list[Action]:
        if update.kind is UpdateKind.UNAVAILABLE:
            return [StartTimer(self._discovery_backoff.observe_failure(now_ms), WATCH_TIMER)]
        if update.kind is UpdateKind.REFUSED:
            return [StartTimer(self._discovery_backoff.observe_refusal(now_ms), WATCH_TIMER)]
        self._discovery_backoff.observe_success(now_ms, update.kind)
        self.endpoints.apply(update)
        return []

    def _start_watch(self, now_ms: float) -> list[Action]:
        self._discovery_backoff.start_request(now_ms)
        return [StartWatch()]

    def _end_period(self, now_ms: float) -> None:
        """Update the estimates from the period that ends, and move the cursor by the load of the pool."""
        self.endpoints.expire_abandoned(now_ms)
        reporting = self.endpoints.reporting(now_ms)
        self.selector.update_assumed_queue(now_ms, reporting)
        self.latency.update(self.admission.cursor)
        self.admission.move_cursor(self.load_estimator.estimate(reporting))
        self.slow_start.update_usual_rate(now_ms, self.completion_rate.period_weight, self.period_ms)
        self.completion_rate.end_period()
        self.latency.start_period()
        self.outcome_counter.start_period()
