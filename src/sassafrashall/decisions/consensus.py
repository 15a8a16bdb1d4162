"""A replicated log after Raft (Ongaro and Ousterhout, 2014).

With pre-vote, a leader that steps down without its majority, learners, joint
membership changes and snapshots. The functions here are pure: the controller
performs the actions in the order given, and only sends a message once every
action before it is synced to disk.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TypeAlias

HEARTBEAT_INTERVAL = 0.15  # seconds
ELECTION_TIMEOUT = 0.8  # seconds; doubled at most by the jitter
IN_FLIGHT_TIMEOUT = 0.4  # seconds until unanswered entries are sent again
SNAPSHOT_TIMEOUT = 5.0  # seconds until an unanswered snapshot is sent again
ENTRIES_PER_MESSAGE = 512


class Role(enum.StrEnum):
    """What a replica currently does."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
    """A replica of the log.

    Attributes:
      replica_id: Random; a new data folder has a new one.
      vm: The VM it runs on.
      address: Host and port of its remote procedure calls.
    """

    replica_id: str
    vm: str
    data_centre: str
    address: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Membership:
    """Who votes, and who only receives the log.

    Attributes:
      outgoing: The voters before a joint change; empty outside of one.
    """

    voters: tuple[Member, ...] = ()
    outgoing: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    def everyone(self) -> tuple[Member, ...]:
        """Returns all members once each."""
        found = {
            member.replica_id: member
            for member in (*self.learners, *self.outgoing, *self.voters)
        }
        return tuple(found.values())

    def votes(self, replica_id: str) -> bool:
        """Returns whether this replica's vote counts."""
        return any(
            member.replica_id == replica_id
            for member in (*self.voters, *self.outgoing)
        )

    def has_quorum(self, replica_ids: frozenset[str]) -> bool:
        """Returns whether these replicas are a majority of every side."""
        sides = [self.voters] + ([self.outgoing] if self.outgoing else [])
        return all(
            2 * sum(member.replica_id in replica_ids for member in side)
            > len(side)
            for side in sides
        )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One log entry; either a command or a membership."""

    index: int
    term: int
    command: bytes = b""
    membership: Membership | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Snapshot:
    """The applied state as of one index, in place of the log up to it."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    state: bytes = b""


# --- messages between replicas -----------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendEntries:
    """Sent by the leader; without entries it is a heartbeat."""

    sender: str
    receiver: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppendReply:
    """Answers AppendEntries and InstallSnapshot.

    Attributes:
      match: Last index known to equal the leader's log, if `success`;
        otherwise a hint from where to try again.
    """

    sender: str
    receiver: str
    term: int
    success: bool
    match: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstallSnapshot:
    """Replaces the log of a replica that is too far behind."""

    sender: str
    receiver: str
    term: int
    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestVote:
    """Asks for a vote; a pre-vote changes no state of the voter."""

    sender: str
    receiver: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class VoteReply:
    """Answers RequestVote."""

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
    """Time has passed; `jitter` is uniform in 0 to 1."""

    jitter: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Received:
    """A message from another replica."""

    message: Message
    jitter: float = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Propose:
    """Commands to append, if this replica leads."""

    commands: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class ProposeMembership:
    """A membership to append, if this replica leads and none is pending."""

    membership: Membership


@dataclasses.dataclass(frozen=True, kw_only=True)
class Compact:
    """The log up to the snapshot's index may be dropped."""

    snapshot: Snapshot


Event: TypeAlias = Tick | Received | Propose | ProposeMembership | Compact

# --- actions -----------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class SaveVote:
    """Sync the term and the vote."""

    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Append:
    """Sync these entries, dropping any at or after the first one's index."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class SaveSnapshot:
    """Sync the snapshot; `reset` drops the whole log and loads its state."""

    snapshot: Snapshot
    reset: bool


@dataclasses.dataclass(frozen=True, kw_only=True)
class Send:
    """Send a message once everything before is synced."""

    message: Message


@dataclasses.dataclass(frozen=True, kw_only=True)
class Apply:
    """Apply committed entries in order."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class RoleChanged:
    """This replica took or gave up a role."""

    role: Role
    term: int


