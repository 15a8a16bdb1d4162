"""The leader of the replicated log: replication, commits and step-down."""

from __future__ import annotations

import dataclasses

from sassafrashall.decisions import replication

HEARTBEAT_INTERVAL = 0.15  # seconds
ELECTION_TIMEOUT = 0.8  # seconds; jitter adds up to the same again
APPEND_TIMEOUT = 0.4  # seconds until unanswered entries are sent again
SNAPSHOT_TIMEOUT = 5.0  # seconds until an unanswered snapshot is sent again
ENTRIES_PER_MESSAGE = 512  # at most


def reset_election_timer(
    state: replication.State, jitter: float, now: float
) -> replication.State:
    """Restarts the election time-out."""
    return dataclasses.replace(
        state, deadline=now + ELECTION_TIMEOUT * (1.0 + jitter)
    )


def become_leader(state: replication.State, now: float) -> replication.Step:
    """Makes this replica the leader and appends an entry of its term."""
    state = dataclasses.replace(
        state,
        role=replication.Role.LEADER,
        leader=state.replica_id,
        votes=frozenset(),
        peers=(),
        contact_at=now,
        deadline=now,
    )
    state = _track_members(state)
    # A leader can commit entries of earlier terms only together with one of
    # its own term.
    entry = replication.Entry(index=state.last_index + 1, term=state.term)
    state, actions = _append_entries(state, (entry,), now)
    role_changed = replication.RoleChanged(
        role=replication.Role.LEADER, term=state.term
    )
    return state, (role_changed, *actions)


def become_follower(
    state: replication.State, term: int, leader: str, jitter: float, now: float
) -> replication.Step:
    """Makes this replica a follower in `term`, which is not an earlier one.

    Args:
      state: The state before.
      term: The current term or a later one.
      leader: Replica id of the leader of the term; empty if unknown.
      jitter: Uniform random number in [0, 1) for the election time-out.
      now: Monotonic seconds.
    """
    actions: list[replication.Action] = []
    if term > state.term:
        state = dataclasses.replace(state, term=term, voted_for="")
        actions.append(replication.SaveVote(term=term, voted_for=""))
    if state.role is replication.Role.LEADER:
        state = dataclasses.replace(state, majority_contact_at=state.contact_at)
        actions.append(
            replication.RoleChanged(role=replication.Role.FOLLOWER, term=term)
        )
    state = dataclasses.replace(
        state,
        role=replication.Role.FOLLOWER,
        leader=leader,
        votes=frozenset(),
        peers=(),
    )
    return reset_election_timer(state, jitter, now), tuple(actions)


def propose(
    state: replication.State, commands: tuple[bytes, ...], now: float
) -> replication.Step:
    """Appends commands if this replica is the leader."""
    if state.role is not replication.Role.LEADER or not commands:
        return state, ()
    entries = tuple(
        replication.Entry(index=index, term=state.term, command=command)
        for index, command in enumerate(commands, state.last_index + 1)
    )
    return _append_entries(state, entries, now)


def propose_membership(
    state: replication.State, membership: replication.Membership, now: float
) -> replication.Step:
    """Appends a membership if this is the leader and none is pending."""
    if not can_change_membership(state):
        return state, ()
    entry = replication.Entry(
        index=state.last_index + 1, term=state.term, membership=membership
    )
    return _append_entries(state, (entry,), now)


def _append_entries(
    state: replication.State, entries: tuple[replication.Entry, ...], now: float
) -> replication.Step:
    state = dataclasses.replace(state, entries=(*state.entries, *entries))
    if any(entry.membership for entry in entries):
        state = dataclasses.replace(
            state, membership=replication.latest_membership(state)
        )
        state = _track_members(state)
    state, send_actions = _replicate(state, now, heartbeat=False)
    # Messages are sent after the entries are synced here, so the leader counts
    # itself among the replicas that hold them.
    state, apply_actions = _advance_leader_commit(state, now)
    return state, (
        replication.Append(entries=entries),
        *send_actions,
        *apply_actions,
    )


def _replicate(
    state: replication.State, now: float, heartbeat: bool
) -> replication.Step:
    actions: list[replication.Action] = []
    for replica_id, peer in state.peers:
        is_behind = peer.next_index <= state.last_index
        if now < peer.busy_until or not (heartbeat or is_behind):
            continue
        message = _replication_message(state, replica_id, peer, now)
        actions.append(replication.Send(message=message))
        peer = dataclasses.replace(
            peer, busy_until=now + message_timeout(message)
        )
        state = _update_peer(state, replica_id, peer)
    return state, tuple(actions)


def message_timeout(message: replication.Message) -> float:
    """Returns the seconds after which an unanswered message counts as lost."""
    if isinstance(message, replication.InstallSnapshot):
        return SNAPSHOT_TIMEOUT
    return APPEND_TIMEOUT


def _replication_message(
    state: replication.State,
    replica_id: str,
    peer: replication.Peer,
    now: float,
) -> replication.AppendEntries | replication.InstallSnapshot:
    majority_age = max(0.0, now - state.contact_at)
    previous = peer.next_index - 1
    previous_term = state.term_at(previous)
    if previous_term < 0:
        return replication.InstallSnapshot(
            sender=state.replica_id,
            receiver=replica_id,
            term=state.term,
            snapshot=state.snapshot,
            majority_age=majority_age,
        )
    return replication.AppendEntries(
        sender=state.replica_id,
        receiver=replica_id,
        term=state.term,
        previous_index=previous,
        previous_term=previous_term,
        entries=state.slice(peer.next_index, ENTRIES_PER_MESSAGE),
        commit=state.commit,
        majority_age=majority_age,
    )


