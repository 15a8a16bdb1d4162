"""What each route is asked for, costs and calls, as nodes and controls add up.

A node counts the root requests that enter the fleet at it, and the runs at its
upstream. The calls that an upstream makes carry no link to the run that makes
them. They are attributed to the runs in progress by expectation maximisation
for a mixture of Poisson processes, one for each route. Sums over nodes are sums
over the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import TypeAlias
from typing import TypeVar

import immutables

from sassafrashall import model

_Key = TypeVar("_Key")

# Weighted runs in the fleet from which on their calls are held.
MIN_RUNS_TO_HOLD = 20.0
HOLD_HALF_LIFE = 15.0  # seconds in which a held number halves its excess
# The same while a service refuses calls, so that runs end early.
REFUSING_HOLD_HALF_LIFE = 120.0
HELD_TTL = 120.0  # seconds for which a number is held while few runs are seen
MAX_HOLD_FACTOR = 2.0  # multiple of the observed number that may be held
NODE_TTL = 2.0  # seconds until the demand that a node reported is outdated
CONTROL_TTL = 3.0  # the same for the demand that a control reported
# Seconds of runs without a call that are added to what was observed, so that
# one call in a short time is not taken for a high rate.
PRIOR_EXPOSURE = 1.0
# Weighted runs of a kind from which on the calls that it makes are known.
MIN_RUNS_TO_JUDGE = 3.0
# Calls of a kind that a run must make on average. Fewer may be calls of other
# runs that were attributed to it.
MIN_CALLS_PER_RUN = 0.25
UNKNOWN_RATE = -1.0  # a rate that was not reported
NO_ROOTS = (0.0,) * len(model.Priority)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Calls:
    """The calls that runs of one route made on another route.

    Attributes:
      route: The route that is called.
      count: Number of calls; recent ones weigh most.
    """

    route: str
    count: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteDemand:
    """The demand for one route, and what its runs cost.

    Attributes:
      service: The service that ran it; empty if it was not run.
      roots: Root requests per second within quota, by priority class, whether
        they were admitted or not.
      started: Runs that have begun; recent ones weigh most.
      ended: Runs that have ended, weighted in the same way.
      busy_s: Seconds for which the ended runs held a slot.
      calls: Calls that the runs made.
      refused: Ended runs that the upstream refused, or failed by itself.
    """

    route: str
    service: str = ""
    roots: tuple[float, ...] = NO_ROOTS
    started: float = 0.0
    ended: float = 0.0
    busy_s: float = 0.0
    calls: tuple[Calls, ...] = ()
    refused: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceSlots:
    """The slots of a service's upstreams.

    Attributes:
      slots: Concurrent requests that they accept.
      busy: Slots in use.
      completions: Nested calls that they complete per second; negative if a
        node of an older build, which doesn't report them, is among those
        counted.
    """

    service: str
    slots: int
    busy: int = 0
    completions: float = UNKNOWN_RATE


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sheds:
    """The nested calls that a service has refused for lack of capacity.

    They are counted where they were made: a call that one upstream refuses and
    another one completes is none of them.

    Attributes:
      per_second: Refused calls per second.
    """

    service: str
    per_second: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Demand and capacity of a part of the fleet."""

    routes: tuple[RouteDemand, ...] = ()
    services: tuple[ServiceSlots, ...] = ()
    sheds: tuple[Sheds, ...] = ()


def add_up(demands: Iterable[Demand]) -> Demand:
    """Returns the demand of all parts together."""
    slots: dict[str, int] = {}
    busy: dict[str, int] = {}
    completions: dict[str, float] = {}
    sheds: dict[str, float] = {}
    parts: dict[tuple[str, str], list[RouteDemand]] = {}
    for demand in demands:
        for service in demand.services:
            slots[service.service] = (
                slots.get(service.service, 0) + service.slots
            )
            busy[service.service] = busy.get(service.service, 0) + service.busy
            completions[service.service] = _add_rates(
                completions.get(service.service, 0.0), service.completions
            )
        for shed in demand.sheds:
            sheds[shed.service] = sheds.get(shed.service, 0.0) + shed.per_second
        for route in demand.routes:
            parts.setdefault((route.route, route.service), []).append(route)
    return Demand(
        routes=tuple(_add_routes(same) for same in parts.values()),
        services=tuple(
            ServiceSlots(
                service=name,
                slots=count,
                busy=busy[name],
                completions=completions[name],
            )
            for name, count in slots.items()
        ),
        sheds=tuple(
            Sheds(service=name, per_second=rate) for name, rate in sheds.items()
        ),
    )