Action: TypeAlias = (
    SaveVote | Append | SaveSnapshot | Send | Apply | RoleChanged
)

# --- state -------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class Peer:
    """What a leader knows of another replica.

    Attributes:
      busy_until: When a message in flight counts as lost.
      heard_at: When the peer last answered in this term.
    """

    next_index: int
    match: int = 0
    busy_until: float = -1.0
    heard_at: float = -1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """The whole state of one replica.

    Attributes:
      entries: The log after the snapshot.
      contact_at: When a leader was last heard, or, for the leader, when a
        majority last was.
      deadline: When the next election or heartbeat is due.
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
        """Returns the term of the entry at `index`, or -1 if not held."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.entries[index - self.snapshot.index - 1].term
        return -1

    def slice(self, first: int, count: int) -> tuple[Entry, ...]:
        """Returns up to `count` entries from index `first` on."""
        start = first - self.snapshot.index - 1
        return self.entries[start : start + count]

    def peer(self, replica_id: str) -> Peer | None:
        """Returns what the leader knows of a replica."""
        return dict(self.peers).get(replica_id)


Step: TypeAlias = tuple[State, tuple[Action, ...]]


def start(
    replica_id: str,
    term: int,
    voted_for: str,
    snapshot: Snapshot,
    entries: tuple[Entry, ...],
    now: float,
) -> State:
    """Returns the state of a replica that starts from its disk."""
    state = State(
        replica_id=replica_id,
        term=term,
        voted_for=voted_for,
        snapshot=snapshot,
        entries=entries,
        commit=snapshot.index,
        deadline=now + ELECTION_TIMEOUT,
    )
    return dataclasses.replace(state, membership=_latest_membership(state))


def step(state: State, event: Event, now: float) -> Step:
    """Handles one event."""
    match event:
        case Tick():
            return _tick(state, event, now)
        case Received(message=message):
            return _receive(state, message, event.jitter, now)
        case Propose(commands=commands):
            return _propose(state, commands, now)
        case ProposeMembership(membership=membership):
            return _propose_membership(state, membership, now)
        case Compact(snapshot=snapshot):
            return _compact(state, snapshot)


def majority_age(state: State, now: float) -> float:
    """Returns seconds since this replica was in touch with a majority."""
    if state.role is Role.LEADER and state.membership.has_quorum(
        frozenset({state.replica_id})
    ):
        return 0.0
    return now - state.contact_at


def can_change_membership(state: State) -> bool:
    """Returns whether a leader may append another membership."""
    if state.role is not Role.LEADER or state.membership.outgoing:
        return False
    if state.term_at(state.commit) != state.term:
        return False
    return all(
        entry.membership is None
        for entry in state.slice(state.commit + 1, len(state.entries))
    )


def is_caught_up(state: State, replica_id: str) -> bool:
    """Returns whether a replica has synced all that is committed."""
    peer = state.peer(replica_id)
    return peer is not None and peer.match >= state.commit


# --- time --------------------------------------------------------------------


def _tick(state: State, event: Tick, now: float) -> Step:
    if state.role is Role.LEADER:
        return _tick_leader(state, event, now)
    if now < state.deadline:
        return state, ()
    state = _rearm(state, event.jitter, now)
    if not state.membership.votes(state.replica_id):
        return state, ()
    return _campaign(state, event.jitter, now, pre_vote=True)


