"""A replicated log after Raft (Ongaro and Ousterhout, 2014).

It has pre-votes, leaders that step down without a majority, learners, joint
membership changes and snapshots. The functions are pure: the controller
performs the actions in the order given, and sends a message only after all
previous actions are synced to disk.
"""

from __future__ import annotations

import dataclasses

from sassafrashall.decisions import elections
from sassafrashall.decisions import leadership
from sassafrashall.decisions import replication

FIRST_ELECTION_TIMEOUT = 0.4  # seconds after the start, at most


def initial_state(
    replica_id: str,
    term: int,
    voted_for: str,
    snapshot: replication.Snapshot,
    entries: tuple[replication.Entry, ...],
    now: float,
    jitter: float,
) -> replication.State:
    """Returns the state of a replica that starts with what is on its disk.

    Its first election time-out is short. If all replicas restarted, there is
    no leader to wait for; if there is a leader, the pre-vote fails without
    disturbing it.
    """
    state = replication.State(
        replica_id=replica_id,
        term=term,
        voted_for=voted_for,
        snapshot=snapshot,
        entries=entries,
        commit=snapshot.index,
        deadline=now + FIRST_ELECTION_TIMEOUT * jitter,
    )
    return dataclasses.replace(
        state, membership=replication.latest_membership(state)
    )


def step(
    state: replication.State, event: replication.Event, now: float
) -> replication.Step:
    """Returns the state after an event, and the actions to perform."""
    match event:
        case replication.Tick():
            return _tick(state, event, now)
        case replication.Received(message=message):
            heard_at = now if event.sent_at is None else event.sent_at
            return _on_message(state, message, event.jitter, now, heard_at)
        case replication.Propose(commands=commands):
            return leadership.propose(state, commands, now)
        case replication.ProposeMembership(membership=membership):
            return leadership.propose_membership(state, membership, now)
        case replication.Compact(snapshot=snapshot):
            return _compact(state, snapshot)


def majority_age(state: replication.State, now: float) -> float:
    """Returns the seconds since this replica's last contact with a majority.

    A follower counts from the last contact of its leader: a leader that is cut
    off with a minority goes on sending for a while.
    """
    if state.role is replication.Role.LEADER and state.membership.has_quorum(
        frozenset({state.replica_id})
    ):
        return 0.0
    if state.role is replication.Role.LEADER:
        return now - state.contact_at
    return now - state.majority_contact_at


def leadership_confirmed_at(state: replication.State, now: float) -> float:
    """Returns when this replica's leadership was last confirmed.

    At that monotonic time it was the leader and its log held every committed
    entry. Negative infinity if it is not the leader, or has not committed an
    entry of its own term yet: until then, entries that earlier leaders
    committed may not have been applied here.
    """
    if (
        state.role is not replication.Role.LEADER
        or state.term_at(state.commit) != state.term
    ):
        return float("-inf")
    if state.membership.has_quorum(frozenset({state.replica_id})):
        return now
    return state.contact_at


def _tick(
    state: replication.State, event: replication.Tick, now: float
) -> replication.Step:
    if state.role is replication.Role.LEADER:
        return leadership.tick_leader(state, event, now)
    if now < state.deadline:
        return state, ()
    state = leadership.reset_election_timer(state, event.jitter, now)
    if not state.membership.is_voter(state.replica_id):
        return state, ()
    return elections.campaign(state, event.jitter, now, pre_vote=True)


def _on_message(
    state: replication.State,
    message: replication.Message,
    jitter: float,
    now: float,
    heard_at: float,
) -> replication.Step:
    if message.receiver != state.replica_id:
        return state, ()
    match message:
        case replication.RequestVote():
            return elections.on_request_vote(state, message, jitter, now)
        case replication.VoteReply():
            return elections.on_vote_reply(state, message, jitter, now)
        case replication.AppendEntries() | replication.InstallSnapshot():
            return _on_leader_message(state, message, jitter, now)
        case replication.AppendReply():
            return leadership.on_append_reply(
                state, message, jitter, now, heard_at
            )


def _on_leader_message(
    state: replication.State,
    message: replication.AppendEntries | replication.InstallSnapshot,
    jitter: float,
    now: float,
) -> replication.Step:
    if message.term < state.term:
        return state, (_append_reply(state, message, False, 0),)
    state, actions = leadership.become_follower(
        state, message.term, message.sender, jitter, now
    )
    state = dataclasses.replace(
        state,
        contact_at=now,
        majority_contact_at=now - message.majority_age,
    )
    match message:
        case replication.AppendEntries():
            state, reply_actions = _on_append_entries(state, message)
        case replication.InstallSnapshot():
            state, reply_actions = _on_install_snapshot(state, message)
    return state, (*actions, *reply_actions)


def _append_reply(
    state: replication.State,
    message: replication.AppendEntries | replication.InstallSnapshot,
    success: bool,
    match: int,
) -> replication.Send:
    return replication.Send(
        message=replication.AppendReply(
            sender=state.replica_id,
            receiver=message.sender,
            term=state.term,
            success=success,
            match=match,
        )
    )


def _on_append_entries(
    state: replication.State, message: replication.AppendEntries
) -> replication.Step:
    previous_index = message.previous_index
    if previous_index < state.snapshot.index:
        # Entries up to the snapshot are committed and so equal the leader's.
        kept = tuple(
            e for e in message.entries if e.index > state.snapshot.index
        )
        if previous_index + len(message.entries) < state.snapshot.index:
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
    new_entries = tuple(
        e for e in message.entries if state.term_at(e.index) != e.term
    )
    actions: list[replication.Action] = []
    if new_entries:
        first_new_index = new_entries[0].index
        kept = state.slice(
            state.snapshot.index + 1, first_new_index - state.snapshot.index - 1
        )
        # All entries from the first difference on are replaced.
        new_entries = tuple(
            e for e in message.entries if e.index >= first_new_index
        )
        state = dataclasses.replace(state, entries=(*kept, *new_entries))
        state = dataclasses.replace(
            state, membership=replication.latest_membership(state)
        )
        actions.append(replication.Append(entries=new_entries))
    match = message.previous_index + len(message.entries)
    actions.append(_append_reply(state, message, True, match))
    state, apply_actions = leadership.advance_commit(
        state, min(message.commit, match)
    )
    return state, (*actions, *apply_actions)


def _on_install_snapshot(
    state: replication.State, message: replication.InstallSnapshot
) -> replication.Step:
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
        replication.SaveSnapshot(snapshot=snapshot, reset=True),
        _append_reply(state, message, True, snapshot.index),
    )


def _compact(
    state: replication.State, snapshot: replication.Snapshot
) -> replication.Step:
    if not state.snapshot.index < snapshot.index <= state.commit:
        return state, ()
    kept = state.slice(snapshot.index + 1, len(state.entries))
    state = dataclasses.replace(state, snapshot=snapshot, entries=kept)
    return state, (replication.SaveSnapshot(snapshot=snapshot, reset=False),)
