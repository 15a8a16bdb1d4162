"""What a node knows of its upstream when its own event loop was late."""

import contextlib
import socket
import time

import pytest
import trio
import trio.testing

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.controllers import node_membership
from tests import fakes

ADDRESS = model.Address(host="127.0.0.1", port=1)
TTL = 0.4


def _announcement(sequence):
    return messages.Announce(
        upstream=model.Upstream(
            service="a",
            address=ADDRESS,
            slots=1,
            connection_limit=1,
            state=model.UpstreamState.READY,
            incarnation="i",
        ),
        incarnation="i",
        started_ms=1,
        sequence=sequence,
    )


@contextlib.asynccontextmanager
async def _membership():
    """Yields a membership without controls, and its link to them."""

    def refuse(message):
        raise exceptions.RpcError("unreachable")

    link = fakes.ScriptedController(refuse)
    membership = node_membership.NodeMembership(
        record=model.NodeRecord(
            vm="vm-a",
            data_centre="x",
            incarnation=1,
            counter=1,
            peer_address=ADDRESS,
            ops_address=ADDRESS,
        ),
        link=link.mailbox,
        admission_level=mailbox.Published[int](initial=-1),
        event_log=fakes.event_log(),
        counters=fakes.counters(),
        announcement_ttl=TTL,
        heartbeat_interval=0.05,
    )
    async with fakes.started(link, membership):
        yield membership, link


# Guards against a node that was paused taking its upstream for gone, while the
# upstream's heartbeat waits in the socket.
@pytest.mark.usefixtures("scheduling")
async def test_a_heartbeat_that_waits_unread_keeps_the_upstream():
    near, far = socket.socketpair()
    near.setblocking(False)

    async def read_heartbeats():
        for sequence in range(10):
            await trio.lowlevel.wait_readable(near)
            near.recv(1)
            membership.mailbox.tell(_announcement(sequence))

    async with _membership() as (membership, link):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(read_heartbeats)
            far.send(b"x")
            while membership.local_upstream.value is None:
                await trio.sleep(0.01)
            # The next check is then due during the delay.
            await trio.testing.wait_all_tasks_blocked()
            link.received.clear()
            far.send(b"x")
            time.sleep(TTL + 0.2)
            await trio.sleep(TTL / 2)
            nursery.cancel_scope.cancel()
        upstreams = [call.message.record.upstream for call in link.received]
        near.close()
        far.close()
    assert len(upstreams) > 1
    assert None not in upstreams


async def test_an_upstream_that_stays_silent_is_taken_for_gone():
    async with _membership() as (membership, _):
        await membership.mailbox.ask(_announcement(0))
        assert membership.local_upstream.value is not None
        with trio.fail_after(TTL + 2):
            while membership.local_upstream.value is not None:
                await trio.sleep(0.01)
