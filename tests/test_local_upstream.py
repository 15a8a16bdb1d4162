"""Slots that calls hold while the local upstream answers them."""

import contextlib
import dataclasses

import pytest

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.decisions import entry_feedback
from sassafrashall.decisions import routing
from sassafrashall.filters import local_upstream
from sassafrashall.platform import dialect
from tests import fakes

UPSTREAM = model.Upstream(
    service="a",
    address=model.Address(host="127.0.0.1", port=1),
    slots=8,
    connection_limit=8,
    state=model.UpstreamState.READY,
)


class _Body:
    """The rest of a streamed response; records whether it was closed.

    Attributes:
      on_end: Called when it is closed.
    """

    def __init__(self):
        self.parts = [b"more", b""]
        self.closed = False
        self.on_end = None

    async def read(self):
        return self.parts.pop(0)

    async def close(self):
        self.closed = True
        self.on_end(False)


@contextlib.asynccontextmanager
async def _filter(
    response,
    upstream_calls=False,
    encodes=0,
    feedback_policy=None,
    monitor=None,
    check_before_send=lambda: "",
    load=-1,
    **admitted,
):
    """Yields the filter, and fakes of the pool and the admission controller.

    Args:
      response: The response of the upstream, or the error of the exchange.
      upstream_calls: Whether the upstream makes calls.
      encodes: How often the pool encodes the request.
      feedback_policy: See `LocalUpstreamFilter`; None for its default.
      monitor: Receives the messages to the demand monitor; None for a fake.
      check_before_send: See `LocalUpstreamFilter`.
      load: Of the upstream, in thousandths.
      **admitted: Fields of the answer of the admission controller.
    """
    fields = {"feedback_policy": feedback_policy} if feedback_policy else {}
    admission = fakes.ScriptedController(
        lambda message: messages.Admitted(**({"upstream": UPSTREAM} | admitted))
    )

    def respond(message):
        for number in range(encodes):
            message.encode(100.0 + number)
        if isinstance(response, Exception):
            raise response
        if response.rest is not None:
            response.rest.on_end = message.on_streamed
        return response

    pool = fakes.ScriptedController(respond)
    monitor = monitor or fakes.ScriptedController(lambda message: None)
    async with fakes.started(admission, pool, monitor):
        yield (
            local_upstream.LocalUpstreamFilter(
                admission=admission.mailbox,
                admission_level=mailbox.Published(initial=-1),
                upstream_load=mailbox.Published(initial=load),
                pool=pool.mailbox,
                dialect=dialect.UpstreamDialect(),
                counters=fakes.counters(),
                demand_monitor=monitor.mailbox,
                upstream_may_call=lambda: upstream_calls,
                route_name=lambda request: "route",
                check_before_send=check_before_send,
                **fields,
            ),
            pool,
            admission,
        )


def _released(admission):
    return [
        message
        for message in admission.received
        if isinstance(message, messages.SlotReleased)
    ]


def _response(status, *headers, body=None):
    return model.Response(status=status, headers=headers, body=b"a", rest=body)


async def test_streamed_answer_holds_its_slot_until_its_end():
    async with _filter(_response(200, body=_Body())) as (
        tested,
        pool,
        admission,
    ):
        outcome = await tested.handle(fakes.call())
        assert isinstance(outcome, model.Answer)
        assert await outcome.response.rest.read() == b"more"
        assert not _released(admission)
        (exchange,) = pool.received
        exchange.on_streamed(True)
        assert len(_released(admission)) == 1


@pytest.mark.parametrize(
    ("status", "depth", "complete", "completed"),
    [
        (200, 1, True, True),
        (200, 1, False, False),
        (200, 0, True, False),
        (500, 1, True, False),
    ],
)
async def test_a_streamed_answer_counts_as_a_completion(
    status, depth, complete, completed
):
    """Guards against a service of downloads that seems to complete nothing.

    It would be given fewer trees as soon as one of its calls is refused.
    """
    monitor = fakes.ScriptedController(lambda message: None)
    async with _filter(_response(status, body=_Body()), monitor=monitor) as (
        tested,
        pool,
        admission,
    ):
        await tested.handle(fakes.call(depth=depth))
        (exchange,) = pool.received
        exchange.on_streamed(complete)
        (released,) = _released(admission)
        assert released.latency < 0
    (ended,) = (
        message
        for message in monitor.received
        if isinstance(message, messages.RunEnded)
    )
    assert ended.completed is completed


