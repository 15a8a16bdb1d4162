"""Calls and costs of trees: load of roots that make many calls further down.

They are summed over all calls below a run, by route and service, from the
demand that nodes measure.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

from sassafrashall.decisions import demand as demand_decisions

MAX_DEPTH = 9  # calls above each other in a tree
MIN_RUNS = 0.5  # weighted runs without which nothing is known of a route


def roots_by_route(
    demand: demand_decisions.Demand,
) -> dict[str, tuple[float, ...]]:
    """Returns the root requests per second, by route and priority class."""
    roots: dict[str, tuple[float, ...]] = {}
    for route in demand.routes:
        if any(route.roots):
            held = roots.get(route.route, demand_decisions.NO_ROOTS)
            roots[route.route] = tuple(
                a + b for a, b in zip(held, route.roots, strict=False)
            )
    return roots


def costs(
    demand: demand_decisions.Demand, *, by_completed: bool = False
) -> dict[str, dict[str, float]]:
    """Returns the slot seconds of all calls below a run, by route and service.

    A route that is split over services costs each of them its share.

    Args:
      demand: Demand of the fleet.
      by_completed: Whether the slot seconds of runs that an upstream refused
        count as costs of those that it completed. Such runs are short, so that
        calls would seem to be cheap while most of them are refused.
    """

    def seconds(part: demand_decisions.RouteDemand) -> float:
        return _run_cost(part, part.refused if by_completed else 0.0)

    return _sum_below(demand, seconds)


def own_costs(
    demand: demand_decisions.Demand,
) -> dict[str, dict[str, float]]:
    """Returns the slot seconds of a completed run, by route and service."""
    started = _started(demand)
    own: dict[str, dict[str, float]] = {}
    for part in demand.routes:
        if part.started and started[part.route] >= MIN_RUNS:
            add(
                own.setdefault(part.route, {}),
                part.service,
                part.started
                / started[part.route]
                * _run_cost(part, part.refused),
            )
    return own


def call_costs(demand: demand_decisions.Demand) -> dict[str, float]:
    """Returns the slot seconds of a completed nested call at each service."""
    called = {call.route for route in demand.routes for call in route.calls}
    busy: dict[str, float] = {}
    completed: dict[str, float] = {}
    for route in demand.routes:
        if route.route in called:
            add(busy, route.service, route.busy_s)
            add(completed, route.service, route.ended - route.refused)
    return {
        service: seconds / completed[service]
        for service, seconds in busy.items()
        if completed[service] > 0.0
    }


def _run_cost(part: demand_decisions.RouteDemand, refused: float) -> float:
    """Returns the slot seconds for each run that was not refused."""
    completed = part.ended - refused
    return part.busy_s / completed if completed > 0.0 else 0.0


def _started(demand: demand_decisions.Demand) -> dict[str, float]:
    """Returns the weighted number of runs by route, over all services."""
    started: dict[str, float] = {}
    for part in demand.routes:
        add(started, part.route, part.started)
    return started


def calls(
    demand: demand_decisions.Demand,
) -> dict[str, dict[str, float]]:
    """Returns the number of calls below a run, by route and service."""
    return _sum_below(demand, lambda part: 1.0)


def _sum_below(
    demand: demand_decisions.Demand,
    of_run: Callable[[demand_decisions.RouteDemand], float],
) -> dict[str, dict[str, float]]:
    """Returns the sums over all calls below a run, by route and service.

    Args:
      demand: Demand of the fleet.
      of_run: Returns what one run of a route at a service adds.
    """
    own_costs: dict[str, dict[str, float]] = {}
    calls_per_run: dict[str, dict[str, float]] = {}
    started = _started(demand)
    for part in demand.routes:
        if not part.started or started[part.route] < MIN_RUNS:
            continue
        share = part.started / started[part.route]
        own_cost = own_costs.setdefault(part.route, {})
        if part.ended:
            add(own_cost, part.service, share * of_run(part))
        callees = calls_per_run.setdefault(part.route, {})
        for call in part.calls:
            if call.count >= demand_decisions.MIN_CALLS_PER_RUN * part.started:
                add(callees, call.route, call.count / started[part.route])
    sums = own_costs
    for _ in range(MAX_DEPTH - 1):
        sums = {
            route: _with_callees(own_cost, calls_per_run[route], sums)
            for route, own_cost in own_costs.items()
        }
    return {
        route: {
            service: seconds - own_costs[route].get(service, 0.0)
            for service, seconds in cost.items()
        }
        for route, cost in sums.items()
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
            add(total, service, count * seconds)
    return total


def add(sums: dict[str, float], key: str, amount: float) -> None:
    """Adds an amount to one of several sums."""
    sums[key] = sums.get(key, 0.0) + amount
