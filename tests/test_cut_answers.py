"""Answers that the upstream breaks off, or never ends, seen by a caller.

Two nodes pass them on, over real sockets.
"""

import contextlib
import socket
import struct

from bench import routed
import h11
import pytest
import trio

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
async def _fleet():
    """Runs two nodes; the upstream beside `vm-b` is a raw one."""
    fleet = routed.Fleet(services={"vm-a": "alpha", "vm-b": "beta"})
    upstream = _RawUpstream()
    try:
        async with trio.open_nursery() as nursery:
            await fleet.start(nursery, upstreams=False)
            await nursery.start(fleet.upstreams["vm-a"].run)
            announced = fleet.upstreams["vm-b"]
            listeners = await trio.open_tcp_listeners(
                announced.address.port, host=announced.address.host
            )
            nursery.start_soon(trio.serve_listeners, upstream.serve, listeners)
            nursery.start_soon(_announce_regularly, announced)
            await fleet.apply_configuration(
                routed.document(services=("alpha", "beta"))
            )
            yield fleet, upstream
            nursery.cancel_scope.cancel()
    finally:
        fleet.close()


async def _ask(fleet, vm, request_id=b"r1"):
    """Returns the status and the body, or None if the answer is incomplete."""
    address = fleet.callers[vm]
    stream = await trio.open_tcp_stream(address.host, address.port)
    received = b""
    async with stream:
        await stream.send_all(REQUEST % request_id)
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
@pytest.mark.parametrize("body", [SHORT, LONG], ids=["buffered", "streamed"])
@pytest.mark.parametrize("framing", FRAMINGS)
async def test_an_answer_that_is_not_cut_is_complete(framing, body, vm):
    async with _fleet() as (fleet, upstream):
        upstream.answer = b"".join(FRAMINGS[framing](body))
        with trio.fail_after(5):
            assert await _ask(fleet, vm) == (200, body)


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