# Guards against a slot that is lost, and against an upstream that goes on
# sending a body which nobody reads.
async def test_refusal_with_a_streamed_body_releases_its_slot():
    body = _Body()
    response = _response(503, ("not-executed", "full"), body=body)
    async with _filter(response) as (tested, _, admission):
        outcome = await tested.handle(fakes.call())
        assert isinstance(outcome, model.Refuse)
        assert outcome.run is model.RunState.NOT_RUN
        assert body.closed
        assert [message.shed for message in _released(admission)] == [True]


async def test_an_error_counts_against_an_upstream_that_makes_no_calls():
    """The error of one that calls on may be that of the other service."""
    for status, upstream_calls, failed in [
        (500, False, True),
        (504, False, True),
        (500, True, False),
        (504, True, False),
        (200, False, False),
        (404, False, False),
    ]:
        async with _filter(_response(status), upstream_calls) as (
            tested,
            _,
            admission,
        ):
            await tested.handle(fakes.call())
            (released,) = _released(admission)
            assert released.failed is failed
            assert released.timed_out is (failed and status == 504)


async def test_a_run_that_the_upstream_refused_is_told_apart():
    """Its time is no measure of what a call costs.

    Guards against the error of an upstream that calls others, which has run.
    """
    for status, upstream_calls, refused in [
        (503, False, True),
        (429, True, True),
        (500, False, True),
        (504, False, False),
        (500, True, False),
        (200, False, False),
    ]:
        monitor = fakes.ScriptedController(lambda message: None)
        async with _filter(
            _response(status), upstream_calls, monitor=monitor
        ) as (tested, _, _):
            await tested.handle(fakes.call(depth=1))
        (ended,) = (
            message
            for message in monitor.received
            if isinstance(message, messages.RunEnded)
        )
        assert ended.refused is refused, status


async def _refused_roots(status, *, upstream_calls=True, depth=0, **fields):
    """Returns how many of 200 calls are refused while others get `status`."""
    async with _filter(
        _response(status), upstream_calls=upstream_calls, **fields
    ) as (tested, pool, _):
        outcomes = [
            await tested.handle(fakes.call(root_id=f"r{n}", depth=depth))
            for n in range(200)
        ]
        refused = [o for o in outcomes if isinstance(o, model.Refuse)]
        assert len(pool.received) == 200 - len(refused)
        assert all(o.run is model.RunState.NOT_RUN for o in refused)
        return len(refused)


async def test_roots_are_refused_while_others_fail_below(monkeypatch):
    """Pattern: a burst on trees that lead to a narrow service.

    Guards against roots that run only to fail, and against calls of trees that
    run already being refused with them.
    """
    now = [1000.0]

    def advance():
        now[0] += 0.005
        return now[0]

    monkeypatch.setattr(clock, "monotonic", advance)
    policy = entry_feedback.OutcomeFeedback()
    assert await _refused_roots(500, feedback_policy=policy) > 50
    assert await _refused_roots(200, feedback_policy=policy) == 0
    assert await _refused_roots(500, depth=1, feedback_policy=policy) == 0
    # An upstream that makes no calls fails by itself.
    assert (
        await _refused_roots(500, upstream_calls=False, feedback_policy=policy)
        == 0
    )
    assert await _refused_roots(500) == 0


def _sent(admission):
    return [
        (message.sent_at, message.is_repeated)
        for message in admission.received
        if isinstance(message, messages.RequestSent)
    ]


# Guards against sends to a cold upstream that aren't counted: each one that the
# pool makes is told, with its time.
async def test_each_send_of_a_counted_request_is_told():
    for encodes, sent in [
        (0, []),
        (1, [(100.0, False)]),
        (2, [(100.0, False), (101.0, True)]),
    ]:
        async with _filter(_response(200), encodes=encodes, counted=True) as (
            tested,
            _,
            admission,
        ):
            await tested.handle(fakes.call())
            assert _sent(admission) == sent
            (released,) = _released(admission)
            assert released.unsent is not bool(sent)


async def test_sends_are_not_told_without_a_bound():
    async with _filter(_response(200), encodes=1) as (tested, _, admission):
        await tested.handle(fakes.call())
        assert not _sent(admission)
        assert not _released(admission)[0].unsent


async def test_a_cold_upstream_gets_no_request_on_a_connection_long_idle():
    """Guards against repeats of requests that were lost on such a one."""
    for cold in (False, True):
        async with _filter(_response(200), counted=True, cold=cold) as (
            tested,
            pool,
            _,
        ):
            await tested.handle(fakes.call(idempotent=True))
            (exchange,) = pool.received
            no_limit = exchange.max_idle == messages.NO_IDLE_LIMIT
            assert no_limit is not cold


