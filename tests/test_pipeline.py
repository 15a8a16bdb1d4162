"""Pipelined requests of callers, over real sockets."""

import contextlib
import re

import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.decisions import pipelining
from sassafrashall.transport import sockets
from sassafrashall.transport import stream_server
from tests import fakes
from tests import loopback


def _get(number, *headers):
    lines = [f"GET /{number} HTTP/1.1", "Host: h", *headers]
    return "\r\n".join((*lines, "", "")).encode()


def _response(body=b"ok", rest=None):
    return model.Response(status=200, headers=(), body=body, rest=rest)


class _Handler:
    """Holds each request until it is released.

    Attributes:
      started: Numbers of the requests in the order in which they started.
      received_at: When each of them arrived, by number.
      running: Number of requests that run.
      peak: The largest number that ran at the same time.
      cancelled: Numbers of the requests that were cancelled.
    """

    def __init__(self):
        self.started = []
        self.received_at = {}
        self.running = 0
        self.peak = 0
        self.cancelled = []
        self._replies = {}

    async def handle(self, raw):
        number = int(raw.target[1:])
        self.started.append(number)
        self.received_at[number] = raw.received_at
        self.running += 1
        self.peak = max(self.peak, self.running)
        reply = self._replies.setdefault(number, mailbox.Reply())
        reply.on_abandon(lambda: self.cancelled.append(number))
        try:
            response = await reply.wait()
        finally:
            self.running -= 1
        if isinstance(response, Exception):
            raise response
        return response

    def release(self, number, response=None):
        """Lets a request that has started return its response."""
        if response is None:
            response = _response(b"body-%d;" % number)
        self._replies[number].put(response)


@contextlib.asynccontextmanager
async def _serving(handler, depth, **fields):
    async with loopback.serve_streams(
        handler.handle, pipeline_depth=depth, **fields
    ) as served:
        with trio.fail_after(8):
            yield served


@contextlib.asynccontextmanager
async def _open(handler, depth=4, **fields):
    """Serves, and yields a connection to the server and the server."""
    async with _serving(handler, depth, **fields) as (address, server):
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            yield stream, server


async def _settle():
    """Waits until the server has handled what was sent."""
    for _ in range(3):
        await trio.sleep(0.01)
        await trio.testing.wait_all_tasks_blocked()


def _numbers(received):
    """Returns the numbers of the responses in the order of their bodies."""
    return [int(number) for number in re.findall(rb"body-(\d+);", received)]


async def _receive(stream, count):
    """Receives up to the end of `count` responses."""
    received = b""
    while len(_numbers(received)) < count:
        data = await stream.receive_some(65536)
        assert data, f"closed after {received!r}"
        received += data
    return received


# Guards against requests of a connection that wait one behind the other, and
# against more of them at once than the depth allows.
@pytest.mark.parametrize("depth", [1, 3])
async def test_as_many_requests_as_the_depth_run_at_once(depth):
    handler = _Handler()
    async with _open(handler, depth) as (stream, _):
        await stream.send_all(b"".join(_get(number) for number in range(7)))
        for number in range(7):
            await _settle()
            assert handler.started == list(range(min(7, number + depth)))
            handler.release(number)
        received = await _receive(stream, 7)
    assert _numbers(received) == list(range(7))
    assert handler.peak == depth


# Guards against a response that its caller takes for that to another request.
async def test_a_response_that_is_ready_first_waits_for_its_turn():
    handler = _Handler()
    async with _open(handler) as (stream, _):
        await stream.send_all(_get(1) + _get(2) + _get(3))
        await _settle()
        handler.release(2)
        handler.release(3)
        with trio.move_on_after(0.1):
            pytest.fail(f"got {await stream.receive_some(1000)!r}")
        handler.release(1)
        assert _numbers(await _receive(stream, 3)) == [1, 2, 3]


# Guards against a late start of a request that arrives while others run.
async def test_a_request_that_arrives_later_joins_those_that_run():
    handler = _Handler()
    async with _open(handler) as (stream, _):
        for number in (1, 2):
            await stream.send_all(_get(number))
            await _settle()
        assert handler.started == [1, 2]


