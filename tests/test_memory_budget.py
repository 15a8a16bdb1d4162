"""What is held for clients has one bound, and ordinary requests keep a reserve.

The load is many clients that send legal heads of thousands of short lines, hold
parts of bodies, or keep connections open without a request.
"""

from __future__ import annotations

import contextlib

from hypothesis import given
from hypothesis import strategies
import pytest
import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall.decisions import memory_limits
from sassafrashall.transport import codec
from sassafrashall.transport import frames
from sassafrashall.transport import http1
from sassafrashall.transport import http_server
from sassafrashall.transport import memory_budget
from sassafrashall.transport import peer_server
from sassafrashall.transport import rpc
from sassafrashall.transport import stream_server
from tests import fakes
from tests import loopback

LIMIT = memory_limits.held_limit(64)
START = b"GET / HTTP/1.1\r\nHost: h\r\n"


def _holder(number, held, age):
    return memory_limits.Holder(number=number, held=held, age=age)


@pytest.mark.parametrize(
    ("holders", "expected"),
    [
        ([], ()),
        ([_holder(0, 0, 9.0)], ()),
        # Of two of one size, the one that makes less progress goes first.
        ([_holder(0, 60, 1.0), _holder(1, 60, 2.0)], (1, 0)),
        # Of two that came together, the larger one goes first.
        ([_holder(0, 20, 0.0), _holder(1, 90, 0.0)], (1, 0)),
        # A small, slow client outlasts a large one.
        ([_holder(0, 1, 9.0), _holder(1, 110, 0.5)], (1, 0)),
    ],
)
def test_clients_that_hold_most_and_progress_least_go_first(holders, expected):
    assert memory_limits.rank_removals(holders) == expected


# A crowd of small holders is the rest of what a fuzzed crowd may hold.
@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, LIMIT // 4), strategies.booleans()
        )
    )
)
def test_the_bound_holds_whatever_the_order_of_sizes(sizes):
    budget = memory_budget.MemoryBudget(memory_mb=64)
    stuck = 0
    for size, removable in sizes:
        account = budget.open(lambda removable=removable: removable)
        account.hold_input(size)
        stuck += 0 if removable else size
        budget._search_at = 0.0
        assert budget.held <= max(LIMIT, stuck)


def test_a_full_budget_has_a_reserve_for_ordinary_requests():
    ordinary = memory_limits.head_cost(20, 1000)
    costly = memory_limits.head_cost(4000, 16000)
    assert memory_limits.admits(costly, 0, LIMIT)
    assert not memory_limits.admits(costly, LIMIT, LIMIT)
    assert memory_limits.admits(ordinary, LIMIT, LIMIT)
    assert not memory_limits.admits(ordinary, 2 * LIMIT, LIMIT)


def test_a_closed_account_leaves_nothing_in_the_budget():
    budget = memory_budget.MemoryBudget()
    account = budget.open(memory_budget.keep)
    account.hold_input(1000)
    account.admit(500)
    account.hold_input(200)
    assert budget.held == 700
    account.close()
    account.release(500)
    account.hold_input(0)
    account.close()
    assert budget.held == 0


# Guards against a search through all connections for each byte that arrives
# while none of them can be removed.
def test_a_search_without_success_is_not_repeated_at_once():
    budget = memory_budget.MemoryBudget(memory_mb=64)
    asked = []
    accounts = [
        budget.open(lambda: asked.append(1) or False) for _ in range(10)
    ]
    for account in accounts:
        account.hold_input(LIMIT)
    assert len(asked) <= len(accounts)


# Without a bound on events, a read of 64 KB became thousands of objects.
def test_pipelined_requests_become_objects_only_as_they_are_taken():
    parser = http1.RequestParser(head_limit=16384)
    parser.feed(START + b"\r\n" + (START + b"\r\n") * 2000)
    assert len(parser._events) <= 2 * http1.SLICE_SIZE / len(START)
    count = 0
    while (event := parser.next_event()) is not None:
        count += isinstance(event, http1.RequestHead)
        assert len(parser._events) <= 4 * http1.SLICE_SIZE / len(START)
    assert count == 2001
    assert parser.held == 0


