"""The largest sizes of HTTP messages that are parsed, for requests and responses alike, in bytes."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # of a message's decoded body
MAX_HEAD_BYTES = 16 * 1024  # of a message's target, header names and values
