from hypothesis import given
from hypothesis import strategies
import pytest

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import frames
from tests import fakes

FRAMES = (
    frames.Hello(vm="vm", proof=b"p"),
    frames.OpenCall(
        call=1,
        call_id="c",
        root_id="r",
        service="s",
        organisation="o",
        caller="t",
        priority=0,
        remaining_ms=100,
        depth=0,
        idempotent=False,
        confirm=True,
        method="POST",
        target="/x",
        headers=(("a", "b"),),
        body=b"body",
        more=False,
    ),
    frames.Offer(call=1),
    frames.Proceed(call=1),
    frames.BodyPart(call=1, data=b"x" * 300),
    frames.Credit(call=1, count=300),
    frames.AnswerCall(
        call=1,
        status=200,
        headers=(),
        body=b"",
        more=True,
        level=-1,
        load=500,
    ),
    frames.RefuseCall(
        call=1,
        code=exceptions.SHED,
        detail="d",
        run="not-run",
        retry_after_s=0.5,
        level=-1,
        load=-1,
    ),
    frames.CancelCall(call=1),
)
ENCODED = b"".join(frames.encode(frame) for frame in FRAMES)


@given(strategies.lists(strategies.integers(0, len(ENCODED)), max_size=10))
def test_frames_decode_the_same_for_any_split_of_the_bytes(split_points):
    buffer = frames.FrameBuffer()
    boundaries = [0, *sorted(split_points), len(ENCODED)]
    decoded = []
    for start, end in zip(boundaries, boundaries[1:], strict=False):
        decoded.extend(buffer.feed(ENCODED[start:end]))
    assert tuple(decoded) == FRAMES


@given(strategies.binary(min_size=5, max_size=200))
def test_random_bytes_raise_only_protocol_errors(data):
    try:
        frames.FrameBuffer().feed(data)
    except exceptions.ProtocolError:
        return


def test_a_frame_over_the_limit_is_rejected():
    with pytest.raises(exceptions.ProtocolError):
        frames.FrameBuffer().feed(b"\xff\xff\xff\xff\x00")


def _ticket(**fields):
    values = {
        "organisation": "o",
        "root_id": "r",
        "call_id": "c",
        "node": "n",
        "service": "s",
        "priority": model.Priority.NORMAL,
        "remaining_ms": 100,
        "retries": 0,
        "depth": 0,
        "idempotent": True,
    }
    return model.Ticket(**{**values, **fields})


@pytest.mark.parametrize("may_wait", [True, False])
@pytest.mark.parametrize("urgency", [None, *model.Priority])
def test_the_context_of_a_call_is_passed_and_its_headers_are_kept(
    urgency, may_wait
):
    headers = (("a", "b"), ("c", "d"))
    request = fakes.request(headers=headers, may_wait=may_wait)
    ticket = _ticket(urgency=urgency, due_ms=0 if urgency is None else 350)
    context = frames.decode_context(frames.encode_context(request, ticket))
    assert context == frames.Context(
        headers=headers,
        urgency=urgency,
        due_ms=ticket.due_ms,
        may_wait=may_wait,
    )


# Guards against calls that fail between nodes of different builds.
@pytest.mark.parametrize("value", ["", "0", "7 1", "x 1", "1 x", "1 2 3"])
def test_an_unreadable_urgency_counts_as_unknown(value):
    context = frames.decode_context(
        (("a", "b"), (frames.URGENCY_HEADER, value))
    )
    assert context == frames.Context(headers=(("a", "b"),))
