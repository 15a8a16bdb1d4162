"""Load shedding by the admission level of a service.

A level of 1.25 admits all requests of priority class 0 and a quarter of class
1, the partly admitted class. Which quarter depends only on a hash of the root
id, so that every service admits the same call trees and does no work for a
tree that another service refuses.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TypeAlias

import xxhash

from sassafrashall import frozen
from sassafrashall import model

ADMIT_ALL_LEVEL = float(len(model.Priority))
LEVEL_SCALE = 1000  # levels are sent as integers, in units of 1/LEVEL_SCALE
UPDATE_INTERVAL = 0.1  # minimum seconds between two updates of the level
MIN_CLASS_FRACTION = 0.02  # a class admitted below this fraction is closed
DECREASE_INTERVAL = 0.3  # minimum seconds between two decreases
MIN_DECREASE_FACTOR = 0.5  # lower bound of the factor of one decrease
INITIAL_STEP = 0.02  # classes; doubled with each consecutive increase
MAX_STEP = 0.25  # classes per update
MIN_LEVEL = 0.05  # classes
LEVEL_TTL = 1.0  # seconds until a level reported on an answer is stale
QUEUE_DELAY_TARGET = 0.1  # seconds; the level rises only below it
DEMAND_WINDOW = 0.5  # seconds over which the demand of organisations is counted


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoEarlyShed:
    """Admits everything; only the queue of each upstream sheds."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LevelShed:
    """Refuses at the entry node, by the level reported on answers."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FairLevelShed:
    """Like LevelShed, with max-min fair shares for the organisations."""


Policy: TypeAlias = NoEarlyShed | LevelShed | FairLevelShed


_NO_REQUESTS = (0,) * len(model.Priority)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LevelState:
    """The admission level of one upstream.

    Attributes:
      level: Number of classes admitted, the last one perhaps in part.
      admitted: Requests dispatched since the last update, by class.
      shed: Requests shed since the last update, by class.
      delay: Longest time in the queue since the last update, in seconds.
      step: Next increase of the level, in classes.
      updated_at: Monotonic time of the last update.
      lowered_at: Monotonic time of the last decrease. Requests that were
        queued by then are still shed for a while, which says nothing about the
        new level.
    """

    level: float = ADMIT_ALL_LEVEL
    admitted: tuple[int, ...] = _NO_REQUESTS
    shed: tuple[int, ...] = _NO_REQUESTS
    delay: float = 0.0
    step: float = INITIAL_STEP
    updated_at: float = 0.0
    lowered_at: float = float("-inf")


def on_dispatch(state: LevelState, priority: int, delay: float) -> LevelState:
    """Counts a request that left the queue after `delay` seconds."""
    return frozen.replace(
        state,
        admitted=_increment(state.admitted, priority),
        delay=max(state.delay, delay),
    )


def on_shed(state: LevelState, priority: int) -> LevelState:
    """Counts a request that the queue shed."""
    return frozen.replace(state, shed=_increment(state.shed, priority))


def _increment(counts: tuple[int, ...], index: int) -> tuple[int, ...]:
    return (*counts[:index], counts[index] + 1, *counts[index + 1 :])


def update_level(state: LevelState, now: float) -> LevelState:
    """Adjusts the level, at most once per UPDATE_INTERVAL."""
    if now - state.updated_at < UPDATE_INTERVAL:
        return state
    level, step = state.level, INITIAL_STEP
    lowered_at = state.lowered_at
    if any(state.shed):
        if now - lowered_at >= DECREASE_INTERVAL:
            level, lowered_at = _lowered_level(state), now
    elif state.delay < QUEUE_DELAY_TARGET:
        level = min(ADMIT_ALL_LEVEL, level + state.step)
        step = min(MAX_STEP, 2 * state.step)
    return LevelState(
        level=level, step=step, updated_at=now, lowered_at=lowered_at
    )


def _lowered_level(state: LevelState) -> float:
    """Returns the level that would have admitted just what was dispatched.

    The fraction of the partly admitted class is reduced by the fraction of its
    requests that were shed. If a more important class was shed as well, the
    partly admitted class is closed.
    """
    partial_class = max(0, math.ceil(state.level) - 1)
    if any(state.shed[:partial_class]):
        return float(partial_class)
    arrived = state.admitted[partial_class] + state.shed[partial_class]
    if not state.shed[partial_class]:
        return state.level
    factor = max(MIN_DECREASE_FACTOR, state.admitted[partial_class] / arrived)
    admitted_fraction = (state.level - partial_class) * factor
    if partial_class == 0:
        return max(MIN_LEVEL, admitted_fraction)
    return (
        partial_class + admitted_fraction
        if admitted_fraction >= MIN_CLASS_FRACTION
        else float(partial_class)
    )


# --- at the entry node -------------------------------------------------------


@dataclasses.dataclass(frozen=True, kw_only=True)
class ObservedLevel:
    """The level of a service as the entry node applies it.

    Attributes:
      observed_at: Monotonic seconds.
      admitted_fractions: Fraction admitted of the partly admitted class, by
        organisation. If empty, the fraction of `level` holds for all.
    """

    level: float
    observed_at: float
    admitted_fractions: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Demand:
    """Arrivals at the entry node by service, class and organisation.

    Attributes:
      since: Monotonic time at which the current window began.
      counts: Arrivals in the current window.
      previous_counts: Arrivals in the previous window.
    """

    since: float = 0.0
    counts: tuple[tuple[tuple[str, int, str], int], ...] = ()
    previous_counts: tuple[tuple[tuple[str, int, str], int], ...] = ()


def record_arrival(
    demand: Demand, service: str, priority: int, organisation: str, now: float
) -> Demand:
    """Counts an arrival and begins a new window if one is due."""
    if now - demand.since >= DEMAND_WINDOW:
        demand = Demand(since=now, previous_counts=demand.counts)
    counts = dict(demand.counts)
    key = (service, priority, organisation)
    counts[key] = counts.get(key, 0) + 1
    return frozen.replace(demand, counts=tuple(counts.items()))


def observe_level(
    policy: Policy, level: float, service: str, demand: Demand, now: float
) -> ObservedLevel:
    """Returns a level of a service in the form that the entry node applies."""
    match policy:
        case FairLevelShed():
            demand_by_organisation: dict[str, int] = {}
            for window in (demand.previous_counts, demand.counts):
                for (name, priority, organisation), count in window:
                    if name == service and priority == int(level):
                        demand_by_organisation[organisation] = (
                            demand_by_organisation.get(organisation, 0) + count
                        )
            fractions = fair_fractions(
                level - int(level), demand_by_organisation
            )
            return ObservedLevel(
                level=level,
                observed_at=now,
                admitted_fractions=tuple(fractions.items()),
            )
        case NoEarlyShed() | LevelShed():
            return ObservedLevel(level=level, observed_at=now)


def fair_fractions(
    fraction: float, demands: dict[str, int]
) -> dict[str, float]:
    """Returns the fraction of each organisation's demand to admit.

    Together they admit `fraction` of the total demand, shared max-min fairly.
    """
    remaining = fraction * sum(demands.values())
    fractions: dict[str, float] = {}
    names = sorted(demands, key=lambda name: demands[name])
    for position, name in enumerate(names):
        admitted = min(demands[name], remaining / (len(names) - position))
        fractions[name] = admitted / demands[name]
        remaining -= admitted
    return fractions


def propagated_level(own: int, nested: ObservedLevel, now: float) -> int:
    """Returns the level to report on answers, in units of 1/LEVEL_SCALE.

    It is the lowest level of this service and of those that it calls, because
    a request that one of those would shed should be refused at the entry node.

    Args:
      own: Level of this service in the same units; negative if unknown.
      nested: Lowest level observed of the services that it calls.
      now: Monotonic seconds.
    """
    if own < 0 or now - nested.observed_at > LEVEL_TTL:
        return own
    return min(own, int(nested.level * LEVEL_SCALE))


def admits(
    policy: Policy,
    observed: ObservedLevel,
    priority: int,
    organisation: str,
    root_id: str,
) -> bool:
    """Returns whether a request is admitted at this level."""
    if isinstance(policy, NoEarlyShed) or priority < int(observed.level):
        return True
    if priority > int(observed.level):
        return False
    # An organisation without recent demand is below its fair share.
    default_fraction = (
        1.0
        if observed.admitted_fractions
        else observed.level - int(observed.level)
    )
    admitted_fraction = dict(observed.admitted_fractions).get(
        organisation, default_fraction
    )
    return xxhash.xxh32_intdigest(root_id) / 2**32 < admitted_fraction
