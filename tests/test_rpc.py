import contextlib
import os
import socket
import time

import pytest
import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.transport import codec
from sassafrashall.transport import frames
from sassafrashall.transport import rpc
from tests import fakes
from tests import loopback


def _new_server(address, handler, log=None):
    return rpc.RpcServer(
        address=address,
        handler=handler,
        secrets={"p": rpc.Caller.PROCESS, "o": rpc.Caller.OPERATOR},
        hybrid_clock=clock.HybridClock(),
        log=log,
    )


@contextlib.asynccontextmanager
async def _server(handler):
    address = loopback.free_address()
    server = _new_server(address, handler)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        yield address
        await server.close()
        nursery.cancel_scope.cancel()


def _client(address: model.Address, secret="p"):
    return rpc.RpcClient(
        address=address, secret=secret, hybrid_clock=clock.HybridClock()
    )


async def _pong(message, caller):
    return protocol.Pong(majority_age=1.5)


async def test_the_secret_identifies_the_kind_of_caller():
    callers = []

    async def handler(message, caller):
        callers.append(caller)
        return protocol.Ack()

    async with _server(handler) as address:
        for secret in ("p", "o"):
            client = _client(address, secret)
            assert await client.call(protocol.Ping(), 2.0) == protocol.Ack()
            client.close()
        wrong = _client(address, "x")
        with pytest.raises(exceptions.RpcError, match="unauthenticated"):
            await wrong.call(protocol.Ping(), 2.0)
        wrong.close()
    assert callers == [rpc.Caller.PROCESS, rpc.Caller.OPERATOR]


async def test_an_error_code_is_returned_to_the_caller():
    async def handler(message, caller):
        raise exceptions.ProtocolError("bad_request", "not so")

    async with _server(handler) as address:
        client = _client(address)
        with pytest.raises(exceptions.RpcError, match="bad_request: not so"):
            await client.call(protocol.Ping(), 2.0)
        client.close()


async def test_a_silent_connection_is_replaced_after_one_timeout(nursery):
    async with _server(_pong) as address:
        relay = loopback.SilentRelay(address)
        await relay.start(nursery)
        client = _client(relay.address)
        await client.call(protocol.Ping(), 2.0)
        relay.silence()
        with pytest.raises(exceptions.RpcError, match="deadline"):
            await client.call(protocol.Ping(), 0.3)
        with trio.fail_after(1.0):
            reply = await client.call(protocol.Ping(), 1.0)
        assert reply == protocol.Pong(majority_age=1.5)
        client.close()


async def test_a_call_synchronizes_the_hybrid_clocks():
    async with _server(_pong) as address:
        hybrid = clock.HybridClock()
        ahead = clock.HybridTime(physical_ms=hybrid.now().physical_ms + 5000)
        hybrid.observe(ahead)
        client = rpc.RpcClient(address=address, secret="p", hybrid_clock=hybrid)
        await client.call(protocol.Ping(), 2.0)
        assert hybrid.last > ahead
        client.close()


async def test_a_refused_connection_fails_within_the_timeout():
    client = _client(loopback.free_address())
    with trio.fail_after(1.5), pytest.raises(exceptions.RpcError):
        await client.call(protocol.Ping(), 1.0)
    client.close()


async def test_a_large_message_is_compressed():
    """Counts the bytes of a repetitive message in both directions."""
    text = b'{"host": "h.example", "prefix": "/a/"},' * 4000
    received = []

    async def handle(message, caller):
        received.append(message.command)
        return protocol.CommandResult(result=message.command)

    async with _server(handle) as address, trio.open_nursery() as nursery:
        relay = loopback.SilentRelay(target=address)
        await relay.start(nursery)
        client = _client(relay.address)
        answer = await client.call(protocol.SubmitCommand(command=text), 5.0)
        assert answer.result == text and received == [text]
        assert relay.bytes_forwarded < 2 * len(text) / 5
        client.close()
        nursery.cancel_scope.cancel()