def _advance_leader_commit(
    state: replication.State, now: float
) -> replication.Step:
    match_indexes = {state.replica_id: state.last_index}
    match_indexes.update({name: peer.match for name, peer in state.peers})
    for index in sorted(set(match_indexes.values()), reverse=True):
        if index <= state.commit:
            break
        replica_ids = frozenset(
            n for n, match in match_indexes.items() if match >= index
        )
        if not state.membership.has_quorum(replica_ids):
            continue
        if state.term_at(index) != state.term:
            break
        state, apply_actions = advance_commit(state, index)
        state, final_actions = _finish_joint_change(state, now)
        return state, (*apply_actions, *final_actions)
    return state, ()


def advance_commit(state: replication.State, commit: int) -> replication.Step:
    """Commits all entries up to an index and applies them."""
    if commit <= state.commit:
        return state, ()
    entries = state.slice(state.commit + 1, commit - state.commit)
    state = dataclasses.replace(state, commit=commit)
    return state, (replication.Apply(entries=entries),)


def _finish_joint_change(
    state: replication.State, now: float
) -> replication.Step:
    """Ends a joint change once its membership is committed.

    A leader that is not among the new voters then steps down.
    """
    has_pending_change = any(
        entry.membership
        for entry in state.slice(state.commit + 1, len(state.entries))
    )
    if has_pending_change or not state.membership.outgoing:
        if not has_pending_change and not state.membership.is_voter(
            state.replica_id
        ):
            return become_follower(state, state.term, "", 0.5, now)
        return state, ()
    entry = replication.Entry(
        index=state.last_index + 1,
        term=state.term,
        membership=replication.final_membership(state.membership),
    )
    return _append_entries(state, (entry,), now)


def _update_peer(
    state: replication.State, replica_id: str, peer: replication.Peer
) -> replication.State:
    peers = tuple(
        (name, peer if name == replica_id else old) for name, old in state.peers
    )
    return dataclasses.replace(state, peers=peers)


def _track_members(state: replication.State) -> replication.State:
    known_peers = dict(state.peers)
    peers = tuple(
        (
            member.replica_id,
            known_peers.get(
                member.replica_id,
                replication.Peer(next_index=state.last_index + 1),
            ),
        )
        for member in state.membership.all_members()
        if member.replica_id != state.replica_id
    )
    return dataclasses.replace(state, peers=peers)


def on_append_reply(
    state: replication.State,
    message: replication.AppendReply,
    jitter: float,
    now: float,
    heard_at: float,
) -> replication.Step:
    """Updates a peer's progress, and the commit index from it.

    The contact with the peer is dated to when the answered message was sent,
    since the answer may have waited while this VM was paused.
    """
    if message.term > state.term:
        return become_follower(state, message.term, "", jitter, now)
    peer = state.peer(message.sender)
    if (
        state.role is not replication.Role.LEADER
        or message.term != state.term
        or peer is None
    ):
        return state, ()
    if message.success:
        match = max(peer.match, message.match)
        peer = dataclasses.replace(peer, match=match, next_index=match + 1)
    else:
        retry_index = min(peer.next_index - 1, message.match + 1)
        peer = dataclasses.replace(
            peer, next_index=max(peer.match + 1, retry_index, 1)
        )
    peer = dataclasses.replace(
        peer, busy_until=-1.0, heard_at=max(peer.heard_at, heard_at)
    )
    state = _update_peer(state, message.sender, peer)
    state, apply_actions = _advance_leader_commit(state, now)
    state, send_actions = _replicate(state, now, heartbeat=False)
    return state, (*apply_actions, *send_actions)


def _quorum_contact(state: replication.State, now: float) -> float:
    """Returns the latest time since which a majority has answered."""
    heard_times = {state.replica_id: now}
    heard_times.update({name: peer.heard_at for name, peer in state.peers})
    for time_heard in sorted(heard_times.values(), reverse=True):
        replica_ids = frozenset(
            n for n, heard_at in heard_times.items() if heard_at >= time_heard
        )
        if state.membership.has_quorum(replica_ids):
            return max(state.contact_at, time_heard)
    return state.contact_at


def tick_leader(
    state: replication.State, event: replication.Tick, now: float
) -> replication.Step:
    """Steps down after losing the majority; otherwise sends heartbeats."""
    recently_heard = {state.replica_id} | {
        replica_id
        for replica_id, peer in state.peers
        if now - peer.heard_at < ELECTION_TIMEOUT
    }
    if state.membership.has_quorum(frozenset(recently_heard)):
        state = dataclasses.replace(
            state, contact_at=_quorum_contact(state, now)
        )
    elif now - state.contact_at >= ELECTION_TIMEOUT:
        return become_follower(state, state.term, "", event.jitter, now)
    if now < state.deadline:
        return state, ()
    state = dataclasses.replace(state, deadline=now + HEARTBEAT_INTERVAL)
    return _replicate(state, now, heartbeat=True)


def is_caught_up(state: replication.State, replica_id: str) -> bool:
    """Returns whether a replica has synced all committed entries."""
    peer = state.peer(replica_id)
    return peer is not None and peer.match >= state.commit


def can_change_membership(state: replication.State) -> bool:
    """Returns whether a leader may append another membership."""
    if state.role is not replication.Role.LEADER or state.membership.outgoing:
        return False
    if state.term_at(state.commit) != state.term:
        return False
    return all(
        entry.membership is None
        for entry in state.slice(state.commit + 1, len(state.entries))
    )
