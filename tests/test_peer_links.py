"""Calls between nodes when the other node or the connection fails."""

import contextlib
import dataclasses
import socket
import time

import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.controllers import peer_links
from sassafrashall.transport import frames
from sassafrashall.transport import http
from sassafrashall.transport import peer_connection
from sassafrashall.transport import peer_server
from sassafrashall.transport import sockets
from tests import fakes
from tests import loopback

SECRET = b"a-secret-of-the-test"


def _exchange(address, *, confirm=False, timeout=2.0, body=b"", rest=None):
    request = model.Request(
        method="GET",
        target="/",
        headers=(),
        body=body,
        source=model.Source.CALLER,
        received_at=clock.monotonic(),
        rest=rest,
    )
    ticket = model.Ticket(
        organisation="o",
        root_id="r",
        call_id="c",
        node="n",
        service="s",
        priority=model.Priority.NORMAL,
        remaining_ms=int(1000 * timeout),
        retries=0,
        depth=0,
        idempotent=not confirm,
    )
    return messages.Exchange(
        address=address,
        request=request,
        ticket=ticket,
        deadline=clock.monotonic() + timeout,
        to_upstream=False,
        confirm=confirm,
    )


@contextlib.asynccontextmanager
async def _links():
    links = peer_links.PeerLinks(
        vm="vm-a", secret=SECRET, counters=fakes.counters()
    )
    async with trio.open_nursery() as nursery:
        await links.start(nursery)
        yield links
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _peer(handler, secret=SECRET, servers=None):
    """Runs a node's server, which is added to `servers`; yields its address."""
    address = loopback.free_address()
    server = peer_server.PeerServer(
        address=address,
        handler=handler,
        compute_proof=lambda vm: peer_links.hello_proof(vm, secret),
        log=connection_log.ConnectionLog(place="peers"),
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        if servers is not None:
            servers.append(server)
        yield address
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _scripted_peer(serve):
    """Runs `serve` with a stream for each connection; yields the address."""
    address = loopback.free_address()

    async def serve_stream(accepted):
        with contextlib.suppress(OSError, trio.ClosedResourceError):
            await serve(sockets.Stream(stream=accepted))

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host
        )
        nursery.start_soon(trio.serve_listeners, serve_stream, listeners)
        yield address
        nursery.cancel_scope.cancel()


async def _frames_from(stream):
    """Yields the frames that arrive on a stream."""
    buffer = frames.FrameBuffer()
    while data := await stream.receive(65536):
        for frame in buffer.feed(data):
            yield frame


def _answer(call, body=b"ok", more=False):
    return frames.AnswerCall(
        call=call,
        status=200,
        headers=(),
        body=body,
        more=more,
        level=-1,
        load=-1,
    )


def _refusal(call, run=model.RunState.NOT_RUN):
    return frames.RefuseCall(
        call=call,
        code=exceptions.SHED,
        detail="",
        run=run,
        retry_after_s=0.0,
        level=-1,
        load=-1,
    )


async def _connect_as_peer(address, secret=SECRET):
    """Returns a stream on which the frame `Hello` has been sent."""
    stream = await sockets.connect(address)
    hello = frames.Hello(vm="x", proof=peer_links.hello_proof("x", secret))
    stream.send_nowait(frames.encode(hello))
    return stream


@contextlib.asynccontextmanager
async def _breaking_peer(frame_type):
    """Runs a node that closes the connection on a frame of this type."""
    address = loopback.free_address()

    async def serve(stream):
        buffer = frames.FrameBuffer()
        async with stream:
            while data := await stream.receive_some(65536):
                for frame in buffer.feed(data):
                    if isinstance(frame, frame_type):
                        return
                    if isinstance(frame, frames.OpenCall):
                        offer = frames.encode(frames.Offer(call=frame.call))
                        await stream.send_all(offer)

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host
        )
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield address
        nursery.cancel_scope.cancel()


