"""Exchanges with an upstream that closes, resets, misanswers or hangs."""

import contextlib
import logging
import re
import socket
import struct
import threading
import time

import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.controllers import upstream_pool
from sassafrashall.platform import dialect
from sassafrashall.transport import http
from sassafrashall.transport import sockets
from sassafrashall.transport import upstream_connection
from tests import fakes
from tests import loopback

REFUSAL = b"HTTP/1.1 503 Unavailable\r\nnot-executed: full\r\n"
END = b"content-length: 0\r\n\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"400\r\n" + b"a" * 1024 + b"\r\n"
OK = b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\ncontent-length: 2\r\n\r\nok"


class _FakeUpstream:
    """Answers by a script; counts connections and records request IDs."""

    def __init__(self, script):
        self.address = loopback.free_address()
        self.connections = 0
        self.requests = []
        self._script = list(script)

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            while data := await stream.receive_some(65536):
                _, _, after = data.partition(b"request-id: ")
                request_id = after.partition(b"\r")[0]
                self.requests.append(request_id)
                if not await self._script.pop(0)(stream, request_id):
                    return


async def _answer(stream, request_id):
    await stream.send_all(OK % request_id)
    return True


async def _answer_and_close(stream, request_id):
    await stream.send_all(OK % request_id)
    return False


async def _reset(stream, request_id):
    linger = struct.pack("ii", 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    return False


async def _run_and_reset(stream, request_id):
    await trio.sleep(0.05)
    return await _reset(stream, request_id)


async def _answer_another_request_first(stream, request_id):
    await stream.send_all(OK % b"another" + OK % request_id)
    return True


async def _never_answer(stream, request_id):
    await trio.sleep_forever()


@contextlib.asynccontextmanager
async def _pool(*script):
    upstream = _FakeUpstream(script)
    counters = fakes.counters()
    pool = upstream_pool.UpstreamPool(counters=counters)
    upstream.counters = counters
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(
            upstream.address.port, host=upstream.address.host
        )
        for listener in listeners:
            # Connections inherit it.
            listener.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, 65536
            )
        nursery.start_soon(trio.serve_listeners, upstream.serve, listeners)
        async with fakes.started(pool):
            with trio.fail_after(5):
                yield pool, upstream
        nursery.cancel_scope.cancel()


async def _exchange(
    pool,
    upstream,
    request_id,
    *,
    timeout=2.0,
    send_times=None,
    body=b"",
    rest=None,
    block=None,
):
    id_header = () if request_id is None else (("request-id", request_id),)
    raw = http.RawRequest(
        method="GET",
        target="/",
        headers=(("host", "h"), *id_header),
        body=body,
        source=model.Source.PEER,
        received_at=0.0,
        rest=rest,
    )

    def encode(now):
        if send_times is not None:
            send_times.append(now)
        if block is not None:
            raise block
        return raw

    return await pool.mailbox.ask(
        messages.UpstreamExchange(
            address=upstream.address,
            encode=encode,
            is_answer=dialect.UpstreamDialect().response_matcher(
                fakes.request(headers=raw.headers)
            ),
            max_idle=messages.NO_IDLE_LIMIT,
            deadline=clock.monotonic() + timeout,
        )
    )


async def test_connection_is_reused():
    async with _pool(_answer, _answer) as (pool, upstream):
        for request_id in ("a", "b"):
            assert (await _exchange(pool, upstream, request_id)).body == b"ok"
        assert upstream.connections == 1


# Guards against a request that is sent although it was refused just before, and
# against the loss of the pool's task or of a connection by that refusal.
async def test_a_request_that_is_refused_before_the_send_is_not_sent():
    block = exceptions.SendRefusedError("evacuated", maybe_delivered=False)
    async with _pool(_answer, _answer) as (pool, upstream):
        # On a new connection, then on one that is idle.
        for request_id in ("a", "b"):
            with pytest.raises(exceptions.SendRefusedError):
                await _exchange(pool, upstream, "refused", block=block)
            assert (await _exchange(pool, upstream, request_id)).body == b"ok"
        assert upstream.requests == [b"a", b"b"]
        assert upstream.connections == 1


async def test_connection_closed_while_idle_is_not_reused():
    async with _pool(_answer_and_close, _answer) as (pool, upstream):
        await _exchange(pool, upstream, "a")
        await trio.sleep(0.05)
        await _exchange(pool, upstream, "b")
        assert upstream.requests == [b"a", b"b"]


