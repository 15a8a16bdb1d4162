"""Admission of root requests by what their whole call tree costs.

A root enters the fleet only if the narrowest service on its way has room for
the calls of its whole tree. Refusing one of those calls later would waste the
work done for the root until then, and fail it all the same. A root that is
refused at the door of its own service wastes nothing, so that its own run does
not count.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import math
from typing import Any
from typing import TypeAlias

import xxhash

from sassafrashall import model
from sassafrashall.decisions import demand as demand_decisions
from sassafrashall.decisions import return_times

ADMIT_ALL_LEVEL = float(len(model.Priority))
MAX_DEPTH = 9  # calls above each other in a tree
MIN_RUNS = 0.5  # weighted runs without which nothing is known of a route
# Slot seconds that a request must take at a service to be limited by it.
MIN_COST = 0.0005
# Fraction that is admitted of a class that is closed, whose demand would
# otherwise no longer be measured within quota.
MIN_FRACTION = 0.02
# Seconds until levels are outdated. Everything is then admitted.
LEVELS_TTL = 3.0
CORRECTION_RATE = 0.3  # exponential growth of a correction per second
# Growth per second of what a limiting service is given that refused calls
# before. Too much is noticed `FEEDBACK_DELAY` later: at 0.3, a third more than
# the service can take was admitted each time.
RECOVERY_RATE = 0.1
MAX_CORRECTION = 10.0
# A service that refuses calls whatever the load would otherwise be given less
# and less. Upstreams that are gone are missing from the slots already.
MIN_CORRECTION = 0.25
# Fraction of the calls to a service that may be refused. A tree makes eight
# calls to a narrow service, and fails if one of them is refused.
SHED_TOLERANCE = 0.01
# Seconds from a change of the admitted trees until its effect is known, about
# half of the 1.75 s that heartbeats, gossip and the interval of the computation
# take at most. A correction that is repeated sooner overshoots.
FEEDBACK_DELAY = 1.0
# Fraction of the permitted utilization below which a service has spare slots.
SPARE_BELOW = 0.85


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
    gone, is given fewer trees than its announced slots would carry.
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
    """
    if not isinstance(policy, NarrowestService):
        return {}
    step = math.exp(CORRECTION_RATE * elapsed)
    sheds = {shed.service: shed.per_second for shed in demand.sheds}
    costs = _call_costs(demand) if isinstance(policy, MeasuredCapacity) else {}
    corrected = {}
    for service in demand.services:
        name = service.service
        factor = corrections.get(name, 1.0)
        in_use = service.busy / max(1, service.slots)
        served = _served_fraction(service.completions, sheds.get(name, 0.0))
        if isinstance(policy, MeasuredCapacity) and (
            served < 1.0 - SHED_TOLERANCE
        ):
            completed = service.completions * costs.get(name, 0.0)
            floor = completed / max(1.0, policy.utilization * service.slots)
            lowered = factor * max(MIN_CORRECTION, served) ** (
                elapsed / FEEDBACK_DELAY
            )
            factor = min(factor, max(MIN_CORRECTION, floor, lowered))
        elif name in limiting and in_use < SPARE_BELOW * policy.utilization:
            growth = step
            if factor < 1.0:
                growth = math.exp(RECOVERY_RATE * elapsed)
            factor = min(MAX_CORRECTION, factor * growth)
        elif factor < 1.0 and name not in limiting:
            factor = min(1.0, factor * step)
        elif name not in limiting or in_use > policy.utilization:
            factor = max(min(1.0, factor), factor / step)
        if factor != 1.0:
            corrected[name] = factor
    return corrected


def _served_fraction(completions: float, sheds: float) -> float:
    """Returns the fraction of the calls that is served; 1 if not known."""
    calls = completions + sheds
    if completions < 0 or not calls:
        return 1.0
    return completions / calls


def _call_costs(demand: demand_decisions.Demand) -> dict[str, float]:
    """Returns the slot seconds of a nested call at each service, on average."""
    called = {call.route for route in demand.routes for call in route.calls}
    busy: dict[str, float] = {}
    ended: dict[str, float] = {}
    for route in demand.routes:
        if route.route in called:
            _add(busy, route.service, route.busy_s)
            _add(ended, route.service, route.ended)
    return {
        service: seconds / ended[service]
        for service, seconds in busy.items()
        if ended[service]
    }


