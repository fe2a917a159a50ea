"""Receives clients' requests: each complete request becomes a pending request or gets an error response."""

from __future__ import annotations

from http import HTTPStatus

from loadbalancer.http.listener import HttpListener
from loadbalancer.http.request import HttpRequest
from loadbalancer.proxy.clock import Clock
from loadbalancer.proxy.config import Config
from loadbalancer.proxy.pending_request import PendingRequests
from loadbalancer.proxy.request_parsing import BadRequestError, parse_request
from loadbalancer.proxy.statistics import Statistics


class RequestIntake:
    """Owns the listener, and rejects requests that are invalid or over a limit before the policy gets them.

    Attributes:
        listener: accepts connections from clients.
    """

    def __init__(
        self, config: Config, clock: Clock, requests: PendingRequests, statistics: Statistics
    ) -> None:
        self.listener = HttpListener(config.downstream_limit, self._on_request)
        self._service_classes = {item.name: item for item in config.settings.classes}
        self._max_open_requests = config.max_open_requests
        self._clock = clock
        self._requests = requests
        self._statistics = statistics

    def _on_request(self, http_request: HttpRequest) -> None:
        """Handle a completely received request."""
        self._statistics.requests_received += 1
        try:
            pending = parse_request(http_request, self._service_classes, self._requests.by_id, self._clock)
        except BadRequestError as error:
            self._statistics.bad_requests[error.status] += 1
            http_request.respond(error.status)
            return
        if not self._has_capacity():
            # The request has not been forwarded, so a client can safely retry it: it is rejected, not failed.
            self._statistics.requests_over_limit += 1
            http_request.respond(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self._requests.add(pending)

    def _has_capacity(self) -> bool:
        """Returns whether one more request may be open; may evict an idle connection to free capacity."""
        # While a replica restarts, many connections that are idle for a short time can use up the connection
        # limit, and requests would be rejected although few are open. A complete request therefore evicts
        # the connection that has been idle for longest, without the grace period that applies to evictions
        # for a new connection. Trade-off: the evicted client has to connect again, which can be expensive.
        return self._requests.open_count < self._max_open_requests and self.listener.ensure_capacity(
            grace_s=0.0
        )
