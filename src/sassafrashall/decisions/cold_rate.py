"""Limits a burst of requests to an upstream that is cold and would crash.

The node beside the upstream sees every request to it, so it alone keeps the
bound, whatever the nodes that call know of each other. It counts requests from
the moment that they are granted a slot until one window after they were sent.

Each event replaces the whole state.
"""

from __future__ import annotations

import dataclasses
from typing import TypeAlias

from sassafrashall import frozen

# Seconds of sends that are counted against the bound of one second. Requests
# sent within 1.1 s arrive within one second if the upstream reads the first of
# them 0.1 s late.
WINDOW = 1.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bound:
    """What a cold upstream can handle.

    Attributes:
      count: Requests that it may get in any second.
      rate: Requests per second that it can handle for long.
      cold_start_s: Seconds for which it is cold after a start.
    """

    count: int
    rate: float
    cold_start_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class State:
    """What is known of the upstream, and what was sent to it.

    Attributes:
      bound: None if the upstream has none; sends are not counted then.
      run: The run of the newest heartbeat; None before the first.
      run_heard_at: When its first heartbeat arrived, in monotonic seconds.
      cold_until: End of the time that the upstream itself told, in monotonic
        seconds.
      is_told: Whether the heartbeats of this run tell how long it is cold.
      heartbeats_due: Heartbeats needed until they are relied on.
      pending: Requests with a slot that have not been sent yet.
      sends: Times of the latest sends in the window, in monotonic seconds.
      counted_since: Since when all sends are counted, in monotonic seconds.
    """

    bound: Bound | None = None
    run: tuple[str, int] | None = None
    run_heard_at: float = float("-inf")
    cold_until: float = float("-inf")
    is_told: bool = False
    heartbeats_due: int = 1
    pending: int = 0
    sends: tuple[float, ...] = ()
    counted_since: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Configured:
    """The bound of the service has been read from the configuration."""

    bound: Bound | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """The newest heartbeat of the upstream.

    Attributes:
      run: Id and start of the run.
      sequence: Its number in the run.
      cold_remaining_s: Seconds for which the upstream stays cold; None if the
        heartbeat does not tell.
      heard_at: When it arrived, in monotonic seconds.
      is_doubtful: Whether it is of another run, which may be the next one.
    """

    run: tuple[str, int]
    sequence: int
    cold_remaining_s: float | None
    heard_at: float
    is_doubtful: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Responded:
    """A response told for how many seconds the upstream stays cold."""

    cold_remaining_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Doubted:
    """The upstream may have become cold or have started again.

    Attributes:
      heartbeats: Further heartbeats of the same run after which they are relied
        on again; one of another run is relied on at once.
    """

    heartbeats: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class Granted:
    """A request got a slot and is about to be sent."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sent:
    """A granted request is sent.

    Attributes:
      sent_at: Monotonic seconds.
      is_repeated: Whether it was told before that it is sent. The first time,
        the connection may have been closed already.
    """

    sent_at: float
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unsent:
    """A granted request ended without having been sent."""


Event: TypeAlias = (
    Configured | Heartbeat | Responded | Doubted | Granted | Sent | Unsent
)


def bound_for(
    *, rate: float, cold_start_s: float, overage: float, slack: int
) -> Bound | None:
    """Returns the bound of a service; None if its upstreams are never cold.

    Args:
      rate: Requests per second that a cold upstream can handle.
      cold_start_s: Seconds for which it is cold after a start.
      overage: Multiple of the rate that it may get; 0 counts as 1.
      slack: Requests in a second that it may get on top of that.
    """
    if rate <= 0 or cold_start_s <= 0:
        return None
    # With no request at all, an upstream would never warm up.
    count = max(1, int(rate * (overage or 1.0) + slack))
    return Bound(count=count, rate=rate, cold_start_s=cold_start_s)


def is_cold(state: State, now: float) -> bool:
    """Returns whether the upstream has to be taken for cold."""
    if state.heartbeats_due > 0 or now < state.cold_until:
        return True
    return (
        not state.is_told
        and state.bound is not None
        and now < state.run_heard_at + state.bound.cold_start_s
    )


def may_send(state: State, now: float) -> bool:
    """Returns whether one more request may be granted a slot."""
    if state.bound is None or not is_cold(state, now):
        return True
    if now < state.counted_since + WINDOW:
        return False
    return _count(state, now) < state.bound.count


def used_fraction(state: State, now: float) -> float:
    """Returns the used fraction of the bound; 0 if the upstream isn't cold."""
    if state.bound is None or not is_cold(state, now):
        return 0.0
    if now < state.counted_since + WINDOW:
        return 1.0
    return _count(state, now) / state.bound.count


