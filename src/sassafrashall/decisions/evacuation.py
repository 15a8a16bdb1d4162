"""Keeps load from a data centre that operators evacuate.

The set of evacuated data centres is replicated. The node beside an upstream
refuses requests to it while its data centre is evacuated, so that nodes that
learn of an evacuation late send nothing there either.

A node that has started, or whose process was suspended, may have missed an
evacuation. It sends nothing to its upstream until it has a proof that its state
is the newest. One that is cut off gets none; after a while it goes on with the
state that it has.
"""

from __future__ import annotations

import dataclasses
import enum

import immutables

from sassafrashall import frozen

# Fractions of the time within which an evacuation is in force. A process that
# stood still for less still learns of an evacuation in time; one that is in
# contact has a proof within the second.
MAX_GAP_FRACTION = 0.4
MAX_WAIT_FRACTION = 0.6


@dataclasses.dataclass(frozen=True, kw_only=True)
class Evacuations:
    """The replicated set of evacuated data centres.

    Attributes:
      evacuated: Names of the data centres.
      changed: By data centre, the fleet revision of the last change, kept after
        the end of an evacuation.
    """

    evacuated: frozenset[str] = frozenset()
    changed: immutables.Map[str, int] = immutables.Map()


class ChangeResult(enum.Enum):
    """What a request to begin or end an evacuation does."""

    CHANGED = "changed"
    UNCHANGED = "unchanged"
    OUTDATED = "outdated"


def change(
    state: Evacuations,
    data_centre: str,
    *,
    begins: bool,
    known_revision: int,
    revision: int,
) -> tuple[Evacuations, ChangeResult]:
    """Begins or ends an evacuation.

    A request that was held up on its way between controls may arrive after an
    operator has asked for the opposite. It is recognised by the revision that
    the control knew which received it.

    Args:
      state: The state before.
      data_centre: The data centre.
      begins: Whether the evacuation begins.
      known_revision: Fleet revision that the control which received the request
        had applied by then; negative if not known.
      revision: Fleet revision of the change.
    """
    if (data_centre in state.evacuated) == begins:
        return state, ChangeResult.UNCHANGED
    if 0 <= known_revision < state.changed.get(data_centre, 0):
        return state, ChangeResult.OUTDATED
    evacuated = (
        state.evacuated | {data_centre}
        if begins
        else state.evacuated - {data_centre}
    )
    return (
        Evacuations(
            evacuated=evacuated,
            changed=state.changed.set(data_centre, revision),
        ),
        ChangeResult.CHANGED,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Seen:
    """What the last check at a node saw of its data centre.

    Attributes:
      evacuated: Whether it was evacuated.
      changed: Fleet revision of the last change; None while the node does not
        know the state of the fleet.
    """

    evacuated: bool = False
    changed: int | None = None


def has_ended(seen: Seen, *, evacuated: bool, changed: int) -> bool:
    """Returns whether an evacuation has ended since the last check.

    One that also began since then shows only by the revision of its end.

    Args:
      seen: What the last check saw.
      evacuated: Whether the data centre is evacuated now.
      changed: Fleet revision of the last change; 0 if there was none.
    """
    if evacuated:
        return False
    return seen.evacuated or (
        seen.changed is not None and changed > seen.changed
    )


class Block(enum.Enum):
    """Why the upstream on this VM gets no request."""

    EVACUATED = "the data centre is evacuated"
    UNPROVEN = "the node does not know yet whether to evacuate"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contact:
    """Whether the node has run without a break since its last proof.

    Attributes:
      bound_s: Seconds within which an evacuation has to be in force; 0 to rely
        on the state at hand always.
      ticked_at: When the process ran last, in monotonic seconds.
      resumed_at: When it started or went on after standing still, in monotonic
        seconds.
    """

    bound_s: float
    ticked_at: float
    resumed_at: float


def start(bound_s: float, now: float) -> Contact:
    """Returns the state of a node that starts."""
    return Contact(bound_s=bound_s, ticked_at=now, resumed_at=now)


def on_tick(state: Contact, now: float) -> Contact:
    """Notes that the process runs."""
    if now - state.ticked_at > MAX_GAP_FRACTION * state.bound_s:
        return frozen.replace(state, ticked_at=now, resumed_at=now)
    return frozen.replace(state, ticked_at=now)


def block(
    state: Contact, *, evacuated: bool, proven_at: float, now: float
) -> Block | None:
    """Returns why the upstream gets no request; None if it may get one.

    Args:
      state: The state.
      evacuated: Whether the data centre is, as far as the node knows.
      proven_at: When its state was last proven to be the newest, in monotonic
        seconds.
      now: Monotonic seconds.
    """
    if evacuated:
        return Block.EVACUATED
    if state.bound_s <= 0:
        return None
    has_stood_still = now - state.ticked_at > MAX_GAP_FRACTION * state.bound_s
    resumed_at = now if has_stood_still else state.resumed_at
    has_waited = now - resumed_at >= MAX_WAIT_FRACTION * state.bound_s
    return None if proven_at >= resumed_at or has_waited else Block.UNPROVEN
