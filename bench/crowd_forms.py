"""What the clients of a crowd send, see `bench.crowds`."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import struct

import trio

from bench.soak import proxy
from sassafrashall import model

HEAD_SIZE = 16_000  # bytes of a head, below `max_header_bytes`
PIPELINED_SIZE = 64_000  # bytes of many short requests in one write
DOCUMENT_SIZE = 1_000_000  # bytes of a body on a listener that buffers bodies
RETRY_DELAY = 0.05  # seconds after a connection that failed
START_LINE = b"GET /x HTTP/1.1\r\nHost: alpha.example\r\n"
CHUNKED = b"POST /x HTTP/1.1\r\nHost: alpha.example\r\n" + (
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


def _lines(size: int, *, distinct: bool = False) -> bytes:
    """Returns header lines of `size` bytes, with distinct names or the same."""
    if not distinct:
        return b"a:\r\n" * (size // 4)
    return b"".join(b"%x:\r\n" % (n + 0x1000) for n in range(size // 7))


def _incomplete(number: int) -> bytes:
    del number
    return START_LINE + _lines(HEAD_SIZE)


def _distinct(number: int) -> bytes:
    """Returns an incomplete head whose names no other client sends."""
    names = (b"%x-%x:\r\n" % (number, n) for n in range(HEAD_SIZE // 9))
    return START_LINE + b"".join(names)


def _whole(number: int) -> bytes:
    return _incomplete(number) + b"\r\n"


def _frame(number: int, size: int) -> bytes:
    """Returns most of a frame of `size` bytes."""
    return struct.pack("!IB", size, number) + b"\0" * (size - 1000)


def _document(path: bytes) -> bytes:
    """Returns a request whose long body lacks its end."""
    return (
        b"PUT %b HTTP/1.1\r\nHost: h\r\nIf-Match: 0\r\n"
        b"Content-Length: %d\r\n\r\n"
        % (path, DOCUMENT_SIZE)
        + b"[" * (DOCUMENT_SIZE - 1000)
    )


async def _send(address: model.Address, data: bytes) -> None:
    """Sends bytes and reads nothing until it is cancelled."""
    try:
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(data)
            await trio.sleep_forever()
    except _BROKEN:
        return


async def _open_and_close(address: model.Address, data: bytes) -> None:
    """Opens connections, sends bytes and closes or resets them at once."""
    while True:
        try:
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(data)
        except _BROKEN:
            await trio.sleep(RETRY_DELAY)
            continue
        if data:
            proxy.reset(stream)
        else:
            stream.socket.close()
        await trio.sleep(0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Form:
    """What each client of a crowd sends.

    Attributes:
      vm: The VM whose process gets it.
      listener: The name of the listener.
      data: Returns the bytes that the client of a number sends.
      send: Sends them to an address, until it is cancelled.
      is_suspended: Whether the process is suspended while the crowd arrives, so
        that its accept queue fills.
    """

    vm: str = "node-0"
    listener: str = "callers"
    data: Callable[[int], bytes]
    send: Callable[[model.Address, bytes], Awaitable[None]] = _send
    is_suspended: bool = False


FORMS = {
    "silent": Form(data=lambda _: b""),
    "short-lines": Form(data=_incomplete),
    "distinct-names": Form(data=_distinct),
    "long-target": Form(data=lambda _: b"GET /" + b"x" * HEAD_SIZE),
    "whole-heads": Form(data=_whole),
    "two-heads": Form(data=lambda number: 2 * _whole(number)),
    "thirds": Form(
        data=lambda number: (
            _incomplete(number)
            if number % 3 == 0
            else (number % 3) * _whole(number)
        )
    ),
    "pipelined": Form(
        data=lambda _: (
            b"GET / HTTP/1.1\r\nHost:\r\n\r\n" * (PIPELINED_SIZE // 25)
        )
    ),
    "chunk-extensions": Form(
        data=lambda _: CHUNKED + b"1;" + b"a;" * (HEAD_SIZE // 2)
    ),
    "trailers": Form(
        data=lambda _: CHUNKED + b"1\r\nx\r\n0\r\n" + _lines(HEAD_SIZE)
    ),
    "single-byte-chunks": Form(
        data=lambda _: CHUNKED + b"1\r\nx\r\n" * (PIPELINED_SIZE // 6)
    ),
    "announcements": Form(
        listener="announcements",
        data=lambda _: _document(b"/-/instances/i-other"),
    ),
    "ops": Form(listener="ops", data=lambda _: _document(b"/metrics")),
    "peers": Form(listener="peers", data=lambda _: _frame(0, 4_000_000)),
    "operators": Form(
        vm="control-0",
        listener="operators",
        data=lambda _: _document(b"/-/configuration"),
    ),
    "rpc": Form(
        vm="control-0", listener="rpc", data=lambda _: _frame(9, 4_000_000)
    ),
}
# Forms that need descriptors rather than memory.
CONNECTION_FORMS = {
    "open-and-close": Form(
        data=lambda number: START_LINE if number % 2 else b"",
        send=_open_and_close,
    ),
    "accept-queue": Form(data=lambda _: START_LINE, is_suspended=True),
}
# Those that fit beside ordinary callers of a node.
CALLERS_FORMS = (
    "short-lines",
    "distinct-names",
    "whole-heads",
    "two-heads",
    "thirds",
    "pipelined",
)