def _tick_leader(state: State, event: Tick, now: float) -> Step:
    fresh = {state.replica_id} | {
        replica_id
        for replica_id, peer in state.peers
        if now - peer.heard_at < ELECTION_TIMEOUT
    }
    if state.membership.has_quorum(frozenset(fresh)):
        state = dataclasses.replace(
            state, contact_at=_quorum_contact(state, now)
        )
    elif now - state.contact_at >= ELECTION_TIMEOUT:
        return _become_follower(state, state.term, "", event.jitter, now)
    if now < state.deadline:
        return state, ()
    state = dataclasses.replace(state, deadline=now + HEARTBEAT_INTERVAL)
    return _replicate(state, now, heartbeat=True)


def _quorum_contact(state: State, now: float) -> float:
    """Returns the latest time at which a majority had been heard."""
    heard = {state.replica_id: now}
    heard.update({name: peer.heard_at for name, peer in state.peers})
    for moment in sorted(heard.values(), reverse=True):
        since = frozenset(n for n, at in heard.items() if at >= moment)
        if state.membership.has_quorum(since):
            return max(state.contact_at, moment)
    return state.contact_at


def _rearm(state: State, jitter: float, now: float) -> State:
    return dataclasses.replace(
        state, deadline=now + ELECTION_TIMEOUT * (1.0 + jitter)
    )


# --- elections ---------------------------------------------------------------


def _campaign(state: State, jitter: float, now: float, pre_vote: bool) -> Step:
    actions: list[Action] = []
    term = state.term + 1
    if pre_vote:
        state = dataclasses.replace(
            state, role=Role.PRE_CANDIDATE, leader="", votes=frozenset()
        )
    else:
        state = dataclasses.replace(
            state,
            role=Role.CANDIDATE,
            term=term,
            voted_for=state.replica_id,
            votes=frozenset(),
        )
        actions.append(SaveVote(term=term, voted_for=state.replica_id))
    state = _rearm(state, jitter, now)
    for member in state.membership.everyone():
        if member.replica_id != state.replica_id and state.membership.votes(
            member.replica_id
        ):
            actions.append(
                Send(
                    message=RequestVote(
                        sender=state.replica_id,
                        receiver=member.replica_id,
                        term=term,
                        last_index=state.last_index,
                        last_term=state.last_term,
                        pre_vote=pre_vote,
                    )
                )
            )
    state, more = _count_vote(state, state.replica_id, jitter, now)
    return state, (*actions, *more)


def _count_vote(state: State, voter: str, jitter: float, now: float) -> Step:
    state = dataclasses.replace(state, votes=state.votes | {voter})
    if not state.membership.has_quorum(state.votes):
        return state, ()
    if state.role is Role.PRE_CANDIDATE:
        return _campaign(state, jitter, now, pre_vote=False)
    return _become_leader(state, now)


def _become_leader(state: State, now: float) -> Step:
    state = dataclasses.replace(
        state,
        role=Role.LEADER,
        leader=state.replica_id,
        votes=frozenset(),
        peers=(),
        contact_at=now,
        deadline=now,
    )
    state = _track_members(state)
    # An entry of its own term lets the leader commit those before it.
    entry = Entry(index=state.last_index + 1, term=state.term)
    state, actions = _append(state, (entry,), now)
    changed = RoleChanged(role=Role.LEADER, term=state.term)
    return state, (changed, *actions)


def _become_follower(
    state: State, term: int, leader: str, jitter: float, now: float
) -> Step:
    actions: list[Action] = []
    if term > state.term:
        state = dataclasses.replace(state, term=term, voted_for="")
        actions.append(SaveVote(term=term, voted_for=""))
    if state.role is Role.LEADER:
        actions.append(RoleChanged(role=Role.FOLLOWER, term=term))
    state = dataclasses.replace(
        state,
        role=Role.FOLLOWER,
        leader=leader,
        votes=frozenset(),
        peers=(),
    )
    return _rearm(state, jitter, now), tuple(actions)


# --- messages ----------------------------------------------------------------


def _receive(state: State, message: Message, jitter: float, now: float) -> Step:
    if message.receiver != state.replica_id:
        return state, ()
    match message:
        case RequestVote():
            return _on_request_vote(state, message, jitter, now)
        case VoteReply():
            return _on_vote_reply(state, message, jitter, now)
        case AppendEntries() | InstallSnapshot():
            return _on_leader_message(state, message, jitter, now)
        case AppendReply():
            return _on_append_reply(state, message, jitter, now)


