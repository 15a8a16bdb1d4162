"""Load balancing: the choice of an upstream, and outlier ejection."""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall import frozen
from sassafrashall.decisions import completion

FAILURES_TO_EJECT = 3  # consecutive failures
ERROR_RATE_WEIGHT = 0.1  # weight of the latest answer in the error rate
ERROR_RATE_TO_EJECT = 0.5  # fraction of answers that are errors
ERROR_RATE_ABOVE_PEERS = 0.3  # minimum excess over the mean of its peers
EJECTION_TIME = 1.0  # seconds; doubled with each consecutive ejection
MAX_DOUBLINGS = 4  # 16 seconds
RAMP_TIME = 3.0  # seconds until a new upstream gets its full share
RAMP_START = 0.25  # fraction of its share that a new upstream gets first
LOAD_SCALE = 1000  # loads are sent as integers, in units of 1/LOAD_SCALE
# Load reported for an upstream that gets no requests: its breaker is open, or
# its data centre is or may be evacuated. It is above that of a busy upstream,
# and says nothing about the demand.
BLOCKED_LOAD = 4 * LOAD_SCALE
LATENCY_WEIGHT = 0.1  # weight of the latest answer in the smoothed latency
LATENCY_TTL = 2.0  # seconds until a latency estimate is stale
MIN_LATENCY = 0.005  # seconds; differences below it are noise
# Multiple of its peers' latency above which an upstream counts as slow.
# Healthy upstreams of one service differ by a factor of up to two.
SLOWNESS_THRESHOLD = 2.5
MIN_SLOW_LOAD = 0.3  # minimum load assumed for a slow upstream
LOAD_TTL = 1.0  # seconds until a load reported on an answer is stale
# Load up to which an upstream counts as having a free slot. It is below 1, as
# the believed load of a full one soon returns towards that of its peers.
FREE_SLOT_LOAD = 0.95
# Multiplied by the index of a candidate, its fractional parts are spread evenly
# over [0, 1), so that one random number gives each candidate its own.
_GOLDEN_RATIO = 0.618033988749895


