"""Concurrency limits: how many requests an upstream is sent at once."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall import frozen

RAMP_TIME = 3.0  # seconds until a new upstream is given all of its slots
RAMP_START = 0.25  # fraction of its slots that a new upstream is given first
DECREASE_FACTOR = 0.85  # multiplies the limit at each decrease
DECREASE_INTERVAL = 0.1  # minimum seconds between two decreases
INCREASE_STEP = 1.0  # slots added for every `limit` answers
LATENCY_TOLERANCE = 3.0  # multiple of the base latency that is still accepted
BASE_LATENCY_WEIGHT = 0.001  # weight of a slower answer in the base latency
LATENCY_WEIGHT = 0.1  # weight of the latest answer in the smoothed latency


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoLimit:
    """Sends the upstream every request at once; the baseline."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class FixedLimit:
    """Limits the upstream to the number of slots that it announced."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ShedLimit:
    """Raises the limit on answers and cuts it on refusals by the upstream.

    The increase is additive and the decrease multiplicative (AIMD).
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencyLimit:
    """Like ShedLimit, and cuts the limit when latency rises above its base."""


Policy: TypeAlias = NoLimit | FixedLimit | ShedLimit | LatencyLimit


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitState:
    """The state of the concurrency limit of one upstream.

    Attributes:
      slots: Concurrent requests that the upstream announced; the upper bound
        of the limit under every policy but NoLimit.
      ready_at: Monotonic time at which the upstream became ready. From then on
        the limit ramps up from RAMP_START of the slots to all of them.
      limit: Current limit in requests, before the ramp is applied.
      base_latency: Lowest latency in seconds, rising slowly towards slower
        answers; 0 before the first answer.
      latency: Smoothed latency in seconds.
      decreased_at: Monotonic time of the last decrease.
    """

    slots: int
    ready_at: float
    limit: float
    base_latency: float = 0.0
    latency: float = 0.0
    decreased_at: float = float("-inf")


def initial_state(slots: int, now: float) -> LimitState:
    """Returns the state for an upstream that has just become ready."""
    return LimitState(slots=slots, ready_at=now, limit=float(slots))


def current_limit(policy: Policy, state: LimitState, now: float) -> int:
    """Returns how many requests the upstream may have in flight now."""
    match policy:
        case NoLimit():
            return 1_000_000
        case FixedLimit():
            return state.slots
        case ShedLimit() | LatencyLimit():
            ramp_progress = (now - state.ready_at) / RAMP_TIME
            ramp_fraction = min(
                1.0, RAMP_START + (1.0 - RAMP_START) * ramp_progress
            )
            return max(1, int(min(state.limit, state.slots * ramp_fraction)))


def on_answer(
    policy: Policy,
    state: LimitState,
    latency: float,
    in_flight: int,
    now: float,
) -> LimitState:
    """Updates the limit after an answer that took `latency` seconds."""
    state = _update_latency(state, latency)
    match policy:
        case NoLimit() | FixedLimit():
            return state
        case LatencyLimit() if (
            state.latency > LATENCY_TOLERANCE * state.base_latency
        ):
            return _decrease(state, now)
        case ShedLimit() | LatencyLimit():
            return _increase(state, in_flight)


def on_shed(policy: Policy, state: LimitState, now: float) -> LimitState:
    """Updates the limit after the upstream itself refused a request."""
    match policy:
        case NoLimit() | FixedLimit():
            return state
        case ShedLimit() | LatencyLimit():
            return _decrease(state, now)


def _update_latency(state: LimitState, latency: float) -> LimitState:
    if not state.base_latency:
        return frozen.replace(state, base_latency=latency, latency=latency)
    base = state.base_latency
    base = min(latency, base + BASE_LATENCY_WEIGHT * (latency - base))
    smoothed = state.latency + LATENCY_WEIGHT * (latency - state.latency)
    return frozen.replace(state, base_latency=base, latency=smoothed)


def _increase(state: LimitState, in_flight: int) -> LimitState:
    # While less than half of the limit is in use, answers do not show whether
    # the upstream could take more.
    if in_flight < state.limit * 0.5:
        return state
    limit = min(state.slots, state.limit + INCREASE_STEP / state.limit)
    return frozen.replace(state, limit=limit)


def _decrease(state: LimitState, now: float) -> LimitState:
    if now - state.decreased_at < DECREASE_INTERVAL:
        return state
    return frozen.replace(
        state,
        limit=max(1.0, state.limit * DECREASE_FACTOR),
        decreased_at=now,
    )
