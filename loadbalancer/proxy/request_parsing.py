"""Validates clients' HTTP requests and converts them to the policy's `IncomingRequest` events."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from http import HTTPStatus

from loadbalancer.events import IncomingRequest
from loadbalancer.http.request import HttpRequest
from loadbalancer.proxy.clock import Clock
from loadbalancer.proxy.pending_request import PendingRequest
from loadbalancer.settings import Idempotency, ServiceClass

RESPONSE_MARGIN_S = 0.015  # between sending the final response and the client's deadline
MAX_TIMEOUT_FACTOR = 10.0  # a client may request at most this multiple of its service class's time-out
US_PER_MS = 1000.0

DEADLINE_HEADER = b"req-deadline-ms"
ID_HEADER = b"req-id"
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
TENANT_HEADER = b"req-owner"
RETRY_HEADER = b"req-retry"
COST_HEADER = b"req-cost"  # in microseconds

REQUEST_ID = re.compile(r"[\x21-\x7e]{1,128}")
INTEGER = re.compile(r"[0-9]{1,9}")
DECIMAL_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,9})?")


class BadRequestError(Exception):
    """A request is invalid: the proxy responds with an error status and does not pass it to the policy.

    Attributes:
        status: the status of the final response.
        field: the invalid part of the request: `path`, `method`, `body` or a header's name.
    """

    def __init__(self, status: HTTPStatus, field: str) -> None:
        super().__init__(status, field)
        self.status = status
        self.field = field


def parse_request(
    http_request: HttpRequest,
    service_classes: Mapping[str, ServiceClass],
    is_known_id: Callable[[str], bool],
    clock: Clock,
) -> PendingRequest:
    """Validate a completely received request and convert it.

    Raises:
        BadRequestError: the path names no service class, the method does not match it, a header or the body
            is invalid, or `is_known_id` says that a request of this id must not be sent again.
    """
    headers = http_request.headers
    service_class = _service_class(http_request, service_classes)
    request_id = _request_id(headers)
    _check_idempotency(http_request, service_class)
    if is_known_id(request_id):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "req-id")
    deadline_s = _deadline_s(http_request, service_class)
    tenant = headers.get(TENANT_HEADER)
    incoming = IncomingRequest(
        request_id=request_id,
        service_class=service_class.name,
        deadline_ms=clock.to_unix_ms(deadline_s),
        tenant=tenant.decode("latin-1") if tenant else None,
        cost_hint_ms=_cost_hint_ms(headers),
        is_retry=headers.get(RETRY_HEADER) == b"1",
    )
    repeatable = service_class.idempotency is Idempotency.IDEMPOTENT
    return PendingRequest(incoming, http_request, deadline_s, repeatable=repeatable)


def _service_class(http_request: HttpRequest, service_classes: Mapping[str, ServiceClass]) -> ServiceClass:
    """Returns the service class that the first path segment names, if it allows the request's method."""
    segments = http_request.target.partition(b"?")[0].split(b"/")
    name = segments[1] if len(segments) > 1 else b""
    if b"%" in name:
        from urllib.parse import unquote_to_bytes  # rarely needed, and its import slows the start

        name = unquote_to_bytes(name)
    service_class = service_classes.get(name.decode("utf-8", "replace"))
    if service_class is None:
        raise BadRequestError(HTTPStatus.NOT_FOUND, "path")
    if http_request.method != (b"GET" if service_class.idempotency is Idempotency.IDEMPOTENT else b"POST"):
        raise BadRequestError(HTTPStatus.METHOD_NOT_ALLOWED, "method")
    return service_class


def _request_id(headers: dict[bytes, bytes]) -> str:
    """Returns the request id from the `Req-Id` header."""
    request_id = headers.get(ID_HEADER, b"").decode("latin-1")
    if not REQUEST_ID.fullmatch(request_id):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "req-id")
    return request_id


def _check_idempotency(http_request: HttpRequest, service_class: ServiceClass) -> None:
    """Check that a keyed request has an idempotency key and that an idempotent request has no body."""
    idempotency = service_class.idempotency
    if idempotency is Idempotency.KEYED and IDEMPOTENCY_KEY_HEADER not in http_request.headers:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "idempotency-key")
    if idempotency is Idempotency.IDEMPOTENT and http_request.body:
        raise BadRequestError(HTTPStatus.BAD_REQUEST, "body")


def _deadline_s(http_request: HttpRequest, service_class: ServiceClass) -> float:
    """Returns the time by which the final response has to be sent, on the event loop's clock."""
    client_timeout_ms = service_class.client_timeout_ms
    if DEADLINE_HEADER in http_request.headers:
        longest_ms = MAX_TIMEOUT_FACTOR * client_timeout_ms
        client_timeout_ms = min(_number(http_request.headers, DEADLINE_HEADER, INTEGER), longest_ms)
    return http_request.received_at + client_timeout_ms / 1000.0 - RESPONSE_MARGIN_S


def _cost_hint_ms(headers: dict[bytes, bytes]) -> float | None:
    """Returns the cost that the client expects, or None if it gives no hint."""
    if COST_HEADER not in headers:
        return None
    return _number(headers, COST_HEADER, DECIMAL_NUMBER) / US_PER_MS


def _number(headers: dict[bytes, bytes], name: bytes, form: re.Pattern[str]) -> float:
    """Returns the value of a numeric header, which has to be present."""
    text = headers[name].decode("latin-1")
    # float() also accepts blanks, underscores, signs and words such as "inf"; the pattern rejects them.
    if not form.fullmatch(text):
        raise BadRequestError(HTTPStatus.BAD_REQUEST, name.decode())
    return float(text)