# Guards against 16 objects for each byte of a head that arrives slowly.
@pytest.mark.parametrize("size", [1000, 16000])
def test_an_incomplete_head_costs_little_more_than_its_bytes(size):
    parser = http1.RequestParser(head_limit=16384)
    parser.feed(START)
    for _ in range(size // 100):
        parser.feed(b"a:\r\n" * 25)
    assert parser.head_incomplete
    rest = memory_limits.PACKED_LINES * memory_limits.LINE_COST
    assert parser.held <= size + rest + 1000
    parser.feed(b"b: c\r\n\r\n")
    head = parser.next_event()
    assert len(head.headers) == 2 + size // 100 * 25
    assert head.headers[0] == ("host", "h")
    assert head.headers[1] == ("a", "")
    assert head.headers[-1] == ("b", "c")
    assert head.cost >= memory_limits.LINE_COST * len(head.headers)


_names = strategies.text(
    alphabet="abcXYZ0123456789-_", min_size=1, max_size=12
).map(str.encode)
_values = strategies.binary(max_size=20).map(
    lambda value: bytes(b for b in value if b == 9 or b >= 32 and b != 127)
)
_lines = strategies.lists(strategies.tuples(_names, _values), max_size=200)
_bodies = strategies.one_of(
    strategies.none(), strategies.lists(strategies.binary(max_size=50))
)


def _encode(lines, chunks, extension):
    head = b"POST /x HTTP/1.1\r\nHost: h\r\n"
    reserved = (b"content-length", b"transfer-encoding", b"connection")
    lines = [
        (name, value)
        for name, value in lines
        if name.lower() not in (*reserved, b"upgrade", b"host")
    ]
    head += b"".join(b"%b: %b\r\n" % line for line in lines)
    if chunks is None:
        return head + b"\r\n", lines, b""
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    framed = b"".join(
        b"%x;%b\r\n%b\r\n" % (len(chunk), extension, chunk)
        for chunk in chunks
        if chunk
    )
    return head + framed + b"0\r\n\r\n", lines, b"".join(chunks)


@given(
    strategies.lists(
        strategies.tuples(_lines, _bodies, _names), min_size=1, max_size=4
    ),
    strategies.lists(strategies.integers(0, 20_000), max_size=12),
)
def test_requests_parse_the_same_for_any_split_and_are_no_longer_held(
    requests, splits
):
    encoded = [_encode(*request) for request in requests]
    data = b"".join(request for request, _, _ in encoded)
    parser = http1.RequestParser(head_limit=16384)
    bounds = [0, *sorted(min(s, len(data)) for s in splits), len(data)]
    heads, bodies, ends = [], [], 0
    for start, end in zip(bounds, bounds[1:], strict=False):
        parser.feed(data[start:end])
        while (event := parser.next_event()) is not None:
            match event:
                case http1.RequestHead():
                    heads.append(event)
                    bodies.append(b"")
                case http1.BodyPart(data=part):
                    bodies[-1] += part
                case http1.MessageEnd():
                    ends += 1
    assert parser.held == 0
    assert ends == len(heads) == len(requests)
    for head, body, (_, lines, sent) in zip(
        heads, bodies, encoded, strict=True
    ):
        expected = [
            (n.decode().lower(), v.decode("latin-1").strip(" \t"))
            for n, v in lines
        ]
        received = [h for h in head.headers if h[0] != "transfer-encoding"]
        assert received == [("host", "h"), *expected]
        assert body == sent


@given(
    strategies.lists(
        strategies.sampled_from(
            [
                START,
                b"a:\r\n",
                b"a" * 5000,
                b"\r\n",
                b"\r\n\r\n",
                b"Transfer-Encoding: chunked\r\n\r\n",
                b"1\r\nx\r\n" * 900,
                b"0\r\n",
                b"Content-Length: 70000\r\n\r\n",
                b"x" * 65536,
                b"1;" + b"a" * 3000,
                b"a:\r\n" * 2000,
                b"\0\xff",
            ]
        ),
        max_size=20,
    )
)
def test_whatever_arrives_the_parser_holds_a_bounded_size(parts):
    parser = http1.RequestParser(head_limit=16384)
    for part in parts:
        try:
            parser.feed(part)
            while parser.next_event() is not None:
                pass
        except exceptions.ProtocolError:
            parser.close()
        assert parser.held <= 16384 + 65536 + 65 * memory_limits.LINE_COST
        if parser._parser is None:
            assert parser.held == 0
            return


@contextlib.asynccontextmanager
async def _serving(budget, *, log=None, release=None):
    async def handle(raw):
        if release is not None and raw.target == "/wait":
            await release.wait()
        return model.Response(status=200, headers=(), body=b"")

    async with loopback.serve_streams(handle, log=log, budget=budget) as (
        address,
        _,
    ):
        yield address


async def _send(address, data):
    stream = await trio.open_tcp_stream(address.host, address.port)
    await stream.send_all(data)
    return stream


# Guards against a caller that is refused since others hold all memory.
async def test_slow_heads_are_removed_and_an_ordinary_request_is_served():
    budget = memory_budget.MemoryBudget(memory_mb=64)
    log = fakes.ConnectionLog()
    lines = b"a:\r\n" * 3900
    async with _serving(budget, log=log) as address:
        with trio.fail_after(10):
            account = budget.open(memory_budget.keep)
            account.hold_input(LIMIT - 100_000)
            slow = [await _send(address, START + lines) for _ in range(10)]
            await trio.sleep(0.2)
            reasons = [closure.reason for closure in log.closures]
            assert 1 <= reasons.count(connection_log.Reason.MEMORY) < 10
            assert budget.held <= LIMIT
            reply = await loopback.send_and_receive(address, START + b"\r\n")
            assert reply.startswith(b"HTTP/1.1 200")
            for stream in slow:
                await stream.aclose()
            await trio.sleep(0.1)
            assert budget.held == LIMIT - 100_000


async def test_a_costly_head_is_refused_as_not_run_while_there_is_no_room():
    budget = memory_budget.MemoryBudget(memory_mb=64)
    lines = b"a:\r\n" * 3900
    async with _serving(budget) as address:
        data = START + lines + b"\r\n"
        reply = await loopback.send_and_receive(address, data)
        assert reply.startswith(b"HTTP/1.1 200")
        assert budget.held == 0
        account = budget.open(memory_budget.keep)
        account.hold_input(LIMIT - 100_000)
        reply = await loopback.send_and_receive(address, data)
        assert reply.startswith(b"HTTP/1.1 503")
        assert b"not_run" in reply or b"not-run" in reply
        assert b"retry-after: 1" in reply
        assert b"connection: close" in reply


# A request that was forwarded is never cut off without a response.
async def test_a_request_in_progress_is_not_removed():
    budget = memory_budget.MemoryBudget(memory_mb=64)
    release = mailbox.Reply()
    async with _serving(budget, release=release) as address:
        with trio.fail_after(10):
            stream = await _send(
                address, START.replace(b"/", b"/wait", 1) + b"\r\n"
            )
            await trio.sleep(0.1)
            await stream.send_all(START + b"a:\r\n" * 100)
            await trio.sleep(0.1)
            account = budget.open(memory_budget.keep)
            account.hold_input(2 * LIMIT)
            release.put(None)
            assert (await stream.receive_some(1000)).startswith(b"HTTP/1.1 200")


# Slow bodies have no timeout: a bound in bytes must hold instead.
async def test_bodies_that_do_not_end_are_counted_and_removed():
    budget = memory_budget.MemoryBudget(memory_mb=64)
    log = fakes.ConnectionLog()
    data = START.replace(b"GET", b"POST") + (
        b"Content-Length: 60000\r\n\r\n" + b"x" * 50_000
    )
    async with _serving(budget, log=log) as address:
        streams = [await _send(address, data) for _ in range(4)]
        await trio.sleep(0.2)
        assert 200_000 <= budget.held <= 300_000
        account = budget.open(memory_budget.keep)
        account.hold_input(LIMIT - 100_000)
        await trio.sleep(0.1)
        assert budget.held <= LIMIT
        reasons = [closure.reason for closure in log.closures]
        assert reasons.count(connection_log.Reason.MEMORY) >= 1
        for stream in streams:
            await stream.aclose()


# Guards against silent connections that keep all others out.
async def test_a_full_listener_closes_connections_without_a_request(
    monkeypatch,
):
    monkeypatch.setattr(stream_server, "CONNECTION_LIMIT", 5)
    monkeypatch.setattr(stream_server, "MIN_UNUSED_TIME", 0.1)
    log = fakes.ConnectionLog()
    async with _serving(None, log=log) as address:
        with trio.fail_after(10):
            served = await _send(address, START + b"\r\n")
            await served.receive_some(1000)
            silent = [await _send(address, b"") for _ in range(4)]
            await trio.sleep(0.3)
            reply = b""
            while not reply.startswith(b"HTTP/1.1 200"):
                with contextlib.suppress(trio.BrokenResourceError):
                    reply = await loopback.send_and_receive(
                        address, START + b"\r\n"
                    )
            # One that has sent a request stays.
            await served.send_all(START + b"\r\n")
            assert (await served.receive_some(1000)).startswith(b"HTTP/1.1 200")
            reasons = [closure.reason for closure in log.closures]
            assert reasons.count(connection_log.Reason.FULL) == len(silent)


async def test_buffered_documents_are_counted_and_removed():
    budget = memory_budget.MemoryBudget(memory_mb=64)
    log = fakes.ConnectionLog()

    async def handle(raw):
        return model.Response(status=200, headers=(), body=b"")

    address = loopback.free_address()
    server = http_server.Server(
        address=address,
        handler=handle,
        source=model.Source.CALLER,
        log=log,
        budget=budget,
    )
    data = b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n" + (
        b"x" * 800_000
    )
    async with loopback.running(server) as nursery:
        with trio.fail_after(10):
            for _ in range(12):
                nursery.start_soon(_send_ignoring_errors, address, data)
            await trio.sleep(1.0)
            assert budget.held <= LIMIT
            reasons = [closure.reason for closure in log.closures]
            assert reasons.count(connection_log.Reason.MEMORY) >= 1
            reply = await loopback.send_and_receive(address, START + b"\r\n")
            assert reply.startswith(b"HTTP/1.1 200")