async def test_call_to_an_unreachable_node_is_reported_as_not_run():
    async with _links() as links:
        outcome = await links.mailbox.ask(_exchange(loopback.free_address()))
    assert outcome.code == exceptions.PEER_UNREACHABLE
    assert outcome.run is model.RunState.NOT_RUN


@pytest.mark.parametrize(
    ("confirm", "frame_type", "run"),
    [
        (False, frames.OpenCall, model.RunState.UNKNOWN),
        (True, frames.OpenCall, model.RunState.NOT_RUN),
        (True, frames.Proceed, model.RunState.UNKNOWN),
    ],
)
async def test_broken_connection_reports_not_run_only_if_certain(
    confirm, frame_type, run
):
    async with _links() as links, _breaking_peer(frame_type) as address:
        outcome = await links.mailbox.ask(_exchange(address, confirm=confirm))
    assert outcome.run is run


async def test_unconfirmed_call_is_not_dispatched():
    dispatched = []

    async def handler(request):
        dispatched.append(await request.confirm())
        return model.Refuse(code=exceptions.SHED, detail="")

    async with _peer(handler) as address:
        stream = await trio.open_tcp_stream(address.host, address.port)
        open_call = fakes.open_call(1)
        hello = frames.Hello(vm="x", proof=peer_links.hello_proof("x", SECRET))
        await stream.send_all(frames.encode(hello) + frames.encode(open_call))
        with trio.fail_after(3):
            while not dispatched:
                await trio.sleep(0.02)
        await stream.aclose()
    assert dispatched == [False]


async def test_node_with_another_secret_is_not_served():
    async def handler(request):
        raise AssertionError("a node with another secret was served")

    async with _links() as links, _peer(handler, b"another") as address:
        outcome = await links.mailbox.ask(_exchange(address, timeout=0.5))
    assert isinstance(outcome, model.Refuse)


async def test_expired_call_is_cancelled_at_the_other_node():
    ended = trio.Event()

    async def handler(request):
        try:
            await mailbox.Reply().wait()
        finally:
            ended.set()

    async with _links() as links, _peer(handler) as address:
        started_at = clock.monotonic()
        outcome = await links.mailbox.ask(_exchange(address, timeout=0.3))
        assert outcome.code == exceptions.DEADLINE_EXCEEDED
        assert clock.monotonic() - started_at < 0.8
        with trio.fail_after(0.5):
            await ended.wait()


# Guards against an answer that waits in the socket being lost at the deadline.
@pytest.mark.usefixtures("scheduling")
async def test_answer_read_late_after_a_delay_of_the_loop_is_delivered():
    """The loop stands still from before the answer until after the deadline.

    The check for expired calls and the reading task are then ready at the same
    time, and either may run first.
    """

    async def serve(stream):
        async for frame in _frames_from(stream):
            if isinstance(frame, frames.OpenCall):
                stream.send_nowait(frames.encode(_answer(frame.call)))
                time.sleep(0.6)

    async with _links() as links, _scripted_peer(serve) as address:
        outcome = await links.mailbox.ask(_exchange(address, timeout=0.4))
    assert isinstance(outcome, model.Answer), outcome


# Guards against a confirmation that waits in the socket being taken for late.
@pytest.mark.usefixtures("scheduling")
async def test_confirmation_read_late_after_a_delay_of_the_loop_counts():
    confirmed = []

    async def handler(request):
        confirmed.append(await request.confirm())
        return model.Refuse(code=exceptions.SHED, detail="")

    async with _peer(handler) as address:
        stream = await _connect_as_peer(address)
        stream.send_nowait(frames.encode(fakes.open_call(1)))
        async for frame in _frames_from(stream):
            if isinstance(frame, frames.Offer):
                stream.send_nowait(frames.encode(frames.Proceed(call=1)))
                time.sleep(peer_server.PROCEED_TIMEOUT + 0.2)
            else:
                break
        stream.close()
    assert confirmed == [True]