# A connection that had read stray bytes was used once more while it ended: the
# request failed, with a long body by "Nursery is closed to new arrivals".
async def test_connection_that_ends_after_stray_bytes_is_not_used():
    # The next request comes before or after the end is noticed, by chance.
    for _ in range(30):
        sent = trio.Event()

        async def answer_twice(stream, request_id, sent=sent):
            await stream.send_all(OK % request_id)
            await trio.sleep(0.01)
            await stream.send_all(OK % request_id)
            sent.set()
            return True

        async with _pool(answer_twice, _answer) as (pool, upstream):
            await _exchange(pool, upstream, "r1")
            await sent.wait()
            response = await _exchange(pool, upstream, "r2")
        assert response.status == 200
        assert upstream.connections == 2


class _ThreadedUpstream:
    """Answers one request on each connection, then sends `extra` or closes.

    It runs in a thread of its own, so that it goes on while the event loop of
    the test is blocked.
    """

    def __init__(self, extra=b"", answer=None):
        self.address = loopback.free_address()
        self.requests = 0
        self._extra = extra
        self._answer = answer or self._answer_ok
        self._kept = []
        self._listener = socket.create_server(
            (self.address.host, self.address.port)
        )
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            data = connection.recv(65536)
            self.requests += 1
            request_id = data.partition(b"request-id: ")[2].partition(b"\r")[0]
            self._answer(connection, request_id)

    def _answer_ok(self, connection, request_id):
        self._kept.append(connection)
        connection.sendall(OK % request_id)

    def end_connections(self):
        while self._kept:
            connection = self._kept.pop()
            if self._extra:
                connection.sendall(self._extra)
            else:
                connection.close()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.end_connections()


# Guards against a request sent on a connection that had been closed before,
# or that carries stray bytes, if the event loop runs late.
@pytest.mark.parametrize("extra", [b"", OK % b"b", REFUSAL + END])
async def test_connection_that_ended_while_the_loop_was_blocked_is_not_used(
    extra,
):
    upstream = _ThreadedUpstream(extra)
    pool = upstream_pool.UpstreamPool(counters=fakes.counters())
    async with fakes.started(pool):
        with trio.fail_after(5):
            await _exchange(pool, upstream, "a")
            upstream.end_connections()
            # The loop gets no turn in which it could notice the end.
            time.sleep(0.1)
            response = await _exchange(pool, upstream, "b")
            assert response.body == b"ok"
            assert upstream.requests == 2
    upstream.close()


async def test_request_of_which_nothing_was_sent_is_sent_on_a_new_connection(
    monkeypatch,
):
    async with _pool(_answer, _answer) as (pool, upstream):
        await _exchange(pool, upstream, "a")
        send = sockets.Stream.send_nowait
        broken = []

        def send_nowait(stream, data):
            if not broken:
                broken.append(stream)
                raise BrokenPipeError
            return send(stream, data)

        monkeypatch.setattr(sockets.Stream, "send_nowait", send_nowait)
        send_times = []
        response = await _exchange(pool, upstream, "b", send_times=send_times)
        assert response.body == b"ok"
        assert upstream.requests == [b"a", b"b"]
        # The request is encoded again, with the time that is left by then.
        assert len(send_times) == 2
        assert send_times[0] < send_times[1]


# Guards against repeats beyond the fleet's budget: an upstream that resets the
# connection once it has read a request looks as if it had been closed before.
@pytest.mark.parametrize("end", ["reset", "close"])
async def test_request_that_may_have_been_read_is_not_resent(end):
    async def close(stream, request_id):
        return False

    script = _reset if end == "reset" else close
    async with _pool(_answer, script, _answer) as (pool, upstream):
        await _exchange(pool, upstream, "a")
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await _exchange(pool, upstream, "b")
        assert caught.value.maybe_delivered
        assert upstream.requests == [b"a", b"b"]


