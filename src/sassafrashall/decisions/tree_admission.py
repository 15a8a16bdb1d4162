"""Admission of root requests by what their whole call tree costs.

A root enters the fleet only if the narrowest service on its way has room for
the calls of its whole tree. Refusing one of those calls later would waste the
work done for the root until then, and fail it all the same. A root that is
refused at the door of its own service wastes nothing, so that its own run does
not count.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import dataclasses
import math
from typing import Any
from typing import TypeAlias

import immutables
import xxhash

from sassafrashall import model
from sassafrashall.decisions import call_trees
from sassafrashall.decisions import demand as demand_decisions
from sassafrashall.decisions import measured_capacity
from sassafrashall.decisions import return_times

ADMIT_ALL_LEVEL = float(len(model.Priority))
# Slot seconds that a request must take at a service to be limited by it.
MIN_COST = 0.0005
# Fraction that is admitted of a class that is closed, whose demand would
# otherwise no longer be measured within quota.
MIN_FRACTION = 0.02
# Seconds until levels are outdated. Everything is then admitted.
LEVELS_TTL = 3.0
CORRECTION_RATE = 0.3  # exponential growth of a correction per second
MAX_CORRECTION = 10.0
# Fraction of the permitted utilization below which a service has spare slots.
SPARE_BELOW = 0.85
# Fraction of the trees that are broken off from which on what whole trees make
# is held for longer. At a sixth, trees seemed smaller by a tenth, and more of
# them were let in than the service could take.
BROKEN_TREES = 0.02
_NO_SPELLS: Mapping[str, measured_capacity.Spell] = immutables.Map()


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmitAll:
    """Admits every root request; the baseline."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NarrowestService:
    """Admits what the narrowest service on the way of a tree has room for.

    Attributes:
      utilization: Fraction of the slots of a service that nested calls may
        fill. The rest is for the service's own roots.
    """

    utilization: float = 0.9


@dataclasses.dataclass(frozen=True, kw_only=True)
class MeasuredCapacity(NarrowestService):
    """Like `NarrowestService`, with the capacity as measured.

    A service that refuses calls, because its upstreams shed, are slow or are
    gone, is given fewer trees than its announced slots would carry. What a call
    costs is counted by completed calls. Trees leave the slots that a service's
    own roots of more urgent classes need.
    """


Policy: TypeAlias = AdmitAll | NarrowestService | MeasuredCapacity


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteLevel:
    """The admission level of a route.

    Attributes:
      level: Number of priority classes admitted, the last one perhaps in part:
        1.25 admits class 0 and a quarter of class 1.
      service: The service that limits it.
    """

    route: str
    level: float
    service: str


def correct(
    policy: Policy,
    corrections: Mapping[str, float],
    demand: demand_decisions.Demand,
    limiting: Set[str],
    elapsed: float,
    spells: Mapping[str, measured_capacity.Spell] = _NO_SPELLS,
) -> dict[str, float]:
    """Returns the factors by which services may be given more or less.

    Costs and demand are estimates. If a service that limits routes has free
    slots, more is let in, and less again while it is full. If it refuses
    calls, `MeasuredCapacity` lets in less, down to what the service completes.

    Args:
      policy: The policy in force.
      corrections: The factors before; 1 for a service that is missing.
      demand: Demand of the fleet, with the slots in use.
      limiting: The services that limit routes now.
      elapsed: Seconds since the last correction.
      spells: How long services have refused calls, or no longer do.
    """
    if not isinstance(policy, NarrowestService):
        return {}
    step = math.exp(CORRECTION_RATE * elapsed)
    chances = _tree_chances(policy, demand)
    refusing = measured_capacity.refusing_services(chances)
    sheds = {shed.service: shed.per_second for shed in demand.sheds}
    costs = call_trees.call_costs(demand) if refusing else {}
    corrected = {}
    for service in demand.services:
        name = service.service
        factor = corrections.get(name, 1.0)
        in_use = service.busy / max(1, service.slots)
        has_spare = in_use < SPARE_BELOW * policy.utilization
        spell = spells.get(name, measured_capacity.NO_SPELL)
        if name in refusing and measured_capacity.awaits_levels(service, spell):
            pass  # The levels by its slots are on their way.
        elif name in refusing and not measured_capacity.is_persistent(
            service, spell
        ):
            completed = service.completions * costs.get(name, 0.0)
            factor = measured_capacity.lowered(
                factor,
                chances[name],
                sheds[name],
                completed / max(1.0, policy.utilization * service.slots),
                elapsed,
            )
        elif factor < 1.0 and name not in limiting:
            factor = max(
                min(1.0, factor * step),
                measured_capacity.recovered(factor, spell, elapsed),
            )
        elif factor < 1.0 and in_use < policy.utilization:
            factor = measured_capacity.recovered(factor, spell, elapsed)
        elif name in limiting and has_spare and name not in refusing:
            factor = min(MAX_CORRECTION, factor * step)
        elif name not in limiting or in_use > policy.utilization:
            factor = max(min(1.0, factor), factor / step)
        if factor != 1.0:
            corrected[name] = factor
    return corrected