def _on_request_vote(
    state: State, message: RequestVote, jitter: float, now: float
) -> Step:
    up_to_date = (message.last_term, message.last_index) >= (
        state.last_term,
        state.last_index,
    )
    hears_leader = (
        state.role is Role.LEADER or now - state.contact_at < ELECTION_TIMEOUT
    )
    if message.pre_vote:
        granted = message.term > state.term and up_to_date and not hears_leader
        return state, (_vote_reply(state, message, granted),)
    actions: list[Action] = []
    if message.term > state.term:
        if hears_leader and state.leader:
            # A replica cut off for a while must not disturb a live leader.
            return state, (_vote_reply(state, message, False),)
        state, stepped = _become_follower(state, message.term, "", jitter, now)
        actions.extend(stepped)
    granted = (
        message.term == state.term
        and up_to_date
        and state.voted_for in ("", message.sender)
    )
    if granted and not state.voted_for:
        state = dataclasses.replace(
            _rearm(state, jitter, now), voted_for=message.sender
        )
        actions.append(SaveVote(term=state.term, voted_for=message.sender))
    actions.append(_vote_reply(state, message, granted))
    return state, tuple(actions)


def _vote_reply(state: State, message: RequestVote, granted: bool) -> Send:
    # A granted pre-vote names the term asked for, so that the candidate
    # recognises it; a refusal names the voter's own term.
    term = message.term if message.pre_vote and granted else state.term
    return Send(
        message=VoteReply(
            sender=state.replica_id,
            receiver=message.sender,
            term=term,
            granted=granted,
            pre_vote=message.pre_vote,
        )
    )


def _on_vote_reply(
    state: State, message: VoteReply, jitter: float, now: float
) -> Step:
    if not message.granted:
        if message.term > state.term:
            return _become_follower(state, message.term, "", jitter, now)
        return state, ()
    expected = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
    term = state.term + 1 if message.pre_vote else state.term
    if state.role is not expected or message.term != term:
        return state, ()
    return _count_vote(state, message.sender, jitter, now)


def _on_leader_message(
    state: State,
    message: AppendEntries | InstallSnapshot,
    jitter: float,
    now: float,
) -> Step:
    if message.term < state.term:
        return state, (_append_reply(state, message, False, 0),)
    state, actions = _become_follower(
        state, message.term, message.sender, jitter, now
    )
    state = dataclasses.replace(state, contact_at=now)
    match message:
        case AppendEntries():
            state, more = _on_append(state, message)
        case InstallSnapshot():
            state, more = _on_snapshot(state, message)
    return state, (*actions, *more)


def _append_reply(
    state: State,
    message: AppendEntries | InstallSnapshot,
    success: bool,
    match: int,
) -> Send:
    return Send(
        message=AppendReply(
            sender=state.replica_id,
            receiver=message.sender,
            term=state.term,
            success=success,
            match=match,
        )
    )


def _on_append(state: State, message: AppendEntries) -> Step:
    previous = message.previous_index
    if previous < state.snapshot.index:
        # Entries up to the snapshot are committed, so they are equal.
        kept = tuple(
            e for e in message.entries if e.index > state.snapshot.index
        )
        if previous + len(message.entries) < state.snapshot.index:
            return state, (
                _append_reply(state, message, True, state.snapshot.index),
            )
        message = dataclasses.replace(
            message,
            previous_index=state.snapshot.index,
            previous_term=state.snapshot.term,
            entries=kept,
        )
    if state.term_at(message.previous_index) != message.previous_term:
        hint = min(state.last_index, message.previous_index - 1)
        return state, (
            _append_reply(state, message, False, max(hint, state.commit)),
        )
    new = tuple(e for e in message.entries if state.term_at(e.index) != e.term)
    actions: list[Action] = []
    if new:
        first = new[0].index
        kept = state.slice(
            state.snapshot.index + 1, first - state.snapshot.index - 1
        )
        # Everything after the first difference is replaced.
        new = tuple(e for e in message.entries if e.index >= first)
        state = dataclasses.replace(state, entries=(*kept, *new))
        state = dataclasses.replace(state, membership=_latest_membership(state))
        actions.append(Append(entries=new))
    match = message.previous_index + len(message.entries)
    actions.append(_append_reply(state, message, True, match))
    state, applied = _advance_commit(state, min(message.commit, match))
    return state, (*actions, *applied)