# Guards against requests that are lost, or charged as repeats, when an upstream
# closes its idle connections or restarts with many of them open.
@pytest.mark.parametrize("end", ["reset", "close"])
async def test_connections_that_end_while_idle_cost_callers_nothing(end):
    count = 10
    arrived = [trio.Event() for _ in range(count)]
    ends = trio.Event()

    def answer_then_end(number):
        async def script(stream, request_id):
            arrived[number].set()
            # All of them are needed at the same time.
            for event in arrived:
                await event.wait()
            await stream.send_all(OK % request_id)
            await ends.wait()
            if end == "reset":
                await _reset(stream, request_id)
            return False

        return script

    scripts = [answer_then_end(number) for number in range(count)]
    async with _pool(*scripts, *[_answer] * count) as (pool, upstream):

        async def send(request_id):
            response = await _exchange(pool, upstream, request_id)
            assert response.body == b"ok"

        for prefix in ("before", "after"):
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(send, f"{prefix}-{number}")
            ends.set()
            await trio.sleep(0.05)
        assert len(upstream.requests) == len(set(upstream.requests))
        assert len(upstream.requests) == 2 * count


async def test_request_is_not_resent_if_the_reset_comes_late():
    async with _pool(_answer, _run_and_reset) as (pool, upstream):
        await _exchange(pool, upstream, "a")
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await _exchange(pool, upstream, "b")
        assert caught.value.maybe_delivered
        assert upstream.requests == [b"a", b"b"]


async def test_request_is_not_resent_after_a_reset_of_a_new_connection():
    async with _pool(_reset) as (pool, upstream):
        with pytest.raises(exceptions.ConnectionFailedError):
            await _exchange(pool, upstream, "a")
        assert upstream.requests == [b"a"]


async def test_answer_to_another_request_is_ignored():
    async with _pool(_answer_another_request_first, _answer) as (
        pool,
        upstream,
    ):
        assert (await _exchange(pool, upstream, "a")).body == b"ok"
        await _exchange(pool, upstream, "b")
        # A connection that carried an unexpected answer is not reused.
        assert upstream.connections == 2


# Guards against a complete answer that is lost, and told as failed, if the
# bytes after it arrive in the same segment.
@pytest.mark.parametrize("garbage", [b"\0\0", b"ok", b"HTTP/1.1 099 A\r\n\r\n"])
async def test_answer_before_bytes_that_are_none_is_delivered(garbage):
    async def answer_with_garbage(stream, request_id):
        await stream.send_all(OK % request_id + garbage)
        return True

    async with _pool(answer_with_garbage, _answer) as (pool, upstream):
        assert (await _exchange(pool, upstream, "a")).body == b"ok"
        assert (await _exchange(pool, upstream, "b")).body == b"ok"
        assert upstream.connections == 2


# As above, at the end of a streamed body.
async def test_streamed_answer_before_bytes_that_are_none_is_complete():
    async def answer_with_garbage(stream, request_id):
        head = OK.partition(b"content-length")[0] % request_id
        await stream.send_all(head + CHUNKED + CHUNK * 500)
        await stream.send_all(CHUNK + b"0\r\n\r\n\0\0")
        return True

    async with _pool(answer_with_garbage, _answer) as (pool, upstream):
        response = await _exchange(pool, upstream, "a")
        size = len(response.body)
        while data := await response.rest.read():
            size += len(data)
        assert size == 501 * 1024
        assert (await _exchange(pool, upstream, "b")).body == b"ok"
        assert upstream.connections == 2


def _refuse(request_id=None):
    """Returns a script step: a refusal with an ID, or without one."""
    refusal = REFUSAL + END
    if request_id is not None:
        refusal = REFUSAL + b"request-id: %b\r\n" % request_id + END

    async def refuse(stream, _):
        await stream.send_all(refusal)
        return True

    return refuse


def _refuse_again(request_id=None):
    """Returns a script step: the last refusal once more, then the answer."""

    async def refuse_again(stream, answered_id):
        await _refuse(request_id)(stream, b"")
        await trio.sleep(0.05)
        with contextlib.suppress(trio.BrokenResourceError):
            return await _answer(stream, answered_id)

    return refuse_again


def _is_refusal(response):
    outcome = dialect.UpstreamDialect().decode(response)
    return isinstance(outcome, model.Refuse)


# Guards against a request that runs and is told as not run.
@pytest.mark.parametrize(
    "refused_id, second_id", [(None, "b"), (b"a", "b"), (b"a", "a")]
)
async def test_repeated_refusal_does_not_refuse_the_next_request(
    refused_id, second_id
):
    async def refuse_twice(stream, request_id):
        await _refuse(refused_id)(stream, request_id)
        if await stream.receive_some(65536):
            await _refuse_again(refused_id)(stream, second_id.encode())
        return False

    async with _pool(refuse_twice, _answer) as (pool, upstream):
        assert _is_refusal(await _exchange(pool, upstream, "a"))
        response = await _exchange(pool, upstream, second_id)
        assert response.body == b"ok"