def usable_slots(
    state: State, slots: int, usual_time: float, now: float
) -> int:
    """Returns the slots that requests can fill at the rate of the bound.

    Args:
      state: The state.
      slots: Slots that may be used if the upstream isn't cold.
      usual_time: Seconds for which a request holds a slot.
      now: Monotonic seconds.
    """
    if state.bound is None or not is_cold(state, now):
        return slots
    return min(slots, max(1, int(state.bound.rate * usual_time)))


def on_event(state: State, event: Event, now: float) -> State:
    """Returns the state after an event.

    Args:
      state: The state before.
      event: What happened.
      now: Monotonic seconds.
    """
    match event:
        case Granted():
            return frozen.replace(state, pending=state.pending + 1)
        case Sent(sent_at=sent_at, is_repeated=is_repeated):
            pending = state.pending if is_repeated else state.pending - 1
            state = frozen.replace(state, pending=max(0, pending))
            return _add_send(state, sent_at, now)
        case Unsent():
            return frozen.replace(state, pending=max(0, state.pending - 1))
        case Heartbeat():
            return _on_heartbeat(state, event, now)
        case Responded(cold_remaining_s=seconds):
            # It may be older than a heartbeat that tells a longer time.
            return frozen.replace(
                state, cold_until=max(state.cold_until, now + seconds)
            )
        case Doubted(heartbeats=heartbeats):
            return frozen.replace(
                state, heartbeats_due=max(state.heartbeats_due, heartbeats)
            )
        case Configured(bound=bound):
            return _on_configured(state, bound, now)


def _on_configured(state: State, bound: Bound | None, now: float) -> State:
    if bound is not None:
        if state.bound is None:
            state = frozen.replace(state, sends=(), counted_since=now)
        elif len(state.sends) >= state.bound.count < bound.count:
            # Earlier sends that count under the new bound were dropped.
            state = frozen.replace(state, counted_since=now)
    return frozen.replace(state, bound=bound)


def _on_heartbeat(state: State, event: Heartbeat, now: float) -> State:
    if event.is_doubtful:
        return frozen.replace(
            state, heartbeats_due=max(state.heartbeats_due, 1)
        )
    is_new = event.run != state.run
    told = event.cold_remaining_s
    return frozen.replace(
        state,
        run=event.run,
        run_heard_at=event.heard_at if is_new else state.run_heard_at,
        cold_until=event.heard_at + told
        if told is not None
        else float("-inf")
        if is_new
        else state.cold_until,
        is_told=told is not None or (state.is_told and not is_new),
        heartbeats_due=0 if is_new else max(0, state.heartbeats_due - 1),
    )


def _add_send(state: State, sent_at: float, now: float) -> State:
    """Adds a send, and drops those that can't count any more."""
    if state.bound is None:
        return state
    kept = tuple(at for at in state.sends if now - at < WINDOW)
    # Those before the last `count` don't change whether the window is full.
    return frozen.replace(state, sends=(*kept, sent_at)[-state.bound.count :])


def _count(state: State, now: float) -> int:
    recent = sum(now - at < WINDOW for at in state.sends)
    return state.pending + recent
