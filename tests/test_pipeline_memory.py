"""What callers that pipeline hold is counted, and they are never cut off.

The load is clients that send many requests on a connection before the first one
is answered, while the process is short of memory.
"""

from __future__ import annotations

import contextlib

import pytest
import trio

from sassafrashall import configuration
from sassafrashall import connection_log
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.decisions import memory_limits
from sassafrashall.transport import http
from sassafrashall.transport import memory_budget
from sassafrashall.transport import stream_server
from tests import fakes
from tests import loopback

LIMIT = memory_limits.held_limit(64)
GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n%b\r\n"
POST = b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n"


class _Handler:
    """Responds to requests once they are released."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self._releases: list[mailbox.Reply[None]] = []

    async def handle(self, raw: http.RawRequest) -> model.Response:
        self.started.append(raw.target)
        release: mailbox.Reply[None] = mailbox.Reply()
        self._releases.append(release)
        await release.wait()
        return model.Response(status=200, headers=(), body=b"ok")

    def release(self) -> None:
        """Responds to all requests that run."""
        releases, self._releases = self._releases, []
        for release in releases:
            release.put(None)


@contextlib.asynccontextmanager
async def _open(handler, budget, *, depth=8, log=None):
    address = loopback.free_address()
    server = stream_server.Server(
        address=address,
        handler=handler.handle,
        source=model.Source.CALLER,
        limits=configuration.Limits,
        log=log,
        pipeline_depth=depth,
        budget=budget,
    )
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        stream = await trio.open_tcp_stream(address.host, address.port)
        with trio.fail_after(10):
            yield stream
        nursery.cancel_scope.cancel()


def _fill(budget, size):
    """Lets another client, which can't be removed, hold `size` bytes."""
    budget.open(memory_budget.keep).hold_input(size)


async def _receive(stream, count):
    received = b""
    while received.count(b"HTTP/1.1 ") < count or not received.endswith(b"ok"):
        data = await stream.receive_some(65536)
        if not data:
            break
        received += data
    return received


# Guards against memory that is not counted, since a request waits behind others
# of its connection.
@pytest.mark.parametrize(("depth", "running"), [(1, 1), (2, 2), (8, 5)])
async def test_requests_that_run_or_wait_are_counted(depth, running):
    handler = _Handler()
    budget = memory_budget.MemoryBudget()
    lines = b"a:\r\n" * 100
    async with _open(handler, budget, depth=depth) as stream:
        await stream.send_all(
            b"".join(GET % (number, lines) for number in range(5))
        )
        await trio.sleep(0.1)
        assert len(handler.started) == running
        assert budget.held >= 5 * 100 * memory_limits.LINE_COST
        received = b""
        while received.count(b"HTTP/1.1 200") < 5:
            handler.release()
            await trio.sleep(0.01)
            received += await stream.receive_some(65536)
        await trio.sleep(0.01)
        assert budget.held == 0


# Guards against input that is read while as many requests run as may, and is
# not counted until one of them ends.
@pytest.mark.parametrize("depth", [1, 2])
async def test_input_that_waits_to_be_parsed_is_counted(depth):
    handler = _Handler()
    budget = memory_budget.MemoryBudget()
    async with _open(handler, budget, depth=depth) as stream:
        await stream.send_all((GET % (0, b"")) * depth)
        await trio.sleep(0.1)
        assert len(handler.started) == depth
        before = budget.held
        await stream.send_all(GET % (1, b"a:\r\n" * 100))
        await trio.sleep(0.1)
        assert budget.held >= before + 400
        handler.release()
        await _receive(stream, depth)
        await trio.sleep(0.01)
        handler.release()
        await _receive(stream, 1)
        await trio.sleep(0.01)
        assert budget.held == 0


# A request that was forwarded is never cut off without a response.
async def test_requests_in_progress_are_not_removed_for_what_follows_them():
    handler = _Handler()
    log = fakes.ConnectionLog()
    budget = memory_budget.MemoryBudget(memory_mb=64)
    async with _open(handler, budget, log=log) as stream:
        await stream.send_all(GET % (0, b"") + GET % (1, b""))
        await trio.sleep(0.1)
        await stream.send_all((GET % (2, b""))[:-2] + b"a:\r\n" * 500)
        await trio.sleep(0.1)
        _fill(budget, 2 * LIMIT)
        await trio.sleep(0.1)
        assert handler.started == ["/0", "/1"]
        handler.release()
        received = await _receive(stream, 2)
        assert received.count(b"HTTP/1.1 200") == 2
        assert not log.closures


# Guards against a refusal that overtakes responses, or cuts them off.
async def test_a_costly_head_is_refused_after_the_responses_before_it():
    handler = _Handler()
    log = fakes.ConnectionLog()
    budget = memory_budget.MemoryBudget(memory_mb=64)
    _fill(budget, LIMIT - 100_000)
    async with _open(handler, budget, log=log) as stream:
        await stream.send_all(GET % (0, b"") + GET % (1, b""))
        await trio.sleep(0.1)
        await stream.send_all(
            GET % (2, b"a:\r\n" * 900) + (GET % (3, b"")) * 100
        )
        await trio.sleep(0.1)
        handler.release()
        received = await loopback.receive_until_end(stream)
    assert handler.started == ["/0", "/1"]
    statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"200", b"503"]
    assert b"retry-after: 1" in received
    (closure,) = log.closures
    assert closure.reason is connection_log.Reason.MEMORY
    assert not closure.unanswered


# Guards against a request that runs although its connection was removed just
# before, so that it has no response.
async def test_a_connection_removed_with_its_body_runs_no_request():
    handler = _Handler()
    log = fakes.ConnectionLog()
    budget = memory_budget.MemoryBudget(memory_mb=64)
    async with _open(handler, budget, log=log) as stream:
        await stream.send_all(POST)
        await trio.sleep(0.1)
        _fill(budget, LIMIT - budget.held)
        await trio.sleep(0.1)
        await stream.send_all(b"x" * 1000 + (GET % (2, b""))[:-2])
        await trio.sleep(0.1)
        assert [closure.reason for closure in log.closures] == [
            connection_log.Reason.MEMORY
        ]
        assert not handler.started
        assert budget.held <= LIMIT


# Guards against valid requests that are lost for invalid bytes which are parsed
# in a later slice of the same read.
@pytest.mark.parametrize("filler", [0, 3000, 4200])
async def test_requests_before_invalid_bytes_are_served(filler):
    handler = _Handler()
    async with _open(handler, None) as stream:
        valid = GET % (0, b"a: %b\r\n" % (b"x" * filler)) + GET % (1, b"")
        await stream.send_all(valid + b"garbage\r\n\r\n")
        await trio.sleep(0.1)
        handler.release()
        received = await loopback.receive_until_end(stream)
    statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"200", b"400"]
