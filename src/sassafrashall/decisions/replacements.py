"""Replacement of a lost voter by a learner, by the leader or by an operator.

A control with an empty data folder is a new replica. It joins as a learner and
replaces a voter once it has synced all committed entries. One voter is
replaced at a time, which needs a majority of the old voters until the final
membership is committed.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall.decisions import leadership
from sassafrashall.decisions import replication

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


def find_replacement(
    state: replication.State, led_since: float, now: float
) -> tuple[str, str] | None:
    """Returns the replica ids of a voter to replace and of its replacement.

    A learner at the address of a voter replaces that voter. Otherwise it
    replaces a voter that has not answered for VOTER_TIMEOUT.

    Args:
      state: State of the leader.
      led_since: Monotonic time at which it became leader. Silence is counted
        from then on, since no replica can have answered it before.
      now: Monotonic seconds.
    """
    if not leadership.can_change_membership(state):
        return None
    ready_learners = [
        learner
        for learner in state.membership.learners
        if leadership.is_caught_up(state, learner.replica_id)
        and _silence(state, learner.replica_id, led_since, now)
        < LEARNER_TIMEOUT
    ]
    for learner in ready_learners:
        for voter in state.membership.voters:
            # Only one data folder is in use at an address: the voter's is lost.
            if voter.address == learner.address:
                return voter.replica_id, learner.replica_id
    silent_voters = [
        voter
        for voter in state.membership.voters
        if voter.replica_id != state.replica_id
        and _silence(state, voter.replica_id, led_since, now) > VOTER_TIMEOUT
    ]
    if not ready_learners or not silent_voters:
        return None
    return silent_voters[0].replica_id, ready_learners[0].replica_id


def _silence(
    state: replication.State, replica_id: str, led_since: float, now: float
) -> float:
    peer = state.peer(replica_id)
    heard_at = peer.heard_at if peer is not None else led_since
    return now - max(heard_at, led_since)
