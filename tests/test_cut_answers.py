"""Answers that the upstream breaks off, repeats or never ends.

One node or two pass them on to a caller, over real sockets.
"""

import contextlib
import itertools
import json
import socket
import struct

from bench import routed
import h11
import hypothesis
from hypothesis import strategies
import pytest
import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import settings
from sassafrashall.controllers import upstream_pool
from sassafrashall.platform import dialect
from sassafrashall.transport import http
from tests import fakes
from tests import loopback

SHORT = b"a body that is buffered"
LONG = bytes(range(256)) * 3000  # streamed, and longer than a peer's window
CHUNK_SIZE = 20_000
HEAD = (
    b"HTTP/1.1 200 OK\r\nrequest-id: %b\r\nresponse-signature: s\r\n"
    b"content-type: text/plain\r\n"
)
REQUEST = (
    b"GET /x HTTP/1.1\r\nHost: beta.example\r\nRequest-Id: %b\r\n"
    b"Connection: close\r\n\r\n"
)
POST = REQUEST.replace(b"GET", b"POST").replace(
    b"Connection", b"Content-Length: %d\r\nConnection"
)


def _with_length(body):
    return HEAD + b"content-length: %d\r\n\r\n" % len(body), body


def _with_padded_length(body):
    return HEAD + b"content-length: %d \r\n\r\n" % len(body), body


def _chunked(body):
    chunks = [
        body[start : start + CHUNK_SIZE]
        for start in range(0, len(body), CHUNK_SIZE)
    ]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(c), c) for c in chunks)
    return HEAD + b"transfer-encoding: chunked\r\n\r\n", framed + b"0\r\n\r\n"


def _until_close(body):
    return HEAD + b"connection: close\r\n\r\n", body


FRAMINGS = {
    "length": _with_length,
    "padded length": _with_padded_length,
    "chunked": _chunked,
    "until close": _until_close,
}
# Positions in a head, counted from its beginning and from its end.
CUTS_IN_HEAD = (0, 5, 12, 17, 25, -20, -4, -3, -2, -1)
# Positions in a framed body; 0 is the end of the head.
CUTS_IN_BODY = (0, 1, -7, -6, -5, -4, -3, -2, -1)


def _cut_bytes(data, position):
    return data[:position] if position >= 0 else data[: len(data) + position]


def _cut_answers(framing, body, ends_by_reset):
    """Returns the beginnings of an answer that must not look complete."""
    head, framed = FRAMINGS[framing](body)
    answers = [_cut_bytes(head, position) for position in CUTS_IN_HEAD]
    answers.append(b"HTTP/1.1 100 Continue\r\n\r\n")
    if framing != "until close" or ends_by_reset:
        answers += [
            head + _cut_bytes(framed, position)
            for position in (*CUTS_IN_BODY, len(framed) // 2)
        ]
    if framing == "until close" and ends_by_reset:
        answers.append(head + framed)
    return answers


class _RawUpstream:
    """Sends the bytes of `answer` for each request and ends the connection.

    Attributes:
      answer: What to send; `%b` stands for the ID of the request.
      reset: Whether the connection ends by a reset.
      requests: Number of requests received.
      endless: What to send over and over after `answer`.
      sent: Bytes sent of that.
    """

    def __init__(self):
        self.answer = b""
        self.reset = False
        self.endless = b""
        self.requests = 0
        self.sent = 0

    async def serve(self, stream):
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                data = await stream.receive_some(65536)
                self.requests += 1
                _, _, after = data.partition(b"request-id: ")
                request_id = after.partition(b"\r")[0]
                answer = self.answer.replace(b"%b", request_id, 1)
                await stream.send_all(answer)
                while self.endless:
                    await stream.send_all(self.endless)
                    self.sent += len(self.endless)
                if self.reset:
                    # A reset discards what the node has not read yet.
                    await trio.sleep(0.02)
                    stream.socket.setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )


