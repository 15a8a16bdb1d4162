"""Connections of callers: what goes on while a request is in progress."""

import contextlib

import trio

from sassafrashall import configuration
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.transport import stream_server
from tests import loopback

REQUEST = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"


class _Body:
    """The rest of a long answer that never goes on."""

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


async def test_a_caller_that_leaves_ends_a_long_answer():
    body = _Body()

    async def handler(raw):
        return _response(b"x" * 100, body)

    async with _server(handler) as (stream, _):
        await stream.send_all(REQUEST % 1)
        await stream.receive_some(1000)
        await stream.aclose()
        with trio.fail_after(0.5):
            await body.closed.wait()


async def test_a_caller_that_leaves_abandons_what_its_request_waits_for():
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


async def test_a_request_sent_ahead_waits_for_the_answer_before_it():
    replies = {"/1": mailbox.Reply(), "/2": mailbox.Reply()}

    async def handler(raw):
        return await replies[raw.target].wait()

    async with _server(handler) as (stream, _):
        await stream.send_all(REQUEST % 1 + REQUEST % 2)
        await trio.sleep(0.05)
        replies["/2"].put(_response(b"second"))
        replies["/1"].put(_response(b"first"))
        seen = b""
        while b"second" not in seen:
            seen += await stream.receive_some(1000)
        assert seen.index(b"first") < seen.index(b"second")


async def test_an_answer_larger_than_the_socket_takes_is_whole():
    body = bytes(range(256)) * 32768

    async def handler(raw):
        return _response(body)

    async with _server(handler) as (stream, _):
        for number in (1, 2):
            await stream.send_all(REQUEST % number)
            seen = b""
            while len(seen) < len(body):
                seen += await stream.receive_some(65536)
            assert seen.endswith(body[-1000:])


async def test_a_stop_sends_the_answer_that_is_due_and_then_ends():
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
        seen = b""
        while data := await stream.receive_some(1000):
            seen += data
    assert seen.startswith(b"HTTP/1.1 200") and seen.endswith(b"ok")
    assert b"connection: close" in seen


async def test_a_fault_of_the_handler_ends_the_connection():
    reply = mailbox.Reply()

    async def handler(raw):
        await reply.wait()
        raise ValueError("a fault of the test")

    async with _server(handler) as (stream, _):
        await stream.send_all(REQUEST % 1)
        await trio.sleep(0.05)
        reply.put(None)
        assert await stream.receive_some(100) == b""
