"""What a node holds for callers that don't take their answers is bounded."""

from __future__ import annotations

import contextlib

import pytest
import trio

from sassafrashall import configuration
from sassafrashall import connection_log
from sassafrashall import model
from sassafrashall.decisions import slow_readers
from sassafrashall.transport import stream_server
from tests import fakes
from tests import loopback

BODY = b"a" * 16_000_000
LIMIT = 45_000_000  # bytes held, of which each caller takes a third


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


@contextlib.asynccontextmanager
async def _serving(log):
    async def handle(raw):
        return model.Response(status=200, headers=(), body=BODY)

    address = loopback.free_address()
    server = stream_server.Server(
        address=address,
        handler=handle,
        source=model.Source.CALLER,
        limits=configuration.Limits,
        log=log,
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        yield address
        nursery.cancel_scope.cancel()


async def _ask(address):
    stream = await trio.open_tcp_stream(address.host, address.port)
    await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    return stream


async def _is_cut(stream):
    """Returns whether the connection ends before the end of the body."""
    size = 0
    with contextlib.suppress(trio.BrokenResourceError):
        while size < len(BODY):
            data = await stream.receive_some(1 << 20)
            if not data:
                return True
            size += len(data)
        return False
    return True


# Guards against a node that runs out of memory, with the requests of all other
# callers, since some callers take nothing of their answers.
async def test_silent_callers_are_cut_once_too_much_is_held(monkeypatch):
    choose_cut = slow_readers.choose_cut
    monkeypatch.setattr(
        slow_readers, "choose_cut", lambda readers: choose_cut(readers, LIMIT)
    )
    log = fakes.ConnectionLog()
    async with _serving(log) as address:
        with trio.fail_after(10):
            silent = []
            for _ in range(6):
                silent.append(await _ask(address))
                await trio.sleep(0.05)
            await trio.sleep(1.0)
            reasons = [closure.reason for closure in log.closures]
            cut = reasons.count(connection_log.Reason.STALLED)
            assert 3 <= cut < 6
            # Another caller is served, and those that were kept still get all.
            other = await _ask(address)
            assert not await _is_cut(other)
            results = [await _is_cut(stream) for stream in silent]
            # The first to stall are the first to be cut.
            assert results == [True] * cut + [False] * (6 - cut)
