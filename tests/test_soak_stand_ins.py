"""Tests of what a soak relies on: its delays, and stand-in upstreams."""

from __future__ import annotations

import socket
import time

from bench import fleet
from bench.soak import callers
from bench.soak import delays
from bench.soak import proxy
from bench.soak import upstreams
import h11
import pytest
import trio


class _PassCounter(trio.abc.Instrument):
    """Counts the passes of the event loop."""

    def __init__(self):
        self.passes = 0

    def before_io_wait(self, timeout):
        self.passes += 1


# Guards against a measured delay that is shorter than that of a request.
async def test_delays_cover_the_way_through_a_proxy(nursery):
    shown, target = fleet.free_addresses(2)
    counter = _PassCounter()
    read_at = 0

    async def read(stream):
        nonlocal read_at
        await stream.receive_some(1)
        read_at = counter.passes

    await proxy.Proxy(listen=shown, target=target).start(nursery)
    listeners = await trio.open_tcp_listeners(target.port, host=target.host)
    nursery.start_soon(trio.serve_listeners, read, listeners)
    trio.lowlevel.add_instrument(counter)
    # The kernel accepts the connection without the event loop.
    with socket.create_connection((shown.host, shown.port)) as caller:
        caller.sendall(b"x")
        while not read_at:
            await trio.lowlevel.checkpoint()
    assert 0 < read_at <= delays.PASSES
    nursery.cancel_scope.cancel()


# Guards against a check that takes a request which was read late for one that
# was sent late, as no single pass took longer than the limit.
async def test_short_passes_add_up_to_a_delay(nursery):
    reports = []

    async def be_busy():
        while True:
            time.sleep(0.02)
            await trio.lowlevel.checkpoint()

    nursery.start_soon(be_busy)
    with trio.move_on_after(1.0):
        await delays.watch(reports.append)
    assert reports
    assert min(r.seconds for r in reports) > 0.02 * (delays.PASSES - 1)
    nursery.cancel_scope.cancel()


class _Node:
    """Answers heartbeats in a fixed way and counts them."""

    def __init__(self, *, address, status=200, location=None, body=b"{}"):
        self._address = address
        self._status = status
        self._headers = [("content-length", str(len(body)))]
        if location is not None:
            self._headers.append(("location", location))
        self._body = body
        self.count = 0

    async def start(self, nursery):
        listeners = await trio.open_tcp_listeners(
            self._address.port, host=self._address.host
        )
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    async def _serve(self, stream):
        protocol = h11.Connection(h11.SERVER)
        request, _ = await callers.receive_message(stream, protocol)
        assert request is not None
        self.count += 1
        response = h11.Response(status_code=self._status, headers=self._headers)
        data = protocol.send(response) + protocol.send(
            h11.Data(data=self._body)
        )
        await stream.send_all(data + protocol.send(h11.EndOfMessage()))
        await stream.aclose()


@pytest.fixture
def heartbeat_interval(monkeypatch):
    monkeypatch.setattr(upstreams, "HEARTBEAT_INTERVAL", 0.02)


# The protocol lets a node redirect a heartbeat, or name an address for those
# that follow, which is used until a heartbeat fails there.
async def test_a_stand_in_sends_heartbeats_where_it_is_asked_to(
    nursery, heartbeat_interval
):
    usual, fresh, listen, gone = fleet.free_addresses(4)
    first = _Node(
        address=usual, status=307, location=f"http://{fresh}/-/instances/i"
    )
    named = b'{"heartbeat_uri": "%s"}' % str(gone).encode()
    second = _Node(address=fresh, body=named)
    for node in (first, second):
        await node.start(nursery)
    upstream = upstreams.Upstream(
        vm="node-0",
        service="alpha",
        address=listen,
        announced=listen,
        announce_to=usual,
        seed=1,
        report=lambda observation: None,
    )
    await upstream.start(nursery)
    with trio.fail_after(5.0):
        while second.count < 3:
            await trio.sleep(0.01)
    # Each second heartbeat failed at the address that was named.
    assert first.count - second.count in (0, 1)
    nursery.cancel_scope.cancel()
