"""Clients that disconnect at a given event, and endpoints at which the first attempt fails."""

from __future__ import annotations

import asyncio
import socket
import time

from loadbalancer.actions import Action, Send
from loadbalancer.events import Event
from loadbalancer.http.addresses import Address
from loadbalancer.http.client_connection import ClientConnection
from loadbalancer.proxy.proxy import Proxy
from tests.support.builders import allow_only
from tests.support.loopback import HttpClient, LoopbackServer, send_request, until
from tests.support.messages import Message, request, response_bytes
from tests.support.sockets import close_by_reset

ESTABLISHED, FIN_WAIT_1 = 1, 4  # TCP states of Linux

WAYS_TO_DISCONNECT = (
    "by closing",
    "by half-closing",
    "by a reset",
    "with unread bytes before the end of stream",
)


class DisconnectingClient:
    """A blocking socket to the proxy that disconnects in one of the `WAYS_TO_DISCONNECT`."""

    def __init__(self, proxy: Proxy, way: str) -> None:
        self._way = way
        self._socket = socket.create_connection(proxy.listener.address)
        self.disconnected = False

    def send(self, data: bytes) -> None:
        self._socket.sendall(data)

    async def read_response(self) -> bytes:
        self._socket.setblocking(False)
        response = await asyncio.get_running_loop().sock_recv(self._socket, 65536)
        self._socket.setblocking(True)
        return response

    async def to_http_client(self) -> HttpClient:
        """A client on the same socket, which it closes."""
        return HttpClient(*await asyncio.open_connection(sock=self._socket))

    def disconnect(self) -> None:
        self.disconnected = True
        if self._way == "with unread bytes before the end of stream":
            self.send(request("post", "behind"))
        if self._way == "by a reset":
            close_by_reset(self._socket)
            return
        self._socket.shutdown(socket.SHUT_WR)
        self._wait_until_end_of_stream_arrived()
        if self._way != "by half-closing":
            self._socket.close()

    def _wait_until_end_of_stream_arrived(self) -> None:
        """Wait until the proxy's kernel has acknowledged the end of stream, which takes time under load."""
        while self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in (ESTABLISHED, FIN_WAIT_1):
            time.sleep(0.001)

    def close(self) -> None:
        self._socket.close()


def disconnect_at_send(proxy: Proxy, number: int, client: DisconnectingClient) -> None:
    """Disconnect the client when the policy returns its `Send` of this number, counted from 1."""
    handle, sends = proxy.policy.handle, 0

    def handle_and_disconnect(now_ms: float, event: Event) -> list[Action]:
        nonlocal sends
        actions = handle(now_ms, event)
        for action in actions:
            sends += isinstance(action, Send)
            if isinstance(action, Send) and sends == number:
                client.disconnect()
        return actions

    proxy.policy.handle = handle_and_disconnect  # type: ignore[method-assign]


def disconnect_at_connection(proxy: Proxy, number: int, client: DisconnectingClient) -> None:
    """Disconnect the client when the upstream connection of this number, counted from 1, is established."""
    connect, connections = proxy.pool.connect, 0

    async def connect_and_disconnect(address: Address) -> ClientConnection:
        nonlocal connections
        connections += 1
        number_of_this = connections
        connection = await connect(address)
        if number_of_this == number:
            client.disconnect()
        return connection

    proxy.pool.connect = connect_and_disconnect  # type: ignore[method-assign]


class FailingFirstAttempt:
    """Two endpoints; the first attempt that reaches either of them has the given result."""

    def __init__(self, first_result: str) -> None:
        self._first_result = first_result
        self.servers = (LoopbackServer(self._respond), LoopbackServer(self._respond))

    @property
    def request_ids(self) -> list[str]:
        """The ids of the requests that the endpoints have received, without those of `open_connections`."""
        ids = [request_id for server in self.servers for request_id in server.request_ids]
        return [request_id for request_id in ids if not request_id.startswith("warm")]

    async def open_connections(self, proxy: Proxy) -> None:
        """Open one connection to each endpoint, which stays idle in the proxy's pool."""
        for number in range(len(self.servers)):
            allow_only(proxy.policy.endpoints, f"s{number}")
            assert (await send_request(proxy, request("post", f"warm{number}"))).status == 200
        allow_only(proxy.policy.endpoints, *proxy.policy.endpoints.by_name)
        await until(lambda: not proxy.listener.connections)
        proxy.statistics.reset()

    async def _respond(self, message: Message) -> bytes | None:
        if message.headers["req-id"] in ("warm0", "warm1") or len(self.request_ids) > 1:
            return response_bytes()
        responses = {
            "declined": response_bytes(503, Srv_Declined="1"),
            "error": response_bytes(500),
            "reset": None,
        }
        return responses.get(self._first_result, response_bytes())

    def prepare(self, proxy: Proxy) -> None:
        """If the result is "refused", make the first attempt open a new connection, which is refused."""
        if self._first_result != "refused":
            return
        pool = proxy.pool
        connect, acquire_idle = pool.connect, pool.acquire_idle

        async def refuse(address: Address) -> ClientConnection:
            pool.connect, pool.acquire_idle = connect, acquire_idle  # type: ignore[method-assign]
            raise ConnectionRefusedError

        pool.connect = refuse  # type: ignore[method-assign]
        pool.acquire_idle = lambda endpoint: None  # type: ignore[method-assign]