# Guards against a request that runs and is told as not run.
async def test_refusal_without_an_id_proves_nothing_on_a_kept_connection():
    async with _pool(_answer, _refuse_again()) as (pool, upstream):
        await _exchange(pool, upstream, "a")
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await _exchange(pool, upstream, "b")
        assert caught.value.maybe_delivered


# Guards against a request that runs and is told as not run.
async def test_request_without_an_id_gets_a_connection_of_its_own():
    async with _pool(_answer, _refuse(), _answer) as (pool, upstream):
        await _exchange(pool, upstream, "a")
        assert _is_refusal(await _exchange(pool, upstream, None))
        assert (await _exchange(pool, upstream, "b")).body == b"ok"
        assert upstream.connections == 2


async def test_connection_is_reused_after_refusals_that_bear_their_id():
    script = [
        _refuse(b"%d" % i) for i in range(upstream_connection.MAX_FAILED_IDS)
    ]
    async with _pool(*script, _answer) as (pool, upstream):
        for i in range(len(script)):
            assert _is_refusal(await _exchange(pool, upstream, str(i)))
        assert upstream.connections == 1
        await _exchange(pool, upstream, "b")
        assert upstream.connections == 2


async def test_unresponsive_upstream_fails_at_the_deadline():
    async with _pool(_never_answer) as (pool, upstream):
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await _exchange(pool, upstream, "a", timeout=0.2)
        assert caught.value.expired and caught.value.maybe_delivered


async def _block_loop():
    await trio.sleep(0.03)
    time.sleep(0.25)


class _HeldAnswer:
    """Answers while the event loop is blocked, then lets the clock jump."""

    def __init__(self, monkeypatch, jump):
        self._asked = threading.Event()
        self._may_answer = threading.Event()
        self._answered = threading.Event()
        self._connections = []
        self._jump = jump
        self._offset = 0.0
        now = clock.monotonic
        monkeypatch.setattr(clock, "monotonic", lambda: now() + self._offset)

    def __call__(self, connection, request_id):
        self._asked.set()
        self._may_answer.wait(5)
        connection.sendall(OK % request_id)
        self._connections.append(connection)
        self._answered.set()

    async def block_loop(self):
        while not self._asked.is_set():
            await trio.sleep(0.005)
        self._may_answer.set()
        self._answered.wait(5)
        # The check of the deadlines becomes due as well.
        time.sleep(1.5 * upstream_pool.SWEEP_INTERVAL)
        self._offset += self._jump

    def end_connections(self):
        for event in (self._asked, self._may_answer, self._answered):
            event.clear()
        while self._connections:
            self._connections.pop().close()


# Guards against an answer that arrived in time and is thrown away, since the
# event loop ran late and checked the deadlines before it read.
async def test_answer_that_arrived_before_the_deadline_is_delivered(
    monkeypatch,
):
    answer = _HeldAnswer(monkeypatch, jump=60.0)
    upstream = _ThreadedUpstream(answer=answer)
    pool = upstream_pool.UpstreamPool(counters=fakes.counters())

    async with fakes.started(pool):
        # The scheduler runs the two tasks in random order.
        for _ in range(8):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer.block_loop)
                response = await _exchange(pool, upstream, "a", timeout=60.0)
                assert response.body == b"ok"
            answer.end_connections()
    upstream.close()


# Guards against processor time spent until the deadline.
@pytest.mark.parametrize(
    "beginning, more",
    [
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
        (b"", b"HTTP/1.1 102 Processing\r\nx: %b\r\n\r\n" % (b"a" * 60_000)),
        (b"HTTP/1.1 200 OK\r\nrequest-id: b\r\n" + CHUNKED, CHUNK * 10),
        (b"", OK % b"b" * 10),
    ],
)
async def test_bytes_without_end_before_an_answer_end_the_exchange(
    beginning, more
):
    async def send_on(stream, request_id):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(beginning)
            while True:
                await stream.send_all(more)
        return False

    async with _pool(send_on) as (pool, upstream):
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await _exchange(pool, upstream, "a", timeout=3.0)
        assert caught.value.maybe_delivered and not caught.value.expired


