"""Disconnects, pipelining and stops while a request is in progress."""

import contextlib
import socket
import struct

import pytest
import trio
import trio.testing

from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.transport import stream_server
from tests import loopback

REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


class _StalledBody:
    """The rest of a long response whose bytes never arrive."""

    def __init__(self):
        self.closed = trio.Event()

    async def read(self):
        await trio.sleep_forever()

    async def close(self):
        self.closed.set()


@contextlib.asynccontextmanager
async def _server(handler):
    address = loopback.free_address()
    server = stream_server.Server(
        address=address,
        handler=handler,
        source=model.Source.CALLER,
        limits=configuration.Limits,
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        stream = await trio.open_tcp_stream(address.host, address.port)
        with trio.fail_after(3):
            yield stream, server
        nursery.cancel_scope.cancel()


def _response(body=b"ok", rest=None):
    return model.Response(status=200, headers=(), body=body, rest=rest)


async def test_a_disconnect_closes_a_streamed_response():
    body = _StalledBody()

    async def handler(raw):
        return _response(b"x" * 100, body)

    async with _server(handler) as (stream, _):
        await stream.send_all(REQUEST % 1)
        await stream.receive_some(1000)
        await stream.aclose()
        with trio.fail_after(0.5):
            await body.closed.wait()


async def test_a_disconnect_abandons_the_reply_that_the_handler_awaits():
    abandoned = trio.Event()

    async def handler(raw):
        reply = mailbox.Reply()
        reply.on_abandon(abandoned.set)
        return await reply.wait()

    async with _server(handler) as (stream, server):
        await stream.send_all(REQUEST % 1)
        await trio.sleep(0.1)
        await stream.aclose()
        with trio.fail_after(0.5):
            await abandoned.wait()


async def test_pipelined_responses_are_sent_in_order():
    replies = {"/1": mailbox.Reply(), "/2": mailbox.Reply()}

    async def handler(raw):
        return await replies[raw.target].wait()

    async with _server(handler) as (stream, _):
        await stream.send_all(REQUEST % 1 + REQUEST % 2)
        await trio.sleep(0.05)
        replies["/2"].put(_response(b"second"))
        replies["/1"].put(_response(b"first"))
        received = b""
        while b"second" not in received:
            received += await stream.receive_some(1000)
        assert received.index(b"first") < received.index(b"second")


async def test_a_response_larger_than_the_socket_buffer_is_complete():
    body = bytes(range(256)) * 32768

    async def handler(raw):
        return _response(body)

    async with _server(handler) as (stream, _):
        for number in (1, 2):
            await stream.send_all(REQUEST % number)
            received = b""
            while b"\r\n\r\n" not in received:
                received += await stream.receive_some(65536)
            head_length = received.index(b"\r\n\r\n") + 4
            while len(received) < head_length + len(body):
                received += await stream.receive_some(65536)
            assert received[head_length:] == body


# Guards against two tasks that read from one socket, which ends the process.
# An upload may still read the body of a request that was answered early.
@pytest.mark.parametrize("waits_for", ["bytes", "response"])
async def test_response_before_the_end_of_an_upload_ends_the_upload(waits_for):
    responded, ended = trio.Event(), trio.Event()

    async def upload(rest):
        with pytest.raises(exceptions.ConnectionFailedError):
            while await rest.read():
                if waits_for == "response":
                    await responded.wait()
        ended.set()

    async with trio.open_nursery() as nursery:

        async def handler(raw):
            nursery.start_soon(upload, raw.rest)
            await trio.testing.wait_all_tasks_blocked()
            return _response()

        async with _server(handler) as (stream, _):
            await stream.send_all(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"
                + b"x" * 200_000
            )
            assert (await stream.receive_some(1000)).startswith(b"HTTP/1.1 200")
            responded.set()
            await ended.wait()
            # The rest is discarded, so that no reset drops the response.
            await stream.send_all(b"x" * 100_000)
            assert await stream.receive_some(1000) == b""


async def test_a_stop_completes_the_request_and_closes_the_connection():
    reply = mailbox.Reply()

    async def handler(raw):
        return await reply.wait()

    async with _server(handler) as (stream, server):
        await stream.send_all(REQUEST % 1)
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.close)
            await trio.sleep(0.05)
            reply.put(_response())
        received = b""
        while data := await stream.receive_some(1000):
            received += data
    assert received.startswith(b"HTTP/1.1 200") and received.endswith(b"ok")
    assert b"connection: close" in received