def refusing_services(
    policy: Policy, demand: demand_decisions.Demand
) -> frozenset[str]:
    """Returns the services that are given less since they refuse calls."""
    return measured_capacity.refusing_services(_tree_chances(policy, demand))


def breaks_trees(policy: Policy, demand: demand_decisions.Demand) -> bool:
    """Returns whether so many trees are broken off that they seem smaller."""
    chances = _tree_chances(policy, demand).values()
    return min(chances, default=1.0) < 1.0 - BROKEN_TREES


def _tree_chances(
    policy: Policy, demand: demand_decisions.Demand
) -> dict[str, float]:
    """Returns the chances of trees at the services; none if not measured."""
    if not isinstance(policy, MeasuredCapacity) or not demand.sheds:
        return {}
    return measured_capacity.tree_chances(
        demand, call_trees.roots_by_route(demand), call_trees.calls(demand)
    )


def route_levels(
    policy: Policy,
    demand: demand_decisions.Demand,
    corrections: Mapping[str, float] | None = None,
    spells: Mapping[str, measured_capacity.Spell] = _NO_SPELLS,
) -> tuple[RouteLevel, ...]:
    """Returns the routes whose root requests must not all enter the fleet.

    The service that needs the most thinning limits the routes that lead to it
    first. What the others have to bear follows from the routes that remain.

    Args:
      policy: The policy in force.
      demand: Demand of the fleet.
      corrections: Factors for what services may be given, see `correct`.
      spells: How long services have refused calls, or no longer do.
    """
    match policy:
        case AdmitAll():
            return ()
        case NarrowestService(utilization=utilization):
            pass
    is_measured = isinstance(policy, MeasuredCapacity)
    costs = call_trees.costs(demand, by_completed=is_measured)
    roots = call_trees.roots_by_route(demand)
    factors = corrections or {}
    slots = {
        service.service: service.slots * factors.get(service.service, 1.0)
        for service in demand.services
    }
    if is_measured:
        slots |= dict.fromkeys(_lost_services(demand), 0.0)
    levels: dict[str, RouteLevel] = {}
    remaining = set(slots)
    own_costs = call_trees.own_costs(demand) if is_measured else {}
    while remaining:
        limits = {
            service: _service_level(
                utilization * slots[service],
                service,
                roots,
                costs,
                levels,
                whole=slots[service] / min(1.0, factors.get(service, 1.0)),
                own_costs=own_costs,
            )
            for service in remaining
        }
        narrowest = min(limits, key=lambda service: limits[service])
        if limits[narrowest] >= ADMIT_ALL_LEVEL:
            break
        remaining.discard(narrowest)
        for route in roots:
            if costs.get(route, {}).get(narrowest, 0.0) >= MIN_COST:
                levels.setdefault(
                    route,
                    RouteLevel(
                        route=route, level=limits[narrowest], service=narrowest
                    ),
                )
    if is_measured:
        _limit_unlikely_trees(policy, demand, factors, spells, levels)
    return tuple(levels.values())


def _limit_unlikely_trees(
    policy: Policy,
    demand: demand_decisions.Demand,
    corrections: Mapping[str, float],
    spells: Mapping[str, measured_capacity.Spell],
    levels: dict[str, RouteLevel],
) -> None:
    """Lowers the levels of routes whose trees fail whatever the load is."""
    refusing = refusing_services(policy, demand)
    served = measured_capacity.served_fractions(demand)
    served = {
        service.service: served[service.service]
        for service in demand.services
        if service.service in refusing
        and measured_capacity.ignores_load(
            service,
            corrections.get(service.service, 1.0),
            spells.get(service.service, measured_capacity.NO_SPELL),
        )
    }
    if not served:
        return
    calls = call_trees.calls(demand)
    for route, rates in call_trees.roots_by_route(demand).items():
        made = calls.get(route, {})
        share = measured_capacity.tree_share(served, made)
        level = _fill_level(rates, [share * sum(rates)] * len(rates))
        held = levels.get(route)
        if level < (held.level if held else ADMIT_ALL_LEVEL):
            most_called = max(served, key=lambda name: made.get(name, 0.0))
            levels[route] = RouteLevel(
                route=route, level=level, service=most_called
            )