async def test_a_refused_connection_is_told():
    refused = exceptions.ConnectionFailedError("no", maybe_delivered=False)
    refused.__cause__ = ConnectionRefusedError()
    expired = exceptions.ConnectionFailedError(
        "late", maybe_delivered=False, expired=True
    )
    for error, is_told in [(refused, True), (expired, False)]:
        async with _filter(error) as (tested, _, admission):
            outcome = await tested.handle(fakes.call())
            assert outcome.run is model.RunState.NOT_RUN
            assert _released(admission)[0].refused is is_told


# Guards against a calling node that takes a refusal beside the upstream for a
# failure of the way there, and after three of them sends nothing more to the
# whole data centre: a refusal without a load counts as one.
@pytest.mark.parametrize(
    ("reason", "load", "code"),
    [
        ("blocked", routing.BLOCKED_LOAD, exceptions.NO_UPSTREAM),
        ("other service", routing.BLOCKED_LOAD, exceptions.NO_UPSTREAM),
        ("not confirmed", 700, exceptions.PEER_UNREACHABLE),
    ],
)
async def test_a_refusal_before_the_send_tells_a_load(reason, load, code):
    async def decline():
        return False

    fields = {}
    request = fakes.request()
    match reason:
        case "blocked":
            fields["check_before_send"] = lambda: "evacuated"
        case "other service":
            fields["upstream"] = dataclasses.replace(UPSTREAM, service="b")
        case "not confirmed":
            request = fakes.request(confirm=decline)
    async with _filter(_response(200), load=700, **fields) as (
        tested,
        pool,
        admission,
    ):
        outcome = await tested.handle(fakes.call(request=request))
        assert outcome.code == code
        assert outcome.run is model.RunState.NOT_RUN
        assert outcome.load == load
        assert outcome.retry_after_s > 0
        assert not pool.received
        assert len(_released(admission)) == 1


# Guards against a request that is sent to an upstream of an evacuated data
# centre: between the check before the exchange and the send, a connection is
# opened, or the process may stand still.
@pytest.mark.parametrize("counted", [False, True])
async def test_an_evacuation_is_checked_directly_before_the_send(counted):
    blocks = ["", "evacuated"]
    async with _filter(
        _response(200),
        encodes=1,
        counted=counted,
        check_before_send=lambda: blocks.pop(0),
    ) as (tested, _, admission):
        outcome = await tested.handle(fakes.call())
        assert outcome.code == exceptions.NO_UPSTREAM
        assert outcome.run is model.RunState.NOT_RUN
        assert outcome.load == routing.BLOCKED_LOAD
        (released,) = _released(admission)
        assert released.unsent is counted
        assert not released.failed
        assert not _sent(admission)


# Guards against a refusal as not run of a request that was sent before, on a
# connection that the upstream had closed.
async def test_a_block_before_a_second_send_guarantees_nothing():
    blocks = ["", "", "evacuated"]
    async with _filter(
        _response(200), encodes=2, check_before_send=lambda: blocks.pop(0)
    ) as (tested, _, _):
        outcome = await tested.handle(fakes.call())
        assert outcome.code == exceptions.NO_UPSTREAM
        assert outcome.run is model.RunState.UNKNOWN


# Guards against an upstream that gets no requests since its breaker is open:
# callers that break off their uploads counted as its failures.
async def test_an_upload_that_its_caller_breaks_off_is_no_failure():
    by_caller = exceptions.ConnectionFailedError(
        "the body stopped arriving", maybe_delivered=True, by_caller=True
    )
    by_upstream = exceptions.ConnectionFailedError("no", maybe_delivered=True)
    for error, failed, code in [
        (by_caller, False, exceptions.BAD_REQUEST),
        (by_upstream, True, exceptions.UPSTREAM_FAILED),
    ]:
        async with _filter(error) as (tested, _, admission):
            outcome = await tested.handle(fakes.call())
            assert outcome.code == code
            assert outcome.run is model.RunState.UNKNOWN
            assert _released(admission)[0].failed is failed


async def test_the_cold_time_in_a_response_is_told():
    for value, told in [("2500", [2.5]), ("soon", [])]:
        response = _response(200, ("cold-remaining", value))
        async with _filter(response, counted=True) as (tested, _, admission):
            await tested.handle(fakes.call())
            assert told == [
                message.remaining_s
                for message in admission.received
                if isinstance(message, messages.ColdTold)
            ]
