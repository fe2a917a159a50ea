"""Computes how many client connections the process's limit of file descriptors allows."""

from __future__ import annotations

import resource

RESERVED_DESCRIPTORS = 64  # for everything except clients and lists
DESCRIPTORS_PER_LIST = 2  # the listening socket and the upstream connection
# Of the remaining descriptors. In a burst, connections over the limit use descriptors until they are closed.
CLIENT_FRACTION = 0.9


def descriptor_limit() -> int | None:
    """The number of descriptors that the process may open; None if the system sets no limit."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft_limit == resource.RLIM_INFINITY else soft_limit


def available_connections(descriptors: int, list_count: int) -> int:
    """The number of client connections that these descriptors allow; negative if the lists need more."""
    reserved = RESERVED_DESCRIPTORS + DESCRIPTORS_PER_LIST * list_count
    return int((descriptors - reserved) * CLIENT_FRACTION)