async def _announce_regularly(upstream):
    while True:
        with contextlib.suppress(Exception):
            await upstream.announce()
        await trio.sleep(routed.HEARTBEAT_INTERVAL)


@contextlib.asynccontextmanager
async def _fleet(upstream=None, *, slots=50, policy=None, **route):
    """Runs two nodes; the upstream beside `vm-b` is a raw one."""
    fleet = routed.Fleet(
        services={"vm-a": "alpha", "vm-b": "beta"}, policy=policy
    )
    upstream = upstream or _RawUpstream()
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery, upstreams=False)
            await nursery.start(fleet.upstreams["vm-a"].run)
            announced = fleet.upstreams["vm-b"]
            announced.slots = slots
            listeners = await trio.open_tcp_listeners(
                announced.address.port, host=announced.address.host
            )
            nursery.start_soon(trio.serve_listeners, upstream.serve, listeners)
            nursery.start_soon(_announce_regularly, announced)
            await fleet.apply_configuration(
                routed.document(services=("alpha", "beta"), **route)
            )
            yield fleet, upstream
            nursery.cancel_scope.cancel()
    finally:
        fleet.close()


async def _ask(fleet, vm, data=REQUEST % b"r1"):
    """Returns the status and the body, or None if the answer is incomplete."""
    address = fleet.callers[vm]
    stream = await trio.open_tcp_stream(address.host, address.port)
    received = b""
    async with stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
        with contextlib.suppress(trio.BrokenResourceError):
            while data := await stream.receive_some(65536):
                received += data
    return _parse(received)


