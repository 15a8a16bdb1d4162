"""Refusing roots by how the trees of others end: load of a sudden burst.

The reports of nodes and the levels of controls take up to 1.75 s. The node
beside an upstream sees at once that the trees which run there fail, since the
upstream answers with an error when a call that it made was refused. It then
refuses part of the roots of that route before they run. It sees the roots of
all entry nodes, so that the time does not grow with the number of nodes.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TypeAlias

import xxhash

from sassafrashall import frozen

# Seconds in which the weight of an outcome halves. At 0.2 s the successes from
# before a burst hid its failures for longer.
HALF_LIFE = 0.1
# Seconds from the admission of a root until its outcome: a run of 164 ms and
# the calls below it. A cut that is repeated sooner overshoots.
OUTCOME_DELAY = 0.3
# Weighted successes that are added to what was observed, so that one failure of
# a route with few roots refuses hardly any.
PRIOR_SUCCESSES = 2.0
# Fraction of the roots that may fail before others are refused.
TOLERANCE = 0.05
# Fraction that is admitted at least. A burst of 2.5 is refused; upstreams that
# fail whatever the load still get part of their requests.
MIN_FRACTION = 0.4
RECOVERY_RATE = 0.3  # exponential growth per second
# Longest time between two outcomes that counts for a cut.
MAX_STEP = 0.1  # seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class NoFeedback:
    """Refuses no root by the outcomes of others; the baseline."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class OutcomeFeedback:
    """Refuses part of the roots of a route while others of it fail."""


Policy: TypeAlias = NoFeedback | OutcomeFeedback


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteState:
    """What is known of the trees of one route at one upstream.

    Attributes:
      succeeded: Weighted number of roots that succeeded.
      failed: Weighted number of roots that failed below.
      fraction: Fraction of the roots that is admitted.
      updated_at: Monotonic seconds of the last outcome.
    """

    succeeded: float = 0.0
    failed: float = 0.0
    fraction: float = 1.0
    updated_at: float = float("-inf")


def on_outcome(state: RouteState, *, failed: bool, now: float) -> RouteState:
    """Returns the state after the outcome of an admitted root."""
    elapsed = max(0.0, now - state.updated_at)
    factor = 0.5 ** (elapsed / HALF_LIFE)
    state = frozen.replace(
        state,
        succeeded=factor * state.succeeded + (not failed),
        failed=factor * state.failed + failed,
        updated_at=now,
    )
    successes = state.succeeded + PRIOR_SUCCESSES
    share = successes / (successes + state.failed)
    # A cut applies to what is admitted now.
    fraction = _recovered(state, elapsed)
    if share < 1.0 - TOLERANCE:
        cut = share ** (min(elapsed, MAX_STEP) / OUTCOME_DELAY)
        fraction = max(MIN_FRACTION, fraction * cut)
    return frozen.replace(state, fraction=fraction)


def admitted_fraction(state: RouteState, now: float) -> float:
    """Returns the fraction of the roots that is admitted now."""
    return _recovered(state, max(0.0, now - state.updated_at))


def admits(state: RouteState, root_id: str, now: float) -> bool:
    """Returns whether a root may run.

    The hash is the one of tree admission: roots that a level of the controls
    lets in are refused only if less than that level is to be admitted.
    """
    fraction = admitted_fraction(state, now)
    return fraction >= 1.0 or (
        xxhash.xxh32_intdigest(root_id) / 2**32 < fraction
    )


def _recovered(state: RouteState, elapsed: float) -> float:
    if state.fraction >= 1.0:
        return 1.0
    growth = math.exp(min(RECOVERY_RATE * elapsed, 10.0))
    return min(1.0, state.fraction * growth)
