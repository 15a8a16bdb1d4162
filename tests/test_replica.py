"""The replica's task: its start, its end and what it makes of a batch."""

import contextlib
import threading

import pytest
import trio
import trio.testing

from sassafrashall import messages
from sassafrashall.controllers import replica as replica_module
from sassafrashall.decisions import consensus
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import leadership
from sassafrashall.decisions import replication
from sassafrashall.storage import log_store
from sassafrashall.transport import rpc
from tests import configurations
from tests import fakes

ADDRESSES = {"b": "127.0.0.1:2", "c": "127.0.0.1:3"}  # of the followers


def _new_replica(folder):
    return replica_module.Replica(
        vm="a",
        data_centre="x",
        address="127.0.0.1:1",
        folder=str(folder),
        secret="s",
        claim_retention=60.0,
        placement=None,
        event_log=fakes.event_log(),
        counters=fakes.counters(),
    )


class _Gate:
    """Lets waiting tasks pass while it is open."""

    def __init__(self):
        self._opened = trio.Event()
        self._opened.set()

    def close(self):
        self._opened = trio.Event()

    def open(self):
        self._opened.set()

    async def wait(self):
        await self._opened.wait()


class _Followers:
    """Two followers in place of `rpc.ClientPool`, who always vote.

    A gate of each delays its replies to entries.
    """

    def __init__(self):
        self.gates = {address: _Gate() for address in ADDRESSES.values()}
        # Index of the last entry that each was sent, by address.
        self.last_sent = dict.fromkeys(ADDRESSES.values(), 0)

    def __call__(self, *, secret, hybrid_clock):
        return self

    def get(self, address):
        return _Follower(followers=self, address=address)

    def close(self):
        pass

    def hold(self, name):
        self.gates[ADDRESSES[name]].close()

    async def release(self, name):
        """Delivers the replies that were held; later ones are held again."""
        gate = self.gates[ADDRESSES[name]]
        gate.open()
        gate.close()
        await trio.testing.wait_all_tasks_blocked()

    async def wait_until_sent(self, name, index):
        await _wait_until(lambda: self.last_sent[ADDRESSES[name]] >= index)


class _Follower:
    def __init__(self, *, followers, address):
        self._followers = followers
        self._address = address

    async def call(self, message, timeout):
        common = {
            "sender": message.receiver,
            "receiver": message.sender,
            "term": message.term,
        }
        if isinstance(message, replication.RequestVote):
            return replication.VoteReply(
                **common, granted=True, pre_vote=message.pre_vote
            )
        match = message.previous_index + len(message.entries)
        self._followers.last_sent[self._address] = match
        await self._followers.gates[self._address].wait()
        return replication.AppendReply(**common, success=True, match=match)


class _Disk:
    """Delays the writes of `log_store.LogStore` while it is not free."""

    def __init__(self, monkeypatch):
        self._free = threading.Event()
        self._free.set()
        self.saved = []
        persist = log_store.LogStore.persist

        def persist_once_free(store, actions):
            self._free.wait()
            persist(store, actions)
            self.saved.extend(actions)

        monkeypatch.setattr(log_store.LogStore, "persist", persist_once_free)

    @contextlib.contextmanager
    def busy(self):
        self._free.clear()
        try:
            yield
        finally:
            self._free.set()

    def entries(self):
        return [
            entry.index
            for action in self.saved
            if isinstance(action, replication.Append)
            for entry in action.entries
        ]

    def snapshots(self):
        return [
            action.snapshot
            for action in self.saved
            if isinstance(action, replication.SaveSnapshot) and not action.reset
        ]


@pytest.fixture
def followers(monkeypatch):
    stand_ins = _Followers()
    monkeypatch.setattr(rpc, "ClientPool", stand_ins)
    # No message is sent again and no leader steps down in the middle of a test.
    monkeypatch.setattr(leadership, "HEARTBEAT_INTERVAL", 60.0)
    monkeypatch.setattr(leadership, "APPEND_TIMEOUT", 60.0)
    monkeypatch.setattr(leadership, "ELECTION_TIMEOUT", 60.0)
    monkeypatch.setattr(consensus, "FIRST_ELECTION_TIMEOUT", 0.01)
    return stand_ins


async def _found(replica):
    """Founds the log with the replica and both followers as voters."""
    status = await replica.mailbox.ask(messages.ReadReplica())
    members = [status.member] + [
        replication.Member(
            replica_id=name, vm=name, data_centre=name, address=address
        )
        for name, address in ADDRESSES.items()
    ]
    membership = replication.Membership(voters=tuple(members))
    replica.mailbox.tell(messages.BootstrapReplica(membership=membership))


