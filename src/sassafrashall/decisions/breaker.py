"""A circuit breaker at the door of an upstream.

The node beside an upstream sees all of its answers, so that it notices an
upstream that fails after a few requests. Each node that calls would need as
many of its own, which in a large fleet is most of the requests.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall import frozen


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoBreaker:
    """Sends requests to an upstream whatever it answers; the baseline."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ConsecutiveFailures:
    """Stops sending requests to an upstream that fails one after the other.

    An upstream that fails some of them stays in, since it serves the others.

    Attributes:
      count: Failures without a good answer between them that open the breaker.
      open_time: Seconds until one request is sent as a probe; doubled each time
        the probe fails.
      max_open_time: Seconds.
      patience: A request that ended at its deadline is a failure only if it had
        this multiple of the time that others take. Otherwise it may have been
        the caller that left too little time.
    """

    count: int = 20
    open_time: float = 1.0
    max_open_time: float = 8.0
    patience: float = 2.0


Policy: TypeAlias = NoBreaker | ConsecutiveFailures


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """The state of the breaker of one upstream.

    Attributes:
      failures: Failures since the last good answer.
      openings: How often in a row it has opened; 0 while it is closed.
      open_until: Monotonic seconds.
      probing: Whether a request is in progress that may close it.
    """

    failures: int = 0
    openings: int = 0
    open_until: float = float("-inf")
    probing: bool = False

    @property
    def is_closed(self) -> bool:
        """Whether all requests may be sent."""
        return not self.openings


CLOSED = State()


def may_send(state: State, now: float) -> bool:
    """Returns whether the upstream may be sent a request."""
    return state.is_closed or (now >= state.open_until and not state.probing)


def on_sent(state: State) -> State:
    """Updates the state when a request is sent."""
    return state if state.is_closed else frozen.replace(state, probing=True)


def is_failure(
    policy: Policy, *, timed_out: bool, run_time: float, usual_time: float
) -> bool:
    """Returns whether a request without a good answer counts as a failure.

    Args:
      policy: The policy in force.
      timed_out: Whether it ended at its deadline.
      run_time: Seconds that the upstream had for it.
      usual_time: Seconds that its requests take; 0 if not known.
    """
    match policy:
        case NoBreaker():
            return False
        case ConsecutiveFailures(patience=patience):
            return not timed_out or run_time >= patience * usual_time


def on_result(
    policy: Policy, state: State, *, failed: bool, now: float
) -> State:
    """Updates the state when the upstream has answered, or has failed to."""
    match policy:
        case NoBreaker():
            return state
        case ConsecutiveFailures():
            pass
    if not state.is_closed:
        if not failed:
            return CLOSED
        # Requests that were sent before the breaker opened say nothing new.
        return _opened(policy, state, now) if state.probing else state
    if not failed:
        return CLOSED
    state = frozen.replace(state, failures=state.failures + 1)
    if state.failures < policy.count:
        return state
    return _opened(policy, state, now)


def on_no_result(state: State) -> State:
    """Updates the state when a request ended for another reason."""
    return frozen.replace(state, probing=False)


def _opened(policy: ConsecutiveFailures, state: State, now: float) -> State:
    open_time = min(policy.max_open_time, policy.open_time * 2**state.openings)
    return frozen.replace(
        state,
        openings=state.openings + 1,
        open_until=now + open_time,
        probing=False,
    )
