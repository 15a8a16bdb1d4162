"""Streams that are closed while another task uses them."""

import pytest
import trio
import trio.testing

from sassafrashall.transport import sockets


async def _open_stream():
    """Returns a stream and the other end of its connection."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listener.socket.getsockname()
    stream = sockets.Stream(stream=await trio.open_tcp_stream(host, port))
    peer = await listener.accept()
    await listener.aclose()
    return stream, peer


# Guards against a ValueError for the file descriptor -1, which no user of a
# stream expects: it ended the process.
@pytest.mark.parametrize("drained", [True, False])
async def test_a_read_of_a_closed_stream_says_so(drained):
    stream, peer = await _open_stream()
    async with peer:
        if not drained:
            await peer.send_all(b"abcd")
            assert await stream.receive(2) == b"ab"
        stream.close()
        with pytest.raises((OSError, trio.ClosedResourceError)):
            await stream.receive(2)


async def test_a_task_that_waits_for_a_closed_stream_wakes():
    stream, peer = await _open_stream()

    async def receive():
        with pytest.raises(trio.ClosedResourceError):
            await stream.receive(2)

    async with peer:
        with trio.fail_after(1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(receive)
                await trio.testing.wait_all_tasks_blocked()
                stream.close()
