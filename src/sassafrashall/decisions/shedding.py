"""The admission level of a service, and early refusal by it.

A level of 1.25 admits every request of class 0 and a quarter of class 1. Which
quarter depends on a hash of the root id alone, so that every service on a call
tree picks the same trees and no work is done for a tree that fails later.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

import xxhash

from sassafrashall import model

OPEN_LEVEL = float(len(model.Priority))
LEVEL_SCALE = 1000  # levels travel as whole numbers
UPDATE_INTERVAL = 0.1  # seconds
RECOVERY_STEP = 0.04  # classes per interval without shedding
LOWEST_LEVEL = 0.05
LEVEL_TTL = 1.0  # seconds that a level seen on an answer counts
QUEUE_DELAY_TARGET = 0.02  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoEarlyShed:
    """Leaves refusals to the queue in front of each upstream."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class LevelShed:
    """Refuses at the door by the level that came back on answers."""


Law: TypeAlias = NoEarlyShed | LevelShed


@dataclasses.dataclass(frozen=True, kw_only=True)
class LevelState:
    """The admission level of one upstream.

    Attributes:
      admitted: Requests dispatched since the last update.
      shed: Requests shed since the last update.
      delay: Longest time in the queue since the last update.
    """

    level: float = OPEN_LEVEL
    admitted: int = 0
    shed: int = 0
    delay: float = 0.0
    updated_at: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeenLevel:
    """The level of a service, and when it was seen."""

    level: float
    at: float


def admits(law: Law, level: float, priority: int, root_id: str) -> bool:
    """Returns whether a request passes at this level."""
    match law:
        case NoEarlyShed():
            return True
        case LevelShed():
            if priority < int(level):
                return True
            if priority > int(level):
                return False
            draw = xxhash.xxh32_intdigest(root_id) / 2**32
            return draw < level - int(level)


def on_dispatch(state: LevelState, delay: float) -> LevelState:
    """Counts a request that left the queue after `delay` seconds."""
    return dataclasses.replace(
        state,
        admitted=state.admitted + 1,
        delay=max(state.delay, delay),
    )


def on_shed(state: LevelState) -> LevelState:
    """Counts a request that the queue shed."""
    return dataclasses.replace(state, shed=state.shed + 1)


def update(state: LevelState, now: float) -> LevelState:
    """Moves the level once an interval has passed."""
    if now - state.updated_at < UPDATE_INTERVAL:
        return state
    total = state.admitted + state.shed
    level = state.level
    if state.shed:
        # The level comes down by the part that had to be shed.
        level = max(LOWEST_LEVEL, level - min(0.5, state.shed / total))
    elif state.delay < QUEUE_DELAY_TARGET:
        level = min(OPEN_LEVEL, level + RECOVERY_STEP)
    return LevelState(level=level, updated_at=now)