def _add_rates(one: float, other: float) -> float:
    """Returns the sum of two rates, which is unknown if one of them is."""
    if one < 0 or other < 0:
        return UNKNOWN_RATE
    return one + other


def _add_routes(parts: list[RouteDemand]) -> RouteDemand:
    if len(parts) == 1:
        return parts[0]
    calls: dict[str, float] = {}
    for part in parts:
        for call in part.calls:
            calls[call.route] = calls.get(call.route, 0.0) + call.count
    return RouteDemand(
        route=parts[0].route,
        service=parts[0].service,
        roots=tuple(
            sum(rates) for rates in zip(*(p.roots for p in parts), strict=False)
        ),
        started=sum(part.started for part in parts),
        ended=sum(part.ended for part in parts),
        busy_s=sum(part.busy_s for part in parts),
        refused=sum(part.refused for part in parts),
        calls=tuple(
            Calls(route=route, count=count) for route, count in calls.items()
        ),
    )


InProgress: TypeAlias = tuple[tuple[_Key, int], ...]


def attribute_call(
    in_progress: InProgress[_Key], rates: Mapping[_Key, float]
) -> dict[_Key, float]:
    """Returns the fractions of a call that the runs in progress have made.

    The fractions add up to 1; there are none if nothing is in progress.

    Args:
      in_progress: The kinds of runs in progress and their numbers.
      rates: Calls per second of a run, by its kind; a kind that is missing is
        as likely to call as any other.
    """
    unknown_rate = max(rates.values(), default=0.0) or 1.0
    weights = {
        key: count * rates.get(key, unknown_rate) for key, count in in_progress
    }
    total = sum(weights.values())
    if not total:
        return {}
    return {key: weight / total for key, weight in weights.items()}


def attribute_calls(
    calls: Iterable[InProgress[_Key]],
    exposures: Mapping[_Key, float],
    rates: Mapping[_Key, float],
) -> dict[_Key, float]:
    """Returns a better estimate of the rates at which runs make calls.

    Args:
      calls: For each call, the kinds of runs that were in progress and their
        numbers.
      exposures: Seconds of runs of each kind while the calls were observed.
      rates: The estimate before, in calls per second of a run; a kind that is
        missing is as likely to call as any other.

    Returns:
      Calls per second of a run, by its kind.
    """
    attributed = dict.fromkeys(exposures, 0.0)
    for in_progress in calls:
        known = tuple(item for item in in_progress if item[0] in attributed)
        for key, fraction in attribute_call(known, rates).items():
            attributed[key] += fraction
    return {
        key: count / (exposures[key] + PRIOR_EXPOSURE)
        for key, count in attributed.items()
    }


def may_call(started: float, calls: float) -> bool:
    """Returns whether runs of a kind are taken to make calls on a route.

    Args:
      started: Weighted number of runs of the kind.
      calls: Weighted number of their calls on the route.
    """
    return started < MIN_RUNS_TO_JUDGE or calls >= MIN_CALLS_PER_RUN * started


