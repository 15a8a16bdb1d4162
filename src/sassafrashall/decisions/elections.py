"""Leader elections of the replicated log, each preceded by a pre-vote."""

from __future__ import annotations

import dataclasses

from sassafrashall.decisions import leadership
from sassafrashall.decisions import replication


def campaign(
    state: replication.State, jitter: float, now: float, pre_vote: bool
) -> replication.Step:
    """Asks the other voters for a vote or a pre-vote in the next term.

    A pre-vote does not change the term of this replica.
    """
    actions: list[replication.Action] = []
    term = state.term + 1
    if pre_vote:
        state = dataclasses.replace(
            state,
            role=replication.Role.PRE_CANDIDATE,
            leader="",
            votes=frozenset(),
        )
    else:
        state = dataclasses.replace(
            state,
            role=replication.Role.CANDIDATE,
            term=term,
            voted_for=state.replica_id,
            votes=frozenset(),
        )
        actions.append(
            replication.SaveVote(term=term, voted_for=state.replica_id)
        )
    state = leadership.reset_election_timer(state, jitter, now)
    for member in state.membership.all_members():
        if member.replica_id != state.replica_id and state.membership.is_voter(
            member.replica_id
        ):
            actions.append(
                replication.Send(
                    message=replication.RequestVote(
                        sender=state.replica_id,
                        receiver=member.replica_id,
                        term=term,
                        last_index=state.last_index,
                        last_term=state.last_term,
                        pre_vote=pre_vote,
                    )
                )
            )
    state, vote_actions = _count_vote(state, state.replica_id, jitter, now)
    return state, (*actions, *vote_actions)


def _count_vote(
    state: replication.State, voter: str, jitter: float, now: float
) -> replication.Step:
    state = dataclasses.replace(state, votes=state.votes | {voter})
    if not state.membership.has_quorum(state.votes):
        return state, ()
    if state.role is replication.Role.PRE_CANDIDATE:
        return campaign(state, jitter, now, pre_vote=False)
    return leadership.become_leader(state, now)


def on_request_vote(
    state: replication.State,
    message: replication.RequestVote,
    jitter: float,
    now: float,
) -> replication.Step:
    """Grants or refuses a vote.

    Candidates whose log is behind are refused, and so are those of a higher
    term while this replica is in contact with a leader.
    """
    up_to_date = (message.last_term, message.last_index) >= (
        state.last_term,
        state.last_index,
    )
    hears_leader = (
        state.role is replication.Role.LEADER
        or now - state.contact_at < leadership.ELECTION_TIMEOUT
    )
    if message.pre_vote:
        granted = message.term > state.term and up_to_date and not hears_leader
        return state, (_vote_reply(state, message, granted),)
    actions: list[replication.Action] = []
    if message.term > state.term:
        if hears_leader and state.leader:
            # A replica that was partitioned for a while must not depose a
            # leader that the others still hear from.
            return state, (_vote_reply(state, message, False),)
        state, role_actions = leadership.become_follower(
            state, message.term, "", jitter, now
        )
        actions.extend(role_actions)
    granted = (
        message.term == state.term
        and up_to_date
        and state.voted_for in ("", message.sender)
    )
    if granted and not state.voted_for:
        state = dataclasses.replace(
            leadership.reset_election_timer(state, jitter, now),
            voted_for=message.sender,
        )
        actions.append(
            replication.SaveVote(term=state.term, voted_for=message.sender)
        )
    actions.append(_vote_reply(state, message, granted))
    return state, tuple(actions)


def _vote_reply(
    state: replication.State, message: replication.RequestVote, granted: bool
) -> replication.Send:
    # A granted pre-vote carries the term asked for, by which the candidate
    # matches it to its request; a refusal carries the voter's own term.
    term = message.term if message.pre_vote and granted else state.term
    return replication.Send(
        message=replication.VoteReply(
            sender=state.replica_id,
            receiver=message.sender,
            term=term,
            granted=granted,
            pre_vote=message.pre_vote,
        )
    )


def on_vote_reply(
    state: replication.State,
    message: replication.VoteReply,
    jitter: float,
    now: float,
) -> replication.Step:
    """Counts a granted vote; steps down if a refusal has a higher term."""
    if not message.granted:
        if message.term > state.term:
            return leadership.become_follower(
                state, message.term, "", jitter, now
            )
        return state, ()
    expected_role = (
        replication.Role.PRE_CANDIDATE
        if message.pre_vote
        else replication.Role.CANDIDATE
    )
    expected_term = state.term + 1 if message.pre_vote else state.term
    if state.role is not expected_role or message.term != expected_term:
        return state, ()
    return _count_vote(state, message.sender, jitter, now)