def _parse(received):
    """Parses an answer independently of the code under test."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(
        h11.Request(method="GET", target="/x", headers=[("host", "beta")])
    )
    parser.send(h11.EndOfMessage())
    if received:
        parser.receive_data(received)
    parser.receive_data(b"")
    status, body = None, b""
    try:
        while True:
            match parser.next_event():
                case h11.Response(status_code=status):
                    pass
                case h11.Data(data=data):
                    body += bytes(data)
                case h11.EndOfMessage():
                    return status, body
                case h11.ConnectionClosed():
                    return None
    except h11.RemoteProtocolError:
        return None


@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
@pytest.mark.parametrize("reset", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("body", [SHORT, LONG], ids=["buffered", "streamed"])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_an_answer_that_is_cut_does_not_look_complete(
    framing, body, reset, vm
):
    async with _fleet() as (fleet, upstream):
        upstream.reset = reset
        for answer in _cut_answers(framing, body, reset):
            upstream.answer = answer
            before = upstream.requests
            with trio.fail_after(5):
                outcome = await _ask(fleet, vm)
            end = answer[-40:]
            assert upstream.requests > before, f"{end!r} was not asked for"
            assert outcome is None or outcome[0] in (502, 504), (
                f"{end!r} looked complete: {outcome[0]}"
            )


@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_an_answer_cut_at_any_byte_of_its_head_fails(framing, vm):
    async with _fleet() as (fleet, upstream):
        head, _ = FRAMINGS[framing](SHORT)
        for position in range(len(head)):
            upstream.answer = head[:position]
            with trio.fail_after(5):
                outcome = await _ask(fleet, vm)
            assert outcome is not None and outcome[0] in (502, 504), (
                f"{head[:position]!r} looked complete: {outcome}"
            )


@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
@pytest.mark.parametrize("body", [SHORT, LONG], ids=["buffered", "streamed"])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_an_answer_that_is_not_cut_is_complete(framing, body, vm):
    async with _fleet() as (fleet, upstream):
        upstream.answer = b"".join(FRAMINGS[framing](body))
        with trio.fail_after(5):
            assert await _ask(fleet, vm) == (200, body)


# Guards against a refusal, in place of the rest of a body, that ends the body.
@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
@pytest.mark.parametrize("refusal_id", [b"r1", b"r2"])
async def test_a_refusal_within_a_streamed_answer_breaks_it_off(refusal_id, vm):
    async with _fleet() as (fleet, upstream):
        head, framed = _chunked(LONG)
        upstream.answer = (
            head
            + framed[: len(framed) // 2].rpartition(b"\r\n4e20\r\n")[0]
            + b"\r\nHTTP/1.1 503 Full\r\nnot-executed: full\r\n"
            + b"request-id: %b\r\ncontent-length: 0\r\n\r\n" % refusal_id
        )
        with trio.fail_after(5):
            assert await _ask(fleet, vm) is None


# Guards against memory that grows with what a slow caller does not read.
@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
async def test_body_without_end_waits_for_a_caller_that_reads_slowly(vm):
    async with _fleet() as (fleet, upstream):
        upstream.answer = HEAD + b"transfer-encoding: chunked\r\n\r\n"
        upstream.endless = b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
        address = fleet.callers[vm]
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(REQUEST % b"r1")
            assert await stream.receive_some(20)
            await trio.sleep(1.0)
            sent = upstream.sent
            await trio.sleep(0.3)
            assert upstream.sent == sent
            # The buffers of the sockets on the way hold most of it.
            assert 0 < sent < 32 * 1024 * 1024


# Guards against slots that callers hold, long after their deadline, by not
# reading their answers.
@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
async def test_slot_of_a_caller_that_does_not_read_is_free_at_its_deadline(vm):
    async with _fleet(slots=1, timeout="500ms") as (fleet, upstream):
        upstream.answer = HEAD + b"transfer-encoding: chunked\r\n\r\n"
        upstream.endless = b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
        address = fleet.callers[vm]
        stream = await trio.open_tcp_stream(address.host, address.port)
        async with stream:
            await stream.send_all(REQUEST % b"r1")
            assert await stream.receive_some(20)
            upstream.answer = b"".join(_with_length(SHORT))
            upstream.endless = b""
            with trio.fail_after(10):
                while await _ask(fleet, vm) != (200, SHORT):
                    await trio.sleep(0.1)


# Guards against a slot that a refusal takes for good.
@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
async def test_long_refusals_leave_the_slot_to_other_requests(vm):
    async with _fleet(slots=1, max_attempts=1) as (fleet, upstream):
        for framing in FRAMINGS:
            head, framed = FRAMINGS[framing](LONG)
            head = head.replace(b"200 OK", b"503 Full")
            upstream.answer = (
                head.replace(b"\r\n", b"\r\nnot-executed: full\r\n", 1) + framed
            )
            with trio.fail_after(5):
                assert (await _ask(fleet, vm))[0] == 503
                upstream.answer = b"".join(_with_length(SHORT))
                while await _ask(fleet, vm) != (200, SHORT):
                    await trio.sleep(0.1)


# Guards against memory that grows with what an upstream does not read.
@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
async def test_request_without_end_waits_for_an_upstream_that_does_not_read(vm):
    async with _fleet(_DeafUpstream()) as (fleet, upstream):
        address = fleet.callers[vm]
        stream = await trio.open_tcp_stream(address.host, address.port)
        sent = 0
        async with stream:
            await stream.send_all(
                REQUEST.replace(b"GET", b"POST").replace(
                    b"Connection", b"Transfer-Encoding: chunked\r\nConnection"
                )
                % b"r1"
            )
            blocked = False
            while not blocked:
                with trio.move_on_after(1.0) as scope:
                    await stream.send_all(
                        b"10000\r\n" + b"a" * 0x10000 + b"\r\n"
                    )
                    sent += 0x10000
                blocked = scope.cancelled_caught
                # The buffers of the sockets on the way hold most of it.
                assert sent < 32 * 1024 * 1024
        assert upstream.connections == 1


class _DeafUpstream:
    """Accepts connections and reads nothing.

    Attributes:
      connections: Number of connections accepted.
    """

    def __init__(self):
        self.connections = 0

    async def serve(self, stream):
        self.connections += 1
        async with stream:
            await trio.sleep_forever()


class _UploadWithoutEnd:
    """The rest of a request's body; its caller never sends it."""

    async def read(self):
        await trio.sleep_forever()

    async def close(self):
        pass