# Guards against a request that must not be repeated, or whose body is still on
# its way, and that runs beside others of its connection.
@pytest.mark.parametrize(
    "request_between",
    [
        b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
        b"POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n0\r\n\r\n",
        b"DELETE /2 HTTP/1.1\r\nHost: h\r\n\r\n",
        b"GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
        b"GET /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n",
        b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
        + b"a" * 200_000,
    ],
    ids=["length", "chunked", "no body", "GET with body", "expect", "long"],
)
@pytest.mark.parametrize("cut", [None, 20, 60])
async def test_other_requests_run_alone(request_between, cut):
    handler = _Handler()
    data = _get(0) + _get(1) + request_between + _get(3) + _get(4)
    async with _open(handler) as (stream, _):
        if cut is not None:
            cut += len(_get(0) + _get(1))
            await stream.send_all(data[:cut])
            await _settle()
            data = data[cut:]
        # The server stops reading while a request waits for its turn.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream.send_all, data)
            await _settle()
            assert handler.started == [0, 1]
            handler.release(0)
            await _settle()
            assert handler.started == [0, 1]
            handler.release(1)
            await _settle()
            assert handler.started == [0, 1, 2]
            if b"200000" in request_between:
                # A response before the end of the upload closes the connection.
                nursery.cancel_scope.cancel()
                return
            handler.release(2)
        await _settle()
        assert handler.started == [0, 1, 2, 3, 4]
        handler.release(3)
        handler.release(4)
        assert _numbers(await _receive(stream, 5)) == [0, 1, 2, 3, 4]


# Guards against a request that waits behind a long response until its deadline
# has passed, and is lost if that response breaks off.
async def test_requests_of_a_route_with_long_responses_run_alone():
    handler = _Handler()
    data = b"".join(_get(number) for number in range(5))
    async with _open(
        handler, may_overlap=lambda head: head.target not in ("/2", "/3")
    ) as (stream, _):
        await stream.send_all(data)
        for number, started in ((0, 2), (1, 2), (2, 3), (3, 4), (4, 5)):
            await _settle()
            assert handler.started == list(range(started))
            handler.release(number)
        assert _numbers(await _receive(stream, 5)) == [0, 1, 2, 3, 4]


# Guards against requests that run although their caller sends them again, and
# against a response that is lost by a reset, since requests behind it wait
# unread when the connection closes.
@pytest.mark.parametrize("release_order", [(1, 2), (2, 1)])
async def test_nothing_runs_behind_a_request_that_ends_the_connection(
    release_order,
):
    handler = _Handler()
    async with _open(handler) as (stream, _):
        await stream.send_all(_get(1) + _get(2, "Connection: close") + _get(3))
        await stream.send_all(b"".join(_get(n) for n in range(4, 400)))
        await _settle()
        assert handler.started == [1, 2]
        for number in release_order:
            handler.release(number)
        await _settle()
        await stream.send_all(_get(400))
        received = await loopback.receive_until_end(stream)
    assert _numbers(received) == [1, 2]
    assert received.count(b"connection: close") == 1
    assert received.index(b"body-1;") < received.index(b"connection: close")
    assert handler.started == [1, 2]


# Guards against requests that are cut off by a planned stop, against a response
# that announces the end while another one follows, and against requests that
# run behind it.
@pytest.mark.parametrize("release_order", [(1, 2, 3), (3, 2, 1)])
async def test_a_stop_answers_all_that_run_and_starts_nothing_more(
    release_order,
):
    handler = _Handler()
    async with _open(handler, depth=3) as (stream, server):
        await stream.send_all(b"".join(_get(n) for n in range(1, 6)))
        await _settle()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.close)
            await _settle()
            for number in release_order:
                handler.release(number)
                await _settle()
            received = await loopback.receive_until_end(stream)
            await stream.aclose()
    assert _numbers(received) == [1, 2, 3]
    assert received.count(b"connection: close") == 1
    assert received.index(b"body-2;") < received.index(b"connection: close")
    assert handler.started == [1, 2, 3]


