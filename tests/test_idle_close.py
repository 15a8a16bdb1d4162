"""Closes of idle connections beside requests that have just arrived."""

import contextlib
import dataclasses
import socket
import time

import pytest
import trio

from sassafrashall import configuration
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.transport import stream_server
from tests import loopback

CONNECTIONS = 30
IDLE_TIMEOUT = 0.3  # seconds
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


class _Server:
    """A server whose requests wait in `pending` after the first ones."""

    def __init__(self, *, limits):
        self.limits = limits
        self.address = loopback.free_address()
        self.pending = []
        self.holds = False
        self.server = stream_server.Server(
            address=self.address,
            handler=self._handle,
            source=model.Source.CALLER,
            limits=lambda: self.limits,
        )

    async def _handle(self, raw):
        reply = mailbox.Reply()
        if self.holds:
            self.pending.append(reply)
            return await reply.wait()
        return _response()

    def stop_connections(self):
        for connection in list(self.server._connections):
            connection.stop()

    def answer_all(self):
        for reply in self.pending:
            reply.put(_response())


def _response():
    return model.Response(status=200, headers=(), body=b"ok")


@contextlib.asynccontextmanager
async def _kept_connections():
    """Yields a server and connections on which a request was served."""
    limits = dataclasses.replace(
        configuration.Limits(), idle_timeout_s=IDLE_TIMEOUT
    )
    served = _Server(limits=limits)
    async with trio.open_nursery() as nursery:
        await served.server.start(nursery)
        sockets = []
        for _ in range(CONNECTIONS):
            client = socket.create_connection(
                (served.address.host, served.address.port)
            )
            client.sendall(REQUEST)
            client.settimeout(2.0)
            sockets.append(client)
        for client in sockets:
            assert await trio.to_thread.run_sync(client.recv, 4096)
        served.holds = True
        with trio.fail_after(5):
            yield served, sockets
        for client in sockets:
            client.close()
        nursery.cancel_scope.cancel()


async def _count_answered(sockets) -> int:
    def receive(client):
        try:
            return client.recv(4096)
        except OSError:
            return b""

    answered = 0
    for client in sockets:
        data = await trio.to_thread.run_sync(receive, client)
        answered += data.startswith(b"HTTP/1.1 200")
    return answered


def _send_on_all(sockets):
    for client in sockets:
        client.sendall(REQUEST)


# Guards against requests that are passed on while their connection is closed
# as idle, because the event loop stood still when the idle timeout passed.
@pytest.mark.parametrize("round_number", range(6))
async def test_a_late_idle_check_closes_no_connection_with_a_request(
    round_number,
):
    async with _kept_connections() as (served, sockets):
        await trio.sleep(0.05)
        _send_on_all(sockets)
        time.sleep(IDLE_TIMEOUT + 0.1)
        await trio.sleep(0.1)
        served.answer_all()
        assert len(served.pending) == CONNECTIONS
        assert await _count_answered(sockets) == CONNECTIONS


# Guards against requests that are passed on while their connection is closed
# as idle, because the listener stopped in the same turn of the event loop.
@pytest.mark.parametrize("round_number", range(6))
async def test_a_stop_closes_no_connection_with_a_request(round_number):
    async with _kept_connections() as (served, sockets):
        _send_on_all(sockets)
        # The connections' tasks are scheduled, before or after this one.
        await trio.lowlevel.checkpoint()
        served.stop_connections()
        await trio.sleep(0.1)
        assert len(served.pending) == CONNECTIONS
        served.answer_all()
        assert await _count_answered(sockets) == CONNECTIONS


# Guards against a close of kept connections after a configuration with a longer
# idle timeout, which callers count on as soon as it is in force.
async def test_a_longer_idle_timeout_applies_to_open_connections():
    async with _kept_connections() as (served, sockets):
        served.limits = dataclasses.replace(
            served.limits, idle_timeout_s=10 * IDLE_TIMEOUT
        )
        await trio.sleep(IDLE_TIMEOUT + 3 * stream_server.SWEEP_INTERVAL)
        _send_on_all(sockets)
        await trio.sleep(0.1)
        served.answer_all()
        assert await _count_answered(sockets) == CONNECTIONS


async def test_a_shorter_idle_timeout_applies_after_the_next_response():
    async with _kept_connections() as (served, sockets):
        served.holds = False
        served.limits = dataclasses.replace(
            served.limits, idle_timeout_s=IDLE_TIMEOUT / 3
        )
        _send_on_all(sockets)
        assert await _count_answered(sockets) == CONNECTIONS
        await trio.sleep(2 * stream_server.SWEEP_INTERVAL)
        assert served.server.connections == 0


# Guards against a connection that is accepted just before a stop, is missed by
# it, and passes requests on while the rest of the process ends.
@pytest.mark.parametrize("round_number", range(6))
async def test_a_stop_ends_a_connection_whose_task_has_not_run_yet(
    round_number,
):
    served = _Server(limits=configuration.Limits())
    async with trio.open_nursery() as nursery:
        await served.server.start(nursery)
        accepting = await trio.open_tcp_listeners(0, host="127.0.0.1")
        client = await trio.open_tcp_stream(*accepting[0].socket.getsockname())
        served.server._on_accept(await accepting[0].accept())
        with trio.fail_after(1):
            await served.server.close()
            assert await client.receive_some(1) == b""
        await client.aclose()
        await accepting[0].aclose()
        nursery.cancel_scope.cancel()