async def _exchange(pool, address, method, uploading):
    """Returns the status and the whole body of a response."""
    headers = (("host", "h"), ("request-id", "r1"))
    raw = http.RawRequest(
        method=method,
        target="/",
        headers=headers,
        body=b"",
        source=model.Source.PEER,
        received_at=0.0,
        rest=_UploadWithoutEnd() if uploading else None,
    )
    response = await pool.mailbox.ask(
        messages.UpstreamExchange(
            address=address,
            encode=lambda now: raw,
            is_answer=dialect.UpstreamDialect().response_matcher(
                fakes.request(headers=headers)
            ),
            max_idle=messages.NO_IDLE_LIMIT,
            deadline=clock.monotonic() + 30,
        )
    )
    body = response.body
    if response.rest is not None:
        while data := await response.rest.read():
            body += data
    return response.status, body


async def _answer_in_pieces(pieces, reset, method, uploading):
    """Returns what the pool takes for an answer; None if it fails."""
    address = loopback.free_address()

    async def serve(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some(65536)
            for piece in pieces:
                await stream.send_all(piece)
                await trio.testing.wait_all_tasks_blocked()
        if reset:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        await stream.aclose()

    pool = upstream_pool.UpstreamPool(counters=fakes.counters())
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host
        )
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        outcome = None
        async with fakes.started(pool):
            with contextlib.suppress(exceptions.ConnectionFailedError):
                with trio.fail_after(10):
                    outcome = await _exchange(pool, address, method, uploading)
        nursery.cancel_scope.cancel()
    return outcome


def _draw_answer(draw, framing):
    """Returns an answer: its head, its framed body, its status and its body."""
    status = draw(strategies.sampled_from([200, 200, 503, 204, 304]))
    method = draw(strategies.sampled_from(["GET", "GET", "GET", "HEAD"]))
    body = draw(strategies.sampled_from([b"", b"x", SHORT, LONG[:150_000]]))
    interim = draw(strategies.sampled_from([b"", b"HTTP/1.1 102 P\r\n\r\n"]))
    head, framed = FRAMINGS[framing](body)
    head = interim + head.replace(b"200 OK", b"%d X" % status)
    head = head.replace(b"%b", b"r1")
    if method == "HEAD" or status in (204, 304):
        return head, b"", status, b"", method, False
    return head, framed, status, body, method, framing == "until close"


