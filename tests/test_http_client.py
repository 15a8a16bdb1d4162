import socket

import pytest
import trio
import trio.testing

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import http
from sassafrashall.transport import http_client
from tests import loopback


def _request(method="GET", body=b""):
    return http.RawRequest(
        method=method,
        target="/x",
        headers=(("host", "a"),),
        body=body,
        source=model.Source.CALLER,
        received_at=0.0,
    )


async def _start_scripted_peer(nursery, reply, *, read=True):
    """Starts a peer that sends fixed bytes on each connection.

    Returns:
      Its address, and the list of what it has received.
    """
    address = loopback.free_address()
    received = []

    async def handle(stream):
        if read:
            received.append(await stream.receive_some(65536))
        await stream.send_all(reply)
        if reply.endswith(b"..."):
            return
        received.append(await stream.receive_some(65536))
        await trio.sleep(30)

    listeners = await trio.open_tcp_listeners(address.port, host=address.host)
    nursery.start_soon(trio.serve_listeners, handle, listeners)
    return address, received


async def test_a_truncated_response_is_a_failure(nursery):
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart..."
    address, _ = await _start_scripted_peer(nursery, reply)
    connection = await loopback.connect(address)
    with pytest.raises(exceptions.ConnectionFailedError) as caught:
        await connection.exchange(_request())
    assert caught.value.maybe_delivered


@pytest.mark.parametrize("status", [b"600", b"999"])
async def test_a_number_that_is_no_status_is_a_failure(nursery, status):
    reply = b"HTTP/1.1 %b X\r\nContent-Length: 2\r\n\r\nok" % status
    address, _ = await _start_scripted_peer(nursery, reply)
    connection = await loopback.connect(address)
    with pytest.raises(exceptions.ConnectionFailedError) as caught:
        await connection.exchange(_request())
    assert caught.value.maybe_delivered


async def test_the_body_is_not_sent_to_a_peer_that_does_not_confirm(nursery):
    address, received = await _start_scripted_peer(nursery, b"")
    connection = await loopback.connect(address)
    with pytest.raises(exceptions.ConnectionFailedError) as caught:
        await connection.exchange(_request("POST", b"body"), confirm=True)
    assert caught.value.unresponsive and not caught.value.maybe_delivered
    await connection.close()
    await trio.sleep(0.05)
    assert b"body" not in b"".join(received) and b"0\r\n\r\n" not in received[0]


async def test_the_body_is_sent_to_a_peer_that_confirms():
    async def echo(raw):
        return model.Response(status=200, headers=(), body=raw.body)

    async with loopback.serve(echo, model.Source.PEER) as (address, _):
        connection = await loopback.connect(address)
        response = await connection.exchange(
            _request("POST", b"body"), confirm=True, expect_progress=True
        )
        assert response.body == b"body"
        assert connection.reusable


async def test_a_slow_peer_that_sends_progress_does_not_time_out():
    async def slow(raw):
        await trio.sleep(http_client.PROGRESS_TIMEOUT * 1.6)
        return model.Response(status=200, headers=(), body=b"late")

    async with loopback.serve(slow, model.Source.PEER) as (address, _):
        connection = await loopback.connect(address)
        response = await connection.exchange(_request(), expect_progress=True)
    assert response.body == b"late"


async def test_a_silent_connection_is_detected(nursery):
    async def slow(raw):
        await trio.sleep(30)

    async with loopback.serve(slow, model.Source.PEER) as (address, _):
        relay = loopback.SilentRelay(address)
        await relay.start(nursery)
        connection = await loopback.connect(relay.address)
        await trio.sleep(0.05)
        relay.silence()
        with trio.fail_after(2 * http_client.PROGRESS_TIMEOUT):
            with pytest.raises(exceptions.ConnectionFailedError) as caught:
                await connection.exchange(_request(), expect_progress=True)
    assert caught.value.unresponsive and caught.value.maybe_delivered


async def test_a_connection_closed_by_the_peer_is_not_reused():
    async def echo(raw):
        return model.Response(status=200, headers=(), body=b"")

    async with loopback.serve(echo) as (address, server):
        connection = await loopback.connect(address)
        await connection.exchange(_request())
        assert connection.reusable
        await server.close()
        await trio.sleep(0.05)
        assert not connection.reusable


@pytest.mark.parametrize("confirm", [False, True])
async def test_a_peer_that_responds_before_a_late_timeout_is_not_silent(
    mock_clock, confirm
):
    """Guards against a response that is dropped although it has arrived.

    After a stall of the event loop, the timeout ended the wait for bytes that
    were in the socket.
    """
    timeout = max(http_client.PROGRESS_TIMEOUT, http_client.CONTINUE_TIMEOUT)
    responses = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        connection = await loopback.connect(model.Address(host=host, port=port))
        peer, _ = listener.accept()

        async def exchange():
            responses.append(
                await connection.exchange(
                    _request("POST", b"body"),
                    confirm=confirm,
                    expect_progress=True,
                )
            )

        with peer:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(exchange)
                await trio.testing.wait_all_tasks_blocked(0.01)
                loopback.SendAfterPoll(
                    [peer],
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                    at=trio.current_time() + timeout,
                )
                mock_clock.jump(timeout + 1.0)
        await connection.close()
    assert [response.body for response in responses] == [b"ok"]
