"""Reads of a stream that another task closes or reads as well."""

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


# Guards against a BusyResourceError, which ended the process: a cancelled
# upload read on for a turn, while its connection had begun to discard the body.
async def test_a_cancelled_read_leaves_the_socket_to_the_next_reader():
    stream, peer = await _open_stream()
    scope = trio.CancelScope()
    woken = trio.Event()
    received = []

    async def read_cancelled():
        with scope:
            await woken.wait()
            await stream.receive(2)

    async def read():
        received.append(await stream.receive(2))

    async with peer:
        with trio.fail_after(1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_cancelled)
                nursery.start_soon(read)
                await trio.testing.wait_all_tasks_blocked()
                woken.set()
                scope.cancel()
                await trio.testing.wait_all_tasks_blocked()
                assert scope.cancelled_caught
                await peer.send_all(b"ab")
    assert received == [b"ab"]


async def test_two_reads_at_a_time_are_refused():
    stream, peer = await _open_stream()
    async with peer, trio.open_nursery() as nursery:
        nursery.start_soon(stream.receive, 2)
        await trio.testing.wait_all_tasks_blocked()
        with pytest.raises(trio.BusyResourceError):
            await stream.receive(2)
        nursery.cancel_scope.cancel()
