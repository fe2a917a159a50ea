"""Graceful shutdown: the steps of a proxy from SIGTERM to its exit."""

from __future__ import annotations

import asyncio

from loadbalancer.proxy.proxy import Proxy

ACCEPT_GRACE_S = 0.6  # from SIGTERM; new connections still arrive for up to 0.4 s after it
MAX_CLIENT_TIMEOUT_S = 3.0  # a cap: the shutdown does not wait for longer client time-outs
EXIT_MARGIN_S = 0.6  # after the longest client time-out; SIGKILL comes no earlier than 0.7 s after it
# Before the open requests are ended: no connection is accepted any more, and each response closes its own.
# Shorter if the grace period ends later.
CLOSING_PHASE_S = 1.2
LINGER_S = 0.05  # after the open requests are ended, for clients to read their last responses
POLL_INTERVAL_S = 0.01


async def shut_down(proxy: Proxy) -> None:
    """Serve requests that still arrive, finish those in flight, and close the proxy in time.

    It ends the requests that are still open after the longest client time-out of the settings, of at most
    `MAX_CLIENT_TIMEOUT_S`, and `EXIT_MARGIN_S`, and closes all connections `LINGER_S` later. The total is at
    most 3.65 s plus the delays of the event loop, and less once no client is connected.
    """
    loop = asyncio.get_running_loop()
    client_timeout_s = min(_longest_client_timeout_s(proxy), MAX_CLIENT_TIMEOUT_S)
    end_at_s = loop.time() + client_timeout_s + EXIT_MARGIN_S
    proxy.begin_shutdown()
    # Guard: clients go on using their connections, and the other replicas may be restarting as well, so that
    # closing at once could leave a client without any replica. The proxy first serves on for a grace period.
    await asyncio.sleep(ACCEPT_GRACE_S)
    await _wait_for_clients(proxy, end_at_s - CLOSING_PHASE_S)
    proxy.listener.draining = True
    await proxy.listener.stop_listening()
    await _close_idle_connections(proxy, end_at_s)
    proxy.end_requests()
    # Guard: closing at once would truncate a response that its client has not read yet.
    await _close_idle_connections(proxy, end_at_s + LINGER_S)
    proxy.close()


def _longest_client_timeout_s(proxy: Proxy) -> float:
    return max(item.client_timeout_ms for item in proxy.settings.classes) / 1000.0


async def _wait_for_clients(proxy: Proxy, until_s: float) -> None:
    """Wait until no client is connected, at most until `until_s`."""
    loop = asyncio.get_running_loop()
    while proxy.listener.connections:
        if loop.time() >= until_s:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def _close_idle_connections(proxy: Proxy, until_s: float) -> None:
    """Close each connection once it has no open request, until none is left, at most until `until_s`."""
    loop = asyncio.get_running_loop()
    while loop.time() < until_s and proxy.listener.connections:
        proxy.listener.close_idle_connections()
        await asyncio.sleep(POLL_INTERVAL_S)
