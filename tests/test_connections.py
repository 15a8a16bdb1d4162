"""Idle connections of the HTTP connection pool."""

import time

import trio

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
        deadline=clock.monotonic() + 3.0,
        to_upstream=False,
        confirm=False,
    )


async def test_an_exchange_in_the_turn_of_an_idle_timeout_is_performed(
    monkeypatch,
):
    """Guards against an exchange that is given to a connection that ends.

    Nobody performed or refused it, so its sender waited for ever. Many senders
    wake in the turn of the timeout, so that one of them almost always runs
    before the task of the connection.
    """
    monkeypatch.setattr(connections, "IDLE_TIMEOUT", 0.3)

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
        with trio.fail_after(2):
            async with trio.open_nursery() as nursery:
                for number in range(_SENDERS):
                    nursery.start_soon(ask_after, 0.2 + 0.2 * (number % 2))
                await trio.sleep(0.1)
                time.sleep(0.5)
    statuses = [answer.response.status for answer in answers]
    assert statuses == [200] * _SENDERS