# Guards against answers that have arrived being discarded on a failed write.
async def test_answers_that_arrived_before_a_write_error_are_delivered(
    monkeypatch,
):
    """The other node answers, and resets the connection during a long write."""
    monkeypatch.setattr(http, "RECEIVE_SIZE", 1024)
    body = b"x" * 4000

    async def serve(stream):
        opened = 0
        buffer = frames.FrameBuffer()
        while opened < 2:
            for frame in buffer.feed(await stream.receive(1000)):
                opened += isinstance(frame, frames.OpenCall)
        await trio.sleep(0.1)
        answers = (frames.encode(_answer(number, body)) for number in (1, 2))
        stream.send_nowait(b"".join(answers))
        # Unread bytes make the kernel reset the connection.
        stream.close()

    outcomes = []

    async def send(**fields):
        outcomes.append(await links.mailbox.ask(_exchange(address, **fields)))

    async with (
        _links() as links,
        _scripted_peer(serve) as address,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(send)
        await trio.sleep(0.02)
        nursery.start_soon(send)
        await trio.sleep(0.02)
        nursery.start_soon(lambda: send(body=bytes(3 << 20)))
    assert [type(o) for o in outcomes[:2]] == [model.Answer, model.Answer]
    assert outcomes[2].run is model.RunState.UNKNOWN


# Guards against a call being sent on a connection that the other node closed.
async def test_call_after_the_other_node_closed_uses_a_new_connection():
    streams = []

    async def serve(stream):
        streams.append(stream)
        async for frame in _frames_from(stream):
            if isinstance(frame, frames.OpenCall):
                stream.send_nowait(frames.encode(_answer(frame.call)))

    async with _links() as links, _scripted_peer(serve) as address:
        assert isinstance(
            await links.mailbox.ask(_exchange(address)), model.Answer
        )
        for _ in range(3):
            streams[-1].close()
            outcome = await links.mailbox.ask(_exchange(address))
            assert isinstance(outcome, model.Answer), outcome
    assert len(streams) == 4


# Guards against one invalid refusal ending the node with all its calls.
async def test_refusal_with_an_unknown_run_state_ends_only_its_call():
    async def serve(stream):
        async for frame in _frames_from(stream):
            if isinstance(frame, frames.OpenCall):
                refusal = _refusal(frame.call, run="perhaps")
                reply = refusal if frame.call == 1 else _answer(frame.call)
                stream.send_nowait(frames.encode(reply))

    async with _links() as links, _scripted_peer(serve) as address:
        refused = await links.mailbox.ask(_exchange(address, confirm=True))
        answered = await links.mailbox.ask(_exchange(address))
    assert refused.run is model.RunState.UNKNOWN
    assert isinstance(answered, model.Answer)


class _BrokenBody:
    """A request body whose caller resets its connection."""

    async def read(self):
        await trio.sleep(0.1)
        raise ConnectionResetError

    async def close(self):
        pass


# Guards against a caller's reset during an upload ending the other calls.
async def test_reset_of_a_caller_during_an_upload_ends_only_its_call():
    async def handler(request):
        assert request.rest is None or await request.confirm()
        await mailbox.Reply().wait()

    outcomes = []

    async def send(**fields):
        outcomes.append(await links.mailbox.ask(_exchange(address, **fields)))

    async with (
        _links() as links,
        _peer(handler) as address,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(lambda: send(timeout=0.6))
        nursery.start_soon(lambda: send(confirm=True, rest=_BrokenBody()))
    assert [o.code for o in outcomes] == [
        exceptions.BAD_REQUEST,
        exceptions.DEADLINE_EXCEEDED,
    ]
    assert outcomes[0].run is model.RunState.UNKNOWN


# Guards against a call with an invalid field getting no outcome at all.
async def test_call_with_an_unknown_priority_is_refused_as_not_run():
    async def handler(request):
        return fakes.answer()

    received = []
    async with _peer(handler) as address:
        stream = await _connect_as_peer(address)
        for call in (
            fakes.open_call(1, priority=99, confirm=False),
            fakes.open_call(2, confirm=False),
        ):
            stream.send_nowait(frames.encode(call))
        with trio.move_on_after(1):
            async for frame in _frames_from(stream):
                received.append(frame)
                if len(received) == 2:
                    break
        stream.close()
    refusal, answer = received
    assert isinstance(refusal, frames.RefuseCall) and refusal.call == 1
    assert refusal.run == model.RunState.NOT_RUN
    assert isinstance(answer, frames.AnswerCall) and answer.call == 2


# Guards against invalid bytes taking the answers before them along.
async def test_invalid_bytes_end_a_connection_after_the_frames_before_them(
    caplog,
):
    caplog.set_level("INFO", logger=logs.LOGGER_NAME)

    async def serve(stream):
        async for frame in _frames_from(stream):
            if isinstance(frame, frames.OpenCall) and frame.call == 3:
                answer = frames.encode(_answer(1))
                stream.send_nowait(answer + b"not a frame")

    outcomes = {}

    async def send(name, **fields):
        exchange = _exchange(address, **fields)
        outcomes[name] = await links.mailbox.ask(exchange)

    async with _links() as links, _scripted_peer(serve) as address:
        with trio.fail_after(1):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, "answered")
                await trio.sleep(0.05)
                nursery.start_soon(send, "sent")
                await trio.sleep(0.05)
                nursery.start_soon(lambda: send("not confirmed", confirm=True))
    assert isinstance(outcomes["answered"], model.Answer)
    assert outcomes["sent"].run is model.RunState.UNKNOWN
    assert outcomes["not confirmed"].run is model.RunState.NOT_RUN
    (closure,) = [r for r in caplog.records if hasattr(r, "place")]
    assert (closure.place, closure.reason) == ("links", "bad_input")
    assert "unanswered" in closure.message


@pytest.mark.parametrize("status", [0, 102, 600, 999])
@pytest.mark.parametrize("more", [False, True])
async def test_an_answer_without_a_defined_status_ends_only_its_call(
    status, more
):
    """Guards against a node of an earlier build that passes such a one on."""

    async def serve(stream):
        async for frame in _frames_from(stream):
            if isinstance(frame, frames.OpenCall):
                reply = _answer(frame.call)
                if frame.call == 1:
                    reply = dataclasses.replace(reply, status=status, more=more)
                stream.send_nowait(frames.encode(reply))

    async with _links() as links, _scripted_peer(serve) as address:
        refused = await links.mailbox.ask(_exchange(address))
        answered = await links.mailbox.ask(_exchange(address))
    assert isinstance(refused, model.Refuse)
    assert refused.code == exceptions.UPSTREAM_FAILED
    assert refused.run is model.RunState.UNKNOWN
    assert isinstance(answered, model.Answer)


# Guards against the reader of a streamed answer waiting for ever.
@pytest.mark.parametrize("second", [_refusal(1), _answer(1, more=True)])
async def test_a_frame_that_contradicts_a_streamed_answer_ends_its_body(second):
    async def serve(stream):
        async for frame in _frames_from(stream):
            if isinstance(frame, frames.OpenCall):
                first = _answer(1, more=True)
                stream.send_nowait(frames.encode(first) + frames.encode(second))

    async with _links() as links, _scripted_peer(serve) as address:
        outcome = await links.mailbox.ask(_exchange(address))
        with (
            trio.fail_after(1),
            pytest.raises(exceptions.ConnectionFailedError),
        ):
            await outcome.response.rest.read()


# Guards against a call that takes the number of another taking its frames.
async def test_a_number_in_use_ends_the_connection_and_cancels_its_calls():
    ended = []

    async def handler(request):
        try:
            await mailbox.Reply().wait()
        finally:
            ended.append(request)

    async with _peer(handler) as address:
        stream = await _connect_as_peer(address)
        for _ in range(2):
            stream.send_nowait(frames.encode(fakes.open_call(1)))
        with trio.fail_after(1):
            assert await stream.receive(100) == b""
    assert len(ended) == 1


# Guards against a call that waits for a connection getting no outcome at all.
async def test_close_during_a_connect_reports_the_call_as_not_run(monkeypatch):
    async def connect(address):
        await trio.sleep_forever()

    monkeypatch.setattr(sockets, "connect", connect)
    outcomes = []

    async def send():
        exchange = _exchange(loopback.free_address())
        outcomes.append(await links.mailbox.ask(exchange))

    async with _links() as links, trio.open_nursery() as nursery:
        nursery.start_soon(send)
        await trio.testing.wait_all_tasks_blocked()
        await links.close()
        nursery.cancel_scope.deadline = trio.current_time() + 1
    (outcome,) = outcomes
    assert outcome.run is model.RunState.NOT_RUN


# Guards against calls being dropped unread when a node stops.
@pytest.mark.usefixtures("scheduling")
async def test_close_refuses_the_calls_that_have_arrived_and_disconnects():
    async def handler(request):
        return model.Refuse(code=exceptions.STOPPING, detail="")

    servers = []
    async with _peer(handler, servers=servers) as address:
        stream = await _connect_as_peer(address)
        await trio.testing.wait_all_tasks_blocked()
        stream.send_nowait(frames.encode(fakes.open_call(1)))
        await servers[0].close()
        with trio.fail_after(1):
            received = [frame async for frame in _frames_from(stream)]
    (refusal,) = received
    assert (refusal.code, refusal.run) == (exceptions.STOPPING, "not-run")


# Guards against a streamed answer that waits for ever for a silent node.
async def test_streamed_answer_ends_after_the_deadline_if_its_node_is_silent():
    async def serve(stream):
        async for frame in _frames_from(stream):
            if isinstance(frame, frames.OpenCall):
                answer = _answer(frame.call, more=True)
                stream.send_nowait(frames.encode(answer))

    async with _links() as links, _scripted_peer(serve) as address:
        outcome = await links.mailbox.ask(_exchange(address, timeout=0.3))
        with (
            trio.fail_after(1.5),
            pytest.raises(exceptions.ConnectionFailedError),
        ):
            await outcome.response.rest.read()


# Guards against calls in the backlog of a stopping node being reset unread, so
# that the calling node must count them as calls that may have run.
@pytest.mark.usefixtures("scheduling")
@pytest.mark.parametrize("turns", range(4))
async def test_close_refuses_calls_on_connections_that_have_just_arrived(turns):
    """The stop comes from 0 to 3 turns of the loop after the connections."""

    async def handler(request):
        return model.Refuse(code=exceptions.STOPPING, detail="")

    servers = []
    hello = frames.Hello(vm="x", proof=peer_links.hello_proof("x", SECRET))
    data = frames.encode(hello) + frames.encode(fakes.open_call(1))
    connections = []
    async with _peer(handler, servers=servers) as address:
        await trio.testing.wait_all_tasks_blocked()
        for _ in range(3):
            connection = socket.create_connection((address.host, address.port))
            connection.sendall(data)
            connections.append(connection)
        for _ in range(turns):
            await trio.lowlevel.checkpoint()
        await servers[0].close()
        await trio.testing.wait_all_tasks_blocked()
        received = []
        for connection in connections:
            connection.settimeout(1)
            buffer = frames.FrameBuffer()
            while part := connection.recv(65536):
                received += buffer.feed(part)
            connection.close()
        assert not servers[0].busy
    assert [(r.code, r.run) for r in received] == [
        (exceptions.STOPPING, "not-run")
    ] * 3


# Guards against calls to a node that reads nothing taking all memory.
async def test_calls_on_a_congested_connection_are_refused_as_not_run(
    monkeypatch,
):
    monkeypatch.setattr(peer_connection, "MAX_UNSENT", 4 << 20)
    reads_on = trio.Event()
    buffer = frames.FrameBuffer()

    async def serve(stream):
        await reads_on.wait()
        while data := await stream.receive(65536):
            for frame in buffer.feed(data):
                if isinstance(frame, frames.OpenCall):
                    await stream.send(frames.encode(_answer(frame.call)))

    outcomes = []

    async def send():
        exchange = _exchange(address, timeout=5.0, body=bytes(1 << 20))
        outcomes.append(await links.mailbox.ask(exchange))

    async with _links() as links, _scripted_peer(serve) as address:
        async with trio.open_nursery() as nursery:
            for _ in range(40):
                nursery.start_soon(send)
            await trio.testing.wait_all_tasks_blocked(0.05)
            refused = list(outcomes)
            reads_on.set()
        outcome = await links.mailbox.ask(_exchange(address))
        assert isinstance(outcome, model.Answer)
    assert refused
    assert {(o.code, o.run) for o in refused} == {
        (exceptions.PEER_UNREACHABLE, model.RunState.NOT_RUN)
    }
    answers = outcomes[len(refused) :]
    assert {type(outcome) for outcome in answers} == {model.Answer}


# Guards against answers to a node that reads nothing taking all memory.
async def test_a_node_that_reads_no_answers_gets_its_calls_refused(monkeypatch):
    monkeypatch.setattr(peer_connection, "MAX_UNSENT", 4 << 20)
    handled = []

    async def handler(request):
        handled.append(request)
        return model.Answer(
            response=model.Response(status=200, headers=(), body=bytes(1 << 20))
        )

    async with _peer(handler) as address:
        stream = await _connect_as_peer(address)
        for number in range(1, 41):
            call = fakes.open_call(number, confirm=False)
            stream.send_nowait(frames.encode(call))
        await trio.testing.wait_all_tasks_blocked(0.05)
        outcomes = {}
        with trio.fail_after(5):
            async for frame in _frames_from(stream):
                outcomes[frame.call] = frame
                if len(outcomes) == 40:
                    break
        stream.close()
    refused = [
        outcome
        for outcome in outcomes.values()
        if isinstance(outcome, frames.RefuseCall)
    ]
    assert refused and len(handled) == 40 - len(refused)
    assert {refusal.run for refusal in refused} == {model.RunState.NOT_RUN}


# Guards against a stop that discards answers that wait to be sent.
async def test_close_sends_the_answers_of_calls_that_have_ended():
    size = 3 << 20

    async def handler(request):
        return model.Answer(
            response=model.Response(status=200, headers=(), body=bytes(size))
        )

    servers, received = [], []
    async with _peer(handler, servers=servers) as address:
        stream = await _connect_as_peer(address)
        for number in range(1, 4):
            call = fakes.open_call(number, confirm=False)
            stream.send_nowait(frames.encode(call))
        await trio.testing.wait_all_tasks_blocked(0.05)
        assert servers[0].busy
        async with trio.open_nursery() as nursery:
            nursery.start_soon(servers[0].close)
            with trio.fail_after(5):
                async for frame in _frames_from(stream):
                    received.append((frame.call, len(frame.body)))
        assert not servers[0].busy
        stream.close()
    assert received == [(number, size) for number in range(1, 4)]


# Guards against a stop that waits for ever for a node that reads nothing.
async def test_close_gives_up_on_a_node_that_reads_no_answers(monkeypatch):
    async def handler(request):
        return model.Answer(
            response=model.Response(status=200, headers=(), body=bytes(3 << 20))
        )

    servers = []
    async with _peer(handler, servers=servers) as address:
        stream = await _connect_as_peer(address)
        for number in range(1, 5):
            call = fakes.open_call(number, confirm=False)
            stream.send_nowait(frames.encode(call))
        await trio.testing.wait_all_tasks_blocked(0.05)
        with trio.move_on_after(0.1) as scope:
            await servers[0].close()
        assert scope.cancelled_caught
        with trio.fail_after(5), contextlib.suppress(OSError):
            while await stream.receive(1 << 20):
                pass
        assert not servers[0].busy
        stream.close()


# Guards against other tasks standing still while all input of one node is read.
@pytest.mark.usefixtures("scheduling")
async def test_other_tasks_run_while_the_input_before_a_deadline_is_read(
    monkeypatch,
):
    """The loop stands still until a call is overdue, while input waits."""
    monkeypatch.setattr(http, "RECEIVE_SIZE", 1024)
    reads = []
    receive_nowait = sockets.Stream.receive_nowait

    def count_read(stream, size):
        reads.append(size)
        return receive_nowait(stream, size)

    monkeypatch.setattr(sockets.Stream, "receive_nowait", count_read)
    reads_by_turn = []

    async def count_reads():
        while True:
            before = len(reads)
            await trio.lowlevel.checkpoint()
            reads_by_turn.append(len(reads) - before)

    async def handler(request):
        await mailbox.Reply().wait()

    async with _peer(handler) as address, trio.open_nursery() as nursery:
        stream = await _connect_as_peer(address)
        call = fakes.open_call(confirm=False, remaining_ms=200)
        stream.send_nowait(frames.encode(call))
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(count_reads)
        await trio.lowlevel.checkpoint()
        credit = frames.encode(frames.Credit(call=2, count=1))
        stream.send_nowait(credit * (50 * 1024 // len(credit)))
        time.sleep(0.4)
        await trio.sleep(0.3)
        nursery.cancel_scope.cancel()
        stream.close()
    assert sum(reads_by_turn) >= 50
    assert max(reads_by_turn) <= 3


# Guards against connections of nodes taking the descriptors for callers.
async def test_connections_above_the_limit_are_closed_at_once(monkeypatch):
    monkeypatch.setattr(peer_server, "CONNECTION_LIMIT", 2)

    async def handler(request):
        return fakes.answer()

    async def is_served():
        stream = await _connect_as_peer(address)
        streams.append(stream)
        with contextlib.suppress(OSError):
            stream.send_nowait(frames.encode(fakes.open_call(confirm=False)))
            with trio.fail_after(1):
                return bool(await stream.receive(65536))
        return False

    streams = []
    async with _peer(handler) as address:
        assert [await is_served() for _ in range(3)] == [True, True, False]
        streams[0].close()
        await trio.testing.wait_all_tasks_blocked()
        assert await is_served()
        for stream in streams:
            stream.close()


class _FaultyBody:
    """The rest of an answer that fails for an unknown reason."""

    def __init__(self):
        self.closed = False

    async def read(self):
        await trio.lowlevel.checkpoint()
        raise ValueError("a fault")

    async def close(self):
        self.closed = True


# Guards against a fault in one streamed answer ending the node with all calls.
async def test_a_fault_in_a_streamed_answer_ends_only_its_call():
    body = _FaultyBody()

    async def handler(request):
        rest = body if request.body == b"faulty" else None
        return model.Answer(
            response=model.Response(
                status=200, headers=(), body=b"begin", rest=rest
            )
        )

    async with _links() as links, _peer(handler) as address:
        faulty = await links.mailbox.ask(_exchange(address, body=b"faulty"))
        with (
            trio.fail_after(1),
            pytest.raises(exceptions.ConnectionFailedError),
        ):
            await faulty.response.rest.read()
        outcome = await links.mailbox.ask(_exchange(address))
    assert isinstance(outcome, model.Answer)
    assert body.closed


# Guards against an upload that starts after its call has ended: it read the
# body beside the connection's own task, and the exception ended the process.
async def test_a_call_that_is_refused_with_its_offer_uploads_nothing():
    class Body:
        reads = 0

        async def read(self):
            self.reads += 1
            await trio.sleep_forever()

        async def close(self):
            pass

    async def serve(stream):
        async for frame in _frames_from(stream):
            if isinstance(frame, frames.OpenCall):
                offer = frames.encode(frames.Offer(call=frame.call))
                await stream.send(offer + frames.encode(_refusal(frame.call)))

    body = Body()
    async with _scripted_peer(serve) as address, _links() as links:
        with trio.fail_after(2):
            outcome = await links.mailbox.ask(
                _exchange(address, confirm=True, body=b"a", rest=body)
            )
            assert isinstance(outcome, model.Refuse)
            await trio.testing.wait_all_tasks_blocked(0.05)
    assert body.reads == 0
