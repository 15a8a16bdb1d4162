"""Replacement of a voter as an operator asks for it, at one replica.

The other replicas of the log are scripted.
"""

import contextlib

from bench import fleet
import pytest
import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import messages
from sassafrashall import protocol
from sassafrashall.controllers import replica as replica_module
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import replication
from sassafrashall.transport import codec
from sassafrashall.transport import rpc
from tests import fakes

SECRET = "s"
ACCEPTED = fleet_commands.Accepted(revision=9)


class _ScriptedReplica:
    """Votes for every candidate and syncs entries.

    Attributes:
      hold: Says of an entry whether it and those after it are not synced.
      held: Set once an entry has been held back.
      synced: Index of the last entry that it has.
      replaces: The orders to replace a voter that were forwarded to it.
    """

    def __init__(self, replica_id, address):
        self.member = replication.Member(
            replica_id=replica_id,
            vm=replica_id,
            data_centre="x",
            address=str(address),
        )
        self._address = address
        self.hold = lambda entry: False
        self.held = trio.Event()
        self.synced = 0
        self.replaces = []

    async def _handle(self, message, caller):
        match message:
            case replication.RequestVote(term=term, pre_vote=pre_vote):
                return replication.VoteReply(
                    sender=message.receiver,
                    receiver=message.sender,
                    term=term,
                    granted=True,
                    pre_vote=pre_vote,
                )
            case replication.AppendEntries(
                previous_index=previous, entries=entries
            ):
                held = [e.index for e in entries if self.hold(e)]
                if held:
                    self.held.set()
                    entries = [e for e in entries if e.index < held[0]]
                    await trio.sleep(0.05)
                self.synced = previous + len(entries)
                return replication.AppendReply(
                    sender=message.receiver,
                    receiver=message.sender,
                    term=message.term,
                    success=True,
                    match=self.synced,
                )
            case protocol.ReplaceReplica():
                self.replaces.append(message)
                return protocol.CommandResult(result=codec.encode(ACCEPTED))

    @contextlib.asynccontextmanager
    async def running(self):
        server = rpc.RpcServer(
            address=self._address,
            handler=self._handle,
            secrets={SECRET: rpc.Caller.PROCESS},
            hybrid_clock=clock.HybridClock(),
        )
        async with trio.open_nursery() as nursery:
            await server.start(nursery)
            yield
            nursery.cancel_scope.cancel()


class _Cluster:
    """The tested replica, which leads, with voters b and c and learner d.

    Replica c is lost.
    """

    def __init__(self, tmp_path):
        own, b, c, d = fleet.free_addresses(4)
        self.b = _ScriptedReplica("b", b)
        self.d = _ScriptedReplica("d", d)
        self._lost = _ScriptedReplica("c", c)
        self.events = fakes.event_log()
        self.replica = replica_module.Replica(
            vm="a",
            data_centre="x",
            address=str(own),
            folder=str(tmp_path),
            secret=SECRET,
            claim_retention=60.0,
            placement=None,
            event_log=self.events,
            counters=fakes.counters(),
        )

    async def status(self):
        return await self.replica.mailbox.ask(messages.ReadReplica())

    async def replace(self, old_id="c", new_id="d"):
        return await self.replica.mailbox.ask(
            messages.ReplaceVoter(old_id=old_id, new_id=new_id)
        )

    async def follow(self, leader):
        """Makes the tested replica a follower of another, in a later term."""
        status = await self.status()
        append = replication.AppendEntries(
            sender=leader.member.replica_id,
            receiver=status.member.replica_id,
            term=status.term + 1,
            previous_index=0,
            previous_term=0,
            entries=(),
            commit=0,
        )
        await self.replica.mailbox.ask(messages.ReplicaMessage(message=append))

    @contextlib.asynccontextmanager
    async def running(self):
        async with (
            self.b.running(),
            self.d.running(),
            fakes.started(self.replica),
        ):
            own = (await self.status()).member
            membership = replication.Membership(
                voters=(own, self.b.member, self._lost.member),
                learners=(self.d.member,),
            )
            self.replica.mailbox.tell(
                messages.BootstrapReplica(membership=membership)
            )
            with trio.fail_after(5.0):
                while (await self.status()).commit < 1:
                    await trio.sleep(0.02)
                while not self.d.synced:
                    await trio.sleep(0.02)
            yield self


def _is_final(entry):
    return entry.membership is not None and not entry.membership.outgoing


@pytest.fixture
async def cluster(tmp_path):
    async with _Cluster(tmp_path).running() as running:
        yield running


async def test_a_replacement_is_accepted_once_its_end_is_committed(cluster):
    """Guards against an answer that only the joint membership is behind.

    The lost voter still counts then: a second loss leaves no majority.
    """
    for peer in (cluster.b, cluster.d):
        peer.hold = _is_final
    results = []

    async def replace():
        results.append(await cluster.replace())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(replace)
        with trio.fail_after(3.0):
            await cluster.b.held.wait()
            await cluster.d.held.wait()
        await trio.sleep(0.5)
        assert not results
        assert not cluster.events.read(kind="replica.replaced")
        for peer in (cluster.b, cluster.d):
            peer.hold = lambda entry: False
    (result,) = results
    assert isinstance(result, fleet_commands.Accepted), result
    assert len(cluster.events.read(kind="replica.replaced")) == 1
    membership = (await cluster.status()).membership
    assert not membership.outgoing
    assert {m.replica_id for m in membership.voters} >= {"b", "d"}


async def test_a_replacement_may_be_asked_for_again(cluster):
    """Guards against a refusal of what was done, after a lost answer."""
    for _ in range(2):
        result = await cluster.replace()
        assert isinstance(result, fleet_commands.Accepted), result
    for old_id, new_id in (("c", "b"), ("x", "d"), ("b", "d"), ("c", "x")):
        result = await cluster.replace(old_id, new_id)
        assert isinstance(result, fleet_commands.Rejected), (old_id, new_id)


async def test_a_new_leader_finishes_a_replacement_that_is_asked_for_again(
    cluster,
):
    """Guards against "nothing was changed" of a change that is under way."""
    for peer in (cluster.b, cluster.d):
        peer.hold = _is_final

    async def lose_the_lead():
        await cluster.b.held.wait()
        await cluster.follow(cluster.b)

    with trio.fail_after(4.0):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lose_the_lead)
            with pytest.raises(exceptions.RpcError, match="send it again"):
                await cluster.replace()
        await cluster.follow(cluster.b)
        assert await cluster.replace() == ACCEPTED
    (forwarded,) = cluster.b.replaces
    assert (forwarded.old_id, forwarded.new_id) == ("c", "d")
    assert forwarded.forwarded


async def test_an_operator_is_not_left_waiting_without_a_majority(cluster):
    """Guards against a replacement that is neither made nor answered."""
    for peer in (cluster.b, cluster.d):
        peer.hold = lambda entry: True
    with trio.fail_after(4.0):
        with pytest.raises(exceptions.RpcError, match="send it again"):
            await cluster.replace()
