"""Callers that pipeline, over nodes of a routed fleet and their upstreams."""

import contextlib

from bench import routed
import pytest
import trio

from tests import loopback

DELAY = 0.3  # seconds that an upstream takes


def _requests(numbers, host="beta.example"):
    return b"".join(
        f"GET /{number} HTTP/1.1\r\nHost: {host}\r\n"
        f"Request-Id: r-{number}\r\n\r\n".encode()
        for number in numbers
    )


@contextlib.asynccontextmanager
async def _open(**fields):
    """Yields a fleet and a connection to `vm-a`, which is beside `alpha`."""
    document = routed.document(services=("alpha", "beta"))
    services = {"vm-a": "alpha", "vm-b": "beta"}
    async with routed.running(document, services=services, **fields) as fleet:
        for upstream in fleet.upstreams.values():
            upstream.delay = DELAY
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
        await stream.send_all(_requests(range(10), host))
        await trio.sleep(DELAY / 2)
        assert _targets(fleet) == list(range(running))
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
        await stream.send_all(_requests(range(20)))
        await trio.sleep(DELAY / 2)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.nodes["vm-a"].close)
            received = await loopback.receive_until_end(stream)
            await stream.aclose()
        assert received.count(b"HTTP/1.1 200") == 3
        assert received.count(b"connection: close") == 1
        assert _targets(fleet) == [0, 1, 2]


# Guards against work for a caller that has gone.
async def test_a_disconnect_cancels_all_that_run_at_the_upstream():
    async with _open(pipeline_depth=4) as (fleet, stream):
        await stream.send_all(_requests(range(20)))
        await trio.sleep(DELAY / 2)
        await stream.aclose()
        await trio.sleep(2 * DELAY)
        assert _targets(fleet) == [0, 1, 2, 3]
        assert fleet.upstreams["vm-b"].cancelled == 4
