"""Graceful shutdown: the steps of a proxy from SIGTERM to its exit."""

from __future__ import annotations

import asyncio

from loadbalancer.proxy.proxy import Proxy

ACCEPT_GRACE_S = 0.6  # after SIGTERM; new connections arrive for up to 0.4 s after it
MAX_CLIENT_TIMEOUT_S = 3.0  # a cap: the shutdown does not wait for longer client time-outs
EXIT_MARGIN_S = 0.6  # after the longest client time-out; SIGKILL comes no earlier than 0.7 s after it
# The last phase before the open requests are ended: no connection is accepted, and each response closes its
# connection. It is shorter if the grace period after SIGTERM ends later than this phase would start.
CLOSING_PHASE_S = 1.2
LINGER_S = 0.05  # after the last response is written, so that clients can read it
ENDING_S_PER_REQUEST = 0.0025  # to end one open request, on a tenth of a core
MAX_ENDING_S = 0.5
POLL_INTERVAL_S = 0.01


async def shut_down(proxy: Proxy) -> None:
    """Serve requests that still arrive, finish those in flight, and close the proxy in time.

    Requests that are still open after the longest client time-out of the settings, limited to
    `MAX_CLIENT_TIMEOUT_S`, plus `EXIT_MARGIN_S` are ended, those that wait behind another included; where
    many are open, the end begins earlier, so that a slow machine has written all responses by then. All
    connections are closed `LINGER_S` after the last response is written. The shutdown takes at most 3.65 s
    plus the delays of the event loop, and less if all clients disconnect.
    """
    loop = asyncio.get_running_loop()
    client_timeout_s = min(_longest_client_timeout_s(proxy), MAX_CLIENT_TIMEOUT_S)
    end_at_s = loop.time() + client_timeout_s + EXIT_MARGIN_S
    proxy.begin_shutdown()
    # Clients continue to use their connections, and the other replicas may be restarting as well, so that
    # closing at once could leave a client without any replica. The proxy therefore continues to serve for a
    # grace period.
    await asyncio.sleep(ACCEPT_GRACE_S)
    await _wait_for_clients(proxy, end_at_s - CLOSING_PHASE_S)
    proxy.listener.draining = True
    await proxy.listener.stop_listening()
    await _close_idle_connections(proxy, end_at_s)
    proxy.end_requests()
    # Closing at once would truncate a response that its client has not read yet.
    await _close_idle_connections(proxy, loop.time() + LINGER_S)
    proxy.close()


def _longest_client_timeout_s(proxy: Proxy) -> float:
    return max(item.client_timeout_ms for item in proxy.settings.classes) / 1000.0


async def _wait_for_clients(proxy: Proxy, until_s: float) -> None:
    """Wait until no client is connected, or until `until_s` on the event loop's clock."""
    loop = asyncio.get_running_loop()
    while proxy.listener.connections:
        if loop.time() >= until_s:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def _close_idle_connections(proxy: Proxy, until_s: float) -> None:
    """Close each connection once it has no open request; return if none is left, or in time.

    In time means that the requests that are still open can be ended by `until_s`.
    """
    loop = asyncio.get_running_loop()
    while loop.time() + _ending_s(proxy) < until_s and proxy.listener.connections:
        proxy.listener.close_idle_connections()
        await asyncio.sleep(POLL_INTERVAL_S)


def _ending_s(proxy: Proxy) -> float:
    """The time that ending all open requests may take."""
    return min(MAX_ENDING_S, proxy.requests.open_count * ENDING_S_PER_REQUEST)
