"""What a node holds for callers that don't take their answers is bounded."""

from __future__ import annotations

import contextlib

import pytest
import trio

from sassafrashall import configuration
from sassafrashall import connection_log
from sassafrashall import model
from sassafrashall.decisions import slow_readers
from sassafrashall.transport import memory_budget
from sassafrashall.transport import stream_server
from tests import fakes
from tests import loopback

BODY = b"a" * 16_000_000
SHORT_BODY = b"a" * 1000


def _reader(number, held, stalled):
    return slow_readers.Reader(number=number, held=held, stalled=stalled)


@pytest.mark.parametrize(
    ("readers", "expected"),
    [
        ([], ()),
        ([_reader(0, 100, 9.0)], ()),
        ([_reader(0, 60, 1.0), _reader(1, 60, 2.0)], (1,)),
        ([_reader(n, 60, 1.0 + n) for n in range(4)], (3, 2, 1)),
        # A caller that takes its answer is not cut, however slowly.
        ([_reader(0, 500, 0.1), _reader(1, 60, 2.0)], (1,)),
        ([_reader(0, 500, 0.1)], ()),
    ],
)
def test_the_callers_that_stalled_for_longest_are_cut(readers, expected):
    assert slow_readers.choose_cut(readers, limit=100) == expected


# Guards against a small VM that holds as much for its callers as a large one,
# and against another bound where the settings have no `memory_mb`.
@pytest.mark.parametrize(
    ("fields", "expected_mb"),
    [
        ({}, 32),
        ({"memory_mb": 200}, 32),
        ({"memory_mb": 100}, 16),
        ({"memory_mb": 300}, 48),
    ],
)
def test_what_may_be_held_is_a_share_of_the_memory(fields, expected_mb):
    limit = memory_budget.MemoryBudget(**fields).answer_limit
    assert limit == expected_mb * 1024 * 1024
    held = limit // 4
    readers = [_reader(number, held, 1.0 + number) for number in range(4)]
    assert slow_readers.choose_cut(readers, limit) == ()
    readers.append(_reader(4, 1, 9.0))
    assert slow_readers.choose_cut(readers, limit) == (4,)


@contextlib.asynccontextmanager
async def _serving(log, memory_mb):
    async def handle(raw):
        body = BODY if raw.target == "/" else SHORT_BODY
        return model.Response(status=200, headers=(), body=body)

    address = loopback.free_address()
    server = stream_server.Server(
        address=address,
        handler=handle,
        source=model.Source.CALLER,
        limits=configuration.Limits,
        log=log,
        budget=memory_budget.MemoryBudget(memory_mb=memory_mb),
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        yield address
        nursery.cancel_scope.cancel()


async def _ask(address, target="/"):
    stream = await trio.open_tcp_stream(address.host, address.port)
    await stream.send_all(
        b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % target.encode()
    )
    return stream


async def _is_cut(stream, body=BODY):
    """Returns whether the connection ends before the end of the body."""
    size = 0
    with contextlib.suppress(trio.BrokenResourceError):
        while size < len(body):
            data = await stream.receive_some(1 << 20)
            if not data:
                return True
            size += len(data)
        return False
    return True


# Guards against a node that runs out of memory, with the requests of all other
# callers, since some callers take nothing of their answers.
@pytest.mark.parametrize(("memory_mb", "least_cut"), [(281, 3), (100, 5)])
async def test_silent_callers_are_cut_once_too_much_is_held(
    memory_mb, least_cut
):
    log = fakes.ConnectionLog()
    async with _serving(log, memory_mb) as address:
        with trio.fail_after(10):
            silent = []
            for _ in range(6):
                silent.append(await _ask(address))
                await trio.sleep(0.05)
            await trio.sleep(1.0)
            reasons = [closure.reason for closure in log.closures]
            cut = reasons.count(connection_log.Reason.STALLED)
            assert least_cut <= cut < 6
            # Another caller is served, and those that were kept still get all.
            # A long answer would be too much beside them, until it is taken.
            other = await _ask(address, "/short")
            assert not await _is_cut(other, SHORT_BODY)
            results = [await _is_cut(stream) for stream in silent]
            # The first to stall are the first to be cut.
            assert results == [True] * cut + [False] * (6 - cut)
            assert not await _is_cut(await _ask(address))
            reasons = [closure.reason for closure in log.closures]
            assert reasons.count(connection_log.Reason.STALLED) == cut