def route_levels(
    policy: Policy,
    demand: demand_decisions.Demand,
    corrections: Mapping[str, float] | None = None,
) -> tuple[RouteLevel, ...]:
    """Returns the routes whose root requests must not all enter the fleet.

    The service that needs the most thinning limits the routes that lead to it
    first. What the others have to bear follows from the routes that remain.

    Args:
      policy: The policy in force.
      demand: Demand of the fleet.
      corrections: Factors for what services may be given, see `correct`.
    """
    match policy:
        case AdmitAll():
            return ()
        case NarrowestService(utilization=utilization):
            pass
    costs = tree_costs(demand)
    roots = _roots_by_route(demand)
    slots = {
        service.service: service.slots
        * (corrections or {}).get(service.service, 1.0)
        for service in demand.services
    }
    if isinstance(policy, MeasuredCapacity):
        slots |= dict.fromkeys(_lost_services(demand), 0.0)
    levels: dict[str, RouteLevel] = {}
    remaining = set(slots)
    while remaining:
        limits = {
            service: _service_level(
                utilization * slots[service], service, roots, costs, levels
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
    return tuple(levels.values())


def describe_loads(
    demand: demand_decisions.Demand, services: Set[str]
) -> dict[str, dict[str, Any]]:
    """Returns the slots of services, and those that the trees need there.

    The roots per second and the slot seconds of one tree that leads there are
    listed by route.
    """
    costs = tree_costs(demand)
    needed: dict[str, float] = {}
    for route, rates in _roots_by_route(demand).items():
        for service, seconds in costs.get(route, {}).items():
            _add(needed, service, sum(rates) * seconds)
    return {
        service.service: {
            "slots": service.slots,
            "busy": service.busy,
            "needed": round(needed.get(service.service, 0.0), 1),
            **{
                f"{route}": (round(sum(rates), 1), round(seconds, 3))
                for route, rates in _roots_by_route(demand).items()
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


def _roots_by_route(
    demand: demand_decisions.Demand,
) -> dict[str, tuple[float, ...]]:
    roots: dict[str, tuple[float, ...]] = {}
    for route in demand.routes:
        if any(route.roots):
            held = roots.get(route.route, demand_decisions.NO_ROOTS)
            roots[route.route] = tuple(
                a + b for a, b in zip(held, route.roots, strict=False)
            )
    return roots


def _service_level(
    capacity: float,
    service: str,
    roots: Mapping[str, tuple[float, ...]],
    costs: Mapping[str, Mapping[str, float]],
    levels: Mapping[str, RouteLevel],
) -> float:
    """Returns the level at which the admitted trees fill a service.

    Args:
      capacity: Slots that they may fill.
      service: The service.
      roots: Root requests per second by route and priority class.
      costs: Slot seconds by route and service.
      levels: The routes that other services limit already.
    """
    fixed = 0.0
    loads = [0.0] * len(model.Priority)
    for route, rates in roots.items():
        cost = costs.get(route, {}).get(service, 0.0)
        if cost < MIN_COST:
            continue
        for priority, rate in enumerate(rates):
            held = levels.get(route)
            if held is None:
                loads[priority] += rate * cost
            else:
                fixed += rate * cost * admitted_fraction(held.level, priority)
    room = capacity - fixed
    for priority, load in enumerate(loads):
        if load > room:
            return priority + max(0.0, room) / load
        room -= load
    return ADMIT_ALL_LEVEL


def tree_costs(
    demand: demand_decisions.Demand,
) -> dict[str, dict[str, float]]:
    """Returns the slot seconds of all calls below a run, by route and service.

    A route that is split over services costs each of them its share.
    """
    own_costs: dict[str, dict[str, float]] = {}
    calls_per_run: dict[str, dict[str, float]] = {}
    started: dict[str, float] = {}
    for part in demand.routes:
        started[part.route] = started.get(part.route, 0.0) + part.started
    for part in demand.routes:
        if not part.started or started[part.route] < MIN_RUNS:
            continue
        share = part.started / started[part.route]
        own_cost = own_costs.setdefault(part.route, {})
        if part.ended:
            _add(own_cost, part.service, share * part.busy_s / part.ended)
        callees = calls_per_run.setdefault(part.route, {})
        for call in part.calls:
            if call.count >= demand_decisions.MIN_CALLS_PER_RUN * part.started:
                _add(callees, call.route, call.count / started[part.route])
    costs = own_costs
    for _ in range(MAX_DEPTH - 1):
        costs = {
            route: _with_callees(own_cost, calls_per_run[route], costs)
            for route, own_cost in own_costs.items()
        }
    return {
        route: {
            service: seconds - own_costs[route].get(service, 0.0)
            for service, seconds in cost.items()
        }
        for route, cost in costs.items()
    }


def _with_callees(
    own_cost: Mapping[str, float],
    calls_per_run: Mapping[str, float],
    costs: Mapping[str, Mapping[str, float]],
) -> dict[str, float]:
    """Returns a run's own cost plus what the trees below its calls cost."""
    total = dict(own_cost)
    for callee, count in calls_per_run.items():
        for service, seconds in costs.get(callee, {}).items():
            _add(total, service, count * seconds)
    return total


def _add(sums: dict[str, float], key: str, amount: float) -> None:
    sums[key] = sums.get(key, 0.0) + amount


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
