"""Data classes of the Raft log: members, entries, messages and state."""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias


class Role(enum.StrEnum):
    """The Raft role of a replica."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A replica of the log.

    Attributes:
      replica_id: Random id, made together with the data folder.
      vm: Name of the VM on which it runs.
      address: Host and port for remote procedure calls.
    """

    replica_id: str
    vm: str
    data_centre: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Membership:
    """The members of the replicated log.

    Attributes:
      voters: Replicas that vote and count towards a majority.
      outgoing: The previous voters, which vote as well, during a joint change;
        otherwise empty.
      learners: Replicas that receive the log without voting.
      previous: The voters before the last finished change, by which a
        replacement that is asked for again is recognised.
    """

    voters: tuple[Member, ...] = ()
    outgoing: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    previous: tuple[Member, ...] = ()

    def all_members(self) -> tuple[Member, ...]:
        """Returns every member once."""
        members_by_id = {
            member.replica_id: member
            for member in (*self.learners, *self.outgoing, *self.voters)
        }
        return tuple(members_by_id.values())

    def is_voter(self, replica_id: str) -> bool:
        """Returns whether a replica votes, perhaps only as an outgoing one."""
        return any(
            member.replica_id == replica_id
            for member in (*self.voters, *self.outgoing)
        )

    def has_quorum(self, replica_ids: frozenset[str]) -> bool:
        """Returns whether these replicas are a majority.

        During a joint change, it takes a majority of both sets of voters.
        """
        voter_sets = [self.voters] + ([self.outgoing] if self.outgoing else [])
        return all(
            2 * sum(member.replica_id in replica_ids for member in voter_set)
            > len(voter_set)
            for voter_set in voter_sets
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """A log entry, which holds a command, a membership or neither.

    A new leader appends an entry with neither, see `leadership.become_leader`.
    """

    index: int
    term: int
    command: bytes = b""
    membership: Membership | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The applied state at an index; it replaces the log up to there.

    Attributes:
      index: Index of the last entry applied to the state.
      term: Term of that entry.
      membership: Membership as of that entry.
      state: The encoded state.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    state: bytes = b""


# --- messages between replicas -----------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendEntries:
    """Replicates entries of the leader; a heartbeat if it has none.

    Attributes:
      majority_age: Seconds since the leader last had contact with a majority.
    """

    sender: str
    receiver: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    majority_age: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendReply:
    """The reply to AppendEntries and InstallSnapshot.

    Attributes:
      match: If `success`, the last index up to which the log is known to equal
        the leader's. Otherwise the index after which the leader should retry.
    """

    sender: str
    receiver: str
    term: int
    success: bool
    match: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstallSnapshot:
    """Replaces the log of a replica that needs entries already compacted."""

    sender: str
    receiver: str
    term: int
    snapshot: Snapshot
    majority_age: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestVote:
    """Asks for a vote; a pre-vote does not change the voter's state."""

    sender: str
    receiver: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class VoteReply:
    """The reply to RequestVote."""

    sender: str
    receiver: str
    term: int
    granted: bool
    pre_vote: bool


Message: TypeAlias = (
    AppendEntries | AppendReply | InstallSnapshot | RequestVote | VoteReply
)

# --- events ------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tick:
    """The event that drives time-outs.

    Attributes:
      jitter: Uniform random number in [0, 1).
    """

    jitter: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """A message from another replica.

    Attributes:
      jitter: Uniform random number in [0, 1).
      sent_at: For a reply, the monotonic time at which its request was sent;
        None if unknown.
    """

    message: Message
    jitter: float = 0.5
    sent_at: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Propose:
    """Commands to append if this replica is the leader."""

    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProposeMembership:
    """A membership to append if this is the leader and none is pending."""

    membership: Membership


@dataclasses.dataclass(frozen=True, kw_only=True)
class Compact:
    """A snapshot that replaces the log up to its index."""

    snapshot: Snapshot


Event: TypeAlias = Tick | Received | Propose | ProposeMembership | Compact

# --- actions -----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class SaveVote:
    """Persist the term and the vote."""

    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Append:
    """Persist entries in place of all from the first one's index on."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SaveSnapshot:
    """Persist a snapshot.

    Attributes:
      reset: Whether to drop the whole log and load the state of the snapshot.
    """

    snapshot: Snapshot
    reset: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Send a message once all previous actions are persisted."""

    message: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class Apply:
    """Apply committed entries, in order, to the state machine."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoleChanged:
    """This replica became leader or is no longer leader."""

    role: Role
    term: int


Action: TypeAlias = (
    SaveVote | Append | SaveSnapshot | Send | Apply | RoleChanged
)

# --- state -------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """What a leader knows about another replica.

    Attributes:
      next_index: Index of the next entry to send.
      match: Last index up to which its log is known to equal the leader's.
      busy_until: Monotonic time at which the message in flight counts as lost;
        no other is sent before. Negative if none is in flight.
      heard_at: Monotonic time at which the latest message that it answered in
        this term was sent.
    """

    next_index: int
    match: int = 0
    busy_until: float = -1.0
    heard_at: float = -1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """The consensus state of a replica.

    Attributes:
      leader: Replica id of the leader; empty if unknown.
      entries: The log after the snapshot.
      commit: Index of the last committed entry.
      membership: The latest membership in the log, committed or not.
      votes: Replicas that granted their vote in the current election.
      peers: What the leader knows about the other members, by replica id.
      contact_at: Monotonic time of the last contact: with the leader, or, at
        the leader, with a majority.
      majority_contact_at: Monotonic time at which the leader that this replica
        follows, or was, last had contact with a majority.
      deadline: Monotonic time at which the next election or heartbeat is due.
    """

    replica_id: str
    term: int = 0
    voted_for: str = ""
    role: Role = Role.FOLLOWER
    leader: str = ""
    snapshot: Snapshot = Snapshot()
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    membership: Membership = Membership()
    votes: frozenset[str] = frozenset()
    peers: tuple[tuple[str, Peer], ...] = ()
    contact_at: float = float("-inf")
    majority_contact_at: float = float("-inf")
    deadline: float = 0.0

    @property
    def last_index(self) -> int:
        """Index of the last entry of the log."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry of the log."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int:
        """Returns the term of the entry at `index`, or -1 if not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.entries[index - self.snapshot.index - 1].term
        return -1

    def slice(self, first: int, count: int) -> tuple[Entry, ...]:
        """Returns up to `count` entries, beginning at index `first`."""
        start = first - self.snapshot.index - 1
        return self.entries[start : start + count]

    def peer(self, replica_id: str) -> Peer | None:
        """Returns what the leader knows about a replica, or None."""
        return dict(self.peers).get(replica_id)


Step: TypeAlias = tuple[State, tuple[Action, ...]]


def latest_membership(state: State) -> Membership:
    """Returns the last membership in the log, committed or not."""
    for entry in reversed(state.entries):
        if entry.membership is not None:
            return entry.membership
    return state.snapshot.membership


def replace_voter(
    membership: Membership, old_id: str, new_id: str
) -> Membership | None:
    """Returns the joint membership that replaces a voter by a learner.

    None if `old_id` is no voter, `new_id` is no learner or a joint change is
    in progress.
    """
    learner = [m for m in membership.learners if m.replica_id == new_id]
    voter = [m for m in membership.voters if m.replica_id == old_id]
    if not learner or not voter or membership.outgoing:
        return None
    return Membership(
        voters=tuple(
            learner[0] if m.replica_id == old_id else m
            for m in membership.voters
        ),
        outgoing=membership.voters,
        learners=tuple(
            m for m in membership.learners if m.replica_id != new_id
        ),
    )


def change_voters(
    membership: Membership,
    voters: tuple[Member, ...],
    lost_ids: frozenset[str] = frozenset(),
) -> Membership:
    """Returns the joint membership that leads to other voters.

    Voters that are kept keep their position, since their share of the quotas
    goes by it; a new voter takes the position of a dropped one.

    Args:
      membership: The membership in force.
      voters: The voters to have.
      lost_ids: Replica ids of dropped voters that are lost. The others become
        learners.
    """
    new_ids = {member.replica_id for member in voters}
    old_ids = {member.replica_id for member in membership.voters}
    added = [m for m in voters if m.replica_id not in old_ids]
    placed: list[Member] = []
    for member in membership.voters:
        if member.replica_id in new_ids:
            placed.append(member)
        elif added:
            placed.append(added.pop(0))
    return Membership(
        voters=(*placed, *added),
        outgoing=membership.voters,
        learners=tuple(
            member
            for member in (*membership.learners, *membership.voters)
            if member.replica_id not in new_ids | lost_ids
        ),
    )


def add_learner(membership: Membership, member: Member) -> Membership:
    """Returns the membership with a new learner.

    Earlier learners on the same VM or address are removed.
    """
    kept_learners = tuple(
        m
        for m in membership.learners
        if m.vm != member.vm and m.address != member.address
    )
    return dataclasses.replace(membership, learners=(*kept_learners, member))


def final_membership(membership: Membership) -> Membership:
    """Returns the membership that ends a joint change."""
    return dataclasses.replace(
        membership, outgoing=(), previous=membership.outgoing
    )
