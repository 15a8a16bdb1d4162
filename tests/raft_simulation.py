"""Simulates a cluster of Raft replicas with its network and disks.

The simulation runs in one thread and on its own clock; its faults are drawn
from a seed.
"""

from __future__ import annotations

import dataclasses
import random

from sassafrashall.decisions import consensus
from sassafrashall.decisions import replacements
from sassafrashall.decisions import replication
from sassafrashall.decisions import voter_placement

TICK_INTERVAL = 0.05  # seconds of simulated time


@dataclasses.dataclass
class Disk:
    """What a replica has synced to disk."""

    term: int = 0
    voted_for: str = ""
    snapshot: replication.Snapshot = dataclasses.field(
        default_factory=replication.Snapshot
    )
    entries: tuple[replication.Entry, ...] = ()


class Replica:
    """A replica: its disk, its state while it runs, and what it has applied."""

    def __init__(self, name: str, disk: Disk, now: float):
        self.name = name
        self.disk = disk
        self.random = random.Random(name)
        self.state: replication.State | None = None
        self.applied: list[replication.Entry] = []
        self.start(now)

    def start(self, now: float) -> None:
        self.state = consensus.initial_state(
            self.name,
            self.disk.term,
            self.disk.voted_for,
            self.disk.snapshot,
            self.disk.entries,
            now,
            self.random.random(),
        )
        self.applied = list(decode(self.disk.snapshot.state))

    def crash(self) -> None:
        self.state = None


def encode(entries: list[replication.Entry]) -> bytes:
    return b"|".join(
        b"%d:%d:%s" % (e.index, e.term, e.command) for e in entries
    )


def decode(state: bytes) -> list[replication.Entry]:
    entries = []
    for part in state.split(b"|") if state else ():
        index, term, command = part.split(b":", 2)
        entries.append(
            replication.Entry(index=int(index), term=int(term), command=command)
        )
    return entries


def member(name: str) -> replication.Member:
    """Returns the member of that name.

    What stands before a dot names its VM, and a letter the data centre of it,
    so that `c1.2` is a later data folder of the VM `c1`.
    """
    vm = name.partition(".")[0]
    return replication.Member(
        replica_id=name,
        vm=f"vm-{vm}",
        data_centre=vm.rstrip("0123456789"),
        address=f"at-{vm}",
    )