# Guards against any way of cutting an answer that makes it look complete.
@pytest.mark.parametrize("framing", FRAMINGS)
@hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
@hypothesis.given(
    data=strategies.data(),
    reset=strategies.booleans(),
    uploading=strategies.booleans(),
)
def test_only_a_whole_answer_is_taken_for_one(framing, data, reset, uploading):
    head, framed, status, body, method, until_close = _draw_answer(
        data.draw, framing
    )
    whole = head + framed
    cut = data.draw(
        strategies.one_of(
            strategies.just(len(whole)),
            strategies.integers(0, min(len(whole), len(head) + 10)),
            strategies.integers(max(0, len(whole) - 10), len(whole)),
            strategies.integers(0, len(whole)),
        ),
        label="cut",
    )
    sent = whole[:cut]
    if cut == len(whole) and not until_close:
        sent += data.draw(
            strategies.sampled_from([b"", b"\0", b"HTTP/1.1 503 A\r\n\r\n"])
        )
    splits = data.draw(
        strategies.lists(strategies.integers(0, len(sent)), max_size=4)
    )
    bounds = [0, *sorted(splits), len(sent)]
    pieces = [sent[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    outcome = trio.run(_answer_in_pieces, pieces, reset, method, uploading)
    if until_close and cut >= len(head):
        expected = (status, framed[: cut - len(head)])
        must_fail, must_succeed = reset, not reset
    else:
        expected = (status, body)
        must_fail = cut < len(whole)
        must_succeed = not must_fail and not reset
    if must_fail:
        assert outcome is None
    elif must_succeed:
        assert outcome == expected
    else:
        # The reset may discard what has not been read.
        assert outcome in (None, expected)


class _RepeatingUpstream:
    """Refuses a request, and writes that refusal once more on its connection.

    Attributes:
      refused: ID of the request to refuse; other requests run.
      refusal: The refusal.
      timing: When it is written once more.
      answer: What follows the repeated refusal as the answer.
      ran: IDs of the requests that ran.
    """

    def __init__(self):
        self.refused = b""
        self.refusal = b""
        self.timing = ""
        self.answer = b""
        self.ran = []

    async def serve(self, stream):
        async with stream:
            with contextlib.suppress(trio.BrokenResourceError):
                unsent = b""
                while request_id := await self._receive(stream):
                    if request_id == self.refused:
                        self.refused = b""
                        unsent = await self._refuse(stream)
                        continue
                    self.ran.append(request_id)
                    await stream.send_all(unsent)
                    if unsent:
                        await trio.sleep(0.02)
                    answer = self.answer.replace(b"%b", request_id, 1)
                    await stream.send_all(answer)
                    # The next case begins with a connection of its own.
                    return

    async def _receive(self, stream):
        """Reads a request and returns its ID; none at the end."""
        data = b""
        while b"\r\n\r\n" not in data:
            if not (part := await stream.receive_some(65536)):
                return b""
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        _, _, length = head.partition(b"content-length: ")
        missing = int(length.split()[0]) - len(body) if length else 0
        while missing > 0:
            missing -= len(await stream.receive_some(65536))
        return head.partition(b"request-id: ")[2].partition(b"\r")[0]

    async def _refuse(self, stream):
        """Sends the refusal; returns what is left for the next request."""
        half = len(self.refusal) // 2
        match self.timing:
            case "at once":
                await stream.send_all(self.refusal * 2)
                return b""
            case "in two parts":
                await stream.send_all(self.refusal + self.refusal[:half])
                return self.refusal[half:]
            case "while idle":
                await stream.send_all(self.refusal)
                await trio.sleep(0.01)
                await stream.send_all(self.refusal)
                return b""
            case _:
                await stream.send_all(self.refusal)
                return self.refusal


REFUSALS = [
    b"HTTP/1.1 503 Full\r\nnot-executed: full\r\n",
    b"HTTP/1.1 421 Misdirected\r\nnot-executed: other\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nnot-executed: full\r\n",
]
NOT_RUN_STATUSES = (408, 421, 429, 503)


# Guards against a request that runs and is told as not run, or runs twice.
@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
@pytest.mark.parametrize("refused_id", [None, b"r1"])
@pytest.mark.parametrize(
    "timing", ["at once", "in two parts", "while idle", "before the answer"]
)
async def test_repeated_refusal_tells_nothing_about_another_request(
    timing, refused_id, vm
):
    upstream = _RepeatingUpstream()
    upstream.timing = timing
    end = b"content-length: 0\r\n\r\n"
    if refused_id is not None:
        end = b"request-id: %b\r\n" % refused_id + end
    answers = itertools.cycle(FRAMINGS.values())
    async with _fleet(upstream, route_type="non_idempotent") as (fleet, _):
        for refusal, second_id, body in itertools.product(
            REFUSALS, (b"r1", b"r2"), (b"", LONG)
        ):
            upstream.refused = b"r1"
            upstream.refusal = refusal + end
            upstream.answer = b"".join(next(answers)(LONG))
            for request_id in (b"r1", second_id):
                upstream.ran = []
                request = POST % (request_id, len(body)) + body
                with trio.fail_after(5):
                    outcome = await _ask(fleet, vm, request)
                _check_outcome(outcome, request_id, upstream.ran)
            assert not upstream.refused, "nothing was refused"
            assert upstream.ran == [second_id]


def _check_outcome(outcome, request_id, ran):
    """Checks what a caller was told about a request that isn't idempotent."""
    assert ran in ([], [request_id])
    match outcome:
        case (status, _) if status in NOT_RUN_STATUSES:
            assert not ran, f"{status}, though it ran"
        case (200, body):
            assert ran and body == LONG
        case (status, _):
            assert status in (502, 504)


# --- answers whose status is none --------------------------------------------

# RFC 9110, section 15, defines 100 to 599.
ODD_STATUSES = (b"000", b"099", b"0", b"-01", b"00", b"0200", b"600", b"999")
SOUND_STATUSES = (200, 201, 404, 421, 425, 429, 500, 503, 599)


def _with_status(status, headers=b"", body=SHORT):
    """Returns an answer with that text as its status."""
    return (
        b"HTTP/1.1 %s X\r\nrequest-id: " % status
        + b"%b\r\n"
        + headers
        + b"content-length: %d\r\n\r\n" % len(body)
        + body
    )


async def _ask_raw(fleet, vm):
    """Returns the bytes of the answer."""
    address = fleet.callers[vm]
    stream = await trio.open_tcp_stream(address.host, address.port)
    received = b""
    async with stream:
        await stream.send_all(REQUEST % b"r1")
        while data := await stream.receive_some(65536):
            received += data
    return received


@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
@pytest.mark.parametrize("status", ODD_STATUSES)
async def test_an_answer_without_a_defined_status_is_a_failure(status, vm):
    """Guards against a caller that takes 000 or 999 for an answer.

    The upstream may have run the request, so that no refusal that promises
    the opposite may take its place.
    """
    headers = b"response-signature: s\r\nretry-after: 1\r\n"
    async with _fleet() as (fleet, upstream):
        upstream.answer = _with_status(status, headers)
        received = await _ask_raw(fleet, vm)
        assert upstream.requests
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 502 ")
    assert b"response-signature" not in head.lower()
    assert json.loads(body)["run"] == "unknown"


async def test_answers_without_a_defined_status_trip_the_breaker():
    """Guards against a worker in trouble that goes on to get requests."""
    policy = settings.Policy(
        limit="fixed",
        routing="least-loaded",
        retries="arrivals",
        early_shed="none",
        breaker="consecutive-failures",
    )
    async with _fleet(policy=policy) as (fleet, upstream):
        upstream.answer = _with_status(b"999")
        with trio.fail_after(20):
            while True:
                received = await _ask_raw(fleet, "vm-b")
                if received.startswith(b"HTTP/1.1 503 "):
                    break
        assert b"retry-after" in received.lower()


@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
async def test_an_answer_with_a_defined_status_is_passed_on(vm):
    """Guards against a check of statuses that takes a sound one for odd."""
    headers = b"response-signature: s\r\nretry-after: 1\r\n"
    async with _fleet() as (fleet, upstream):
        for status in SOUND_STATUSES:
            upstream.answer = _with_status(b"%d" % status, headers)
            received = await _ask_raw(fleet, vm)
            head, _, body = received.partition(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 %d " % status)
            assert b"response-signature: s" in head.lower()
            assert b"retry-after: 1" in head.lower()
            assert body == SHORT


@pytest.mark.parametrize("vm", ["vm-a", "vm-b"])
@pytest.mark.parametrize("status", [b"204", b"304"])
async def test_an_answer_without_a_body_is_passed_on(status, vm):
    async with _fleet() as (fleet, upstream):
        interim = b"HTTP/1.1 102 Processing\r\n\r\n"
        upstream.answer = interim + _with_status(status, body=b"")
        received = await _ask_raw(fleet, vm)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 " + status) and not body