_CONNECTIONS = 20
_IDENTIFY = frames.encode(frames.Identify(secret="p"))
_CALL = frames.encode(
    frames.RemoteCall(
        stamp=codec.format_time(clock.HybridClock().now()),
        compressed=False,
        data=codec.encode(protocol.Ping()),
    )
)


@contextlib.asynccontextmanager
async def _kept_connections():
    """Serves calls on connections that have each had a reply.

    Yields the server, the connections, and a list to which each call is added
    that the handler completes from then on.
    """
    completed = []

    async def handler(message, caller):
        await trio.sleep(0.05)
        completed.append(message)
        return protocol.Ack()

    address = loopback.free_address()
    server = _new_server(address, handler)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        connections = await loopback.open_sockets(address, _CONNECTIONS)
        loopback.send_now(connections, _IDENTIFY + _CALL)

        def receive():
            for connection in connections:
                assert connection.recv(65536)

        await trio.to_thread.run_sync(receive)
        completed.clear()
        yield server, connections, completed
        nursery.cancel_scope.cancel()


def _assert_all_answered(received):
    for data in received:
        (reply,) = frames.FrameBuffer().feed(data)
        assert isinstance(reply, frames.RemoteReply)


@pytest.mark.parametrize("turns", range(3))
@pytest.mark.parametrize("sent", [len(_CALL), 3, len(_CALL) - 1])
async def test_a_call_that_has_arrived_before_a_stop_is_answered(turns, sent):
    """Guards against a stop that closes connections with unread calls.

    A call was passed to the handler and cancelled, or left unread, if its bytes
    were in the socket or incomplete at the stop.
    """
    async with _kept_connections() as (server, connections, completed):
        loopback.send_now(connections, _CALL[:sent])
        async with trio.open_nursery() as nursery:
            for _ in range(turns):
                await trio.lowlevel.checkpoint()
            nursery.start_soon(server.close)
            for connection in list(server._connections):
                connection.stop()
            await trio.sleep(0.1)
            loopback.send_now(connections, _CALL[sent:])
            received = await loopback.receive_until_closed(connections)
    _assert_all_answered(received)
    assert len(completed) == _CONNECTIONS


async def test_a_call_that_follows_its_secret_after_a_stop_is_answered():
    """Guards against a stop between the two frames that open a connection."""
    async with _kept_connections() as (server, connections, completed):
        loopback.send_now(connections, _IDENTIFY)
        await trio.sleep(0.05)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.close)
            await trio.sleep(0.05)
            loopback.send_now(connections, _CALL)
            received = await loopback.receive_until_closed(connections)
    _assert_all_answered(received)


async def test_an_incomplete_call_delays_a_stop_by_the_grace_period(
    monkeypatch,
):
    monkeypatch.setattr(rpc, "STOP_GRACE", 0.2)
    async with _kept_connections() as (server, connections, completed):
        loopback.send_now(connections, _CALL[:-1])
        await trio.sleep(0.05)
        with trio.fail_after(2):
            await server.close()
        received = await loopback.receive_until_closed(connections)
    assert received == [b""] * _CONNECTIONS


@pytest.mark.parametrize("after_poll", [False, True])
async def test_a_call_that_arrives_before_a_late_timeout_is_answered(
    monkeypatch, after_poll
):
    """Guards against a timeout that closes connections with unread calls.

    After a stall of the event loop, the input and the end of the wait for it
    are handled in the same turn.
    """
    monkeypatch.setattr(rpc, "SERVER_IDLE_TIMEOUT", 0.4)
    async with _kept_connections() as (server, connections, completed):
        if after_poll:
            loopback.SendAfterPoll(
                connections, _CALL, at=trio.current_time() + 0.5
            )
        else:
            loopback.send_now(connections, _CALL)
        time.sleep(0.6)
        received = await loopback.receive_until_closed(connections)
    _assert_all_answered(received)
    assert len(completed) == _CONNECTIONS


