"""Answers that nobody reads, or that never end, must not stay in memory.

Each of them holds some 200 KB. What refers to itself in a circle is freed only
by the garbage collector, which counts objects, not bytes, so that hundreds of
them may pile up before it runs.
"""

from __future__ import annotations

import collections
import contextlib
import gc
import socket

from bench import routed
import pytest
import trio

from sassafrashall.transport import http1
from sassafrashall.transport import pipeline
from sassafrashall.transport import stream_server
from sassafrashall.transport import upstream_connection

CALLERS = 8
TIMEOUT = 0.6  # seconds, of the route
PIECE = b"a" * 65536
SMALL_BUFFER = 4096  # bytes of a caller's receive buffer
HELD = (
    upstream_connection.UpstreamConnection,
    upstream_connection._Exchange,
    upstream_connection._ResponseBody,
    stream_server.Connection,
    pipeline.Exchange,
    http1.RequestParser,
    http1.ResponseParser,
)

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n%s\r\n"
# What an upstream sends first, and then without end. %s is the request's id.
ENDLESS = {
    "a body without a length": (HEAD % (b"%s", b""), PIECE),
    "a body longer than all memory": (
        HEAD % (b"%s", b"Content-Length: 999999999999\r\n"),
        PIECE,
    ),
    "chunks": (
        HEAD % (b"%s", b"Transfer-Encoding: chunked\r\n"),
        b"10000\r\n" + PIECE + b"\r\n",
    ),
    "an extension of a chunk": (
        HEAD % (b"%s", b"Transfer-Encoding: chunked\r\n") + b"1;",
        PIECE,
    ),
    "trailers": (
        HEAD % (b"%s", b"Transfer-Encoding: chunked\r\n") + b"0\r\n",
        b"x: " + PIECE[:8000] + b"\r\n",
    ),
    "one header": (b"HTTP/1.1 200 OK\r\nx: ", PIECE),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 1000),
    "a status line": (b"HTTP/1.1 200 ", PIECE),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "answers to others": (
        b"",
        (HEAD % (b"other", b"Content-Length: 60000\r\n")) + PIECE[:60000],
    ),
    "an endless answer to another": (
        HEAD % (b"other", b"Content-Length: 99999999999\r\n"),
        PIECE,
    ),
    "a refusal without a length": (
        b"HTTP/1.1 503 Busy\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n\r\n",
        PIECE,
    ),
    "no HTTP": (b"", b"\xff" * 65536),
}


class _Upstream:
    """Sends without end to each request until its connection closes.

    The target of a request says what: `/` and its position in ENDLESS.
    """

    def __init__(self):
        self.sent = 0

    async def serve(self, stream):
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                part = await stream.receive_some(65536)
                if not part:
                    return
                data += part
            for line in data.split(b"\r\n"):
                name, _, value = line.partition(b":")
                if name.lower() == b"request-id":
                    break
            index = int(data.split(b" ", 2)[1].removeprefix(b"/"))
            first, piece = tuple(ENDLESS.values())[index]
            await stream.send_all(first.replace(b"%s", value.strip()))
            while True:
                await stream.send_all(piece)
                self.sent += len(piece)
                await trio.sleep(0)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            stream.socket.close()


@contextlib.asynccontextmanager
async def _running():
    """Runs two nodes; yields the address for callers of each."""
    document = routed.document(
        services=("alpha", "beta"), timeout=f"{int(TIMEOUT * 1000)}ms"
    )
    fleet = routed.Fleet(services={"vm-a": "alpha", "vm-b": "beta"})
    fleet.grace = 0.5
    upstream = _Upstream()
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery, upstreams=False)
            address = fleet.upstreams["vm-a"].address
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host
            )
            nursery.start_soon(trio.serve_listeners, upstream.serve, listeners)
            nursery.start_soon(fleet.upstreams["vm-b"].run)
            nursery.start_soon(_announce, fleet.upstreams["vm-a"])
            await fleet.apply_configuration(document)
            yield fleet, upstream
            nursery.cancel_scope.cancel()
    finally:
        fleet.close()


async def _announce(upstream):
    while True:
        with contextlib.suppress(Exception):
            await upstream.announce()
        await trio.sleep(0.5)


async def _call(address, index, number, *, reads):
    """Sends a request; reads all of the answer, or nothing for a while."""
    stream = await trio.open_tcp_stream(address.host, address.port)
    if not reads:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    received = b""
    async with stream:
        await stream.send_all(
            b"GET /%d HTTP/1.1\r\nHost: alpha.example\r\n"
            b"Request-Id: r-%d-%d\r\n\r\n" % (index, index, number)
        )
        with trio.move_on_after(TIMEOUT * 1.5):
            while reads:
                data = await stream.receive_some(65536)
                received = (received + data)[:200]
                if not data:
                    break
            else:
                await trio.sleep_forever()
    return received


def _held():
    """Counts what connections and answers are made of."""
    return collections.Counter(
        f"{type(item).__module__}.{type(item).__name__}"
        for item in gc.get_objects()
        if isinstance(item, HELD)
    )


async def _call_all(address, count, *, reads):
    """Sends requests for each kind of endless answer at once."""
    async with trio.open_nursery() as nursery:
        for index in range(len(ENDLESS)):
            for number in range(count):
                nursery.start_soon(
                    lambda i, n: _call(address, i, n, reads=reads),
                    index,
                    number,
                )


# Guards against a node that grows by what callers leave unread, 26 MB in each
# round of 150 of them, and runs out of memory.
@pytest.mark.parametrize("reads", [True, False])
@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
async def test_nothing_of_an_endless_answer_stays(vm, reads):
    """Over one node and over two, with callers that read and that don't."""
    async with _running() as (fleet, upstream):
        address = fleet.callers[vm]
        await _call_all(address, 1, reads=reads)
        await trio.sleep(0.5)
        gc.collect()
        before = _held()
        gc.disable()
        try:
            await _call_all(address, CALLERS, reads=reads)
            # The nodes notice that the callers have left. At any one look, a
            # heartbeat may be on its way.
            for _ in range(10):
                await trio.sleep(0.3)
                remaining = +(_held() - before)
                if not remaining:
                    break
        finally:
            gc.enable()
    assert upstream.sent > 0
    assert not remaining
