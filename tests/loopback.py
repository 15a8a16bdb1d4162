"""Helpers for tests over real sockets on the loopback interface."""

from __future__ import annotations

import contextlib
import socket

from bench import fleet
import trio

from sassafrashall import clock
from sassafrashall import configuration
from sassafrashall import model
from sassafrashall.transport import front_end
from sassafrashall.transport import http_client
from sassafrashall.transport import http_server
from sassafrashall.transport import stream_server

SECRET = b"a-secret-for-the-tests"


def free_address() -> model.Address:
    return fleet.free_addresses(1)[0]


@contextlib.asynccontextmanager
async def running(server):
    """Runs a server; yields the nursery that is cancelled at the end."""
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        yield nursery
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def serve(handler, source=model.Source.CALLER, log=None):
    """Serves raw requests; yields the address and the server."""
    address = free_address()
    server = http_server.Server(
        address=address, handler=handler, source=source, log=log
    )
    async with running(server):
        yield address, server


@contextlib.asynccontextmanager
async def serve_streams(handler, **fields):
    """Serves raw requests as a node does; yields the address and the server."""
    address = free_address()
    server = stream_server.Server(
        address=address,
        handler=handler,
        source=model.Source.CALLER,
        limits=configuration.Limits,
        **fields,
    )
    async with running(server):
        yield address, server


@contextlib.asynccontextmanager
async def serve_typed(handler, source=model.Source.CALLER):
    """Serves decoded requests behind a front end; yields the address."""
    front = front_end.FrontEnd(
        handler=handler, secret=SECRET, hybrid_clock=clock.HybridClock()
    )
    async with serve(front.handle, source) as (address, _):
        yield address


async def send_and_receive(address: model.Address, data: bytes) -> bytes:
    """Sends bytes and returns what arrives until a close, for 0.5 s."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    received = b""
    async with stream:
        await stream.send_all(data)
        with trio.move_on_after(0.5):
            while chunk := await stream.receive_some(65536):
                received += chunk
    return received


async def connect(address: model.Address) -> http_client.ClientConnection:
    return await http_client.ClientConnection.open(address)


def send_now(connections: list[socket.socket], data: bytes) -> None:
    """Sends bytes on blocking sockets, without a turn of the event loop."""
    for connection in connections:
        connection.sendall(data)


async def open_sockets(
    address: model.Address, count: int
) -> list[socket.socket]:
    """Opens blocking sockets, for use without turns of the event loop."""
    connections = []
    for _ in range(count):
        connection = await trio.to_thread.run_sync(
            socket.create_connection, (address.host, address.port)
        )
        connection.settimeout(5)
        # Sends the rest of a request before the first part is acknowledged.
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connections.append(connection)
    return connections


async def receive_until_closed(connections: list[socket.socket]) -> list[bytes]:
    """Returns what arrives on each connection until it is closed or reset."""

    def receive() -> list[bytes]:
        received = []
        for connection in connections:
            data = b""
            try:
                while chunk := connection.recv(65536):
                    data += chunk
            except ConnectionResetError:
                pass
            connection.close()
            received.append(data)
        return received

    return await trio.to_thread.run_sync(receive)


async def receive_until_end(stream: trio.SocketStream) -> bytes:
    """Returns what arrives until the other side closes the connection."""
    received = b""
    while chunk := await stream.receive_some(65536):
        received += chunk
    return received


class SendAfterPoll(trio.abc.Instrument):
    """Sends bytes between a poll of the sockets and the timers after it.

    This is the moment in which a timeout ends a wait for input although the
    input has arrived. Create it before the deadline, and let the clock jump
    past it.
    """

    def __init__(
        self, connections: list[socket.socket], data: bytes, at: float
    ) -> None:
        self._connections = connections
        self._data = data
        self._at = at  # time of trio
        trio.lowlevel.add_instrument(self)

    def after_io_wait(self, timeout: float) -> None:
        if trio.current_time() >= self._at:
            trio.lowlevel.remove_instrument(self)
            send_now(self._connections, self._data)


class SilentRelay:
    """A TCP relay that can stop forwarding without closing a connection."""

    def __init__(self, target: model.Address):
        self.target = target
        self.address = free_address()
        self.connections = 0
        self.bytes_forwarded = 0
        self._open = trio.Event()
        self._open.set()
        self._silenced: set[int] = set()

    async def start(self, nursery: trio.Nursery) -> None:
        listeners = await trio.open_tcp_listeners(
            self.address.port, host=self.address.host
        )
        for listener in listeners:
            nursery.start_soon(trio.serve_listeners, self._relay, [listener])

    def silence(self) -> None:
        """Stops forwarding for good on the connections that are open now."""
        self._silenced = set(range(self.connections))

    async def _relay(self, client: trio.SocketStream) -> None:
        number = self.connections
        self.connections += 1
        try:
            server = await trio.open_tcp_stream(
                self.target.host, self.target.port
            )
        except OSError:
            return
        async with client, server, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, client, server, number)
            await self._pump(server, client, number)
            nursery.cancel_scope.cancel()

    async def _pump(self, source, sink, number: int) -> None:
        try:
            while data := await source.receive_some(65536):
                if number in self._silenced:
                    await trio.sleep_forever()
                self.bytes_forwarded += len(data)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if number in self._silenced:
            await trio.sleep_forever()
