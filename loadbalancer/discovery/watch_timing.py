"""Time budget of the discovery watch, in milliseconds.

A node counts as notified of a change `NOTIFICATION_DEADLINE_MS` after discovery has it and can be reached,
regardless of earlier failures. After a failed watch request the next one therefore starts at most
`WATCH_CYCLE_MS` after the start of the failed one, both where endpoint lists are pushed and where they are
polled.
"""

from __future__ import annotations

NOTIFICATION_DEADLINE_MS = 6000.0
WATCH_CONNECT_MS = 1200.0  # to establish a connection: the kernel repeats a lost SYN after 1 s
WATCH_NOTIFY_ALLOWANCE_MS = 300.0  # for the response with the change and the delay of a node's event loop
WATCH_CYCLE_MS = NOTIFICATION_DEADLINE_MS - WATCH_CONNECT_MS - WATCH_NOTIFY_ALLOWANCE_MS
# The longest backoff after a first failure; reserved regardless of how long the failed request takes.
WATCH_INITIAL_BACKOFF_MS = 500.0
# A watch request fails if its response is later than its wait by more than this.
WATCH_RESPONSE_GRACE_MS = 1000.0
# The longest wait of a watch request.
WATCH_WAIT_MS = WATCH_CYCLE_MS - WATCH_INITIAL_BACKOFF_MS - WATCH_RESPONSE_GRACE_MS
# The longest wait of the first watch request on a connection: shorter, because discovery may accept
# connections and never respond. The time to connect is added to it.
WATCH_FIRST_WAIT_MS = min(1000.0, WATCH_WAIT_MS - WATCH_CONNECT_MS)