def describe_loads(
    demand: demand_decisions.Demand, services: Set[str]
) -> dict[str, dict[str, Any]]:
    """Returns the slots of services, and those that the trees need there.

    The roots per second and the slot seconds of one tree that leads there are
    listed by route.
    """
    costs = call_trees.costs(demand)
    needed: dict[str, float] = {}
    for route, rates in call_trees.roots_by_route(demand).items():
        for service, seconds in costs.get(route, {}).items():
            call_trees.add(needed, service, sum(rates) * seconds)
    return {
        service.service: {
            "slots": service.slots,
            "busy": service.busy,
            "needed": round(needed.get(service.service, 0.0), 1),
            **{
                f"{route}": (round(sum(rates), 1), round(seconds, 3))
                for route, rates in call_trees.roots_by_route(demand).items()
                if (seconds := costs.get(route, {}).get(service.service, 0.0))
                >= MIN_COST
            },
        }
        for service in (
            *demand.services,
            *(
                demand_decisions.ServiceSlots(service=name, slots=0)
                for name in _lost_services(demand)
            ),
        )
        if service.service in services
    }


def _lost_services(demand: demand_decisions.Demand) -> tuple[str, ...]:
    """Returns the services that refuse calls and have no upstreams left.

    No node reports slots for them. They get no factor in `correct`, so that
    upstreams that return are given what their slots carry.
    """
    known = {service.service for service in demand.services}
    return tuple(
        shed.service for shed in demand.sheds if shed.service not in known
    )


def _service_level(
    capacity: float,
    service: str,
    roots: Mapping[str, tuple[float, ...]],
    costs: Mapping[str, Mapping[str, float]],
    levels: Mapping[str, RouteLevel],
    *,
    whole: float,
    own_costs: Mapping[str, Mapping[str, float]],
) -> float:
    """Returns the level at which the admitted trees fill a service.

    Args:
      capacity: Slots that they may fill.
      service: The service.
      roots: Root requests per second by route and priority class.
      costs: Slot seconds by route and service.
      levels: The routes that other services limit already.
      whole: Slots that the trees and the service's own roots may fill.
      own_costs: Slot seconds of a root at its own service, by route and
        service. Trees leave room for own roots of more urgent classes.
    """
    fixed = 0.0
    loads = [0.0] * len(model.Priority)
    own_loads = [0.0] * len(model.Priority)
    for route, rates in roots.items():
        cost = costs.get(route, {}).get(service, 0.0)
        own_cost = own_costs.get(route, {}).get(service, 0.0)
        held = levels.get(route)
        for priority, rate in enumerate(rates):
            admitted = rate
            if held is not None:
                admitted *= admitted_fraction(held.level, priority)
            own_loads[priority] += admitted * own_cost
            if cost >= MIN_COST and held is None:
                loads[priority] += admitted * cost
            elif cost >= MIN_COST:
                fixed += admitted * cost
    rooms = [
        min(capacity, whole - sum(own_loads[:priority])) - fixed
        for priority in model.Priority
    ]
    return _fill_level(loads, rooms)


def _fill_level(loads: Sequence[float], rooms: Sequence[float]) -> float:
    """Returns the level at which the loads by class fill the room.

    Args:
      loads: Loads by priority class.
      rooms: By priority class, the room for it and the classes before it.
    """
    filled = 0.0
    for priority, (load, room) in enumerate(zip(loads, rooms, strict=True)):
        if load and filled + load > room:
            return priority + max(0.0, room - filled) / load
        filled += load
    return ADMIT_ALL_LEVEL


# --- at the entry node -------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteLevels:
    """The levels that a control sent last.

    Attributes:
      levels: By route; a route that is missing is not limited.
      received_at: Monotonic seconds.
    """

    levels: Mapping[str, RouteLevel] = dataclasses.field(default_factory=dict)
    received_at: float = float("-inf")


def level_of(known: RouteLevels, route: str, now: float) -> RouteLevel | None:
    """Returns the level that holds for a route, or None without a limit."""
    if now - known.received_at > LEVELS_TTL:
        return None
    return known.levels.get(route)


def admitted_fraction(level: float, priority: int) -> float:
    """Returns which fraction of a priority class a level admits."""
    return min(1.0, max(MIN_FRACTION, level - priority))


def admits(level: RouteLevel, priority: int, request_id: str) -> bool:
    """Returns whether a root request may enter the fleet."""
    fraction = admitted_fraction(level.level, priority)
    return _uniform_hash(request_id) < fraction


def retry_after(level: RouteLevel, priority: int, request_id: str) -> float:
    """Returns the seconds after which a refused request may come back.

    The less of a class is admitted, the later its requests come back.
    """
    return return_times.retry_after(
        admitted_fraction(level.level, priority), request_id
    )


def _uniform_hash(text: str) -> float:
    return xxhash.xxh32_intdigest(text) / 2**32
