"""Placement of the voters of the log over VMs, data centres and regions.

The log goes on after a loss if a majority of its voters is left. How many
voters that takes, and where they run, follows from the losses to tolerate.
"""

from __future__ import annotations

import dataclasses

from sassafrashall.decisions import replication

MAX_VOTERS = 11  # every change waits for a majority of them


@dataclasses.dataclass(frozen=True, kw_only=True)
class Losses:
    """What may be lost at once: this many of one kind, not of all three.

    Attributes:
      vms: VMs that run a control.
      data_centres: Whole data centres.
      regions: Whole regions.
    """

    vms: int = 1
    data_centres: int = 1
    regions: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Requirements:
    """The losses to tolerate, and where the data centres are.

    Attributes:
      region_by_data_centre: Pairs of data centre and region. A data centre
        that is missing is a region of its own.
    """

    losses: Losses = Losses()
    region_by_data_centre: tuple[tuple[str, str], ...] = ()

    def regions(self) -> dict[str, str]:
        """Returns the regions by data centre."""
        return dict(self.region_by_data_centre)


def tolerated_losses(
    voters: tuple[replication.Member, ...], requirements: Requirements
) -> Losses:
    """Returns the required losses after which a majority of voters is left."""
    regions = requirements.regions()
    by_data_centre: dict[str, int] = {}
    by_region: dict[str, int] = {}
    for voter in voters:
        data_centre = voter.data_centre
        region = regions.get(data_centre, data_centre)
        by_data_centre[data_centre] = by_data_centre.get(data_centre, 0) + 1
        by_region[region] = by_region.get(region, 0) + 1
    required = requirements.losses
    return Losses(
        vms=_tolerated([1] * len(voters), required.vms),
        data_centres=_tolerated(
            list(by_data_centre.values()), required.data_centres
        ),
        regions=_tolerated(list(by_region.values()), required.regions),
    )


def _tolerated(group_sizes: list[int], required: int) -> int:
    """Returns how many groups may be lost, at most `required`.

    Args:
      group_sizes: Number of voters in each group.
      required: Number of groups.
    """
    voters = sum(group_sizes)
    lost = 0
    for count, size in enumerate(sorted(group_sizes, reverse=True)):
        lost += size
        if 2 * lost >= voters or count == required:
            return count
    return min(required, len(group_sizes))


def choose_voters(
    voters: tuple[replication.Member, ...],
    candidates: tuple[replication.Member, ...],
    requirements: Requirements,
    leader: str = "",
) -> tuple[replication.Member, ...]:
    """Returns the voters to have: those in force unless others tolerate more.

    Among sets that tolerate the same losses the smallest is chosen, and the
    voters in force before others.

    Args:
      voters: The voters in force; all are alive.
      candidates: Further replicas that hold all committed entries.
      requirements: The losses to tolerate.
      leader: Replica id of the leader, which is kept if possible.
    """
    members = (*voters, *candidates)
    best = voters
    best_losses = tolerated_losses(voters, requirements)
    for count in range(1, min(len(members), MAX_VOTERS) + 1, 2):
        for spread_first in ("data_centre", "region"):
            chosen = _spread(
                voters, candidates, requirements, leader, count, spread_first
            )
            losses = tolerated_losses(chosen, requirements)
            improves = _rank(losses) > _rank(best_losses)
            # A voter more than is needed delays changes. While the losses
            # exceed what can be tolerated it is one more copy of the log.
            saves = losses == requirements.losses == best_losses and len(
                chosen
            ) < len(best)
            if improves or saves:
                best, best_losses = chosen, losses
    return best


def _rank(losses: Losses) -> tuple[int, int, int]:
    # Single VMs are lost most often, whole regions least.
    return losses.vms, losses.data_centres, losses.regions


def _spread(
    voters: tuple[replication.Member, ...],
    candidates: tuple[replication.Member, ...],
    requirements: Requirements,
    leader: str,
    count: int,
    spread_first: str,
) -> tuple[replication.Member, ...]:
    """Returns `count` members, spread evenly over data centres and regions."""
    regions = requirements.regions()
    voter_ids = {voter.replica_id for voter in voters}
    left = [*voters, *candidates]
    chosen: list[replication.Member] = []
    by_data_centre: dict[str, int] = {}
    by_region: dict[str, int] = {}

    def cost(member: replication.Member) -> tuple[int, int, int, str]:
        data_centre = member.data_centre
        counts = (
            by_data_centre.get(data_centre, 0),
            by_region.get(regions.get(data_centre, data_centre), 0),
        )
        if spread_first == "region":
            counts = counts[1], counts[0]
        if member.replica_id == leader:
            preference = 0
        else:
            preference = 1 if member.replica_id in voter_ids else 2
        return *counts, preference, member.replica_id

    while len(chosen) < count:
        member = min(left, key=cost)
        left.remove(member)
        chosen.append(member)
        data_centre = member.data_centre
        region = regions.get(data_centre, data_centre)
        by_data_centre[data_centre] = by_data_centre.get(data_centre, 0) + 1
        by_region[region] = by_region.get(region, 0) + 1
    return tuple(sorted(chosen, key=lambda member: member.vm))
