"""Connecting when the event loop is late."""

import time

import pytest
import trio

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import sockets
from tests import loopback


@pytest.fixture
def short_timeout(monkeypatch):
    """The time to connect, in seconds."""
    monkeypatch.setattr(sockets, "CONNECT_TIMEOUT", 0.2)
    return 0.2


# Guards against a process that was paused taking another one for unreachable.
@pytest.mark.usefixtures("scheduling")
@pytest.mark.parametrize("turns", range(6))
async def test_a_connection_that_is_there_after_a_delay_of_the_loop_is_used(
    short_timeout, turns
):
    """The loop stands still for longer than the time to connect.

    It does so from 0 to 5 turns after the connect has begun.
    """

    async def pause():
        for _ in range(turns):
            await trio.lowlevel.checkpoint()
        time.sleep(short_timeout + 0.2)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    host, port = listeners[0].socket.getsockname()
    async with listeners[0], trio.open_nursery() as nursery:
        nursery.start_soon(pause)
        stream = await sockets.connect(model.Address(host=host, port=port))
        stream.close()


async def test_an_address_that_does_not_react_is_reported_in_time(
    short_timeout, monkeypatch
):
    async def connect(host, port):
        await trio.sleep_forever()

    monkeypatch.setattr(trio, "open_tcp_stream", connect)
    with trio.fail_after(2):
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await sockets.connect(loopback.free_address())
    assert caught.value.unresponsive
    assert not caught.value.maybe_delivered