def most_urgent(
    callers: Iterable[Iterable[model.Priority]],
) -> model.Priority | None:
    """Returns the class that a call of the local upstream is given.

    Calls carry no link to the run that makes them. Among the runs that may
    have made one, the most urgent decides: an urgent root must not wait behind
    others, and the roots in front of which a call goes by mistake are few as
    long as urgent runs are.

    Args:
      callers: For each kind of run that may have made the call, the classes of
        the roots of its runs in progress.

    Returns:
      The class, or None if no such run is in progress.
    """
    return min(
        (urgency for urgencies in callers for urgency in urgencies),
        default=None,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class HeldNumber:
    """The calls of one kind that a whole run makes.

    Attributes:
      observed_at: When enough runs were observed last, in monotonic seconds.
    """

    value: float
    observed_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallsPerRun:
    """The calls that a run makes if none of them fails.

    Runs whose calls are refused end before they have made the others. If that
    lowered the cost of their trees, more of them would be admitted the more
    calls are refused. A larger number seen before is therefore held for a
    while, and so is any number while few runs are observed.

    Attributes:
      numbers: `HeldNumber` by route and service of the run, and route of the
        call.
    """

    numbers: immutables.Map = immutables.Map()


def hold_calls_per_run(
    held: CallsPerRun, demand: Demand, now: float, *, refusing: bool = False
) -> CallsPerRun:
    """Updates the numbers by what was observed in the whole fleet.

    Args:
      held: The numbers before.
      demand: Demand of the fleet.
      now: Monotonic seconds.
      refusing: Whether a service refuses calls, so that runs are broken off.
    """
    half_life = REFUSING_HOLD_HALF_LIFE if refusing else HOLD_HALF_LIFE
    numbers = {
        key: number
        for key, number in held.numbers.items()
        if now - number.observed_at < HELD_TTL
    }
    for route in demand.routes:
        if route.started < MIN_RUNS_TO_HOLD:
            continue
        for call in route.calls:
            key = (route.route, route.service, call.route)
            observed = value = call.count / route.started
            before = numbers.get(key)
            if before is not None and before.value > observed:
                elapsed = now - before.observed_at
                excess = before.value - observed
                excess *= 0.5 ** (elapsed / half_life)
                value = observed + excess
                if not refusing:
                    value = min(MAX_HOLD_FACTOR * observed, value)
            numbers[key] = HeldNumber(value=value, observed_at=now)
    return CallsPerRun(numbers=immutables.Map(numbers))


def with_held_calls(demand: Demand, held: CallsPerRun) -> Demand:
    """Returns the demand with the held numbers of calls."""
    return dataclasses.replace(
        demand,
        routes=tuple(
            dataclasses.replace(route, calls=_held_calls(route, held))
            for route in demand.routes
        ),
    )


def _held_calls(route: RouteDemand, held: CallsPerRun) -> tuple[Calls, ...]:
    calls = []
    for call in route.calls:
        key = (route.route, route.service, call.route)
        number = held.numbers.get(key)
        count = call.count
        if number is not None:
            count = number.value * route.started
        calls.append(Calls(route=call.route, count=count))
    return tuple(calls)


# --- at a control ------------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Report:
    """Demand as reported, and when, in monotonic seconds."""

    demand: Demand
    heard_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class FleetDemand:
    """What a control knows of the demand in the fleet.

    Attributes:
      nodes: `_Report` by VM, of the nodes that send it their heartbeats.
      controls: `_Report` by RPC address, of what other controls have heard from
        their nodes.
    """

    nodes: immutables.Map = immutables.Map()
    controls: immutables.Map = immutables.Map()


def on_heartbeat(
    fleet: FleetDemand, vm: str, demand: Demand | None, now: float
) -> FleetDemand:
    """Records what a node reported; None if its build reports nothing."""
    if demand is None:
        return fleet
    report = _Report(demand=demand, heard_at=now)
    return dataclasses.replace(fleet, nodes=fleet.nodes.set(vm, report))


def on_gossip(
    fleet: FleetDemand, address: str, demand: Demand | None, now: float
) -> FleetDemand:
    """Records what another control has heard from its nodes."""
    if demand is None:
        return fleet
    report = _Report(demand=demand, heard_at=now)
    return dataclasses.replace(
        fleet, controls=fleet.controls.set(address, report)
    )


def forget_outdated(fleet: FleetDemand, now: float) -> FleetDemand:
    """Drops what is too old to be counted, such as reports of removed nodes."""
    nodes, controls = fleet.nodes, fleet.controls
    for vm, report in fleet.nodes.items():
        if now - report.heard_at >= NODE_TTL:
            nodes = nodes.delete(vm)
    for address, report in fleet.controls.items():
        if now - report.heard_at >= CONTROL_TTL:
            controls = controls.delete(address)
    return FleetDemand(nodes=nodes, controls=controls)


def demand_of_nodes(fleet: FleetDemand, now: float) -> Demand:
    """Returns the demand at the nodes that report to this control."""
    return add_up(
        report.demand
        for report in fleet.nodes.values()
        if now - report.heard_at < NODE_TTL
    )


def demand_of_fleet(fleet: FleetDemand, now: float) -> Demand:
    """Returns the demand at all nodes that this control hears of.

    A part of the fleet that is cut off counts neither with its demand nor with
    its slots.
    """
    return add_up(
        (
            demand_of_nodes(fleet, now),
            *(
                report.demand
                for report in fleet.controls.values()
                if now - report.heard_at < CONTROL_TTL
            ),
        )
    )