class Cluster:
    """Replicas on a network that loses, delays, duplicates and reorders."""

    def __init__(self, seed: int, names: str = "abc", *, loss: float = 0.0):
        self.random = random.Random(seed)
        self.now = 100.0
        self.loss = loss
        membership = replication.Membership(
            voters=tuple(member(name) for name in names)
        )
        self.founding = replication.Snapshot(membership=membership)
        self.replicas = {
            name: Replica(name, Disk(snapshot=self.founding), self.now)
            for name in names
        }
        self.network: list[tuple[float, replication.Message]] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.paused: set[str] = set()
        self.crash_before_sync = 0.0
        # Every entry that some replica has applied, by index.
        self.committed: dict[int, replication.Entry] = {}
        self.acknowledged: set[bytes] = set()
        self.leaders: dict[int, str] = {}
        self.led_since: dict[str, float] = {}

    def add(self, name: str) -> None:
        """Starts a replica with an empty data folder."""
        self.replicas[name] = Replica(name, Disk(), self.now)

    def isolate(self, name: str) -> None:
        for other in self.replicas:
            self.blocked_links |= {(name, other), (other, name)}

    def heal(self) -> None:
        self.blocked_links.clear()

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.step()

    def step(self) -> None:
        self.now += TICK_INTERVAL
        for name, replica in self.replicas.items():
            if replica.state is not None and name not in self.paused:
                self.process_event(
                    name, replication.Tick(jitter=self.random.random())
                )
        due = [item for item in self.network if item[0] <= self.now]
        self.network = [item for item in self.network if item[0] > self.now]
        self.random.shuffle(due)
        for _, message in due:
            if message.receiver in self.paused:
                self.network.append((self.now + TICK_INTERVAL, message))
                continue
            target = self.replicas.get(message.receiver)
            if target is not None and target.state is not None:
                self.process_event(
                    message.receiver,
                    replication.Received(
                        message=message, jitter=self.random.random()
                    ),
                )

    def process_event(self, name: str, event: replication.Event) -> None:
        replica = self.replicas[name]
        assert replica.state is not None
        if self.random.random() < self.crash_before_sync:
            replica.crash()
            return
        state, actions = consensus.step(replica.state, event, self.now)
        replica.state = state
        for action in actions:
            # A crash may happen between any two actions.
            if self.random.random() < self.crash_before_sync:
                replica.crash()
                return
            self.perform(replica, action)

    def perform(self, replica: Replica, action: replication.Action) -> None:
        disk = replica.disk
        match action:
            case replication.SaveVote(term=term, voted_for=voted_for):
                disk.term, disk.voted_for = term, voted_for
            case replication.Append(entries=entries):
                first = entries[0].index
                kept = tuple(e for e in disk.entries if e.index < first)
                disk.entries = (*kept, *entries)
            case replication.SaveSnapshot(snapshot=snapshot, reset=reset):
                disk.snapshot = snapshot
                disk.entries = tuple(
                    e
                    for e in disk.entries
                    if e.index > snapshot.index and not reset
                )
                if reset:
                    replica.applied = list(decode(snapshot.state))
            case replication.Send(message=message):
                self.send(message)
            case replication.Apply(entries=entries):
                self.apply(replica, entries)
            case replication.RoleChanged(role=role, term=term):
                if role is replication.Role.LEADER:
                    known = self.leaders.setdefault(term, replica.name)
                    assert known == replica.name, f"two leaders in term {term}"
                    self.led_since[replica.name] = self.now

    def send(self, message: replication.Message) -> None:
        if (message.sender, message.receiver) in self.blocked_links:
            return
        if self.random.random() < self.loss:
            return
        delay = self.random.random() * 0.2 if self.loss else 0.0
        self.network.append((self.now + delay, message))
        if self.loss and self.random.random() < 0.1:
            self.network.append((self.now + 2 * delay, message))

    def apply(
        self, replica: Replica, entries: tuple[replication.Entry, ...]
    ) -> None:
        for entry in entries:
            last = replica.applied[-1].index if replica.applied else 0
            assert entry.index == last + 1, "entries applied out of order"
            replica.applied.append(entry)
            known = self.committed.setdefault(entry.index, entry)
            assert (known.term, known.command) == (
                entry.term,
                entry.command,
            ), f"two entries committed at {entry.index}"

    # --- operations ----------------------------------------------------------

    def leader(self) -> Replica | None:
        leaders = [
            r
            for name, r in self.replicas.items()
            if r.state is not None
            and name not in self.paused
            and r.state.role is replication.Role.LEADER
        ]
        return max(leaders, key=lambda r: r.state.term, default=None)

    def propose(self, command: bytes) -> bool:
        leader = self.leader()
        if leader is None:
            return False
        self.process_event(
            leader.name, replication.Propose(commands=(command,))
        )
        return True

    def commit(self, command: bytes, seconds: float = 5.0) -> bool:
        """Proposes a command until it is committed, as a caller would.

        Returns whether that was within `seconds`.
        """
        end = self.now + seconds
        while self.now < end:
            if any(e.command == command for e in self.committed.values()):
                self.acknowledged.add(command)
                return True
            if self.random.random() < 0.2:
                self.propose(command)
            self.step()
        return False

    def compact(self, name: str) -> None:
        replica = self.replicas[name]
        if replica.state is None or not replica.applied:
            return
        state, last = replica.state, replica.applied[-1]
        applied_entries = state.slice(
            state.snapshot.index + 1, last.index - state.snapshot.index
        )
        snapshot = replication.Snapshot(
            index=last.index,
            term=last.term,
            membership=replication.latest_membership(
                dataclasses.replace(state, entries=applied_entries)
            ),
            state=encode(replica.applied),
        )
        self.process_event(name, replication.Compact(snapshot=snapshot))

    def replace(self, old: str, new: str, seconds: float = 10.0) -> bool:
        """Adds a learner and replaces a voter by it.

        Returns whether that was done within `seconds`.
        """
        end = self.now + seconds
        while self.now < end:
            leader = self.leader()
            if leader is not None and leader.state is not None:
                match replacements.progress(leader.state, old, new):
                    case replacements.Finished():
                        return True
                    case replacements.Ready(membership=membership):
                        self.propose_membership(leader, membership)
                    case replacements.Impossible():
                        self.add_learner(leader, new)
            self.step()
        return False

    def add_learner(self, leader: Replica, name: str) -> None:
        membership = leader.state.membership
        names = {m.replica_id for m in membership.all_members()}
        if name not in names:
            changed = replication.add_learner(membership, member(name))
            self.propose_membership(leader, changed)

    def place_voters(self, requirements: voter_placement.Requirements) -> None:
        """Lets replicas join and the leader choose voters, as controls do."""
        leader = self.leader()
        if leader is None or leader.state is None:
            return
        for name, replica in self.replicas.items():
            link = {(name, leader.name), (leader.name, name)}
            if replica.state is not None and not link & self.blocked_links:
                self.add_learner(leader, name)
        membership = replacements.next_membership(
            leader.state, requirements, self.led_since[leader.name], self.now
        )
        if membership is not None:
            self.propose_membership(leader, membership)

    def propose_membership(
        self, leader: Replica, membership: replication.Membership
    ) -> None:
        self.process_event(
            leader.name, replication.ProposeMembership(membership=membership)
        )

    def check_nothing_lost(self) -> None:
        """Checks that a leader has applied every acknowledged command."""
        commands = [e.command for e in self.committed.values()]
        for command in self.acknowledged:
            assert command in commands
        leader = self.leader()
        assert leader is not None, "there is no leader"
        applied = {e.command for e in leader.applied}
        assert applied >= self.acknowledged, "an acknowledged command was lost"