async def _send_ignoring_errors(address, data):
    with contextlib.suppress(trio.BrokenResourceError):
        await _send(address, data)
        await trio.sleep_forever()


@contextlib.asynccontextmanager
async def _peers(budget, log):
    async def handle(request):
        return model.Answer(
            response=model.Response(status=200, headers=(), body=b"")
        )

    address = loopback.free_address()
    server = peer_server.PeerServer(
        address=address,
        handler=handle,
        compute_proof=lambda vm: b"proof",
        log=log,
        budget=budget,
    )
    async with loopback.running(server):
        yield address


def _open_call(number, *, lines=0, body=b""):
    return frames.encode(
        frames.OpenCall(
            call=number,
            call_id="c",
            root_id="r",
            service="alpha",
            organisation="",
            caller="",
            priority=1,
            remaining_ms=1000,
            depth=0,
            idempotent=True,
            confirm=False,
            method="GET",
            target="/",
            headers=(("a", ""),) * lines,
            body=body,
            more=False,
        )
    )


async def _closes(stream):
    """Returns whether the other side closes within two seconds."""
    with trio.move_on_after(2.0):
        with contextlib.suppress(trio.BrokenResourceError):
            while await stream.receive_some(1000):
                pass
        return True
    return False


# Before it has authenticated itself, a client could make the process hold 4 MB.
async def test_an_unknown_node_can_not_send_a_long_frame():
    log = fakes.ConnectionLog()
    async with _peers(memory_budget.MemoryBudget(), log) as address:
        hello = frames.encode(frames.Hello(vm="vm-a", proof=b"proof"))
        long_call = _open_call(1, body=b"x" * 8000)
        unknown = await _send(address, long_call)
        assert await _closes(unknown)
        known = await _send(address, hello + long_call)
        assert await known.receive_some(1000)


