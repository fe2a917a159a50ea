"""The proxy's configuration and its parsing from the JSON of its file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeVar

import orjson

from loadbalancer.discovery.endpoint_list import EndpointList, parse_endpoint_list
from loadbalancer.http.addresses import Address, parse_address
from loadbalancer.platform_settings import JsonObject, parse_settings
from loadbalancer.settings import ConfigurationError, Settings

DEFAULT_DESCRIPTOR_LIMIT = 1024
DEFAULT_MEMORY_LIMIT_MB = 192.0
DEFAULT_MAX_OPEN_REQUESTS = 20_000
DEFAULT_ENDPOINT_IDLE_TIMEOUT_MS = 15_000.0
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_DISCOVERY_POLL_DEADLINE_MS = 10_000.0
HEXADECIMAL = 16

RESERVED_DESCRIPTORS = 16  # file descriptors for the listener, discovery, standard streams and the event loop
MIN_USABLE_DESCRIPTORS = 16
# The fractions divide the descriptors that are not reserved between clients' connections, including lingering
# ones, and connections to endpoints. The remaining 7% are about six accept batches (`ACCEPT_BATCH_DIVISOR`):
# in a burst, up to five batches of connections are open in addition to both shares.
DOWNSTREAM_FRACTION = 0.58
UPSTREAM_FRACTION = 0.35

BYTES_PER_MB = 1024 * 1024
CONNECTION_BYTES = 5 * 1024  # of the objects of one open connection, without its messages
# Of the memory that the process and its connections leave, the part that messages may use. The rest is for
# copies of a message while it is forwarded, for endpoint lists, and for freed memory that is not returned.
BUFFER_FRACTION = 0.4
MIN_BUFFER_BYTES = 1024 * 1024  # with which some requests can be served, however little memory there is

Number = TypeVar("Number", int, float)


@dataclass(slots=True, frozen=True, repr=False)
class Config:
    """A proxy's configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    known_endpoints: EndpointList  # used from the start until the first response of discovery
    settings: Settings
    descriptor_limit: int = DEFAULT_DESCRIPTOR_LIMIT  # file descriptors of the process
    memory_limit_mb: float = DEFAULT_MEMORY_LIMIT_MB  # of the process
    max_open_requests: int = DEFAULT_MAX_OPEN_REQUESTS
    endpoint_idle_timeout_ms: float = DEFAULT_ENDPOINT_IDLE_TIMEOUT_MS  # of the endpoints' own listeners
    connect_timeout_ms: float = DEFAULT_CONNECT_TIMEOUT_MS
    # Once this has passed since the proxy's last poll of discovery, it counts as notified of every change.
    discovery_poll_deadline_ms: float = DEFAULT_DISCOVERY_POLL_DEADLINE_MS

    @property
    def downstream_limit(self) -> int:
        """The maximum number of open connections from clients."""
        return int(self._usable_descriptors * DOWNSTREAM_FRACTION)

    @property
    def upstream_limit(self) -> int:
        """The maximum number of connections to endpoints that are open or being established."""
        return int(self._usable_descriptors * UPSTREAM_FRACTION)

    def buffered_bytes_limit(self, resident_bytes: int) -> int:
        """The bytes of messages that all connections may hold together.

        Args:
            resident_bytes: the memory of the process without connections.
        """
        connections = self.downstream_limit + self.upstream_limit
        available = self.memory_limit_mb * BYTES_PER_MB - resident_bytes - connections * CONNECTION_BYTES
        return max(MIN_BUFFER_BYTES, int(available * BUFFER_FRACTION))

    @property
    def _usable_descriptors(self) -> int:
        return max(MIN_USABLE_DESCRIPTORS, self.descriptor_limit - RESERVED_DESCRIPTORS)


def parse_config(data: bytes) -> Config:
    """Parse the configuration file's content.

    Raises:
        ConfigurationError: the content is not valid JSON, lacks a required key, or has a value of the wrong
            type or out of range.
    """
    try:
        document: JsonObject = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise ConfigurationError("file", f"not valid JSON: {error}") from error
    try:
        return _config(document)
    except KeyError as error:
        raise ConfigurationError(
            str(error.args[0]), "required key is missing from the configuration file or one of its objects"
        ) from error
    except (TypeError, AttributeError) as error:
        raise ConfigurationError(
            "file", f"expected a JSON object whose values have the documented types: {error}"
        ) from error


def _config(document: JsonObject) -> Config:
    limits: JsonObject = document.get("limits") or {}
    bounds: JsonObject = document["settings"].get("bounds") or {}
    invariants: JsonObject = document["settings"].get("invariants") or {}
    return Config(
        name=str(document["name"]),
        listen=_address(document, "listen"),
        discovery=_address(document, "discovery"),
        seed=_seed(document["seed"]),
        known_endpoints=_endpoint_list(document["known"]),
        settings=parse_settings(document["settings"]),
        descriptor_limit=_positive(limits, "sockets", DEFAULT_DESCRIPTOR_LIMIT),
        memory_limit_mb=_positive(limits, "memory_mb", DEFAULT_MEMORY_LIMIT_MB),
        max_open_requests=_positive(bounds, "maxOpen", DEFAULT_MAX_OPEN_REQUESTS),
        endpoint_idle_timeout_ms=_positive(bounds, "connIdleMs", DEFAULT_ENDPOINT_IDLE_TIMEOUT_MS),
        connect_timeout_ms=_positive(bounds, "connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
        discovery_poll_deadline_ms=_positive(invariants, "askWithinMs", DEFAULT_DISCOVERY_POLL_DEADLINE_MS),
    )


def _address(document: JsonObject, key: str) -> Address:
    try:
        return parse_address(document[key])
    except ValueError as error:
        raise ConfigurationError(key, str(error)) from error


def _seed(text: str) -> int:
    try:
        return int(text, HEXADECIMAL)
    except ValueError as error:
        raise ConfigurationError("seed", f"{text!r} is not a hexadecimal number") from error


def _endpoint_list(document: object) -> EndpointList:
    try:
        return parse_endpoint_list(document)
    except ValueError as error:
        raise ConfigurationError("known", str(error)) from error


def _positive(section: JsonObject, key: str, default: Number) -> Number:
    """The number above 0 that this key has, or the default if the key is absent or null."""
    value: Number | None = section.get(key)
    if value is None:
        return default
    if not isinstance(value, int | float) or value <= 0:
        raise ConfigurationError(key, f"{value!r} is not a number above 0")
    return value
