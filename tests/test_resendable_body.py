"""Long request bodies that more than one attempt sends."""

import contextlib

import pytest
import trio
import trio.testing

from sassafrashall import exceptions
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.controllers import peer_links
from sassafrashall.filters import routed_dispatch
from sassafrashall.transport import frames
from sassafrashall.transport import http
from sassafrashall.transport import memory_budget
from sassafrashall.transport import peer_connection
from sassafrashall.transport import resendable_body
from sassafrashall.transport import sockets
from tests import fakes
from tests import loopback

PART = 16 * 1024  # bytes


class _Source:
    """A body of numbered parts, for one reader at a time."""

    def __init__(self, *, count, pause=0.0):
        self.parts = [bytes([n]) * PART for n in range(count)]
        self.reads = 0
        self._pause = pause
        self._reading = False

    async def read(self):
        assert not self._reading, "two tasks read one body"
        self._reading = True
        try:
            await trio.sleep(self._pause)
        finally:
            self._reading = False
        self.reads += 1
        if self.reads > len(self.parts):
            return b""
        return self.parts[self.reads - 1]


def _body(source, memory_mb=200):
    budget = memory_budget.MemoryBudget(memory_mb=memory_mb)
    account = budget.open(memory_budget.keep)
    body = resendable_body.ResendableBody(source=source, account=account)
    return body, account


async def _read_all(reader):
    data = b""
    while part := await reader.read():
        data += part
    return data


async def test_each_attempt_reads_the_body_from_its_beginning():
    source = _Source(count=4)
    body, _ = _body(source)
    for taken in (0, 1, 4):
        attempt = body.start_attempt()
        for number in range(taken):
            assert await attempt.read() == source.parts[number]
    assert await _read_all(body.start_attempt()) == b"".join(source.parts)


async def test_a_body_that_is_too_long_to_be_kept_is_sent_once():
    source = _Source(count=resendable_body.RETAINED_LIMIT // PART + 3)
    body, account = _body(source)
    attempt = body.start_attempt()
    for _ in range(resendable_body.RETAINED_LIMIT // PART):
        await attempt.read()
    assert body.is_whole
    assert account.held == resendable_body.RETAINED_LIMIT
    await attempt.read()
    assert not body.is_whole
    assert account.held == 0
    assert await _read_all(attempt) == b"".join(source.parts[-2:])


async def test_a_body_is_not_kept_if_requests_may_need_the_memory():
    source = _Source(count=4)
    body, account = _body(source, memory_mb=0)
    assert await _read_all(body.start_attempt()) == b"".join(source.parts)
    assert not body.is_whole
    assert account.held == 0


async def test_what_is_kept_is_dropped_at_the_end_of_the_call():
    source = _Source(count=4)
    body, account = _body(source)
    attempt = body.start_attempt()
    await attempt.read()
    body.close()
    body.close()
    assert account.held == 0
    assert await _read_all(attempt) == b"".join(source.parts[1:])


# Guards against a part that the upload of a refused attempt still receives
# and that the next attempt lacks.
async def test_attempts_that_overlap_lose_no_part(autojump_clock):
    source = _Source(count=4, pause=1.0)
    body, _ = _body(source)
    first = body.start_attempt()
    async with trio.open_nursery() as nursery:

        async def read_twice():
            await first.read()
            with contextlib.suppress(exceptions.ConnectionFailedError):
                await first.read()

        nursery.start_soon(read_twice)
        await trio.sleep(1.5)
        whole = await _read_all(body.start_attempt())
    assert whole == b"".join(source.parts)


async def test_a_cancelled_attempt_loses_no_part(autojump_clock):
    source = _Source(count=4, pause=1.0)
    body, _ = _body(source)
    with trio.move_on_after(2.5):
        await _read_all(body.start_attempt())
    assert await _read_all(body.start_attempt()) == b"".join(source.parts)


async def test_an_attempt_that_was_replaced_reads_no_more():
    body, _ = _body(_Source(count=4))
    first = body.start_attempt()
    body.start_attempt()
    with pytest.raises(exceptions.ConnectionFailedError):
        await first.read()


async def _refuse_late(stream, code):
    """Offers a call, and refuses it only once part of its body has arrived."""
    buffer = frames.FrameBuffer()
    arrived = 0
    while data := await stream.receive(65536):
        for frame in buffer.feed(data):
            match frame:
                case frames.OpenCall(call=call):
                    stream.send_nowait(frames.encode(frames.Offer(call=call)))
                case frames.BodyPart(call=call, data=part):
                    arrived += len(part)
                    if 0 < arrived <= len(part):
                        refusal = frames.RefuseCall(
                            call=call,
                            code=code,
                            detail="",
                            run=model.RunState.NOT_RUN,
                            retry_after_s=0.0,
                            level=-1,
                            load=-1,
                        )
                        stream.send_nowait(frames.encode(refusal))


async def _run(stream, bodies):
    """Confirms calls, takes their bodies and answers them."""
    buffer = frames.FrameBuffer()
    while data := await stream.receive(65536):
        for frame in buffer.feed(data):
            match frame:
                case frames.OpenCall(call=call, body=start):
                    bodies[call] = start
                    stream.send_nowait(frames.encode(frames.Offer(call=call)))
                case frames.BodyPart(call=call, data=b""):
                    answer = frames.AnswerCall(
                        call=call,
                        status=200,
                        headers=(),
                        body=b"",
                        more=False,
                        level=-1,
                        load=-1,
                    )
                    stream.send_nowait(frames.encode(answer))
                case frames.BodyPart(call=call, data=part):
                    bodies[call] += part
                    credit = frames.Credit(call=call, count=len(part))
                    stream.send_nowait(frames.encode(credit))


@contextlib.asynccontextmanager
async def _peers(*scripts):
    """Runs peers that handle connections by scripts; yields their addresses."""
    async with trio.open_nursery() as nursery:
        addresses = []
        for script in scripts:
            address = loopback.free_address()
            addresses.append(address)

            async def serve(accepted, script=script):
                with contextlib.suppress(OSError, trio.ClosedResourceError):
                    await script(sockets.Stream(stream=accepted))

            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host
            )
            nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield addresses
        nursery.cancel_scope.cancel()


async def _dispatch(addresses, source, idempotent, decision_time=0.0):
    """Dispatches a call whose attempts go to these addresses in turn."""

    async def choose(message):
        match message:
            case messages.ChooseUpstream(avoid=avoid):
                vm = f"vm-{len(avoid)}"
                return messages.UpstreamChoice(
                    vm=vm, address=addresses[len(avoid)]
                )
            case messages.MayRetry(attempts=attempts):
                await trio.sleep(decision_time)
                return attempts < len(addresses)

    routing = fakes.ScriptedController(choose)
    monitor = fakes.ScriptedController(lambda message: None)
    links = peer_links.PeerLinks(
        vm="vm", secret=b"secret", counters=fakes.counters()
    )
    request = fakes.request(method="POST", body=b"start", rest=source)
    async with fakes.started(routing, monitor, links):
        tested = routed_dispatch.RoutedDispatchFilter(
            node="vm",
            routing=routing.mailbox,
            links=links.mailbox,
            local=None,
            event_log=fakes.event_log(),
            demand_monitor=monitor.mailbox,
        )
        call = fakes.call(request=request, idempotent=idempotent)
        with trio.fail_after(5):
            return await tested.handle(call)


# Guards against an upstream that runs a request with part of its body missing:
# a refusal "not run" may cross the confirmation, which starts the upload.
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    "code", [exceptions.PEER_UNREACHABLE, exceptions.NO_UPSTREAM]
)
@pytest.mark.parametrize("count", [2, 10, 40])
async def test_a_body_taken_by_a_refused_attempt_is_sent_whole_or_not_at_all(
    code, idempotent, count
):
    source = _Source(count=count)
    bodies = {}
    async with _peers(
        lambda stream: _refuse_late(stream, code),
        lambda stream: _run(stream, bodies),
    ) as addresses:
        outcome = await _dispatch(addresses, source, idempotent)
    assert isinstance(outcome, model.Answer)
    assert list(bodies.values()) == [b"start" + b"".join(source.parts)]


