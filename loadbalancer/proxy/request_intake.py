"""Receives clients' requests: each complete request becomes a pending request or gets an error response."""

from __future__ import annotations

from http import HTTPStatus

from loadbalancer.http.byte_budget import ByteBudget
from loadbalancer.http.listener import HttpListener
from loadbalancer.http.request import HttpRequest
from loadbalancer.proxy.clock import Clock
from loadbalancer.proxy.config import Config
from loadbalancer.proxy.decision_log import DecisionLog, RefusalReason
from loadbalancer.proxy.pending_request import PendingRequests
from loadbalancer.proxy.request_parsing import BadRequestError, parse_request
from loadbalancer.proxy.statistics import Statistics


class RequestIntake:
    """Owns the listener, and rejects requests that are invalid or over a limit before the policy gets them.

    Attributes:
        listener: accepts connections from clients.
    """

    def __init__(
        self,
        config: Config,
        clock: Clock,
        requests: PendingRequests,
        statistics: Statistics,
        budget: ByteBudget,
    ) -> None:
        self.listener = HttpListener(config.downstream_limit, self._on_request, budget)
        self._budget = budget
        self._service_classes = {item.name: item for item in config.settings.classes}
        self._max_open_requests = config.max_open_requests
        self._clock = clock
        self._requests = requests
        self._statistics = statistics
        self._decision_log = DecisionLog(config.name, statistics)
        self.listener.registry.on_close = self._decision_log.record_close

    def _on_request(self, http_request: HttpRequest) -> None:
        """Handle a completely received request."""
        self._statistics.requests_received += 1
        try:
            pending = parse_request(http_request, self._service_classes, self._requests.is_known, self._clock)
        except BadRequestError as error:
            self._decision_log.record_bad_request(http_request, error.status, error.field)
            http_request.respond(error.status)
            return
        refusal = self._refusal()
        if refusal is not None:
            # The request has not been forwarded, so a client can safely retry it: it is rejected, not failed.
            self._decision_log.record_refusal(http_request, refusal)
            http_request.respond(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._requests.add(pending)

    def _refusal(self) -> RefusalReason | None:
        """Return why no more request may be open, None if one may; may evict an idle connection."""
        # While a replica restarts, many connections that are idle for a short time can use up the connection
        # limit, and requests would be rejected although few are open. A complete request therefore evicts
        # the connection that has been idle for longest, without the grace period that applies to evictions
        # for a new connection. Trade-off: the evicted client has to connect again, which can be expensive.
        if self._requests.open_count >= self._max_open_requests:
            return RefusalReason.OPEN_REQUESTS
        if not self._budget.allows_requests:
            return RefusalReason.MEMORY
        return None if self.listener.ensure_capacity(grace_s=0.0) else RefusalReason.CONNECTIONS