async def test_interim_responses_and_a_long_stray_answer_are_skipped():
    async def send_others_first(stream, request_id):
        await stream.send_all(b"HTTP/1.1 102 Processing\r\n\r\n" * 500)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nrequest-id: b\r\n" + CHUNKED)
        await stream.send_all(CHUNK * 500 + b"0\r\n\r\n")
        return await _answer(stream, request_id)

    async with _pool(send_others_first) as (pool, upstream):
        assert (await _exchange(pool, upstream, "a")).body == b"ok"


def _reset_in_the_body(connection, request_id):
    head = OK.partition(b"content-length")[0] % request_id
    connection.sendall(head + b"connection: close\r\n\r\na part")
    time.sleep(0.1)
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    connection.close()


# Guards against a part of a body that is taken for all of it: the check of the
# deadline must not take the reset away from the reading task.
async def test_body_that_a_reset_ends_at_the_deadline_is_incomplete():
    upstream = _ThreadedUpstream(answer=_reset_in_the_body)
    pool = upstream_pool.UpstreamPool(counters=fakes.counters())
    async with fakes.started(pool):
        # The scheduler runs the two tasks in random order.
        for _ in range(8):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_block_loop)
                with pytest.raises(exceptions.ConnectionFailedError):
                    await _exchange(pool, upstream, "a", timeout=0.2)
    upstream.close()


# Guards against a task and a body that stay for as long as the process runs.
async def test_streamed_response_that_nobody_reads_ends_at_the_deadline():
    async def send_long_body(stream, request_id):
        head = OK.partition(b"content-length")[0] % request_id
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(head + CHUNKED + CHUNK * 200)
            await stream.receive_some(1)
        return False

    async with _pool(send_long_body) as (pool, upstream):
        tasks = trio.lowlevel.current_statistics().tasks_living
        response = await _exchange(pool, upstream, "a", timeout=0.2)
        while trio.lowlevel.current_statistics().tasks_living > tasks:
            await trio.sleep(0.01)
        with pytest.raises(exceptions.ConnectionFailedError):
            while await response.rest.read():
                pass
        await response.rest.close()


# Guards against a deadline that an upstream defers by sending on and on.
async def test_response_without_end_fails_soon_after_the_deadline():
    async def send_body(stream, request_id):
        head = OK.partition(b"content-length")[0] % request_id
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(head + CHUNKED)
            while True:
                await stream.send_all(b"1\r\nx\r\n")
                await trio.sleep(0)
        return False

    async with _pool(send_body) as (pool, upstream):
        began = clock.monotonic()
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await _exchange(pool, upstream, "a", timeout=0.2)
        assert caught.value.maybe_delivered
        assert clock.monotonic() - began < 1.0


# Guards against a reader that takes its time: when it read on after the
# deadline had closed the connection, its ValueError ended the process.
async def test_reading_on_after_the_deadline_fails_the_response():
    async def send_part(stream, request_id):
        head = OK.partition(b"content-length")[0] % request_id
        await stream.send_all(head + b"content-length: 9999999\r\n\r\n")
        await stream.send_all(b"a" * 2 * http.BUFFERED_BODY_LIMIT)
        await trio.sleep_forever()

    async with _pool(send_part) as (pool, upstream):
        response = await _exchange(pool, upstream, "a", timeout=0.3)
        size = len(response.body)
        while size < 2 * http.BUFFERED_BODY_LIMIT:
            size += len(await response.rest.read())
        await trio.sleep(0.6)
        assert _closures(upstream) == [("deadline", "true")]
        with pytest.raises(exceptions.ConnectionFailedError):
            await response.rest.read()


def _closures(upstream):
    """Returns the reasons of the closures, each with its outcome."""
    text = upstream.counters.render()[1].decode()
    return sorted(
        re.findall(
            r'connections_closed.*place="upstream".*reason="(\w+)"'
            r',unanswered="(\w+)"',
            text,
        )
    )


async def _send_garbage(stream, request_id):
    await stream.send_all(b"garbage\r\n\r\n")
    return True


async def _cut_streamed_answer(stream, request_id):
    head = OK.partition(b"content-length")[0] % request_id
    await stream.send_all(head + b"content-length: 9999999\r\n\r\n")
    await stream.send_all(b"a" * 2 * http.BUFFERED_BODY_LIMIT)
    return False


async def _read_to_the_end(pool, upstream):
    response = await _exchange(pool, upstream, "a", timeout=0.3)
    while response.rest is not None and await response.rest.read():
        pass


