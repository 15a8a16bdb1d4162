"""Capacity as measured: load of a service that sheds calls or is slow.

A service that refuses calls is given what it completes. If it goes on refusing
them, or does so while most of its slots are free, fewer calls don't help, and
only as many call trees are let in as are likely to succeed.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import math

from sassafrashall.decisions import demand as demand_decisions

# A service that refuses calls whatever the load would otherwise be given less
# and less. Upstreams that are gone are missing from the slots already.
MIN_CORRECTION = 0.25
# Fraction of the trees that may fail at a service before it is given less. One
# attempt may fail for five that are refused.
TREE_TOLERANCE = 1 / 6
# Completed calls per second that are added to what was observed, so that one
# refused call of a service with few calls keeps no trees out.
PRIOR_COMPLETIONS = 3.0
# Refused calls per second from which on a service is lowered at full speed. One
# call that was refused just now counts as 1.4.
CLEAR_SHEDS = 10.0
# Seconds from a change of the admitted trees until its effect is known, about
# half of the 1.75 s that heartbeats, gossip and the interval of the computation
# take at most. A correction that is repeated sooner overshoots.
FEEDBACK_DELAY = 1.0
# Growth per second of what a service is given that refused calls until lately.
# Too much is noticed `FEEDBACK_DELAY` later: at 0.3, a third more than the
# service can take was admitted each time.
RECOVERY_RATE = 0.1
# Seconds without too many refusals after which they are taken to have ended:
# refusals that the slow growth caused would be known by then.
CALM_TIME = 1.75
CALM_RECOVERY_RATE = 2.0  # growth per second from then on
# Seconds for which a service has to refuse calls until it is taken to do so
# whatever the load: 1 s to lower it to a quarter, 1.75 s until the effect is
# reported, and 2 s for the rates to follow.
PERSISTENT_TIME = 5.0
PERSISTENT_RECOVERY_RATE = 1.0  # growth per second from then on
LEVELS_TIME = 1.75  # seconds until levels follow a burst
# Fraction of the slots in use from which on a service refuses calls for lack of
# free ones, however long it has done so.
FULL_ABOVE = 0.75
# Chance of success from which on all trees of a route are let in. Below it more
# than three trees fail for each that succeeds.
MIN_CHANCE = 0.25


def served_fractions(demand: demand_decisions.Demand) -> dict[str, float]:
    """Returns the fraction of the nested calls that each service serves.

    Calls that were refused at first and completed by a retry count as served.
    A service of which the completions are not known is missing.
    """
    sheds = {shed.service: shed.per_second for shed in demand.sheds}
    return {
        service.service: (service.completions + PRIOR_COMPLETIONS)
        / (
            service.completions
            + PRIOR_COMPLETIONS
            + sheds.get(service.service, 0.0)
        )
        for service in demand.services
        if service.completions >= 0
    }


def tree_chances(
    demand: demand_decisions.Demand,
    roots: Mapping[str, tuple[float, ...]],
    calls: Mapping[str, Mapping[str, float]],
) -> dict[str, float]:
    """Returns the chance by service that all calls of a tree there are served.

    A tree of many calls fails if one of them is refused. It then makes no more
    of them, so that the calls alone show only a part of an overload.

    Args:
      demand: Demand of the fleet.
      roots: Root requests per second by route and priority class.
      calls: Calls of a tree by route and service.
    """
    return {
        service: served ** _mean_calls(service, roots, calls)
        for service, served in served_fractions(demand).items()
    }


def refusing_services(chances: Mapping[str, float]) -> frozenset[str]:
    """Returns the services at which too many trees fail."""
    return frozenset(
        service
        for service, chance in chances.items()
        if chance < 1.0 - TREE_TOLERANCE
    )


def _mean_calls(
    service: str,
    roots: Mapping[str, tuple[float, ...]],
    calls: Mapping[str, Mapping[str, float]],
) -> float:
    """Returns the calls that a tree which leads to a service makes there."""
    trees = made = 0.0
    for route, rates in roots.items():
        count = calls.get(route, {}).get(service, 0.0)
        if count >= demand_decisions.MIN_CALLS_PER_RUN:
            trees += sum(rates)
            made += count * sum(rates)
    return max(1.0, made / trees) if trees else 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Spell:
    """How long a service has refused calls, or has no longer done so.

    Attributes:
      refusing_s: Seconds for which it has refused too many calls; 0 if it
        doesn't now.
      calm_s: Seconds since then; 0 if it does now.
    """

    refusing_s: float = 0.0
    calm_s: float = 0.0


NO_SPELL = Spell()


def update_spells(
    spells: Mapping[str, Spell],
    factors: Mapping[str, float],
    refusing: Set[str],
    elapsed: float,
) -> dict[str, Spell]:
    """Returns the spells of the services that refuse calls, or did lately.

    Args:
      spells: The spells before.
      factors: By service, the factor by which it is given more or less. One
        that is given less is still recovering.
      refusing: The services that refuse too many calls now.
      elapsed: Seconds since the last update.
    """
    updated = {}
    for service in {*spells, *refusing}:
        spell = spells.get(service, NO_SPELL)
        if service in refusing:
            updated[service] = Spell(refusing_s=spell.refusing_s + elapsed)
            continue
        calm_s = spell.calm_s + elapsed
        if calm_s < CALM_TIME or factors.get(service, 1.0) < 1.0:
            updated[service] = Spell(calm_s=calm_s)
    return updated


def lowered(
    factor: float,
    chance: float,
    sheds: float,
    completed_slots: float,
    elapsed: float,
) -> float:
    """Returns the factor of a service that refuses too many calls.

    It is lowered to what the service completes, whatever the demand was.

    Args:
      factor: The factor before.
      chance: Chance that all calls of a tree are served.
      sheds: Calls per second that it refuses.
      completed_slots: Slots that the completed calls take, as a fraction of
        those that calls may fill.
      elapsed: Seconds since the last correction.
    """
    speed = min(1.0, sheds / CLEAR_SHEDS) / FEEDBACK_DELAY
    cut = max(MIN_CORRECTION, chance) ** (elapsed * speed)
    return min(factor, max(MIN_CORRECTION, completed_slots, factor * cut))


def recovered(factor: float, spell: Spell, elapsed: float) -> float:
    """Returns the factor, below 1, of a service that is not lowered."""
    rate = RECOVERY_RATE
    if spell.refusing_s:
        rate = PERSISTENT_RECOVERY_RATE
    elif spell.calm_s >= CALM_TIME:
        rate = CALM_RECOVERY_RATE
    return min(1.0, factor * math.exp(rate * elapsed))


def lacks_slots(service: demand_decisions.ServiceSlots) -> bool:
    """Returns whether a service may refuse calls since its slots are in use."""
    return service.busy >= FULL_ABOVE * service.slots


def is_persistent(service: demand_decisions.ServiceSlots, spell: Spell) -> bool:
    """Returns whether a service refuses calls although it is given less."""
    return spell.refusing_s >= PERSISTENT_TIME and not lacks_slots(service)


def awaits_levels(service: demand_decisions.ServiceSlots, spell: Spell) -> bool:
    """Returns whether refusals may be those of a burst.

    Levels by its slots end them within that time. What it completes is not yet
    what it can complete, if demand was low before.
    """
    return spell.refusing_s < LEVELS_TIME and lacks_slots(service)


def ignores_load(
    service: demand_decisions.ServiceSlots, factor: float, spell: Spell
) -> bool:
    """Returns whether a service that refuses calls would do so at any load."""
    return (
        is_persistent(service, spell)
        or factor <= MIN_CORRECTION
        or service.busy < MIN_CORRECTION * service.slots
    )


def tree_share(
    served: Mapping[str, float], calls: Mapping[str, float]
) -> float:
    """Returns the fraction of a route's trees that is let in.

    Args:
      served: By service that refuses calls whatever the load, the fraction of
        the calls that it serves.
      calls: Calls of a tree by service.
    """
    chance = math.prod(
        fraction ** calls.get(service, 0.0)
        for service, fraction in served.items()
    )
    return min(1.0, chance / MIN_CHANCE)
