"""How long a call takes at an upstream: for upstreams that differ in speed.

Load: the upstreams of a service differ permanently in speed by a factor of up
to three, some become slow for a moment, and many nodes call the same few of
them, so that what each node knows is old.

Times are compared by route, since the runs of one service mix routes of very
different cost. The time of an upstream is expressed relative to the usual time
of the route, which makes it known for all routes from the calls of one.
"""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

TIME_HALF_LIFE = 10.0  # seconds in which the weight of a run time halves
# Calls from which on an old run time weighs no more than a new one, so that a
# slow moment shows after a few calls.
MAX_WEIGHT = 12.0
# Calls that took the usual time, added to what was observed, so that a single
# call doesn't make an upstream fast or slow.
PRIOR_WEIGHT = 2.0
# The same where the controls have told the relative time of an upstream, which
# all calls to it have shown, and not only those of this node.
TOLD_WEIGHT = 6.0
# Ratio of run times up to which upstreams count as alike. The mean of a dozen
# run times that vary by a half deviates by up to this much.
NOISE_RATIO = 1.15
# Calls behind a fraction of failures. With fewer, chance moves it by more than
# `FAILURE_NOISE`.
FAILURES_WEIGHT = 30.0
FAILURE_NOISE = 0.1  # excess over the peers that counts as chance
# Cost of a failure in run times: it is lost, or repeated under a scarce budget.
FAILURE_COST = 4.0
MIN_USUAL_TIME = 0.001  # seconds
# Cost of a call at an upstream whose slots are just full, relative to one that
# is idle. As upstreams differ in speed by less than this, one with room comes
# before a faster one without.
FULL_COST = 2.5
# The cost rises with this power of the load: it is flat while there is room and
# steep where the next call may find no slot.
LOAD_EXPONENT = 4
LOAD_MEMORY = 1.0  # seconds in which a reported load loses most of its weight
# Standard deviation of the load of an upstream whose last report is old.
LOAD_SPREAD = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Mean:
    """What calls to one upstream showed, the latest weighted most.

    Attributes:
      value: Weighted mean of their run times in seconds, or of their failures.
      weight: Number of calls behind it; decays with time.
      seen_at: Monotonic time of the last call.
    """

    value: float
    weight: float
    seen_at: float

    def weight_at(self, now: float) -> float:
        """Returns the weight that is left at a later time."""
        age = max(0.0, now - self.seen_at)
        return float(self.weight * 0.5 ** (age / TIME_HALF_LIFE))


