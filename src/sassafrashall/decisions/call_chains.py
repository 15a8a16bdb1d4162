"""How far repeats spread over services that call each other.

The load is upstreams that fail requests which are then repeated: a repeated run
makes its calls again, so that the services below get repeats of every service
above them beside their own.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses

from sassafrashall.decisions import call_trees
from sassafrashall.decisions import demand as demand_decisions

# Seconds for which a chain that is no longer observed counts. While runs fail
# early, the calls that they would make are not seen.
HELD_TTL = 120.0
_UNKNOWN = ""  # stands for the services behind a route without known runs


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldLength:
    """The number of services on a chain.

    Attributes:
      seen_at: When it was observed last, in monotonic seconds.
    """

    length: int
    seen_at: float


def lengths(demand: demand_decisions.Demand) -> dict[str, int]:
    """Returns the number of services on the longest chain through each one.

    Services of which too few runs were observed are left out.
    """
    runs: dict[str, float] = {}
    services_of: dict[str, set[str]] = {}
    for part in demand.routes:
        call_trees.add(runs, part.service, part.started)
        services_of.setdefault(part.route, set()).add(part.service)
    calls: set[tuple[str, str]] = set()
    for part in demand.routes:
        for call in part.calls:
            if demand_decisions.may_call(part.started, call.count):
                for callee in services_of.get(call.route, {_UNKNOWN}):
                    calls.add((part.service, callee))
    below = _longest_paths(calls)
    above = _longest_paths({(callee, caller) for caller, callee in calls})
    return {
        service: above.get(service, 1) + below.get(service, 1) - 1
        for service, count in runs.items()
        if service and count >= demand_decisions.MIN_RUNS_TO_HOLD
    }


def _longest_paths(edges: set[tuple[str, str]]) -> dict[str, int]:
    """Returns the nodes on the longest path from each, at most `MAX_DEPTH`."""
    longest: dict[str, int] = {}
    for _ in range(call_trees.MAX_DEPTH - 1):
        extended: dict[str, int] = {}
        for start, end in edges:
            length = 1 + longest.get(end, 1)
            extended[start] = max(extended.get(start, 1), length)
        longest = extended
    return longest


def hold(
    held: Mapping[str, HeldLength],
    observed: Mapping[str, int],
    now: float,
) -> dict[str, HeldLength]:
    """Returns the lengths that count: the largest observed lately."""
    kept = {
        service: length
        for service, length in held.items()
        if now - length.seen_at < HELD_TTL
    }
    for service, length in observed.items():
        if service not in kept or length >= kept[service].length:
            kept[service] = HeldLength(length=length, seen_at=now)
    return kept