@pytest.mark.parametrize(
    ("data", "closure"),
    [
        (b"", ("idle_timeout", False)),
        (_IDENTIFY + _CALL, ("idle_timeout", False)),
        (_IDENTIFY + _CALL * 2, ("idle_timeout", False)),
        (b"\xff" * 20, ("bad_input", False)),
    ],
)
async def test_the_end_of_a_connection_is_logged(monkeypatch, data, closure):
    monkeypatch.setattr(rpc, "SERVER_IDLE_TIMEOUT", 0.1)
    log = fakes.ConnectionLog()
    address = loopback.free_address()
    async with trio.open_nursery() as nursery:
        await _new_server(address, _pong, log).start(nursery)
        await loopback.send_and_receive(address, data)
        nursery.cancel_scope.cancel()
    assert [(c.reason, c.unanswered) for c in log.closures] == [closure]


async def test_a_call_cut_off_at_the_end_of_the_grace_period_is_logged(
    monkeypatch,
):
    monkeypatch.setattr(rpc, "STOP_GRACE", 0.1)
    log = fakes.ConnectionLog()
    address = loopback.free_address()

    async def wait(message, caller):
        await trio.sleep(30)

    server = _new_server(address, wait, log)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        connections = await loopback.open_sockets(address, 2)
        loopback.send_now(connections[:1], _IDENTIFY + _CALL)
        await trio.sleep(0.05)
        await server.close()
        await loopback.receive_until_closed(connections)
    assert sorted((c.reason, c.unanswered) for c in log.closures) == [
        ("process_end", True),
        ("stop", False),
    ]


@contextlib.contextmanager
def _manual_peer():
    """Yields a client, and a function that accepts its next connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        client = _client(model.Address(host=host, port=port))

        async def accept():
            peer, _ = await trio.to_thread.run_sync(listener.accept)
            peer.settimeout(5)
            await trio.to_thread.run_sync(peer.recv, 65536)
            return peer

        yield client, accept
        client.close()


def _encode_reply(message):
    return frames.encode(
        frames.RemoteReply(
            stamp=codec.format_time(clock.HybridClock().now()),
            compressed=False,
            data=codec.encode(message),
        )
    )


@pytest.mark.parametrize("length", [0, 100_000])
async def test_a_reply_that_arrives_before_a_late_timeout_is_returned(length):
    """Guards against a reply that is dropped although it has arrived.

    After a stall of the event loop, the timeout ended the wait for bytes that
    were in the socket. The caller then gave up a control that had answered.
    """
    result = os.urandom(length)
    reply = protocol.CommandResult(result=result)
    replies = []
    with _manual_peer() as (client, accept):

        async def call():
            replies.append(await client.call(protocol.Ping(), 0.3))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            peer = await accept()
            loopback.SendAfterPoll(
                [peer], _encode_reply(reply), at=trio.current_time() + 0.4
            )
            time.sleep(0.5)
        peer.close()
    assert replies == [reply]


@pytest.mark.parametrize("resets", [False, True])
async def test_a_call_on_a_connection_that_is_being_closed_is_reported(resets):
    """A client can't know whether the server has read the call."""
    with _manual_peer() as (client, accept):
        errors = []

        async def call():
            try:
                await client.call(protocol.Ping(), 2.0)
            except exceptions.RpcError as error:
                errors.append(str(error))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            peer = await accept()
            loopback.send_now([peer], _encode_reply(protocol.Ack()))
        assert not errors
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            # The call is sent in this turn.
            await trio.lowlevel.checkpoint()
            await trio.lowlevel.checkpoint()
            if not resets:
                await trio.to_thread.run_sync(peer.recv, 65536)
            peer.close()
    assert len(errors) == 1 and "unavailable" in errors[0]