async def _wait_until(is_met):
    with trio.fail_after(10):
        while not is_met():
            await trio.sleep(0.01)


async def _wait_until_leader(replica):
    """Waits until an entry of the leader's own term is committed."""
    with trio.fail_after(10):
        while True:
            status = await replica.mailbox.ask(messages.ReadReplica())
            if status.leadership_confirmed_at > float("-inf"):
                return
            await trio.sleep(0.01)


def _submit(replica, command):
    replica.mailbox.tell(messages.Submit(command=command))


def _replace_configuration(version):
    return fleet_commands.ReplaceConfiguration(
        expect_version=version - 1,
        document=configurations.document(version=version),
        digest=f"digest-{version}",
        text=b"{}",
    )


async def test_a_message_in_the_turn_of_the_stop_does_not_fail_it(tmp_path):
    """Guards against a control that ends with an exception at its stop."""
    for number in range(5):
        replica = _new_replica(tmp_path / str(number))
        async with trio.open_nursery() as nursery:
            await replica.start(nursery)
            await replica.mailbox.ask(messages.ReadReplica())
            await trio.testing.wait_all_tasks_blocked()
            replica.mailbox.tell(messages.ReadReplica())
            await replica.close()


async def test_a_snapshot_holds_every_entry_up_to_its_index(
    tmp_path, monkeypatch, followers
):
    """Guards against an acknowledged configuration that a restart loses.

    While the disk is busy, the replies of both followers arrive. Each of them
    commits an entry, and the first of these makes a snapshot due.
    """
    disk = _Disk(monkeypatch)
    read = fleet_commands.ReadConfiguration()
    async with trio.open_nursery() as nursery:
        replica = _new_replica(tmp_path)
        await replica.start(nursery)
        await _found(replica)
        await _wait_until_leader(replica)
        await trio.testing.wait_all_tasks_blocked()
        # Entry 1 is the leader's own; the snapshot is due with entry 3.
        monkeypatch.setattr(replica_module, "COMPACT_AFTER", 3)
        followers.hold("b")
        followers.hold("c")
        _submit(replica, read)
        await followers.wait_until_sent("b", 2)
        await followers.wait_until_sent("c", 2)
        await followers.release("b")
        _submit(replica, read)
        await followers.wait_until_sent("b", 3)
        _submit(replica, _replace_configuration(1))
        await _wait_until(lambda: 4 in disk.entries())
        await followers.release("c")
        await followers.wait_until_sent("c", 4)
        with disk.busy():
            _submit(replica, read)
            await trio.testing.wait_all_tasks_blocked()
            await followers.release("b")
            await followers.release("c")
        await _wait_until(disk.snapshots)
        accepted = replica.view.value.state.accepted
        assert accepted is not None and accepted.configuration.version == 1
        await replica.close()

    for gate in followers.gates.values():
        gate.open()
    monkeypatch.setattr(replica_module, "COMPACT_AFTER", 1000)
    async with trio.open_nursery() as nursery:
        replica = _new_replica(tmp_path)
        await replica.start(nursery)
        await _wait_until_leader(replica)
        accepted = replica.view.value.state.accepted
        assert accepted is not None and accepted.configuration.version == 1
        await replica.close()


async def test_a_status_tells_of_no_entry_that_is_not_applied(
    tmp_path, monkeypatch, followers
):
    """Guards against a proof of freshness for a state that is out of date.

    A new leader learns that its log is committed, and is asked for its status
    before it has synced the rest of that batch and applied the log.
    """
    disk = _Disk(monkeypatch)
    read = fleet_commands.ReadConfiguration()
    async with trio.open_nursery() as nursery:
        replica = _new_replica(tmp_path)
        await replica.start(nursery)
        await _found(replica)
        await _wait_until_leader(replica)
        _submit(replica, _replace_configuration(1))
        await _wait_until(lambda: replica.view.value.state.accepted is not None)
        await replica.close()

    answers = []

    async def read_status(replica):
        status = await replica.mailbox.ask(messages.ReadReplica())
        answers.append((status, replica.view.value.state))

    followers.hold("b")
    followers.hold("c")
    async with trio.open_nursery() as nursery:
        replica = _new_replica(tmp_path)
        await replica.start(nursery)
        # The first entry of the second term follows the two of the first.
        await followers.wait_until_sent("b", 3)
        with disk.busy():
            _submit(replica, read)
            await trio.testing.wait_all_tasks_blocked()
            await followers.release("b")
            nursery.start_soon(read_status, replica)
            await trio.testing.wait_all_tasks_blocked()
            _submit(replica, read)
        await _wait_until(lambda: answers)
        await replica.close()
    status, state = answers[0]
    assert (
        status.leadership_confirmed_at == float("-inf")
        or state.accepted is not None
    )
