"""Cluster bootstrap: the membership of a replica with an empty data folder.

Founders are the controls named in the settings, which may found the fleet.
"""

from __future__ import annotations

import dataclasses

from sassafrashall.decisions import replication


@dataclasses.dataclass(frozen=True, kw_only=True)
class FounderState:
    """What another founder reports about itself.

    Attributes:
      founded: Whether it has a membership, which may be empty.
    """

    member: replication.Member
    founded: bool
    membership: replication.Membership


def initial_membership(
    own: replication.Member,
    founders: tuple[str, ...],
    answers: tuple[FounderState, ...],
    *,
    may_found: bool = True,
) -> replication.Membership | None:
    """Returns the membership to start with, or None while it is undecided.

    Only the founder with the lowest address creates the membership, and only
    if all other founders have answered and none has one. The others then adopt
    it. A replica that is no member of a fleet founded before starts with an
    empty membership: it must not vote in place of the replica that it
    replaces, and asks to become a learner.

    Args:
      own: This replica.
      founders: Addresses of all founders, this one among them.
      answers: States of the other founders that answered.
      may_found: Whether the fleet may be founded now; False if it was founded
        before.
    """
    founded_answers = [answer for answer in answers if answer.founded]
    for answer in founded_answers:
        member_ids = {m.replica_id for m in answer.membership.all_members()}
        if own.replica_id in member_ids:
            return answer.membership
    if founded_answers:
        return replication.Membership()
    if not may_found:
        # The fleet was founded before, so this replica has lost its folder.
        return None
    answering_addresses = {answer.member.address for answer in answers}
    if own.address != min(founders) or answering_addresses != (
        set(founders) - {own.address}
    ):
        return None
    members = [own, *(answer.member for answer in answers)]
    return replication.Membership(
        voters=tuple(sorted(members, key=lambda member: member.vm))
    )