@pytest.mark.parametrize(
    "step, reason, unanswered",
    [
        (_never_answer, "deadline", "true"),
        (_reset, "disconnect", "true"),
        (_send_garbage, "bad_input", "true"),
        (_cut_streamed_answer, "disconnect", "true"),
        (_refuse(), "retired", "false"),
    ],
)
async def test_reason_of_a_closed_connection_is_counted(
    step, reason, unanswered
):
    async with _pool(step) as (pool, upstream):
        with contextlib.suppress(exceptions.ConnectionFailedError):
            await _read_to_the_end(pool, upstream)
        assert _closures(upstream) == [(reason, unanswered)]


async def test_connection_closed_with_an_exchange_is_logged(
    caplog, monkeypatch
):
    monkeypatch.setattr(logs.get(), "propagate", True)
    with caplog.at_level(logging.INFO, logger=logs.LOGGER_NAME):
        async with _pool(_answer, _never_answer) as (pool, upstream):
            await _exchange(pool, upstream, "a")
            await trio.sleep(0.1)
            with trio.move_on_after(0.1):
                await _exchange(pool, upstream, "b")
    (record,) = (r for r in caplog.records if "unanswered" in r.message)
    assert (record.reason, record.request_id) == ("abandoned", "b")
    assert 100 <= record.idle_ms < 200


@pytest.fixture
def small_buffers(monkeypatch):
    """Lets sockets to the upstream take a few kilobytes at a time."""
    connect = sockets.connect

    async def connect_with_small_buffer(address):
        stream = await connect(address)
        stream._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return stream

    monkeypatch.setattr(sockets, "connect", connect_with_small_buffer)


async def _answer_before_reading(stream, request_id):
    await stream.send_all(OK % request_id)
    await trio.sleep(0.1)
    return True


# Guards against a request that is sent into the middle of an earlier body,
# which the upstream had answered before it read all of it.
async def test_connection_with_unsent_bytes_of_a_body_is_not_reused(
    small_buffers,
):
    async with _pool(_answer_before_reading, _answer) as (pool, upstream):
        body = b"a" * 2 * http.BUFFERED_BODY_LIMIT
        await _exchange(pool, upstream, "a", body=body)
        assert (await _exchange(pool, upstream, "b")).body == b"ok"
        assert upstream.connections == 2


# Guards against a look into a socket that is closed already.
async def test_abandoned_request_may_expire_in_the_same_turn():
    async with _pool(*[_never_answer] * 8) as (pool, upstream):
        for _ in range(8):
            deadline = trio.current_time() + 0.2
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_block_loop)
                with (
                    trio.move_on_at(deadline),
                    contextlib.suppress(exceptions.ConnectionFailedError),
                ):
                    await _exchange(pool, upstream, "a", timeout=0.2)


def _answer_and_close_unread(connection, request_id):
    time.sleep(0.1)
    connection.sendall(OK % request_id)
    connection.close()


def _start_body_and_close_unread(connection, request_id):
    time.sleep(0.1)
    head = OK.partition(b"content-length")[0] % request_id
    connection.sendall(head + b"connection: close\r\n\r\na part")
    connection.close()


class _Body:
    """The rest of a request's body, which never ends."""

    async def read(self):
        return b"a" * http.BUFFERED_BODY_LIMIT

    async def close(self):
        pass


# Guards against an answer that is thrown away, since the upstream closed
# without having read the body, whose rest could not be sent.
@pytest.mark.parametrize("rest", [None, _Body()], ids=["buffered", "streamed"])
@pytest.mark.parametrize(
    "answer", [_answer_and_close_unread, _start_body_and_close_unread]
)
async def test_answer_before_the_end_of_the_request_is_delivered(
    small_buffers, rest, answer
):
    upstream = _ThreadedUpstream(answer=answer)
    pool = upstream_pool.UpstreamPool(counters=fakes.counters())
    body = b"a" * 2 * http.BUFFERED_BODY_LIMIT
    bodies = set()
    async with fakes.started(pool):
        # The scheduler runs the reading and the sending task in random order.
        for _ in range(8):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_block_loop)
                try:
                    response = await _exchange(
                        pool, upstream, "a", body=body, rest=rest
                    )
                    bodies.add(response.body)
                except exceptions.ConnectionFailedError:
                    bodies.add(None)
    # The close with unread bytes resets the connection, which does not end a
    # body without a length.
    complete = answer is _answer_and_close_unread
    assert bodies == ({b"ok"} if complete else {None})
    upstream.close()


