"""A TCP proxy on loopback that disturbs the connections through it."""

from __future__ import annotations

import contextlib
import socket
import struct

import trio

from bench.soak import faults
from sassafrashall import model

PIECE_SIZE = 65536  # bytes
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0


def reset(stream: trio.SocketStream) -> None:
    """Closes a connection by a reset."""
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    stream.socket.close()


class Proxy:
    """Forwards connections to one target, with at most one fault at a time."""

    def __init__(self, *, listen: model.Address, target: model.Address) -> None:
        self._listen = listen
        self._target = target
        self._fault: faults.LinkFault | None = None
        self._fault_ended = trio.Event()
        self._streams: set[trio.SocketStream] = set()

    @property
    def address(self) -> model.Address:
        """The address to connect to instead of the target's."""
        return self._listen

    async def start(self, nursery: trio.Nursery) -> None:
        """Binds the address and forwards in `nursery`."""
        listeners = await trio.open_tcp_listeners(
            self._listen.port, host=self._listen.host
        )
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def disturb(self, how: faults.LinkFault, seconds: float) -> None:
        """Applies a fault for some seconds; a later one ends it early."""
        self._end_fault()
        if isinstance(how, faults.Reset):
            for stream in list(self._streams):
                reset(stream)
            return
        self._fault = how
        self._fault_ended = ended = trio.Event()
        with trio.move_on_after(seconds):
            await ended.wait()
            return
        self._end_fault()

    def _end_fault(self) -> None:
        self._fault = None
        self._fault_ended.set()

    async def _serve(self, accepted: trio.SocketStream) -> None:
        try:
            opened = await trio.open_tcp_stream(
                self._target.host, self._target.port
            )
        except OSError:
            reset(accepted)
            return
        pair = {accepted, opened}
        self._streams |= pair
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, accepted, opened, True)
                nursery.start_soon(self._forward, opened, accepted, False)
        finally:
            self._streams -= pair
            for stream in pair:
                stream.socket.close()

    async def _forward(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        to_target: bool,
    ) -> None:
        try:
            while data := await source.receive_some(PIECE_SIZE):
                await self._hold(to_target)
                await sink.send_all(data)
            await self._hold(to_target)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            reset(source)
            reset(sink)

    async def _hold(self, to_target: bool) -> None:
        match self._fault:
            case faults.Delay(seconds=seconds):
                await trio.sleep(seconds)
            case faults.CutOneWay(to_target=cut) if cut == to_target:
                await self._fault_ended.wait()
            case faults.Silence():
                await self._fault_ended.wait()