def update_mean(
    before: Mean | None,
    value: float,
    now: float,
    max_weight: float = MAX_WEIGHT,
) -> Mean:
    """Adds the value that a call showed."""
    if before is None:
        return Mean(value=value, weight=1.0, seen_at=now)
    weight = min(max_weight - 1.0, before.weight_at(now)) + 1.0
    return Mean(
        value=before.value + (value - before.value) / weight,
        weight=weight,
        seen_at=now,
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class RelativeTimes:
    """How upstreams of a service compare, as of one moment.

    Attributes:
      usual: Usual run time in seconds, by route.
      by_upstream: Run time relative to the usual one, by upstream.
      by_route: The same for upstreams and routes with calls of their own.
    """

    usual: Mapping[str, float] = dataclasses.field(default_factory=dict)
    by_upstream: Mapping[str, float] = dataclasses.field(default_factory=dict)
    by_route: Mapping[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )

    def relative_time(self, upstream: str, route: str) -> float:
        """Returns the run time relative to the usual one; 1 if not known."""
        own = self.by_route.get((upstream, route))
        return own if own is not None else self.by_upstream.get(upstream, 1.0)


def relative_time_of_runs(
    runs: Iterable[tuple[Hashable, float, float]],
    usual: Mapping[Hashable, float],
) -> float:
    """Returns the run time at an upstream relative to the usual one.

    Args:
      runs: Kind, number of runs of this kind and their seconds in total.
      usual: Usual run time by kind, in seconds.
    """
    expected = taken = count = 0.0
    for kind, number, seconds in runs:
        if usual.get(kind, 0.0) > 0.0:
            expected += number * usual[kind]
            taken += seconds
            count += number
    if not count:
        return 1.0
    prior = PRIOR_WEIGHT * expected / count
    return (taken + prior) / (expected + prior)


def compare(
    run_times: Mapping[tuple[str, str], Mean],
    now: float,
    told: Mapping[str, float] | None = None,
) -> RelativeTimes:
    """Compares the upstreams of one service.

    Args:
      run_times: Run times by upstream and route.
      now: Monotonic seconds.
      told: Relative times by upstream as the controls told them, of all
        upstreams of the service; None if they told none.
    """
    prior = _relative_to_median(told) if told else {}
    prior_weight = TOLD_WEIGHT if prior else PRIOR_WEIGHT
    by_route: dict[str, list[tuple[float, float, str]]] = {}
    for (upstream, route), run_time in run_times.items():
        by_route.setdefault(route, []).append(
            (run_time.value, run_time.weight_at(now), upstream)
        )
    usual = {
        route: max(MIN_USUAL_TIME, _median(known))
        for route, known in by_route.items()
    }
    weights = dict.fromkeys(prior, prior_weight)
    sums = {upstream: prior_weight * ratio for upstream, ratio in prior.items()}
    for route, known in by_route.items():
        for seconds, weight, upstream in known:
            weights[upstream] = weights.get(upstream, prior_weight) + weight
            ratio = seconds / usual[route]
            sums[upstream] = sums.get(upstream, prior_weight) + weight * ratio
    by_upstream_and_route = {}
    for route, known in by_route.items():
        for seconds, weight, upstream in known:
            ratio = seconds / usual[route]
            # What the other routes say is the prior, so that no call counts
            # twice.
            others = (sums[upstream] - weight * ratio) / (
                weights[upstream] - weight
            )
            by_upstream_and_route[(upstream, route)] = without_noise(
                (weight * ratio + prior_weight * others)
                / (weight + prior_weight)
            )
    return RelativeTimes(
        usual=usual,
        by_upstream={
            upstream: without_noise(total / weights[upstream])
            for upstream, total in sums.items()
        },
        by_route=by_upstream_and_route,
    )


def _relative_to_median(told: Mapping[str, float]) -> dict[str, float]:
    """Returns the ratios by the measure of this node's own comparison."""
    ratios = sorted(told.values())
    median = max(0.01, ratios[(len(ratios) - 1) // 2])
    return {upstream: ratio / median for upstream, ratio in told.items()}


def _median(known: list[tuple[float, float, str]]) -> float:
    """Returns the median of the upstreams, the lower one of two."""
    seconds = sorted(item[0] for item in known)
    return seconds[(len(seconds) - 1) // 2]


def without_noise(ratio: float) -> float:
    """Returns the ratio less what may be noise; it is 1 between alike ones."""
    if ratio > NOISE_RATIO:
        return ratio / NOISE_RATIO
    return min(1.0, ratio * NOISE_RATIO)


def failure_costs(failures: Mapping[str, Mean], now: float) -> dict[str, float]:
    """Returns the factors by which failures raise the cost of a call.

    An upstream that fails part of its calls at once has a low load and would
    draw more of them. A failure may also be that of a service further down, so
    that an upstream is compared with its peers. If all fail alike, none is
    avoided.

    Args:
      failures: Failures by upstream of one service, each 1 or 0.
      now: Monotonic seconds.
    """
    weights = {name: mean.weight_at(now) for name, mean in failures.items()}
    total = sum(weights.values())
    failed = sum(weights[name] * failures[name].value for name in failures)
    if not failed:
        return {}
    costs = {}
    for name, mean in failures.items():
        weight = weights[name]
        others = total - weight
        if others < 1.0:
            continue  # There is nothing to compare it with.
        usual = (failed - weight * mean.value) / others
        rate = (weight * mean.value + PRIOR_WEIGHT * usual) / (
            weight + PRIOR_WEIGHT
        )
        excess = rate - usual - FAILURE_NOISE
        if excess > 0.0:
            costs[name] = min(FULL_COST, 1.0 + FAILURE_COST * excess)
    return costs


@dataclasses.dataclass(frozen=True, kw_only=True)
class SeenLoad:
    """The load that the node beside an upstream reported last.

    Attributes:
      load: As a fraction of the slots; above 1 if calls wait.
      seen_at: Monotonic seconds.
    """

    load: float
    seen_at: float

    def age(self, now: float) -> float:
        """Returns the seconds since the report."""
        return max(0.0, now - self.seen_at)


def believed_load(
    seen: SeenLoad | None, sent_since: float, usual: float, now: float
) -> tuple[float, float]:
    """Returns what the load may be now, and its standard deviation.

    Args:
      seen: The last report.
      sent_since: Calls of this process sent there since the report that have
        not ended, as a fraction of the slots.
      usual: Mean load of the service's upstreams.
      now: Monotonic seconds.
    """
    if seen is None:
        return usual + sent_since, LOAD_SPREAD
    age = now - seen.seen_at
    known = math.exp(-age / LOAD_MEMORY) if age > 0.0 else 1.0
    load = known * seen.load + (1.0 - known) * usual + sent_since
    return load, LOAD_SPREAD * (1.0 - known)


def expected_cost(relative_time: float, load: float) -> float:
    """Returns the expected time of a call, in usual run times.

    It contains the risk of finding no free slot, and grows with the wait where
    there is none.
    """
    if load >= 1.0:
        return relative_time * FULL_COST * load
    risk: float = max(0.0, load) ** LOAD_EXPONENT
    return relative_time * (1.0 + (FULL_COST - 1.0) * risk)