# Guards against a refusal of a request that could have been sent in whole.
def test_all_that_an_unacknowledged_upload_takes_is_kept():
    assert resendable_body.RETAINED_LIMIT == (
        peer_connection.INITIAL_WINDOW + http.RECEIVE_SIZE
    )


# Guards against a retry of a body of which a part was dropped.
async def test_a_call_whose_body_was_not_kept_is_refused(monkeypatch):
    monkeypatch.setattr(resendable_body, "RETAINED_LIMIT", 0)
    bodies = {}
    async with _peers(
        lambda stream: _refuse_late(stream, exceptions.PEER_UNREACHABLE),
        lambda stream: _run(stream, bodies),
    ) as addresses:
        outcome = await _dispatch(addresses, _Source(count=10), False)
    assert isinstance(outcome, model.Refuse)
    assert outcome.run is model.RunState.NOT_RUN
    assert not bodies


# Guards against a request that ends as a fault inside the system: the upload of
# a refused attempt may still receive a part while the next one is chosen.
async def test_a_part_that_comes_too_late_to_be_kept_ends_no_call(monkeypatch):
    monkeypatch.setattr(resendable_body, "RETAINED_LIMIT", PART)
    source = _Source(count=4, pause=0.02)
    read = source.read

    async def read_uncancelled():
        with trio.CancelScope(shield=True):
            return await read()

    source.read = read_uncancelled
    bodies = {}
    async with _peers(
        lambda stream: _refuse_late(stream, exceptions.PEER_UNREACHABLE),
        lambda stream: _run(stream, bodies),
    ) as addresses:
        outcome = await _dispatch(addresses, source, True, decision_time=0.2)
    assert isinstance(outcome, model.Answer)
    assert list(bodies.values()) == [b"start" + b"".join(source.parts)]