@dataclasses.dataclass(frozen=True, kw_only=True)
class RandomChoice:
    """Picks an upstream at random; the baseline."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class TwoChoices:
    """Picks two at random and takes the less loaded ("power of two choices").

    The load counts only requests of this process.
    """


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeastLoaded:
    """Takes the least loaded upstream and prefers nearby ones.

    Loads are fractions of an upstream's slots.

    Attributes:
      local_max_load: Maximum load at which the upstream on this VM is taken
        whatever the load of the others.
      data_centre_max_load: Maximum load at which an upstream in this data
        centre is taken whatever the load in other data centres.
      cross_data_centre_penalty: Added to the load of an upstream in another
        data centre.
      moves: Number of full upstreams at which a call does not wait for a slot,
        but moves on to another one that may have one free.
    """

    local_max_load: float = 0.6
    data_centre_max_load: float = 0.9
    cross_data_centre_penalty: float = 0.1
    moves: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ExpectedCompletion:
    """Takes the upstream that is expected to complete the call first.

    Faster upstreams come first while they have room. Among alike ones it does
    what `LeastLoaded` does.

    Attributes:
      local_max_load: Load up to which the upstream on this VM counts as idle.
      local_margin: Factor by which another upstream must be expected to be
        faster than an idle one on this VM; a call over the network costs
        processor time of two nodes.
      data_centre_max_load: As in `LeastLoaded`, as long as the loads of the
        data centres are not known.
      cross_data_centre_penalty: As in `LeastLoaded`.
      crossing_cost_s: Seconds that leaving the data centre must save.
      moves: As in `LeastLoaded`.
    """

    local_max_load: float = 0.6
    local_margin: float = 1.2
    data_centre_max_load: float = 0.9
    cross_data_centre_penalty: float = 0.1
    crossing_cost_s: float = 0.0
    moves: int = 2


Policy: TypeAlias = RandomChoice | TwoChoices | LeastLoaded | ExpectedCompletion


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
    """An upstream that may be chosen.

    Attributes:
      vm: VM of the upstream and its node, which identifies the upstream.
      slots: Concurrent requests that the upstream announced.
      in_flight: Requests of this process in flight at the upstream.
      ready_since: Monotonic time at which this process first saw it ready.
      load: Requests in progress and queued, as a fraction of its slots, as
        last reported by its node.
      is_local: Whether it is on the VM of this process.
      slowness: Ratio of its latency to the latency of its peers.
      relative_time: Its run time for the route, relative to the usual one.
      load_spread: Standard deviation of what `load` may be by now.
    """

    vm: str
    data_centre: str
    slots: int
    in_flight: int = 0
    ready_since: float = 0.0
    load: float = 0.0
    is_local: bool = False
    slowness: float = 1.0
    relative_time: float = 1.0
    load_spread: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Health:
    """What this process has observed of one upstream.

    Attributes:
      failures: Consecutive exchanges that failed.
      error_rate: Smoothed fraction of answers with status 502, 503 or 504.
      ejections: Consecutive ejections.
      ejected_until: Monotonic seconds.
      probing: Whether a request that may readmit it is in flight.
    """

    failures: int = 0
    error_rate: float = 0.0
    ejections: int = 0
    ejected_until: float = 0.0
    probing: bool = False


HEALTHY = Health()


def is_usable(health: Health, now: float) -> bool:
    """Returns whether the upstream may be sent a request.

    After an ejection it gets one request at a time until it is readmitted.
    """
    if health.ejected_until > now:
        return False
    return not (health.ejections and health.probing)


def on_answer(
    health: Health, is_error: bool, peers: tuple[Health, ...], now: float
) -> Health:
    """Updates the health after a complete answer.

    An error may be caused by a service further down the call tree. An upstream
    is therefore ejected only if its error rate is well above the mean of its
    peers, the other upstreams of its service.
    """
    error_rate = health.error_rate + ERROR_RATE_WEIGHT * (
        is_error - health.error_rate
    )
    if not is_error:
        return Health(error_rate=error_rate)
    health = frozen.replace(health, error_rate=error_rate, probing=False)
    if not peers or error_rate < ERROR_RATE_TO_EJECT:
        return health
    mean = sum(peer.error_rate for peer in peers) / len(peers)
    if error_rate - mean < ERROR_RATE_ABOVE_PEERS:
        return health
    return _eject(frozen.replace(health, error_rate=0.0), now)


def start_probe(health: Health) -> Health:
    """Marks that a request which may readmit the upstream is in flight."""
    return frozen.replace(health, probing=True)


def on_inconclusive(health: Health) -> Health:
    """Updates the health after an exchange that says nothing about it."""
    return frozen.replace(health, probing=False)


def on_failure(health: Health, now: float) -> Health:
    """Updates the health after an exchange that failed or got no answer."""
    health = frozen.replace(health, failures=health.failures + 1)
    if health.failures < FAILURES_TO_EJECT and not health.ejections:
        return frozen.replace(health, probing=False)
    return _eject(health, now)


def _eject(health: Health, now: float) -> Health:
    doublings = min(health.ejections, MAX_DOUBLINGS)
    ejection_time = EJECTION_TIME * 2**doublings
    return frozen.replace(
        health,
        ejections=health.ejections + 1,
        ejected_until=now + ejection_time,
        probing=False,
    )


def choose_upstream(
    policy: Policy,
    candidates: tuple[Candidate, ...],
    data_centre: str,
    draws: tuple[float, float],
    now: float,
) -> Candidate | None:
    """Returns the upstream for one attempt.

    Args:
      policy: The load balancing policy.
      candidates: Usable upstreams of the service in any data centre.
      data_centre: Data centre of this process. `RandomChoice` and `TwoChoices`
        use other data centres only if it has no candidate.
      draws: Two independent uniform random numbers in [0, 1).
      now: Monotonic seconds.
    """
    same_data_centre = tuple(
        c for c in candidates if c.data_centre == data_centre
    )
    eligible = same_data_centre or candidates
    if not eligible:
        return None
    first = eligible[int(draws[0] * len(eligible))]
    match policy:
        case RandomChoice():
            return first
        case TwoChoices():
            others = tuple(c for c in eligible if c is not first) or (first,)
            second = others[int(draws[1] * len(others))]
            return min(first, second, key=lambda c: _ramped_load(c, now))
        case LeastLoaded():
            return _least_loaded(policy, candidates, data_centre, draws[0])
        case ExpectedCompletion():
            return _first_to_complete(policy, candidates, data_centre, draws)


def may_wait(
    policy: Policy,
    chosen: Candidate,
    candidates: tuple[Candidate, ...],
    attempts: int,
) -> bool:
    """Returns whether a call may wait for a slot at the chosen upstream.

    What a process knows of loads is older the more processes call the same
    upstreams. A full upstream that answers at once tells its load, and the call
    finds a free slot elsewhere.

    Args:
      policy: The load balancing policy.
      chosen: The upstream for this attempt.
      candidates: The upstreams that the call has not tried.
      attempts: Upstreams that it has tried before.
    """
    match policy:
        case LeastLoaded(moves=moves) if attempts < moves:
            return not any(
                candidate is not chosen and _effective_load(candidate) < 1.0
                for candidate in candidates
            )
        case ExpectedCompletion(moves=moves) if attempts < moves:
            bound = max(1.0, chosen.relative_time) * completion.FULL_COST
            return not any(
                candidate is not chosen
                and _known_load(candidate) <= FREE_SLOT_LOAD
                and candidate.relative_time < bound
                for candidate in candidates
            )
        case _:
            return True


def _least_loaded(
    policy: LeastLoaded,
    candidates: tuple[Candidate, ...],
    data_centre: str,
    draw: float,
) -> Candidate:
    # A random starting point for each call breaks ties between equal loads.
    offset = int(draw * len(candidates))
    rotated = candidates[offset:] + candidates[:offset]
    loads = [_effective_load(candidate) for candidate in rotated]
    for candidate, load in zip(rotated, loads, strict=True):
        if candidate.is_local and load <= policy.local_max_load:
            return candidate
    centre_loads = [
        (load, position)
        for position, load in enumerate(loads)
        if rotated[position].data_centre == data_centre
    ]
    if centre_loads and min(centre_loads)[0] <= policy.data_centre_max_load:
        return rotated[min(centre_loads)[1]]
    weighted = [
        (
            load
            + policy.cross_data_centre_penalty * (c.data_centre != data_centre),
            position,
        )
        for position, (c, load) in enumerate(zip(rotated, loads, strict=True))
    ]
    return rotated[min(weighted)[1]]


def is_free_here(
    policy: ExpectedCompletion, candidates: tuple[Candidate, ...]
) -> bool:
    """Returns whether the upstream on this VM has room."""
    return any(
        candidate.is_local and _known_load(candidate) <= policy.local_max_load
        for candidate in candidates
    )


def are_full(
    policy: ExpectedCompletion, candidates: tuple[Candidate, ...]
) -> bool:
    """Returns whether none of the upstreams is known to have a free slot."""
    return all(
        _known_load(candidate) > policy.data_centre_max_load
        for candidate in candidates
    )


def shortest_wait(candidates: tuple[Candidate, ...]) -> float:
    """Returns the shortest expected wait for a slot, in usual run times."""
    return min(
        candidate.relative_time
        * max(0.0, _known_load(candidate) - 1.0 + 1.0 / max(1, candidate.slots))
        for candidate in candidates
    )


def has_room(
    policy: ExpectedCompletion, candidates: tuple[Candidate, ...]
) -> bool:
    """Returns whether a call needs no upstream but these."""
    return any(
        _known_load(candidate) <= policy.data_centre_max_load
        and candidate.relative_time <= SLOWNESS_THRESHOLD
        for candidate in candidates
    )


def _first_to_complete(
    policy: ExpectedCompletion,
    candidates: tuple[Candidate, ...],
    data_centre: str,
    draws: tuple[float, float],
) -> Candidate:
    # A random starting point for each call breaks ties between equal costs.
    offset = int(draws[0] * len(candidates))
    rotated = candidates[offset:] + candidates[:offset]
    max_load = policy.data_centre_max_load
    loads = []
    near = []
    near_has_room = False
    # One loop with few calls of functions: with 80 candidates, the calls take
    # more time than what they do.
    for position, candidate in enumerate(rotated):
        load = candidate.load
        if candidate.in_flight:
            load = max(load, candidate.in_flight / max(1, candidate.slots))
        if candidate.load_spread:
            load += candidate.load_spread * _deviation(draws[1], position)
        loads.append(load)
        if candidate.data_centre == data_centre:
            near.append(position)
            if load <= max_load and (
                candidate.relative_time <= SLOWNESS_THRESHOLD
            ):
                near_has_room = True
    eligible = near if near_has_room else list(range(len(rotated)))
    best = -1
    best_cost = 0.0
    for position in eligible:
        candidate, load = rotated[position], loads[position]
        if candidate.is_local:
            if load <= policy.local_max_load:
                load = 0.0
        elif candidate.data_centre != data_centre:
            load += policy.cross_data_centre_penalty
        cost = completion.expected_cost(candidate.relative_time, load)
        if candidate.is_local and not load:
            cost /= policy.local_margin
        if best < 0 or cost < best_cost:
            best, best_cost = position, cost
    return rotated[best]


def _deviation(draw: float, position: int) -> float:
    """Returns a deviation for one of the candidates.

    Its mean is 0 and its standard deviation 1. Nodes that hold the same old
    report then don't all choose the same upstream.
    """
    uniform = (draw + position * _GOLDEN_RATIO) % 1.0
    return 3.4641 * (uniform - 0.5)


def _known_load(candidate: Candidate) -> float:
    return max(candidate.load, candidate.in_flight / max(1, candidate.slots))


def _effective_load(candidate: Candidate) -> float:
    load = max(candidate.load, candidate.in_flight / max(1, candidate.slots))
    if candidate.slowness <= SLOWNESS_THRESHOLD:
        return load
    return max(load, MIN_SLOW_LOAD) * candidate.slowness


@dataclasses.dataclass(frozen=True, kw_only=True)
class LatencyEstimate:
    """The recent latency of an upstream.

    Attributes:
      seconds: Smoothed time until an answer.
      seen_at: Monotonic time of the last answer.
    """

    seconds: float
    seen_at: float


def update_latency(
    estimate: LatencyEstimate | None, latency: float, now: float
) -> LatencyEstimate:
    """Updates the estimate with an answer that took `latency` seconds."""
    if estimate is None or now - estimate.seen_at > LATENCY_TTL:
        return LatencyEstimate(seconds=latency, seen_at=now)
    seconds = estimate.seconds + LATENCY_WEIGHT * (latency - estimate.seconds)
    return LatencyEstimate(seconds=seconds, seen_at=now)


def slowness(
    own: LatencyEstimate, peers: tuple[LatencyEstimate, ...], now: float
) -> float:
    """Returns the ratio of an upstream's latency to the median of all.

    An upstream without a recent answer gets 1, so that it is tried again, and
    so does one without a recent answer of any other upstream to compare with.
    Of two upstreams the faster one is taken as the median.

    Args:
      own: Estimate of the upstream.
      peers: Estimates of all upstreams of the service, `own` among them.
      now: Monotonic seconds.
    """
    recent = sorted(p.seconds for p in peers if now - p.seen_at <= LATENCY_TTL)
    if now - own.seen_at > LATENCY_TTL or len(recent) < 2:
        return 1.0
    return own.seconds / max(MIN_LATENCY, recent[(len(recent) - 1) // 2])


def _ramped_load(candidate: Candidate, now: float) -> float:
    ramp_progress = (now - candidate.ready_since) / RAMP_TIME
    ramp_fraction = min(
        1.0, RAMP_START + (1.0 - RAMP_START) * max(0.0, ramp_progress)
    )
    return (candidate.in_flight + 1) / (max(1, candidate.slots) * ramp_fraction)