def _on_snapshot(state: State, message: InstallSnapshot) -> Step:
    snapshot = message.snapshot
    if snapshot.index <= state.commit:
        return state, (_append_reply(state, message, True, state.commit),)
    state = dataclasses.replace(
        state,
        snapshot=snapshot,
        entries=(),
        commit=snapshot.index,
        membership=snapshot.membership,
    )
    return state, (
        SaveSnapshot(snapshot=snapshot, reset=True),
        _append_reply(state, message, True, snapshot.index),
    )


def _on_append_reply(
    state: State, message: AppendReply, jitter: float, now: float
) -> Step:
    if message.term > state.term:
        return _become_follower(state, message.term, "", jitter, now)
    peer = state.peer(message.sender)
    if (
        state.role is not Role.LEADER
        or message.term != state.term
        or peer is None
    ):
        return state, ()
    if message.success:
        match = max(peer.match, message.match)
        peer = dataclasses.replace(peer, match=match, next_index=match + 1)
    else:
        back = min(peer.next_index - 1, message.match + 1)
        peer = dataclasses.replace(
            peer, next_index=max(peer.match + 1, back, 1)
        )
    peer = dataclasses.replace(peer, busy_until=-1.0, heard_at=now)
    state = _with_peer(state, message.sender, peer)
    state, applied = _advance_leader_commit(state, now)
    state, sent = _replicate(state, now, heartbeat=False)
    return state, (*applied, *sent)


# --- the leader's log --------------------------------------------------------


def _propose(state: State, commands: tuple[bytes, ...], now: float) -> Step:
    if state.role is not Role.LEADER or not commands:
        return state, ()
    entries = tuple(
        Entry(index=index, term=state.term, command=command)
        for index, command in enumerate(commands, state.last_index + 1)
    )
    return _append(state, entries, now)


def _propose_membership(
    state: State, membership: Membership, now: float
) -> Step:
    if not can_change_membership(state):
        return state, ()
    entry = Entry(
        index=state.last_index + 1, term=state.term, membership=membership
    )
    return _append(state, (entry,), now)


def _append(state: State, entries: tuple[Entry, ...], now: float) -> Step:
    state = dataclasses.replace(state, entries=(*state.entries, *entries))
    if any(entry.membership for entry in entries):
        state = dataclasses.replace(state, membership=_latest_membership(state))
        state = _track_members(state)
    state, sent = _replicate(state, now, heartbeat=False)
    # Sends come after the entries are synced, so the leader's own copy counts.
    state, applied = _advance_leader_commit(state, now)
    return state, (Append(entries=entries), *sent, *applied)


def _replicate(state: State, now: float, heartbeat: bool) -> Step:
    actions: list[Action] = []
    for replica_id, peer in state.peers:
        behind = peer.next_index <= state.last_index
        if now < peer.busy_until or not (heartbeat or behind):
            continue
        message = _entries_for(state, replica_id, peer)
        actions.append(Send(message=message))
        peer = dataclasses.replace(peer, busy_until=now + timeout_of(message))
        state = _with_peer(state, replica_id, peer)
    return state, tuple(actions)


def timeout_of(message: Message) -> float:
    """Returns the seconds after which a message counts as lost."""
    if isinstance(message, InstallSnapshot):
        return SNAPSHOT_TIMEOUT
    return IN_FLIGHT_TIMEOUT


