"""Callers that pipeline, over nodes of a routed fleet and their upstreams."""

import contextlib
import re

from bench import routed
import pytest
import trio

from tests import loopback

ARRIVAL_TIMEOUT = 6.0  # seconds until calls reach an upstream, at most
# Seconds in which a further call would reach it beside those that are held.
SETTLE_TIME = 0.15


def _requests(numbers, host="beta.example"):
    return b"".join(
        f"GET /{number} HTTP/1.1\r\nHost: {host}\r\n"
        f"Request-Id: r-{number}\r\n\r\n".encode()
        for number in numbers
    )


@contextlib.asynccontextmanager
async def _open(beta_route=None, **fields):
    """Yields a fleet and a connection to `vm-a`, which is beside `alpha`.

    Args:
      beta_route: What differs in the route to `beta`.
      **fields: Of the fleet.
    """
    document = routed.document(services=("alpha", "beta"))
    document["routes"]["r-beta"] |= beta_route or {}
    services = {"vm-a": "alpha", "vm-b": "beta"}
    async with routed.running(document, services=services, **fields) as fleet:
        address = fleet.callers["vm-a"]
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            with trio.fail_after(10):
                yield fleet, stream


def _targets(fleet):
    return sorted(
        int(request.target[1:])
        for upstream in fleet.upstreams.values()
        for request in upstream.requests
    )


def _hold(fleet):
    """Lets the upstreams hold their responses until the event is set."""
    release = trio.Event()
    for upstream in fleet.upstreams.values():
        upstream.held = release
    return release


async def _wait_for_arrivals(fleet, count):
    with trio.fail_after(ARRIVAL_TIMEOUT):
        while len(_targets(fleet)) < count:
            await trio.sleep(0.005)


async def _receive(stream, count):
    received = b""
    while received.count(b"answer to ") < count:
        data = await stream.receive_some(65536)
        assert data, f"closed after {received!r}"
        received += data
    return received


# Guards against requests that wait behind others of their connection although
# the fleet has room for them.
@pytest.mark.parametrize(("depth", "running"), [(1, 1), (8, 8)])
@pytest.mark.parametrize("host", ["alpha.example", "beta.example"])
async def test_requests_up_to_the_depth_reach_the_upstream(
    host, depth, running
):
    async with _open(pipeline_depth=depth) as (fleet, stream):
        release = _hold(fleet)
        await stream.send_all(_requests(range(10), host))
        await _wait_for_arrivals(fleet, running)
        await trio.sleep(SETTLE_TIME)
        assert _targets(fleet) == list(range(running))
        release.set()
        received = await _receive(stream, 10)
    assert [
        received.index(b"response-signature: of-r-%d\r\n" % number)
        for number in range(10)
    ] == sorted(
        received.index(b"response-signature: of-r-%d\r\n" % number)
        for number in range(10)
    )


# Guards against requests that a planned stop cuts off, and against requests
# that run although their caller sends them again, since they got no response.
async def test_a_planned_stop_answers_each_request_that_was_forwarded():
    async with _open(pipeline_depth=3) as (fleet, stream):
        release = _hold(fleet)
        await stream.send_all(_requests(range(20)))
        await _wait_for_arrivals(fleet, 3)
        await trio.sleep(SETTLE_TIME)
        node = fleet.nodes["vm-a"]
        (connection,) = node._callers._connections
        async with trio.open_nursery() as nursery:
            nursery.start_soon(node.close)
            while not connection._expiring:
                await trio.sleep(0.005)
            release.set()
            received = await loopback.receive_until_end(stream)
            await stream.aclose()
        assert received.count(b"HTTP/1.1 200") == 3
        assert received.count(b"connection: close") == 1
        assert _targets(fleet) == [0, 1, 2]


# Guards against work for a caller that has gone.
async def test_a_disconnect_cancels_all_that_run_at_the_upstream():
    async with _open(pipeline_depth=4) as (fleet, stream):
        _hold(fleet)
        await stream.send_all(_requests(range(20)))
        await _wait_for_arrivals(fleet, 4)
        await stream.aclose()
        while fleet.upstreams["vm-b"].cancelled < 4:
            await trio.sleep(0.005)
        await trio.sleep(SETTLE_TIME)
        assert _targets(fleet) == [0, 1, 2, 3]
        assert fleet.upstreams["vm-b"].cancelled == 4


# Guards against a request that runs past its timeout: it waited unread behind
# the request before it, and counted from when it was read.
async def test_a_request_that_waited_unread_past_its_timeout_is_not_run():
    async with _open(beta_route={"timeout": "500ms"}, pipeline_depth=8) as (
        fleet,
        stream,
    ):
        release = _hold(fleet)
        await stream.send_all(
            b"POST /0 HTTP/1.1\r\nHost: alpha.example\r\n"
            b"Request-Id: r-0\r\nContent-Length: 2\r\n\r\nab"
        )
        await _wait_for_arrivals(fleet, 1)
        # The first of them is read and waits, the other one waits unread.
        for number, host in ((1, "alpha.example"), (2, "beta.example")):
            await stream.send_all(_requests([number], host))
            await trio.sleep(SETTLE_TIME)
        await trio.sleep(1.0)
        release.set()
        received = await _receive(stream, 2)
        while received.count(b"answer to ") < 3 and b'"run"' not in received:
            received += await stream.receive_some(65536)
    assert re.findall(rb"HTTP/1.1 (\d+)", received) == [b"200", b"200", b"503"]
    assert b'"run": "not-run"' in received
    assert b"retry-after:" in received
    assert _targets(fleet) == [0, 1]
