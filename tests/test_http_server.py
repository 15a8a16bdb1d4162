import pytest
import trio
import trio.testing

from sassafrashall import model
from sassafrashall.transport import http
from sassafrashall.transport import http_server
from tests import fakes
from tests import loopback


async def _echo(raw: http.RawRequest) -> model.Response:
    return model.Response(
        status=200, headers=(("x-target", raw.target),), body=raw.body
    )


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nBad Header: x\r\n\r\n", b"400"),
        (b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", b"431"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
            b"400",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\n"
            + b"b" * (http_server.BODY_LIMIT + 1),
            b"413",
        ),
    ],
)
async def test_invalid_input_gets_an_error_and_a_close(data, status):
    async with loopback.serve(_echo) as (address, _):
        answer = await loopback.send_and_receive(address, data)
    assert answer.startswith(b"HTTP/1.1 " + status)
    assert b"connection: close" in answer.lower()
    assert answer.lower().count(b"http/1.1 ") == 1


async def test_pipelined_requests_are_answered_in_order():
    data = (
        b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
    )
    async with loopback.serve(_echo) as (address, _):
        answer = await loopback.send_and_receive(address, data)
    assert answer.index(b"x-target: /1") < answer.index(b"x-target: /2")


async def test_a_disconnect_cancels_the_request():
    events = []

    async def slow(raw):
        events.append("began")
        try:
            await trio.sleep(30)
        finally:
            events.append("ended")

    async with loopback.serve(slow) as (address, _):
        stream = await trio.open_tcp_stream(address.host, address.port)
        await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await trio.sleep(0.1)
        await stream.aclose()
        await trio.sleep(0.1)
        assert events == ["began", "ended"]


async def test_close_finishes_the_request_in_progress():
    async def slow(raw):
        await trio.sleep(0.3)
        return model.Response(status=200, headers=(), body=b"whole")

    received = []
    async with loopback.serve(slow) as (address, server):

        async def call():
            request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
            received.append(await loopback.send_and_receive(address, request))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            nursery.start_soon(loopback.connect, address)
            await trio.sleep(0.1)
            with trio.fail_after(2):
                await server.close()
    assert received[0].endswith(b"whole")
    assert b"connection: close" in received[0].lower()


async def test_a_draining_server_closes_connections_after_the_response():
    async with loopback.serve(_echo) as (address, server):
        server.drain()
        answer = await loopback.send_and_receive(
            address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        )
    assert b"connection: close" in answer.lower()


@pytest.mark.parametrize(
    ("method", "status", "body"),
    [("HEAD", 200, b"abc"), ("GET", 204, b""), ("GET", 304, b"")],
)
async def test_responses_without_a_body(method, status, body):
    async def bare(raw):
        headers = (("x-kept", "1"), ("content-length", "3"))
        return model.Response(status=status, headers=headers, body=body)

    data = f"{method} / HTTP/1.1\r\nHost: a\r\n\r\n".encode() * 2
    async with loopback.serve(bare) as (address, _):
        answer = await loopback.send_and_receive(address, data)
    assert answer.count(b"x-kept: 1") == 2
    assert answer.endswith(b"\r\n\r\n")


_CONNECTIONS = 20
_REQUEST = b"PUT /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"


