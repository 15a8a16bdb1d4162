"""The server for callers: stops, limits and faults beside open responses."""

import contextlib
import dataclasses
import socket

import pytest
import trio

from sassafrashall import configuration
from sassafrashall import connection_log
from sassafrashall import model
from sassafrashall.transport import stream_server
from tests import fakes
from tests import loopback

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class _Served:
    """A server with a handler, and limits that can be replaced."""

    def __init__(self, handler, counters=None, **limits):
        self.limits = dataclasses.replace(configuration.Limits(), **limits)
        self.address = loopback.free_address()
        self.server = stream_server.Server(
            address=self.address,
            handler=handler,
            source=model.Source.CALLER,
            limits=lambda: self.limits,
            log=connection_log.ConnectionLog(
                place="callers", counters=counters
            ),
        )

    @property
    def connection(self):
        (connection,) = self.server._connections
        return connection


@contextlib.asynccontextmanager
async def _open(served):
    async with loopback.running(served.server):
        stream = await trio.open_tcp_stream(
            served.address.host, served.address.port
        )
        with trio.fail_after(8):
            yield stream


def _response(body=b"ok", rest=None):
    return model.Response(status=200, headers=(), body=body, rest=rest)


async def _answer(raw):
    return _response()


# Guards against a stop that waits for the idle timeout of each connection on
# which the head of a streamed response had been sent before the stop.
async def test_a_stop_closes_a_connection_after_a_streamed_response():
    rest = fakes.HeldRest()

    async def handler(raw):
        return _response(b"x" * 100, rest)

    served = _Served(handler, idle_timeout_s=60.0)
    async with _open(served) as stream:
        await stream.send_all(REQUEST)
        assert await stream.receive_some(1000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(served.server.close)
            await trio.sleep(0.1)
            rest.released.set()
            with trio.fail_after(3):
                while await stream.receive_some(1000):
                    pass
            nursery.cancel_scope.cancel()


# Guards against a stop that waits for the idle timeout of a connection on which
# an empty line was read in the same turn.
async def test_a_stop_closes_a_connection_that_sent_an_empty_line():
    served = _Served(_answer, idle_timeout_s=60.0)
    async with _open(served) as stream:
        await stream.send_all(REQUEST)
        assert await stream.receive_some(1000)
        # Without a turn of the event loop, so that the server has not read it.
        stream.socket._sock.send(b"\r\n")
        served.connection.stop()
        with trio.fail_after(3):
            assert await stream.receive_some(1000) == b""


# Guards against a connection that stays open for ever since its caller reads
# nothing, and that a stop waits for.
async def test_a_caller_that_reads_nothing_and_sends_garbage_is_disconnected(
    monkeypatch,
):
    served = _Served(_answer, idle_timeout_s=0.3)
    async with _open(served) as stream:
        await stream.send_all(REQUEST)
        assert await stream.receive_some(1000)

        async def send(data):
            # The buffers of the connection are full.
            await trio.sleep_forever()

        monkeypatch.setattr(served.connection._stream, "send", send)
        await stream.send_all(b"garbage\r\n\r\n")
        with trio.fail_after(4):
            while served.server.connections:
                await trio.sleep(0.1)


# Guards against a close of a connection before the time that its response has
# announced.
async def test_the_announced_time_is_kept_after_a_shorter_configuration():
    rest = fakes.HeldRest()

    async def handler(raw):
        return _response(b"x" * 100, rest)

    served = _Served(handler, idle_timeout_s=10.0)
    async with _open(served) as stream:
        await stream.send_all(REQUEST)
        assert b"keep-alive: timeout=8" in await stream.receive_some(1000)
        served.limits = dataclasses.replace(served.limits, idle_timeout_s=0.5)
        await trio.sleep(0.1)
        rest.released.set()
        received = b""
        with trio.move_on_after(3):
            while data := await stream.receive_some(1000):
                received += data
            pytest.fail("closed before the announced time")


# Guards against the end of all connections by an error of one body.
async def test_an_error_of_a_streamed_body_ends_only_its_connection():
    rest = fakes.HeldRest(ValueError("an error of the body"))
    rest.released.set()

    async def handler(raw):
        return _response(b"x" * 100, rest)

    served = _Served(handler)
    async with _open(served) as stream:
        await stream.send_all(REQUEST)
        while await stream.receive_some(1000):
            pass
        assert await loopback.send_and_receive(served.address, REQUEST)


# Guards against rejected requests that are counted as unanswered.
async def test_a_rejected_body_does_not_count_as_unanswered():
    counters = fakes.counters()
    served = _Served(_answer, counters=counters, body_bytes=10)
    async with _open(served) as stream:
        await stream.send_all(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"14\r\n" + b"x" * 20 + b"\r\n0\r\n\r\n"
        )
        received = b""
        while data := await stream.receive_some(1000):
            received += data
        assert received.startswith(b"HTTP/1.1 413")
        await trio.sleep(0.05)
    text = counters.render()[1].decode()
    assert 'unanswered="true"' not in text


# Guards against requests on new connections that are reset unread by a stop,
# since they wait in the backlog of the listener.
async def test_a_stop_serves_the_connections_in_the_backlog():
    served = _Served(_answer)
    async with trio.open_nursery() as nursery:
        await served.server.start(nursery)
        await trio.sleep(0.05)
        clients = []
        for _ in range(20):
            client = socket.create_connection(
                (served.address.host, served.address.port), timeout=5
            )
            client.sendall(REQUEST)
            clients.append(client)
        with trio.fail_after(5):
            await served.server.close()
            received = await loopback.receive_until_closed(clients)
        nursery.cancel_scope.cancel()
    answered = sum(data.startswith(b"HTTP/1.1 200") for data in received)
    assert answered == 20
