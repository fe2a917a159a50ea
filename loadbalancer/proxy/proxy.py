"""The proxy: creates and connects the components of one proxy; start, reload and shutdown."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import replace
from typing import Any

from loadbalancer.discovery.endpoint_list import EndpointList
from loadbalancer.discovery.watch_client import WatchClient, WatchOptions
from loadbalancer.discovery.watch_timing import WATCH_WAIT_MS
from loadbalancer.events import ShutdownStarted, UpdateKind
from loadbalancer.http.byte_budget import ByteBudget
from loadbalancer.policy.policy import WATCH_TIMER, LoadBalancingPolicy
from loadbalancer.proxy.clock import Clock
from loadbalancer.proxy.config import Config
from loadbalancer.proxy.connection_pool import ConnectionPool
from loadbalancer.proxy.membership import Membership
from loadbalancer.proxy.policy_runner import PolicyRunner
from loadbalancer.proxy.process_memory import read_process_memory
from loadbalancer.proxy.request_intake import RequestIntake
from loadbalancer.proxy.statistics import Gauges, Statistics, StatisticsLog

logger = logging.getLogger(__name__)

WATCH_WAIT_FRACTION = 0.5  # of the time within which the proxy has to poll discovery


class Proxy:
    """One proxy in front of a tier.

    Attributes:
        loop: the event loop that the proxy runs on.
        clock: Unix time on that event loop.
        config: the configuration at the start, with the current address of discovery.
        settings: the policy's settings.
        buffered_bytes: the bytes of messages that connections hold, and their limit.
        statistics: the counters since the last statistics line in the log.
        pool: the connections to the endpoints.
        watch_client: watches the endpoint list.
        policy_runner: passes events to the policy and executes its actions.
        requests: the pending requests.
        listener: accepts clients' connections.
        membership: applies endpoint lists.
    """

    def __init__(self, config: Config) -> None:
        self.loop = asyncio.get_running_loop()
        self.config = config
        self.settings = config.settings
        self.statistics = Statistics()
        self.buffered_bytes = ByteBudget(config.buffered_bytes_limit(read_process_memory().resident))
        self.pool = ConnectionPool(
            config.upstream_limit,
            config.endpoint_idle_timeout_ms / 1000.0,
            config.connect_timeout_ms / 1000.0,
            self.buffered_bytes,
        )
        self.watch_client = WatchClient(
            config.discovery,
            config.known_endpoints.revision,
            _watch_options(config),
            self._on_endpoint_list,
        )
        self.clock = Clock(self.loop)
        policy = LoadBalancingPolicy(self.settings, config.seed, self.clock.now_ms())
        self.policy_runner = PolicyRunner(
            policy, self.clock, self.pool, self.statistics, self.watch_client.start
        )
        self.requests = self.policy_runner.requests
        self._intake = RequestIntake(config, self.clock, self.requests, self.statistics, self.buffered_bytes)
        self.listener = self._intake.listener
        self.membership = Membership(self.pool, self.listener, self.statistics, self.policy_runner.notify)
        self._statistics_log = StatisticsLog(config.name, self.statistics, self._gauges)

    @property
    def policy(self) -> LoadBalancingPolicy:
        """The policy, which decides on every event."""
        return self.policy_runner.policy

    @policy.setter
    def policy(self, policy: LoadBalancingPolicy) -> None:
        """Replace the policy; the next event goes to the new one."""
        self.policy_runner.policy = policy

    async def start(self) -> None:
        """Apply the configured endpoint list and begin to serve.

        Raises:
            OSError: the configured address can't be bound.
        """
        self.loop.set_exception_handler(self._on_event_loop_error)
        self._on_endpoint_list(UpdateKind.CACHED, self.config.known_endpoints)
        await self.listener.listen(*self.config.listen)
        if not self.settings.polls_discovery:
            self.watch_client.start()
        self._statistics_log.start()

    def reconfigure(self, config: Config) -> None:
        """Apply a new address of discovery; log a warning if the configuration has other changes."""
        self.config = replace(self.config, discovery=config.discovery)
        # A backoff timer that is started before the change of address can fire during the first watch
        # request after it, and the policy would take that moment for the start of the request. The timer is
        # therefore cancelled.
        self.policy_runner.cancel_timer(WATCH_TIMER)
        self.watch_client.reconnect_to(config.discovery)
        logger.info("discovery address set name=%s address=%s:%d", self.config.name, *config.discovery)
        # The endpoint list and the seed differ in every file and are used only at the start.
        comparable = replace(config, known_endpoints=self.config.known_endpoints, seed=self.config.seed)
        if comparable != self.config:
            logger.warning("configuration changes wait for the next start name=%s", self.config.name)

    def begin_shutdown(self) -> None:
        """Respond to readiness checks with 503; requests are still served."""
        self.membership.begin_shutdown()

    def end_requests(self) -> None:
        """Send the final response of each request that has been received, and start no more attempts."""
        # Without this event, all requests in flight at the end of a shutdown would fail, although a retry of
        # most of them is harmless, and a request read in the last iteration of the event loop would get no
        # response. The policy therefore chooses each final response.
        self.policy_runner.notify(ShutdownStarted())
        # Requests that wait behind another on their connection get theirs in the same call: a process that
        # ends after a fixed time, on a slow machine, would close their connections without one.
        self.listener.reject_undispatched()
        self.requests.end_all()

    def close(self) -> None:
        """Close all connections and timers."""
        self.listener.close()
        self.watch_client.close()
        self.pool.close()
        self._statistics_log.close()
        self.policy_runner.close()

    def _on_event_loop_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Count and log an error that a callback of the event loop has not handled; the proxy continues."""
        self.statistics.event_loop_errors += 1
        logger.error("event loop error cause=%s", context["message"], exc_info=context.get("exception"))

    def _on_endpoint_list(self, kind: UpdateKind, endpoint_list: EndpointList | None) -> None:
        self.membership.apply(kind, endpoint_list)

    def _gauges(self) -> Gauges:
        return Gauges(
            open_requests=self.requests.open_count,
            cursor=self.policy.cursor,
            downstream_connections=len(self.listener.connections),
            upstream_connections=self.pool.size,
            buffered_bytes=self.buffered_bytes.buffered,
            peak_buffered_bytes=self.buffered_bytes.take_peak(),
        )


def _watch_options(config: Config) -> WatchOptions:
    """The options of the watch of the endpoint list."""
    # A proxy counts as notified of every change `discovery_poll_deadline_ms` after its last poll, even if
    # discovery no longer responds. A watch request ends well before that, so that the proxy detects the
    # failure in time.
    wait_ms = min(WATCH_WAIT_MS, config.discovery_poll_deadline_ms * WATCH_WAIT_FRACTION)
    return WatchOptions(
        wait_ms, retries_forever=not config.settings.polls_discovery, accepts_late_responses=True
    )
