"""A connection between nodes whose other side reads slowly or not at all."""

import contextlib
import socket

import trio
import trio.testing

from sassafrashall.transport import frames
from sassafrashall.transport import peer_connection
from sassafrashall.transport import sockets


class _Body:
    """A body of `parts` parts; counts the bytes that were read."""

    def __init__(self, parts):
        self._parts = parts
        self.read_bytes = 0

    async def read(self):
        await trio.lowlevel.checkpoint()
        if not self._parts:
            return b""
        self._parts -= 1
        self.read_bytes += peer_connection.PART_SIZE
        return bytes(peer_connection.PART_SIZE)

    async def close(self):
        pass


@contextlib.asynccontextmanager
async def _connection():
    """Yields a running connection, and the other node's end of it."""
    near, far = socket.socketpair()
    far.setblocking(False)
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(near))
    connection = peer_connection.PeerConnection(
        stream=sockets.Stream(stream=stream), on_frame=lambda frame: None
    )
    with far:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(connection.run)
            yield connection, far
            nursery.cancel_scope.cancel()


# Guards against many streams to a node that doesn't read taking all memory.
async def test_streams_to_a_node_that_reads_nothing_wait(monkeypatch):
    limit = 16 * peer_connection.PART_SIZE
    monkeypatch.setattr(peer_connection, "MAX_UNSENT", limit)
    bodies = [_Body(parts=8) for _ in range(50)]
    async with (
        _connection() as (connection, far),
        trio.open_nursery() as nursery,
    ):
        streams = [
            peer_connection.OutgoingBody(connection=connection, call=number)
            for number in range(len(bodies))
        ]
        for outgoing, body in zip(streams, bodies, strict=True):
            nursery.start_soon(outgoing.send, body)
        await trio.testing.wait_all_tasks_blocked()
        # Each stream has read one part that waits, beside those queued and
        # those that the socket has taken.
        read = sum(body.read_bytes for body in bodies)
        assert read < limit + (len(bodies) + 40) * peer_connection.PART_SIZE
        # Once the node reads again, all of them are sent to their ends.
        buffer, ended = frames.FrameBuffer(), set()
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(far))
        with trio.fail_after(5):
            while len(ended) < len(bodies):
                for frame in buffer.feed(await stream.receive_some(1 << 16)):
                    # A reader grants credit for what it has consumed.
                    streams[frame.call].add_credit(len(frame.data))
                    if not frame.data:
                        ended.add(frame.call)
    assert all(
        body.read_bytes == 8 * peer_connection.PART_SIZE for body in bodies
    )
