"""Idle connections of the HTTP connection pool."""

import trio
import trio.testing

from sassafrashall import clock
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.controllers import connections
from tests import fakes
from tests import loopback

_SENDERS = 20


def _exchange(address):
    return messages.Exchange(
        address=address,
        request=fakes.request(headers=(("host", "a"),)),
        ticket=fakes.ticket(),
        deadline=clock.monotonic() + 10.0,
        to_upstream=False,
        confirm=False,
    )


async def test_an_exchange_in_the_turn_of_an_idle_timeout_is_performed(
    mock_clock,
):
    """Guards against an exchange that is given to a connection that ends.

    Nobody performed or refused it, so its sender waited for ever. Many senders
    wake in the turn of the timeout, so that one of them almost always runs
    before the task of the connection.
    """

    async def handle(raw):
        return model.Response(status=200, headers=(), body=raw.body)

    answers = []
    pool = connections.HttpConnectionPool(
        secret=loopback.SECRET,
        hybrid_clock=clock.HybridClock(),
        counters=fakes.counters(),
    )

    async def ask_after(delay):
        await trio.sleep(delay)
        answers.append(await pool.mailbox.ask(_exchange(address)))

    async with (
        loopback.serve(handle, model.Source.PEER) as (address, _),
        fakes.started(pool),
    ):
        await pool.mailbox.ask(_exchange(address))
        async with trio.open_nursery() as nursery:
            for number in range(_SENDERS):
                offset = 0.1 if number % 2 else -0.1
                nursery.start_soon(ask_after, connections.IDLE_TIMEOUT + offset)
            await trio.testing.wait_all_tasks_blocked(0.01)
            mock_clock.jump(connections.IDLE_TIMEOUT + 1.0)
            await trio.lowlevel.checkpoint()
            mock_clock.rate = 1.0
            nursery.cancel_scope.deadline = trio.current_time() + 5.0
    statuses = [answer.response.status for answer in answers]
    assert statuses == [200] * _SENDERS