def _reset_at_once(connection):
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    connection.close()


# Guards against the end of the process, and with it of all requests, by one
# connection that the upstream resets before the request is sent.
async def test_reset_of_a_new_connection_fails_only_its_request(monkeypatch):
    connect = sockets.connect
    address = loopback.free_address()
    with socket.create_server((address.host, address.port)) as listening:

        async def connect_and_reset(address):
            stream = await connect(address)
            _reset_at_once(listening.accept()[0])
            return stream

        monkeypatch.setattr(sockets, "connect", connect_and_reset)
        pool = upstream_pool.UpstreamPool(counters=fakes.counters())
        async with fakes.started(pool):
            for _ in range(2):
                with pytest.raises(exceptions.ConnectionFailedError) as caught:
                    await _exchange(pool, _Listening(address), "a")
                assert not caught.value.maybe_delivered


class _Listening:
    """An upstream of which only the address is needed."""

    def __init__(self, address):
        self.address = address


async def _send_part_of_a_long_body(stream, request_id):
    head = OK.partition(b"content-length")[0] % request_id
    await stream.send_all(head + b"content-length: 9999999\r\n\r\n")
    await stream.send_all(b"a" * (http.BUFFERED_BODY_LIMIT + 100))
    await trio.sleep_forever()


# Guards against an exception that leaves the task which passes the body on: it
# reads on a connection that was closed at the deadline.
async def test_body_that_is_read_on_after_its_deadline_fails():
    async with _pool(_send_part_of_a_long_body) as (pool, upstream):
        response = await _exchange(pool, upstream, "a", timeout=0.2)
        while not _closures(upstream):
            await trio.sleep(0.01)
        with pytest.raises(exceptions.ConnectionFailedError):
            while await response.rest.read():
                pass


async def _connect_never(address):
    await trio.sleep_forever()


# Guards against a caller that waits until its connection is cut: the pool was
# closed at the end of a stop, before it had a connection for the request.
async def test_request_that_waits_for_a_connection_ends_with_the_pool(
    monkeypatch,
):
    monkeypatch.setattr(sockets, "connect", _connect_never)
    pool = upstream_pool.UpstreamPool(counters=fakes.counters())
    upstream = _Listening(loopback.free_address())
    failures = []

    async def send():
        with pytest.raises(exceptions.ConnectionFailedError) as caught:
            await _exchange(pool, upstream, "a")
        failures.append(caught.value.maybe_delivered)

    with trio.fail_after(5):
        async with fakes.started(pool), trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.testing.wait_all_tasks_blocked()
            await pool.close()
    assert failures == [False]


# Guards against the end of the process by a header of one response.
@pytest.mark.parametrize("seconds", [b"\xb2", b"9" * 5000, b"-1", b""])
async def test_invalid_keep_alive_timeout_is_ignored(seconds):
    async def answer(stream, request_id):
        head, _, body = (OK % request_id).partition(b"\r\n\r\n")
        head += b"\r\nkeep-alive: timeout=" + seconds
        await stream.send_all(head + b"\r\n\r\n" + body)
        return True

    async with _pool(answer, answer) as (pool, upstream):
        for request_id in ("a", "b"):
            assert (await _exchange(pool, upstream, request_id)).body == b"ok"
        assert upstream.connections == 1


# Guards against the end of the process by one exchange: a name of a tenant may
# have characters that no header can carry.
async def test_request_that_cannot_be_encoded_fails_alone():
    async with _pool(_answer, _answer) as (pool, upstream):
        for _ in range(2):
            with pytest.raises(exceptions.ConnectionFailedError) as caught:
                await _exchange(pool, upstream, "\u6771")
            assert not caught.value.maybe_delivered
            assert (await _exchange(pool, upstream, "a")).body == b"ok"


# Guards against the end of the process by an exception on one connection.
async def test_an_exception_on_a_connection_fails_only_its_request(monkeypatch):
    async with _pool(_answer, _answer) as (pool, upstream):
        with monkeypatch.context() as patch:
            patch.setattr(upstream_connection, "_keep_alive_time", None)
            with pytest.raises(exceptions.ConnectionFailedError) as caught:
                await _exchange(pool, upstream, "a", timeout=0.5)
            assert caught.value.maybe_delivered
        assert (await _exchange(pool, upstream, "b")).body == b"ok"