# Guards against a connection that closes, without an announcement, behind a
# response that was sent before the stop.
async def test_a_stop_after_the_first_response_is_announced_on_the_last_one():
    handler = _Handler()
    async with _open(handler) as (stream, server):
        await stream.send_all(_get(1) + _get(2))
        await _settle()
        handler.release(1)
        assert b"connection: close" not in await _receive(stream, 1)
        server.drain()
        await stream.send_all(_get(3))
        await _settle()
        assert handler.started == [1, 2]
        handler.release(2)
        received = await loopback.receive_until_end(stream)
    assert _numbers(received) == [2]
    assert b"connection: close" in received


# Guards against work for a caller that has gone. Requests that wait unread hide
# the end of the connection behind them.
@pytest.mark.parametrize("count", [2, 3, 4, 1000])
async def test_a_disconnect_cancels_all_that_run(count):
    handler = _Handler()
    async with _open(handler, depth=3) as (stream, server):
        await stream.send_all(b"".join(_get(n) for n in range(count)))
        await _settle()
        assert handler.started == list(range(min(count, 3)))
        await stream.aclose()
        with trio.fail_after(1):
            while server.connections:
                await trio.sleep(0.01)
        assert sorted(handler.cancelled) == handler.started
        assert server.overlapping == 0


# Guards against a body that its upstream keeps open for a caller that has gone.
async def test_a_disconnect_closes_a_streamed_response_that_waits():
    handler = _Handler()
    rest = fakes.HeldRest()
    async with _open(handler) as (stream, _):
        await stream.send_all(_get(1) + _get(2))
        await _settle()
        handler.release(2, _response(b"x", rest))
        await stream.aclose()
        with trio.fail_after(1):
            await rest.closed.wait()
        assert handler.cancelled == [1]


# Guards against requests that were forwarded and are cut off without a response
# by a download before them that breaks off.
@pytest.mark.parametrize("breaks_off", [False, True])
async def test_nothing_starts_behind_a_streamed_response(breaks_off):
    handler = _Handler()
    error = exceptions.ConnectionFailedError("broken", maybe_delivered=True)
    rest = fakes.HeldRest(error if breaks_off else None)
    async with _open(handler) as (stream, _):
        await stream.send_all(_get(1))
        await _settle()
        handler.release(1, _response(b"body-1;", rest))
        await _receive(stream, 1)
        await stream.send_all(_get(2))
        await _settle()
        assert handler.started == [1]
        rest.released.set()
        if breaks_off:
            assert await stream.receive_some(1000) == b""
            assert handler.started == [1]
        else:
            await _settle()
            assert handler.started == [1, 2]
            handler.release(2)
            received = await _receive(stream, 1)
            assert received.startswith(b"0\r\n\r\nHTTP/1.1 200")


# Guards against memory that grows with what a caller sends while its requests
# wait.
async def test_what_is_read_ahead_is_bounded(monkeypatch):
    read = []
    receive = sockets.Stream.receive_nowait

    def receive_nowait(self, size):
        data = receive(self, size)
        read.append(len(data))
        return data

    monkeypatch.setattr(sockets.Stream, "receive_nowait", receive_nowait)
    handler = _Handler()
    async with _open(handler) as (stream, _):
        with trio.move_on_after(0.3):
            await stream.send_all(_get(1) * 100_000)
        assert handler.started == [1] * 4
        assert sum(read) <= 2 * stream_server.HEAD_READ_SIZE


# Guards against memory that grows with the number of callers that pipeline.
async def test_requests_that_overlap_are_bounded_over_all_connections(
    monkeypatch,
):
    monkeypatch.setattr(pipelining, "MAX_OVERLAPPING", 2)
    handler = _Handler()
    async with _serving(handler, 4) as (address, server):
        streams = []
        for first in (0, 10, 20):
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(b"".join(_get(first + n) for n in range(3)))
            await _settle()
            streams.append(stream)
        assert handler.started == [0, 1, 2, 10, 20]
        assert server.overlapping == 2
        # All are served nevertheless, one by one.
        for first, stream in zip((20, 10, 0), reversed(streams), strict=True):
            for number in range(first, first + 3):
                await _settle()
                handler.release(number)
            assert len(_numbers(await _receive(stream, 3))) == 3
            await stream.aclose()
        assert server.overlapping == 0


