"""Downloads: callers that stall, and upstreams that fail halfway."""

import contextlib

from bench import routed
import pytest
import trio

from sassafrashall.transport import responses
from tests import loopback

SIZE = 3_000_000  # bytes of a complete body
PIECE = 60_000  # bytes that an upstream sends at once
REQUEST = (
    b"GET /x HTTP/1.1\r\nHost: beta.example\r\nRequest-Id: r1\r\n"
    b"Connection: close\r\n\r\n"
)


class _Upstream:
    """Sends bodies that consist of one byte, which differs by upstream.

    Attributes:
      requests: Number of requests received.
      breaks_at: Bytes of a body after which the connection ends; None to send
        all of it.
      endless: Whether bodies have no end.
      sent: Bytes of bodies sent.
    """

    def __init__(self, byte):
        self.byte = byte
        self.requests = 0
        self.breaks_at = None
        self.endless = False
        self.sent = 0

    async def serve(self, stream):
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                await stream.receive_some(65536)
                self.requests += 1
                length = b"transfer-encoding: chunked"
                if not self.endless:
                    length = b"content-length: %d" % SIZE
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\nrequest-id: r1\r\n"
                    b"response-signature: s\r\n%b\r\n\r\n" % length
                )
                await self._send_body(stream)

    async def _send_body(self, stream):
        piece = self.byte * PIECE
        if self.endless:
            piece = b"%x\r\n%b\r\n" % (PIECE, piece)
        sent = 0
        end = SIZE if self.breaks_at is None else self.breaks_at
        while self.endless or sent < end:
            if not self.endless:
                piece = piece[: end - sent]
            await stream.send_all(piece)
            sent += len(piece)
            self.sent += len(piece)


@contextlib.asynccontextmanager
async def _fleet(**route):
    """Runs three nodes; the upstreams beside `vm-b` and `vm-c` are raw ones."""
    fleet = routed.Fleet(
        services={"vm-a": "alpha", "vm-b": "beta", "vm-c": "beta"},
        pipeline_depth=8,
    )
    upstreams = {"vm-b": _Upstream(b"b"), "vm-c": _Upstream(b"c")}
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery, upstreams=False)
            await nursery.start(fleet.upstreams["vm-a"].run)
            for vm, upstream in upstreams.items():
                address = fleet.upstreams[vm].address
                listeners = await trio.open_tcp_listeners(
                    address.port, host=address.host
                )
                nursery.start_soon(
                    trio.serve_listeners, upstream.serve, listeners
                )
                nursery.start_soon(_announce_regularly, fleet.upstreams[vm])
            await fleet.apply_configuration(
                routed.document(
                    services=("alpha", "beta"), route_type="download", **route
                )
            )
            with trio.fail_after(15):
                yield fleet, tuple(upstreams.values())
            nursery.cancel_scope.cancel()
    finally:
        fleet.close()


async def _announce_regularly(upstream):
    while True:
        with contextlib.suppress(Exception):
            await upstream.announce()
        await trio.sleep(routed.HEARTBEAT_INTERVAL)


async def _download(fleet, vm="vm-a"):
    """Returns the head and the body, which may be incomplete."""
    address = fleet.callers[vm]
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        await stream.send_all(REQUEST)
        received = await loopback.receive_until_end(stream)
    head, _, body = received.partition(b"\r\n\r\n")
    return head, body


@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
async def test_a_download_is_complete(vm):
    async with _fleet() as (fleet, _):
        head, body = await _download(fleet, vm)
    assert head.startswith(b"HTTP/1.1 200")
    assert b"content-length: %d" % SIZE in head
    assert len(body) == SIZE
    assert len(set(body)) == 1


# Guards against a response that is assembled from two: the request may be sent
# again, and the second upstream then sends the body from its beginning.
@pytest.mark.parametrize("breaks_at", [1, 50_000, 70_000, SIZE // 2, SIZE - 1])
async def test_an_upstream_that_fails_halfway_ends_the_download(breaks_at):
    async with _fleet(max_attempts=3) as (fleet, upstreams):
        for upstream in upstreams:
            upstream.breaks_at = breaks_at
        for _ in range(4):
            head, body = await _download(fleet)
            if head.startswith(b"HTTP/1.1 200"):
                assert len(body) < SIZE
                assert len(set(body)) <= 1
            else:
                # Nothing of the response had been sent on.
                assert head.startswith(b"HTTP/1.1 502")
        # The next download is complete.
        for upstream in upstreams:
            upstream.breaks_at = None
        head, body = await _download(fleet)
        assert head.startswith(b"HTTP/1.1 200")
        assert len(body) == SIZE
        assert len(set(body)) == 1


# Guards against a request that is forwarded behind a download and gets no
# response, since the connection closes where the download breaks off.
async def test_no_request_is_forwarded_behind_a_download():
    async with _fleet() as (fleet, upstreams):
        for upstream in upstreams:
            upstream.breaks_at = SIZE // 2
        address = fleet.callers["vm-a"]
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            first = REQUEST.replace(b"Connection: close\r\n", b"")
            await stream.send_all(first + REQUEST)
            received = await loopback.receive_until_end(stream)
        assert received.startswith(b"HTTP/1.1 200")
        assert len(received) < SIZE
        assert sum(upstream.requests for upstream in upstreams) == 1


# Guards against memory, and a connection to the upstream, that a caller holds
# who asks for a download and does not read it.
@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
async def test_a_caller_that_stalls_is_cut_off(vm, monkeypatch):
    monkeypatch.setattr(responses, "SLOW_READER_TIMEOUT", 1.0)
    async with _fleet(timeout="60s") as (fleet, upstreams):
        for upstream in upstreams:
            upstream.endless = True
        address = fleet.callers[vm]
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(REQUEST)
            assert (await stream.receive_some(20)).startswith(b"HTTP/1.1 200")
            await trio.sleep(0.7)
            sent = sum(upstream.sent for upstream in upstreams)
            # The buffers of the sockets on the way hold most of it.
            assert 0 < sent < 32 * 1024 * 1024
            await trio.sleep(1.0)
            received = b""
            with contextlib.suppress(trio.BrokenResourceError):
                received = await loopback.receive_until_end(stream)
            assert not received.endswith(b"0\r\n\r\n")
        after = sum(upstream.sent for upstream in upstreams)
        assert after < 32 * 1024 * 1024
        # A caller that reads is served.
        for upstream in upstreams:
            upstream.endless = False
        _, body = await _download(fleet, vm)
        assert len(body) == SIZE