# Guards against a pipelined request that gets no answer: it had been read when
# the connection between it and its predecessor counted as idle.
async def test_a_stop_between_pipelined_requests_serves_the_second_one():
    started = trio.Event()
    reply = mailbox.Reply()

    async def handler(raw):
        if raw.target == "/2":
            return _response(b"second")
        started.set()
        return await reply.wait()

    async with _server(handler) as (stream, server):
        await stream.send_all(REQUEST % 1 + REQUEST % 2)
        await started.wait()
        await trio.testing.wait_all_tasks_blocked()
        # The connection's task has not run since its first response.
        reply.put(_response(b"first"))
        (connection,) = server._connections
        connection.stop()
        received = await loopback.receive_until_end(stream)
    assert received.index(b"first") < received.index(b"connection: close")
    assert received.endswith(b"second")


async def test_responses_announce_how_long_the_connection_may_stay_idle():
    async def handler(raw):
        return _response()

    async with _server(handler) as (stream, _):
        await stream.send_all(REQUEST % 1)
        assert b"keep-alive: timeout=60\r\n" in await stream.receive_some(1000)
        await stream.send_all(
            b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        )
        received = await stream.receive_some(1000)
        assert b"connection: close" in received
        assert b"keep-alive" not in received


async def test_an_exception_of_the_handler_closes_the_connection():
    reply = mailbox.Reply()

    async def handler(raw):
        await reply.wait()
        raise ValueError("a fault of the test")

    async with _server(handler) as (stream, _):
        await stream.send_all(REQUEST % 1)
        await trio.sleep(0.05)
        reply.put(None)
        assert await stream.receive_some(100) == b""


async def _reset(stream):
    stream.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    await trio.aclose_forcefully(stream)


# Guards against an upload that is taken for one that the upstream broke off: it
# then goes on waiting for the rest of a request whose caller has gone.
async def test_a_reset_during_an_upload_fails_the_read_of_the_body():
    upload_started = trio.Event()
    failures = []

    async def handler(raw):
        upload_started.set()
        try:
            while await raw.rest.read():
                pass
        except Exception as error:
            failures.append(error)
        return _response()

    async with _server(handler) as (stream, server):
        await stream.send_all(b"POST / HTTP/1.1\r\nHost: h\r\n")
        await stream.send_all(b"Content-Length: 999999\r\n\r\n" + b"a" * 99999)
        await upload_started.wait()
        await _reset(stream)
        while server.connections:
            await trio.sleep(0.01)
    (failure,) = failures
    assert isinstance(failure, exceptions.ConnectionFailedError)


# Guards against work for a caller that has gone: once an upload had ended
# before the body did, its connection counted as one that is being read.
async def test_a_disconnect_after_an_upload_was_cancelled_ends_the_request():
    answered = trio.Event()
    body = _StalledBody()

    async def handler(raw):
        size = len(raw.body)
        while size < 99999:
            size += len(await raw.rest.read())
        # The response comes while the upload waits for more of the body.
        with trio.move_on_after(0.05):
            await raw.rest.read()
        answered.set()
        return _response(b"x" * 100, body)

    async with _server(handler) as (stream, _):
        await stream.send_all(b"POST / HTTP/1.1\r\nHost: h\r\n")
        await stream.send_all(b"Content-Length: 999999\r\n\r\n" + b"a" * 99999)
        await answered.wait()
        await stream.receive_some(1000)
        await stream.aclose()
        await body.closed.wait()
