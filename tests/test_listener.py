import socket

import pytest
import trio

from sassafrashall.transport import listener
from tests import loopback


class _Connection:
    """Echoes one byte, or raises an error that nobody expects."""

    def __init__(self, stream):
        self._stream = stream

    async def serve(self):
        async with self._stream:
            while data := await self._stream.receive_some(1):
                if data == b"!":
                    raise ValueError("a fault of the test")
                await self._stream.send_all(data)

    def expire(self):
        """Does nothing."""

    def stop(self):
        self._stream.socket.close()


class _Listener(listener.Listener):
    def _new_connection(self, stream):
        return _Connection(stream)


# Guards against a fault on one connection that ends the process, and so the
# requests of all others, by the nursery that they share.
async def test_an_exception_on_one_connection_leaves_the_others_open():
    address = loopback.free_address()
    server = _Listener(address=address, connection_limit=10)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        with trio.fail_after(2):
            other = await trio.open_tcp_stream(address.host, address.port)
            faulty = await trio.open_tcp_stream(address.host, address.port)
            await faulty.send_all(b"!")
            assert await faulty.receive_some(1) == b""
            await other.send_all(b"a")
            assert await other.receive_some(1) == b"a"
        await other.aclose()
        await faulty.aclose()
        nursery.cancel_scope.cancel()


class _Callers:
    """Connects several times in each turn of the event loop, up to a limit."""

    def __init__(self, address):
        self._address = address
        self.sockets = []

    async def run(self):
        for _ in range(600):
            for _ in range(3):
                connection = socket.socket()
                connection.setblocking(False)
                connection.connect_ex((self._address.host, self._address.port))
                self.sockets.append(connection)
            await trio.lowlevel.checkpoint()

    def close(self):
        for connection in self.sockets:
            connection.close()


# Guards against a stop that waits for a moment without a new connection: a
# node that was stopped went on to accept until its process ended.
async def test_a_stop_ends_beside_callers_that_keep_connecting():
    address = loopback.free_address()
    server = _Listener(address=address, connection_limit=4000)
    callers = _Callers(address)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        nursery.start_soon(callers.run)
        for _ in range(10):
            await trio.lowlevel.checkpoint()
        before = len(callers.sockets)
        await server.close()
        during = len(callers.sockets) - before
        nursery.cancel_scope.cancel()
    callers.close()
    assert during < 100


# Guards against a stop that is out of time and leaves its listener open.
async def test_a_stop_that_is_cancelled_at_once_stops_listening():
    address = loopback.free_address()
    server = _Listener(address=address, connection_limit=10)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        arrived = socket.create_connection((address.host, address.port))
        with trio.move_on_after(0):
            await server.close()
        with pytest.raises(OSError):
            await trio.open_tcp_stream(address.host, address.port)
        arrived.close()
        nursery.cancel_scope.cancel()
