"""Size limits of parsed HTTP messages in bytes, for requests and responses alike."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # of a message's decoded body
MAX_HEAD_BYTES = 16 * 1024  # of a message's target, header names and values
