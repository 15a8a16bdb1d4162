"""The fleet state together with the position of the log that it stands for.

A snapshot is made from one value of it, so that the index in its header is
that of the last entry in its state. The consensus state may be further on:
entries are committed there before they are applied.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import replication


@dataclasses.dataclass(frozen=True, kw_only=True)
class AppliedState:
    """The state after the entry at an index.

    Attributes:
      index: Index of the last applied entry; 0 before the first.
      term: Term of that entry.
      membership: The latest membership up to that entry.
      fleet: The fleet state after that entry.
    """

    index: int = 0
    term: int = 0
    membership: replication.Membership = replication.Membership()
    fleet: fleet_state.FleetState = fleet_state.FleetState()


Step: TypeAlias = tuple[AppliedState, fleet_commands.Result]


def apply_entry(
    applied: AppliedState,
    entry: replication.Entry,
    command: fleet_commands.Command,
) -> Step:
    """Applies the entry that follows the last applied one.

    Args:
      applied: The state before.
      entry: A committed entry.
      command: Its decoded command; `NoOp` if it has none.

    Returns:
      The state after the entry, and the result of its command.
    """
    fleet, result = fleet_state.apply(applied.fleet, command)
    return (
        AppliedState(
            index=entry.index,
            term=entry.term,
            membership=entry.membership or applied.membership,
            fleet=fleet,
        ),
        result,
    )
