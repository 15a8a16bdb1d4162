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
        """Does nothing."""


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
