"""Connects beside an event loop that runs late."""

import socket

import pytest
import trio

from sassafrashall.transport import http_client
from sassafrashall.transport import sockets
from tests import loopback


# Guards against a node or an upstream that counts as unreachable, since the
# event loop stood still while the connection to it was opened.
@pytest.mark.parametrize("turns", range(8))
@pytest.mark.parametrize(
    "connect", [sockets.connect, http_client.ClientConnection.open]
)
async def test_a_connect_beside_a_late_loop_succeeds(
    connect, turns, mock_clock
):
    async def jump():
        for _ in range(turns):
            await trio.lowlevel.checkpoint()
        mock_clock.jump(sockets.CONNECT_TIMEOUT + 1.0)

    address = loopback.free_address()
    with socket.create_server((address.host, address.port)):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jump)
            await connect(address)