# Guards against valid requests that are rejected for what follows them.
@pytest.mark.parametrize("invalid", [b"garbage\r\n\r\n", b"GET / HTTP/9\r\n"])
async def test_invalid_input_is_rejected_after_the_requests_before_it(invalid):
    handler = _Handler()
    async with _open(handler) as (stream, _):
        await stream.send_all(_get(1) + _get(2) + invalid)
        await _settle()
        handler.release(2)
        await _settle()
        handler.release(1)
        received = await loopback.receive_until_end(stream)
    assert _numbers(received) == [1, 2]
    assert b"HTTP/1.1 400" in received[received.index(b"body-2;") :]


# Guards against responses that are lost by a fault in a request behind them.
async def test_a_failed_request_closes_the_connection_when_it_is_its_turn():
    handler = _Handler()
    async with _open(handler) as (stream, _):
        await stream.send_all(_get(1) + _get(2) + _get(3))
        await _settle()
        handler.release(2, ValueError("a fault of the test"))
        await _settle()
        handler.release(1)
        received = await loopback.receive_until_end(stream)
    assert _numbers(received) == [1]
    assert handler.cancelled == [3]


# Guards against a process that ends by a response that can't be encoded: the
# error would reach the controller that delivered the response. The body of that
# response must not stay open at the upstream.
async def test_a_response_that_cannot_be_encoded_ends_only_its_connection():
    handler = _Handler()
    rest = fakes.HeldRest()
    async with _open(handler) as (stream, _):
        await stream.send_all(_get(1) + _get(2))
        await _settle()
        handler.release(
            1,
            model.Response(
                status=200, headers=(("x", "\u20ac"),), body=b"", rest=rest
            ),
        )
        await rest.closed.wait()
        assert await stream.receive_some(1000) == b""
        assert handler.cancelled == [2]


# Guards against a request that is held past the timeout of its route, since
# the timeout counted from its start and not from its arrival.
async def test_the_time_that_a_request_waits_for_its_turn_counts():
    handler = _Handler()
    async with _open(handler, depth=2) as (stream, _):
        await stream.send_all(_get(1) + _get(2) + _get(3))
        await _settle()
        sent_at = clock.monotonic()
        await trio.sleep(0.2)
        handler.release(1)
        await _settle()
        assert handler.started == [1, 2, 3]
        assert handler.received_at[3] <= sent_at


class _Waiting:
    """A request that waits unread in the socket of a connection.

    Attributes:
      sent_at: When it was sent.
      checked_at: When the server had checked its connections after that.
    """

    def __init__(self):
        self.sent_at = self.checked_at = 0.0

    async def send(self, stream, server, data):
        """Sends `data` and lets the server check its connections."""
        self.sent_at = clock.monotonic()
        await stream.send_all(data)
        server._check_connections(0.0)
        self.checked_at = clock.monotonic()
        await trio.sleep(0.05)


_POST = b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"


# Guards against a request that is held past the timeout of its route: it waits
# in the socket, since a request before it holds up all reading, and counted
# from when it was read.
@pytest.mark.parametrize("behind", ["post", "depth", "stream"])
async def test_the_time_that_a_request_waits_unread_counts(behind):
    handler = _Handler()
    rest = fakes.HeldRest()
    async with _open(handler, depth=2) as (stream, server):
        await stream.send_all(_POST if behind == "post" else _get(1))
        if behind == "depth":
            await stream.send_all(_get(2))
        await _settle()
        if behind == "stream":
            handler.release(1, _response(b"part", rest))
        # This one is read, and then nothing more until it starts.
        await stream.send_all(_get(3))
        await _settle()
        waiting = _Waiting()
        await waiting.send(stream, server, _get(4))
        rest.released.set()
        if behind != "stream":
            handler.release(1)
        if behind == "depth":
            handler.release(2)
        await _settle()
        handler.release(3)
        await _settle()
        assert handler.started[-2:] == [3, 4]
        assert waiting.sent_at <= handler.received_at[4] <= waiting.checked_at


