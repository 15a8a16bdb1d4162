"""Changes of the voters of the log, by the leader or by an operator.

A control with an empty data folder is a new replica. It joins as a learner and
replaces a lost voter, or becomes a further one, once it has synced all
committed entries. A change needs a majority of the old voters until the final
membership is committed.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall.decisions import leadership
from sassafrashall.decisions import replication
from sassafrashall.decisions import voter_placement

# Seconds without an answer after which a voter may be replaced. A control that
# is started in place of a lost one joins within a few seconds of the loss.
VOTER_TIMEOUT = 2.5
LEARNER_TIMEOUT = 1.0  # seconds within which a learner must have answered


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finished:
    """The final membership is committed; the old voter is not needed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Undecided:
    """A membership, or the first entry of a new leader, is not committed."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Ready:
    """The replacement can begin, with a joint membership."""

    old_id: str
    new_id: str
    membership: replication.Membership


@dataclasses.dataclass(frozen=True, kw_only=True)
class Impossible:
    """The replicas can't be exchanged as they are now."""

    reason: str


Progress: TypeAlias = Finished | Undecided | Ready | Impossible


def progress(state: replication.State, old_id: str, new_id: str) -> Progress:
    """Returns how far the replacement of a voter by a learner has come.

    A replica id belongs to one data folder for good, so the two ids identify
    the replacement, whichever leader began it.

    Args:
      state: State of the leader.
      old_id: Replica id of the voter.
      new_id: Replica id of the learner.
    """
    if not leadership.can_change_membership(state):
        return Undecided()
    membership = state.membership
    voters = {member.replica_id for member in membership.voters}
    previous = {member.replica_id for member in membership.previous}
    if old_id in previous - voters and new_id in voters - previous:
        return Finished()
    if old_id not in voters:
        return Impossible(reason=f"{old_id!r} is not a voter")
    joint_membership = replication.replace_voter(membership, old_id, new_id)
    if joint_membership is None or not leadership.is_caught_up(state, new_id):
        return Impossible(
            reason=f"{new_id!r} is not a learner that has caught up"
        )
    return Ready(old_id=old_id, new_id=new_id, membership=joint_membership)


def next_membership(
    state: replication.State,
    requirements: voter_placement.Requirements,
    led_since: float,
    now: float,
) -> replication.Membership | None:
    """Returns the joint membership that the leader should propose, or None.

    Lost voters are replaced first. Once there is none, learners become voters
    where the fleet then tolerates more of the required losses.

    Args:
      state: State of the leader.
      requirements: The losses to tolerate.
      led_since: Monotonic time at which it became leader.
      now: Monotonic seconds.
    """
    pairs = find_replacements(state, led_since, now)
    if pairs:
        members = {m.replica_id: m for m in state.membership.all_members()}
        new_ids = dict(pairs)
        return replication.change_voters(
            state.membership,
            tuple(
                members[new_ids.get(voter.replica_id, voter.replica_id)]
                for voter in state.membership.voters
            ),
            lost_ids=frozenset(new_ids),
        )
    if not leadership.can_change_membership(state):
        return None
    voters = state.membership.voters
    if _silent_voters(state, led_since, now, LEARNER_TIMEOUT):
        return None
    chosen = voter_placement.choose_voters(
        voters,
        _ready_learners(state, led_since, now),
        requirements,
        leader=state.replica_id,
    )
    if set(chosen) == set(voters):
        return None
    return replication.change_voters(state.membership, chosen)


def find_replacements(
    state: replication.State, led_since: float, now: float
) -> tuple[tuple[str, str], ...]:
    """Returns replica ids of lost voters, each with that of its replacement.

    A learner at the address of a voter replaces that voter. Other learners
    replace voters that have not answered for VOTER_TIMEOUT, if possible in the
    same data centre.

    Args:
      state: State of the leader.
      led_since: Monotonic time at which it became leader. Silence is counted
        from then on, since no replica can have answered it before.
      now: Monotonic seconds.
    """
    if not leadership.can_change_membership(state):
        return ()
    learners = list(_ready_learners(state, led_since, now))
    pairs: dict[str, str] = {}
    # Only one data folder is in use at an address: the voter's is lost.
    for learner in tuple(learners):
        for voter in state.membership.voters:
            if voter.address == learner.address:
                pairs[voter.replica_id] = learner.replica_id
                learners.remove(learner)
    silent_voters = [
        voter
        for voter in _silent_voters(state, led_since, now, VOTER_TIMEOUT)
        if voter.replica_id not in pairs
    ]
    for voter in silent_voters:
        if learners:
            learner = min(
                learners, key=lambda m: m.data_centre != voter.data_centre
            )
            pairs[voter.replica_id] = learner.replica_id
            learners.remove(learner)
    return tuple(pairs.items())


def _ready_learners(
    state: replication.State, led_since: float, now: float
) -> tuple[replication.Member, ...]:
    """Returns the learners that are alive and hold all committed entries."""
    return tuple(
        learner
        for learner in state.membership.learners
        if leadership.is_caught_up(state, learner.replica_id)
        and _silence(state, learner.replica_id, led_since, now)
        < LEARNER_TIMEOUT
    )


def _silent_voters(
    state: replication.State, led_since: float, now: float, timeout: float
) -> tuple[replication.Member, ...]:
    """Returns the other voters that have not answered for `timeout` seconds."""
    return tuple(
        voter
        for voter in state.membership.voters
        if voter.replica_id != state.replica_id
        and _silence(state, voter.replica_id, led_since, now) > timeout
    )


def _silence(
    state: replication.State, replica_id: str, led_since: float, now: float
) -> float:
    peer = state.peer(replica_id)
    heard_at = peer.heard_at if peer is not None else led_since
    return now - max(heard_at, led_since)
