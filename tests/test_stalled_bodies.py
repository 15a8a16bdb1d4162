"""Callers whose request body stops arriving, over real sockets."""

import contextlib

import pytest
import trio

from sassafrashall import clock
from sassafrashall import configuration
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.transport import stream_server
from tests import fakes
from tests import loopback

LIMITS = configuration.Limits(idle_timeout_s=1.0, head_timeout_s=0.5)
LENGTH = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG = 300_000  # bytes; more than is buffered before the request runs


@contextlib.asynccontextmanager
async def _open(handler, depth=1):
    """Yields a connection, the server and its metrics."""
    address = loopback.free_address()
    counters = fakes.counters()
    server = stream_server.Server(
        address=address,
        handler=handler,
        source=model.Source.CALLER,
        limits=lambda: LIMITS,
        pipeline_depth=depth,
        log=connection_log.ConnectionLog(place="callers", counters=counters),
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        stream = await trio.open_tcp_stream(address.host, address.port)
        with trio.fail_after(10):
            yield stream, server, counters
        nursery.cancel_scope.cancel()


def _response(body=b"ok"):
    return model.Response(status=200, headers=(), body=body)


# Guards against a caller that holds a connection, and the memory of what it has
# sent, without bound.
@pytest.mark.parametrize("depth", [1, 4])
@pytest.mark.parametrize(
    "start",
    [LENGTH % 9 + b"abc", CHUNKED + b"3\r\nabc\r\n", LENGTH % LONG],
    ids=["length", "chunked", "long"],
)
async def test_a_body_that_stops_arriving_is_refused_as_not_run(start, depth):
    async def handler(raw):
        raise AssertionError("the request has run")

    async with _open(handler, depth) as (stream, server, counters):
        began = clock.monotonic()
        await stream.send_all(start)
        received = await loopback.receive_until_end(stream)
        assert clock.monotonic() - began >= LIMITS.idle_timeout_s
        assert received.startswith(b"HTTP/1.1 408 ")
        assert b"connection: close" in received
        await stream.aclose()
        while server.connections:
            await trio.sleep(0.01)
        _, page = counters.render()
        assert b'reason="body_timeout"' in page


# Guards against a caller on a slow line that is cut off: the whole body takes
# longer than the timeout, but no part of it does.
@pytest.mark.parametrize("size", [10, LONG])
async def test_a_slow_caller_that_makes_progress_is_served(size):
    async def handler(raw):
        body = raw.body
        while raw.rest is not None and (data := await raw.rest.read()):
            body += data
        return _response(b"%d" % len(body))

    async with _open(handler) as (stream, _, _):
        await stream.send_all(LENGTH % size + b"x" * (size - 10))
        for _ in range(10):
            await trio.sleep(0.2)
            await stream.send_all(b"x")
        received = await stream.receive_some(1000)
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"%d" % size)


# Guards against an upload that goes on waiting for a caller that sends no more.
async def test_a_long_body_that_stops_arriving_ends_the_upload():
    failures = []

    async def handler(raw):
        try:
            while await raw.rest.read():
                pass
        except Exception as error:
            failures.append(error)
        return model.Response(status=502, headers=(), body=b"")

    async with _open(handler) as (stream, server, _):
        await stream.send_all(LENGTH % LONG + b"x" * (LONG - 10))
        received = await loopback.receive_until_end(stream)
        while server.connections:
            await trio.sleep(0.01)
    assert received.startswith(b"HTTP/1.1 502")
    (failure,) = failures
    assert isinstance(failure, exceptions.ConnectionFailedError)
    assert failure.maybe_delivered


# Guards against a request that is cut off although its caller has nothing to
# send, or is not asked for more: it runs, or waits for its turn to run.
@pytest.mark.parametrize("size", [10, LONG])
async def test_a_request_whose_body_is_not_read_is_not_cut_off(size):
    released = mailbox.Reply()

    async def handler(raw):
        await released.wait()
        while raw.rest is not None and await raw.rest.read():
            pass
        return _response()

    async with _open(handler) as (stream, _, _), trio.open_nursery() as nursery:
        nursery.start_soon(stream.send_all, LENGTH % size + b"x" * size)
        await trio.sleep(3 * LIMITS.idle_timeout_s)
        released.put(None)
        received = await stream.receive_some(1000)
    assert received.startswith(b"HTTP/1.1 200")
