"""Size limits of parsed HTTP messages in bytes, for requests and responses alike."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024  # of a message's decoded body
MAX_HEAD_BYTES = 16 * 1024  # of a message's target, header names and values
# The processor time of a message grows with its fields and parts more than with its bytes.
MAX_FIELDS = 256  # headers and trailers of a message
MAX_BODY_PARTS = 4096  # chunks, or reads that hold a part of the body
# Received in reads that complete neither a head nor a message and hold no part of a body. Larger than a head,
# because separators count here.
MAX_UNPARSED_BYTES = 2 * MAX_HEAD_BYTES
