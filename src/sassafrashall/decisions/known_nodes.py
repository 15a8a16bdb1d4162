"""The nodes that a node knows, for any load: which records it may rely on.

Controls tell of nodes that changed, or of all. A control that has just started
lacks nodes that it has not heard of yet.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from sassafrashall import model

# Seconds for which nodes stay known that the list of another control lacks. A
# control that has just started hears of all nodes within this time.
UNLISTED_TTL = 3.0


def merge(
    held: dict[str, model.NodeRecord],
    unlisted: Mapping[str, float],
    told: Iterable[tuple[model.NodeRecord, bool]],
    *,
    is_complete: bool,
    now: float,
) -> tuple[dict[str, model.NodeRecord], dict[str, float]]:
    """Returns the records with what a control told, and the unlisted nodes.

    The records are `held` itself if none changed, so that what is derived from
    them need not be derived anew.

    Args:
      held: The records before, by VM.
      unlisted: By VM of the nodes that the last list lacked: when they are
        forgotten, in monotonic seconds.
      told: Records and whether they have lapsed.
      is_complete: Whether `told` lists all nodes that the control knows.
      now: Monotonic seconds.
    """
    told = tuple(told)
    still_unlisted = dict(unlisted)
    if is_complete:
        listed = {record.vm for record, _ in told}
        still_unlisted = {
            vm: unlisted.get(vm, now + UNLISTED_TTL)
            for vm in held
            if vm not in listed
        }
    if not told and not still_unlisted:
        return held, still_unlisted
    records = {
        vm: record
        for vm, record in held.items()
        if still_unlisted.get(vm, now) >= now
    }
    for record, has_lapsed in told:
        still_unlisted.pop(record.vm, None)
        if has_lapsed:
            records.pop(record.vm, None)
        else:
            records[record.vm] = record
    return held if records == held else records, still_unlisted
