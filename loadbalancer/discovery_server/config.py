"""The configuration of a discovery server process: one TOML file, which is read once at startup."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from loadbalancer.discovery_server.revisions import TAG_BITS
from loadbalancer.http.addresses import AddressError, parse_address

MAX_LISTS = 5_000
MAX_UPSTREAMS = 16  # of one list
MAX_DURATION_MS = 60_000
PATH_PREFIX = " - at `"  # precedes the path of the invalid setting in msgspec's messages

Count = Annotated[int, msgspec.Meta(ge=1)]
DurationMs = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_MS)]
ListName = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}\Z")]
Tag = Annotated[int, msgspec.Meta(ge=0, lt=1 << TAG_BITS)]


class ConfigurationError(ValueError):
    """An invalid configuration. The message is one line and names the invalid setting.

    Attributes:
        path: The invalid setting, such as `$.lists[0].listen`; empty if no single setting is invalid.
    """

    def __init__(self, message: str, path: str = "") -> None:
        super().__init__(f"{message}{PATH_PREFIX}{path}`" if path else message)
        self.path = path


class ListLimits(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "max_entries": "entries",
        "max_bytes": "bytes",
        "max_log_entries": "log_entries",
        "max_log_bytes": "log_bytes",
    },
):
    """The limits of one list.

    Attributes:
        max_entries: Maximum number of entries in the list.
        max_bytes: Maximum size of the JSON of all its entries, in bytes.
        max_log_entries: Maximum number of entries in its change log: one for each change set, and one for
            each of its records.
        max_log_bytes: Maximum size of the JSON of all records in its change log, in bytes.
    """

    max_entries: Count = 20_000
    max_bytes: Count = 8 * 1024 * 1024
    max_log_entries: Count = 4_000
    max_log_bytes: Count = 1024 * 1024


class ProcessLimits(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "max_connections": "connections",
        "max_watches": "watches",
        "max_unsent_bytes": "unsent_bytes",
        "unread_timeout_ms": "unread_ms",
    },
):
    """The limits of one process, over all of its lists.

    Attributes:
        max_connections: Maximum number of client connections.
        max_watches: Maximum number of waiting watches.
        max_unsent_bytes: Maximum number of bytes of responses that clients have not read yet, over all
            clients.
        unread_timeout_ms: Time in milliseconds after which a client that has not read its complete response
            is disconnected.
    """

    max_connections: Count = 4_000
    max_watches: Count = 4_000
    max_unsent_bytes: Count = 64 * 1024 * 1024
    unread_timeout_ms: DurationMs = 5_000.0


class ListConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One endpoint list.

    Attributes:
        name: Identifies the list in log lines, and is part of the names of its snapshot files.
        listen: The address and port at which the list is served; port 0 lets the kernel choose one.
        upstreams: Addresses of the registry or of other discovery servers, in order of preference.
    """

    name: ListName
    listen: str
    upstreams: Annotated[tuple[str, ...], msgspec.Meta(min_length=1, max_length=MAX_UPSTREAMS)]


class Config(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={
        "tag": "id",
        "watch_timeout_ms": "wait_ms",
        "statistics_interval_ms": "stats_ms",
        "list_limits": "limits",
        "process_limits": "process",
    },
):
    """The configuration of one process; the file's keys are those of `docs/discovery-server.md`.

    Attributes:
        state_dir: The directory of the snapshots; only one process at a time can use it.
        lists: The endpoint lists that the process serves.
        tag: The low bits of each revision that the process issues; None: the tag of the list's snapshot, or a
            random one.
        seed: The seed of the random tags and of the backoff's jitter; None: the system's random source.
        watch_timeout_ms: How long a watch of an upstream waits for a change, in milliseconds.
        statistics_interval_ms: The time between two log events `statistics`, in milliseconds.
        list_limits: The limits of each list.
        process_limits: The limits over all lists of the process.
    """

    state_dir: str
    lists: Annotated[tuple[ListConfig, ...], msgspec.Meta(min_length=1, max_length=MAX_LISTS)]
    tag: Tag | None = None
    seed: int | None = None
    watch_timeout_ms: DurationMs = 3_000.0
    statistics_interval_ms: DurationMs = 10_000.0
    list_limits: ListLimits = ListLimits()
    process_limits: ProcessLimits = ProcessLimits()


def parse_config(text: bytes) -> Config:
    """Parse the TOML of a configuration file.

    Raises:
        ConfigurationError: The text is not TOML, or a setting is missing, unknown or out of range.
    """
    try:
        config = msgspec.toml.decode(text, type=Config)
    except msgspec.DecodeError as error:
        message, _, path = str(error).partition(PATH_PREFIX)
        raise ConfigurationError(message, path.rstrip("`")) from error
    _check_lists(config.lists)
    return config


def read_config(path: Path) -> Config:
    """Read and parse a configuration file.

    Raises:
        ConfigurationError: See `parse_config`.
        OSError: The file can't be read.
    """
    return parse_config(path.read_bytes())


def _check_lists(lists: tuple[ListConfig, ...]) -> None:
    names: set[str] = set()
    for index, list_config in enumerate(lists):
        path = f"$.lists[{index}]"
        if list_config.name in names:
            message = f"duplicate list name {list_config.name!r}; list names must be unique"
            raise ConfigurationError(message, f"{path}.name")
        names.add(list_config.name)
        _check_address(list_config.listen, f"{path}.listen")
        for upstream_index, upstream in enumerate(list_config.upstreams):
            _check_address(upstream, f"{path}.upstreams[{upstream_index}]")


def _check_address(address: str, path: str) -> None:
    try:
        parse_address(address)
    except AddressError as error:
        raise ConfigurationError(str(error), path) from error