def _entries_for(
    state: State, replica_id: str, peer: Peer
) -> AppendEntries | InstallSnapshot:
    previous = peer.next_index - 1
    previous_term = state.term_at(previous)
    if previous_term < 0:
        return InstallSnapshot(
            sender=state.replica_id,
            receiver=replica_id,
            term=state.term,
            snapshot=state.snapshot,
        )
    return AppendEntries(
        sender=state.replica_id,
        receiver=replica_id,
        term=state.term,
        previous_index=previous,
        previous_term=previous_term,
        entries=state.slice(peer.next_index, ENTRIES_PER_MESSAGE),
        commit=state.commit,
    )


def _advance_leader_commit(state: State, now: float) -> Step:
    matches = {state.replica_id: state.last_index}
    matches.update({name: peer.match for name, peer in state.peers})
    for index in sorted(set(matches.values()), reverse=True):
        if index <= state.commit:
            break
        holders = frozenset(n for n, match in matches.items() if match >= index)
        if not state.membership.has_quorum(holders):
            continue
        if state.term_at(index) != state.term:
            break
        state, applied = _advance_commit(state, index)
        state, finished = _finish_joint_change(state, now)
        return state, (*applied, *finished)
    return state, ()


def _advance_commit(state: State, commit: int) -> Step:
    if commit <= state.commit:
        return state, ()
    entries = state.slice(state.commit + 1, commit - state.commit)
    state = dataclasses.replace(state, commit=commit)
    return state, (Apply(entries=entries),)


def _finish_joint_change(state: State, now: float) -> Step:
    """Leaves the joint membership once it is committed."""
    pending = any(
        entry.membership
        for entry in state.slice(state.commit + 1, len(state.entries))
    )
    if pending or not state.membership.outgoing:
        if not pending and not state.membership.votes(state.replica_id):
            return _become_follower(state, state.term, "", 0.5, now)
        return state, ()
    final = dataclasses.replace(state.membership, outgoing=())
    entry = Entry(index=state.last_index + 1, term=state.term, membership=final)
    return _append(state, (entry,), now)


def _compact(state: State, snapshot: Snapshot) -> Step:
    if not state.snapshot.index < snapshot.index <= state.commit:
        return state, ()
    kept = state.slice(snapshot.index + 1, len(state.entries))
    state = dataclasses.replace(state, snapshot=snapshot, entries=kept)
    return state, (SaveSnapshot(snapshot=snapshot, reset=False),)


def _with_peer(state: State, replica_id: str, peer: Peer) -> State:
    peers = tuple(
        (name, peer if name == replica_id else old) for name, old in state.peers
    )
    return dataclasses.replace(state, peers=peers)


def _track_members(state: State) -> State:
    known = dict(state.peers)
    peers = tuple(
        (
            member.replica_id,
            known.get(member.replica_id, Peer(next_index=state.last_index + 1)),
        )
        for member in state.membership.everyone()
        if member.replica_id != state.replica_id
    )
    return dataclasses.replace(state, peers=peers)


def _latest_membership(state: State) -> Membership:
    for entry in reversed(state.entries):
        if entry.membership is not None:
            return entry.membership
    return state.snapshot.membership


def membership_at(state: State, index: int) -> Membership:
    """Returns the membership in force as of a committed index."""
    entries = state.slice(
        state.snapshot.index + 1, index - state.snapshot.index
    )
    return _latest_membership(dataclasses.replace(state, entries=entries))


def replacement(
    membership: Membership, old_id: str, new_id: str
) -> Membership | None:
    """Returns the joint membership that puts a learner in a voter's place."""
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


def with_learner(membership: Membership, member: Member) -> Membership:
    """Returns the membership with a new learner; older ones of its VM go."""
    learners = tuple(m for m in membership.learners if m.vm != member.vm)
    return dataclasses.replace(membership, learners=(*learners, member))
