"""Size limits of parsed HTTP messages in bytes, for requests and responses alike."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # of a message's decoded body
MAX_HEAD_BYTES = 16 * 1024  # of a message's target, header names and values
# Received in reads that complete neither a head nor a message and hold no part of a body. Larger than a head,
# because separators count here.
MAX_UNPARSED_BYTES = 2 * MAX_HEAD_BYTES