# Guards against a timeout that ends early, since a request counts from the
# arrival of bytes before it that are read together with it.
async def test_a_request_never_counts_from_before_its_bytes_came():
    handler = _Handler()
    async with _open(handler, depth=2) as (stream, server):
        await stream.send_all(_POST)
        await _settle()
        await stream.send_all(_get(2))
        await _settle()
        await _Waiting().send(stream, server, _get(3))
        sent_at = clock.monotonic()
        await stream.send_all(_get(4))
        handler.release(1)
        await _settle()
        handler.release(2)
        handler.release(3)
        await _settle()
        assert handler.started == [1, 2, 3, 4]
        assert handler.received_at[4] >= sent_at


_KINDS = {
    "GET": "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n",
    "HEAD": "HEAD /%d HTTP/1.1\r\nHost: h\r\n\r\n",
    "POST": "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
    "PUT": "PUT /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nab\r\n0\r\n\r\n",
    "DELETE": "DELETE /%d HTTP/1.1\r\nHost: h\r\n\r\n",
}


class _CheckingHandler:
    """Answers after a few turns of the event loop, and checks what runs.

    Attributes:
      turns: For each request, after how many turns it is answered.
      running: Methods of the requests that run.
      peak: The largest number that ran at the same time.
    """

    def __init__(self, turns):
        self.turns = turns
        self.running = []
        self.peak = 0
        self.nursery = None

    async def handle(self, raw):
        number = int(raw.target[1:])
        self.running.append(raw.method)
        self.peak = max(self.peak, len(self.running))
        if not {"GET", "HEAD"}.issuperset(self.running):
            assert len(self.running) == 1
        reply = mailbox.Reply()
        self.nursery.start_soon(self._answer, reply, self.turns[number])
        response = await reply.wait()
        self.running.remove(raw.method)
        return model.Response(
            status=200, headers=(("x", f"body-{number};"),), body=response
        )

    async def _answer(self, reply, turns):
        for _ in range(turns):
            await trio.lowlevel.checkpoint()
        reply.put(b"x")


async def _run_pipelined(kinds, turns, cuts, depth):
    data = "".join(_KINDS[kind] % n for n, kind in enumerate(kinds)).encode()
    bounds = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
    handler = _CheckingHandler(turns)
    async with trio.open_nursery() as nursery:
        handler.nursery = nursery
        async with _open(handler, depth) as (stream, server):
            for begin, end in zip(bounds, bounds[1:], strict=False):
                await stream.send_all(data[begin:end])
                await trio.lowlevel.checkpoint()
            received = await _receive(stream, len(kinds))
            assert server.overlapping == 0
    return _numbers(received), handler


# Guards against any mix of requests, and any split of their bytes, by which one
# is lost, answered out of order, or runs beside one that must run alone.
@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    kinds=strategies.lists(
        strategies.sampled_from(["GET", "GET", "GET", *_KINDS]),
        min_size=1,
        max_size=12,
    ),
    turns=strategies.lists(
        strategies.integers(0, 30), min_size=12, max_size=12
    ),
    cuts=strategies.lists(strategies.integers(0, 2000), max_size=6),
    depth=strategies.integers(1, 5),
)
def test_mixed_requests_are_answered_in_order(kinds, turns, cuts, depth):
    numbers, handler = trio.run(_run_pipelined, kinds, turns, cuts, depth)
    assert numbers == list(range(len(kinds)))
    assert handler.peak <= depth
    assert not handler.running


# Guards against a request that starts on a connection that this side has
# closed: its task may have been woken before it is cancelled, and runs on to
# its next checkpoint.
@pytest.mark.parametrize("depth", [1, 2])
async def test_no_request_starts_once_the_connection_is_closed(depth):
    handler = _Handler()
    async with _open(handler, depth) as (stream, server):
        post = b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        await stream.send_all(_get(1) + post)
        await _settle()
        (connection,) = server._connections
        # The end of the first request wakes the task that starts the second.
        handler.release(1)
        connection.close_stalled()
        await loopback.receive_until_end(stream)
        assert handler.started == [1]