# Guards against silent connections that take the places of the other nodes.
async def test_a_node_that_sends_no_proof_is_disconnected(monkeypatch):
    monkeypatch.setattr(peer_server, "HELLO_TIMEOUT", 0.3)
    log = fakes.ConnectionLog()
    async with _peers(memory_budget.MemoryBudget(), log) as address:
        hello = frames.encode(frames.Hello(vm="vm-a", proof=b"proof"))
        silent = await _send(address, b"")
        wrong = await _send(
            address, frames.encode(frames.Hello(vm="vm-a", proof=b"other"))
        )
        known = await _send(address, hello)
        assert await _closes(silent)
        assert await _closes(wrong)
        await known.send_all(_open_call(1))
        assert await known.receive_some(1000)


# Nodes may forward costly heads to one upstream, each within its own budget.
async def test_a_costly_call_is_refused_as_not_run_without_room():
    budget = memory_budget.MemoryBudget(memory_mb=64)
    log = fakes.ConnectionLog()
    async with _peers(budget, log) as address:
        hello = frames.encode(frames.Hello(vm="vm-a", proof=b"proof"))
        account = budget.open(memory_budget.keep)
        account.hold_input(LIMIT - 100_000)
        stream = await _send(address, hello + _open_call(1, lines=4000))
        buffer = frames.FrameBuffer()
        (refusal,) = buffer.feed(await stream.receive_some(1000))
        assert isinstance(refusal, frames.RefuseCall)
        assert refusal.run == model.RunState.NOT_RUN
        await stream.send_all(_open_call(2, lines=10))
        (answer,) = buffer.feed(await stream.receive_some(1000))
        assert isinstance(answer, frames.AnswerCall)
        assert budget.held == LIMIT - 100_000


# Before it has identified itself, a client could make a control hold 64 MB.
async def test_an_unknown_caller_can_not_send_a_long_message():
    async def handle(message, caller):
        return protocol.Ack()

    address = loopback.free_address()
    server = rpc.RpcServer(
        address=address,
        handler=handle,
        secrets={"p": rpc.Caller.PROCESS},
        hybrid_clock=clock.HybridClock(),
    )
    call = frames.encode(
        frames.RemoteCall(
            stamp="1.0",
            compressed=False,
            data=codec.encode(protocol.Ping()) + b"x" * 8000,
        )
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        for secret, status in (
            ("wrong", "unauthenticated"),
            # The message is read whole, and is malformed.
            ("p", "aborted"),
        ):
            identify = frames.encode(frames.Identify(secret=secret))
            stream = await _send(address, identify + call)
            with contextlib.suppress(trio.BrokenResourceError):
                (failure,) = frames.FrameBuffer().feed(
                    await stream.receive_some(1000)
                )
                assert failure.status == status
        nursery.cancel_scope.cancel()