async def _open_kept_connections(address):
    """Opens connections that have each had one response."""
    connections = await loopback.open_sockets(address, _CONNECTIONS)
    loopback.send_now(connections, b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")

    def receive():
        for connection in connections:
            assert b"x-target: /1" in connection.recv(65536)

    await trio.to_thread.run_sync(receive)
    return connections


def _handler(ended):
    async def handle(raw):
        if raw.target == "/2":
            await trio.sleep(0.05)
        ended.append(raw.target)
        return await _echo(raw)

    return handle


def _assert_all_answered(received):
    for data in received:
        assert b"x-target: /2" in data and data.endswith(b"body")


@pytest.mark.parametrize("turns", range(4))
@pytest.mark.parametrize("sent", [len(_REQUEST), 5, len(_REQUEST) - 2])
async def test_a_request_that_has_arrived_before_a_stop_is_answered(
    monkeypatch, turns, sent
):
    """Guards against a stop that closes connections with unread requests.

    A request was passed to its handler and cancelled, or left unread, if its
    bytes were in the socket, in the queue or incomplete at the stop.
    """
    monkeypatch.setattr(http_server, "STOP_GRACE", 30.0, raising=False)
    ended = []
    async with loopback.serve(_handler(ended)) as (address, server):
        connections = await _open_kept_connections(address)
        loopback.send_now(connections, _REQUEST[:sent])
        async with trio.open_nursery() as nursery:
            for _ in range(turns):
                await trio.lowlevel.checkpoint()
            nursery.start_soon(server.close)
            for connection in list(server._connections):
                connection.stop()
            await trio.sleep(0.1)
            loopback.send_now(connections, _REQUEST[sent:])
            received = await loopback.receive_until_closed(connections)
    _assert_all_answered(received)
    for data in received:
        assert b"connection: close" in data
    assert ended.count("/2") == _CONNECTIONS


async def test_a_stop_does_not_wait_for_an_incomplete_request(monkeypatch):
    """Guards against a stop that a client delays by half a request."""
    monkeypatch.setattr(http_server, "STOP_GRACE", 0.2)
    async with loopback.serve(_echo) as (address, server):
        connections = await _open_kept_connections(address)
        loopback.send_now(connections, _REQUEST[:-1])
        await trio.sleep(0.05)
        with trio.fail_after(5):
            await server.close()
        received = await loopback.receive_until_closed(connections)
    assert received == [b""] * _CONNECTIONS


@pytest.mark.parametrize("after_poll", [False, True])
@pytest.mark.parametrize("begun", [0, len(_REQUEST) - 2])
async def test_a_request_that_arrives_before_a_late_timeout_is_answered(
    mock_clock, after_poll, begun
):
    """Guards against a timeout that closes connections with unread requests.

    After a stall of the event loop, the input and the end of the wait for it
    are handled in the same turn.
    """
    timeout = http_server.IDLE_TIMEOUT
    ended = []
    async with loopback.serve(_handler(ended)) as (address, server):
        connections = await _open_kept_connections(address)
        if begun:
            loopback.send_now(connections, _REQUEST[:begun])
            await trio.testing.wait_all_tasks_blocked(0.01)
            timeout = http_server.REQUEST_TIMEOUT
        assert server.connections == _CONNECTIONS
        rest = _REQUEST[begun:]
        if after_poll:
            loopback.SendAfterPoll(
                connections, rest, at=trio.current_time() + timeout
            )
        else:
            loopback.send_now(connections, rest)
        mock_clock.jump(timeout + 1.0)
        await trio.lowlevel.checkpoint()
        mock_clock.rate = 1.0
        await trio.sleep(0.2)
        await server.close()
        received = await loopback.receive_until_closed(connections)
    _assert_all_answered(received)
    assert ended.count("/2") == _CONNECTIONS


_GET = "GET {} HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "closure"),
    [
        (_GET.format("/1"), ("idle_timeout", False)),
        ("", ("idle_timeout", False)),
        (_GET.format("/1")[:-2], ("head_timeout", False)),
        (_REQUEST[:-1].decode(), ("head_timeout", True)),
        (_GET.format("/wait"), ("disconnect", True)),
        (_GET.format("/fail"), ("handler_failed", True)),
        ("nonsense\r\n\r\n", ("bad_input", False)),
        (
            "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            ("announced", False),
        ),
    ],
)
async def test_the_end_of_a_connection_is_logged(monkeypatch, data, closure):
    monkeypatch.setattr(http_server, "IDLE_TIMEOUT", 0.2)
    monkeypatch.setattr(http_server, "REQUEST_TIMEOUT", 0.2)
    log = fakes.ConnectionLog()
    streams = []

    async def handle(raw):
        match raw.target:
            case "/fail":
                raise ValueError("fault of the handler")
            case "/wait":
                await streams[0].aclose()
                await trio.sleep(30)
        return await _echo(raw)

    async with loopback.serve(handle, log=log) as (address, server):
        streams.append(await trio.open_tcp_stream(address.host, address.port))
        await streams[0].send_all(data.encode())
        try:
            await loopback.receive_until_end(streams[0])
        except trio.ClosedResourceError:
            pass
        await server.close()
    assert [(c.reason, c.unanswered) for c in log.closures] == [closure]


async def test_an_idle_connection_that_a_stop_closes_is_logged():
    log = fakes.ConnectionLog()
    async with loopback.serve(_echo, log=log) as (address, server):
        connections = await _open_kept_connections(address)
        await server.close()
        await loopback.receive_until_closed(connections)
    closures = [(c.reason, c.unanswered) for c in log.closures]
    assert closures == [("stop", False)] * _CONNECTIONS


# Guards against a client that reads nothing delaying a stop for ever, and with
# it the end of the other listeners and controllers of its process.
@pytest.mark.parametrize("sends_late", [False, True])
async def test_a_stop_gives_up_on_a_client_that_reads_nothing(
    monkeypatch, sends_late
):
    """The response is being sent when the stop comes, or only after it."""
    monkeypatch.setattr(http_server, "STOP_GRACE", 0.1)
    stops = trio.Event()

    async def handler(raw):
        if sends_late:
            await stops.wait()
        return model.Response(status=200, headers=(), body=bytes(64 << 20))

    log = fakes.ConnectionLog()
    async with loopback.serve(handler, log=log) as (address, server):
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            await trio.testing.wait_all_tasks_blocked(0.05)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.close)
                await trio.testing.wait_all_tasks_blocked()
                stops.set()
                nursery.cancel_scope.deadline = trio.current_time() + 3
            assert not nursery.cancel_scope.cancelled_caught
    closures = [(c.reason, c.unanswered) for c in log.closures]
    assert closures == [("incomplete", True)]
