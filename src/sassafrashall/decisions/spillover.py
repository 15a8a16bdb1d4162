"""How many calls leave a data centre: for demand that varies between them.

Load: demand rises in one data centre while others have room, at a different
time in each, and some services have a single upstream in each data centre.
Traffic between data centres is slower and costs money.

Each node computes, for each service that it calls, the shares of its calls that
go to other data centres. As the summaries are the same for all nodes, so are
the shares. A data centre sends calls out only above `SEND_LOAD`, and to those
whose load is well below its own (`accept_load`), so that two never swap load.

The shares follow lasting demand. Within the room that the summaries show, a
call that is refused by a full upstream here may leave as well, so that a burst
needs no new summary.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

# Load of a service's slots from which on calls may leave the data centre.
SEND_LOAD = 0.9
# Load up to which a data centre gets the calls of others; the rest is for
# bursts of its own callers. The more calls wait at the sender, the more of that
# it gives up, as calls are soon refused there. Calls of others take only slots
# that are free, so that those that wait for one keep their turn.
ACCEPT_LOAD = 0.8
MAX_ACCEPT_LOAD = 1.05
ACCEPT_SLOPE = 0.3  # of the load at the sender that exceeds 1
SHARE_TIME = 0.5  # seconds in which a share covers most of a change
MIN_SHARE = 0.005  # a smaller share counts as none
MAX_SHARE = 0.95  # keeps the own load measurable
SUMMARY_TTL = 3.0  # seconds until a summary is outdated
# Seconds for a round trip between data centres before one is measured.
ROUND_TRIP = 0.003
ROUND_TRIP_WEIGHT = 0.1  # of the latest round trip
BANDWIDTH = 12.5e6  # bytes per second between VMs
# Attempts at a data centre that fail in a row until no more calls go there.
FAILURES_TO_BLOCK = 3
BLOCK_TIME = 2.0  # seconds
MAX_LOAD = 8.0  # highest load that is told apart
# Load at most taken for demand; what is above waits, and is no lasting demand.
MAX_OFFERED_LOAD = 1.25
MAX_EXCESS = 0.25  # fraction of the slots here by which more is sent at a time
FLOW_HALF_LIFE = 1.0  # seconds in which the weight of a call that left halves
MAX_CREDIT = 4.0  # calls that may leave at once


def accept_load(sender_load: float) -> float:
    """Returns up to which load others take calls of a data centre.

    It is below `sender_load` wherever calls are sent.
    """
    excess = max(0.0, sender_load - 1.0)
    return min(MAX_ACCEPT_LOAD, ACCEPT_LOAD + ACCEPT_SLOPE * excess)


def max_load_to_overflow(sender_load: float | None) -> float:
    """Returns below which load others take a call refused by all upstreams.

    Above `ACCEPT_LOAD` it is at most the load of the sender, so that two full
    data centres don't swap load.

    Args:
      sender_load: Load of the data centre of the call; None if not known.
    """
    if sender_load is None:
        return MAX_ACCEPT_LOAD
    return min(MAX_ACCEPT_LOAD, max(ACCEPT_LOAD, sender_load))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Room:
    """The upstreams of a service in one data centre.

    Attributes:
      slots: Concurrent requests that they accept.
      load: Requests running or waiting, as a fraction of the slots.
      run_s: Usual run time of the service's requests in the whole fleet, in
        seconds; 0 if not known.
      chain: Number of services on the longest chain of calls through this one;
        0 if not known.
    """

    service: str
    data_centre: str
    slots: int
    load: float
    run_s: float = 0.0
    chain: int = 0

    def wait(self, load: float) -> float:
        """Returns the expected wait for a slot at a load, in seconds.

        Up to a load of 1 it is the approximation of Sakasegawa (1977) for a
        common queue, without its pole.
        """
        exponent = math.sqrt(2.0 * (self.slots + 1))
        busy = min(1.0, load) ** exponent / max(1, self.slots)
        return self.run_s * (busy + max(0.0, load - 1.0))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Summary:
    """What the controls told of all services last.

    Attributes:
      rooms: By service and data centre.
      relative_times: Run times relative to the usual ones, by VM, of the
        upstreams of which the controls have told.
      received_at: Monotonic seconds.
    """

    rooms: Mapping[tuple[str, str], Room] = dataclasses.field(
        default_factory=dict
    )
    relative_times: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    received_at: float = float("-inf")

    def rooms_of(self, service: str, now: float) -> dict[str, Room]:
        """Returns the rooms of a service by data centre; none if outdated."""
        if now - self.received_at > SUMMARY_TTL:
            return {}
        return {
            data_centre: room
            for (name, data_centre), room in self.rooms.items()
            if name == service
        }


def summarize(
    rooms: Iterable[Room],
    received_at: float,
    relative_times: Mapping[str, float] | None = None,
) -> Summary:
    """Returns the summary of all rooms."""
    return Summary(
        rooms={(room.service, room.data_centre): room for room in rooms},
        relative_times=relative_times or {},
        received_at=received_at,
    )


def add_up(
    upstreams: Iterable[tuple[str, str, int, int]],
    run_s: Mapping[str, float],
    chains: Mapping[str, int] | None = None,
) -> tuple[Room, ...]:
    """Returns the rooms of the fleet.

    Args:
      upstreams: Service, data centre, slots and load of each upstream, the
        load in thousandths of its slots.
      run_s: Usual run time by service.
      chains: Length of the longest chain of calls by service.
    """
    chains = chains or {}
    slots: dict[tuple[str, str], int] = {}
    used: dict[tuple[str, str], float] = {}
    for service, data_centre, count, load in upstreams:
        key = (service, data_centre)
        slots[key] = slots.get(key, 0) + count
        used[key] = used.get(key, 0.0) + count * load / 1000
    return tuple(
        Room(
            service=key[0],
            data_centre=key[1],
            slots=count,
            load=round(used[key] / max(1, count), 3),
            run_s=round(run_s.get(key[0], 0.0), 4),
            chain=chains.get(key[0], 0),
        )
        for key, count in slots.items()
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Shares:
    """The shares of a service's calls that go to other data centres.

    Attributes:
      by_data_centre: Fraction of the calls made here; none where it is 0.
      limits: Fractions of the calls made here for which there is room, whether
        they go there by their share or after a refusal.
      savings: Seconds that a call there is expected to save, the round trip
        taken off, by data centre.
      updated_at: Monotonic seconds; negative infinity before the first time.
    """

    by_data_centre: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    limits: Mapping[str, float] = dataclasses.field(default_factory=dict)
    savings: Mapping[str, float] = dataclasses.field(default_factory=dict)
    updated_at: float = float("-inf")

    @property
    def total(self) -> float:
        """The fraction of the calls that leave the data centre."""
        return sum(self.by_data_centre.values())

    def pick(self, draw: float) -> str | None:
        """Returns the data centre for a call; None if it stays here.

        Args:
          draw: Uniform random number in [0, 1).
        """
        for data_centre, share in self.by_data_centre.items():
            if draw < share:
                return data_centre
            draw -= share
        return None

    def without(self, data_centre: str) -> Shares:
        """Returns the shares with that of one data centre taken back."""
        return dataclasses.replace(
            self,
            by_data_centre={
                name: share
                for name, share in self.by_data_centre.items()
                if name != data_centre
            },
            limits={
                name: limit
                for name, limit in self.limits.items()
                if name != data_centre
            },
        )


NO_SHARES = Shares()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Situation:
    """What a node knows when it updates the shares of a service.

    Attributes:
      here: Data centre of the node.
      service: The service that is called.
      summary: The loads of the fleet.
      open_to: Data centres with a usable upstream; none that is evacuated,
        drained or can't be reached.
      round_trips: Measured round trips in seconds, by data centre.
      crossing_cost_s: Seconds that leaving the data centre must save.
      sent: Fractions of the calls made here that went to other data centres
        lately.
      seen_load: Load of the service's upstreams here as this node saw it in
        the latest responses; negative without any. It is newer than the
        summary, but that of fewer upstreams.
    """

    here: str
    service: str
    summary: Summary
    open_to: frozenset[str]
    round_trips: Mapping[str, float] = dataclasses.field(default_factory=dict)
    crossing_cost_s: float = 0.0
    sent: Mapping[str, float] = dataclasses.field(default_factory=dict)
    seen_load: float = -1.0

    def delay_of(self, data_centre: str) -> float:
        """Returns what a call there must save, in seconds."""
        round_trip = self.round_trips.get(data_centre, ROUND_TRIP)
        return round_trip + self.crossing_cost_s


def update(before: Shares, situation: Situation, now: float) -> Shares:
    """Returns the shares, a step closer to what pays.

    Data centres that are not open any more get nothing at once.
    """
    rooms = situation.summary.rooms_of(situation.service, now)
    home = rooms.pop(situation.here, None)
    kept = {
        name: share
        for name, share in before.by_data_centre.items()
        if name in situation.open_to
    }
    if home is None or home.slots <= 0:
        return Shares(updated_at=now)
    if situation.seen_load >= 0.0:
        home = dataclasses.replace(
            home, load=(home.load + situation.seen_load) / 2
        )
    # In slots; what leaves is not part of the load here.
    offered = (
        min(MAX_OFFERED_LOAD, home.load)
        * home.slots
        / (1.0 - min(MAX_SHARE, sum(situation.sent.values())))
    )
    free, keep = _free_slots(situation, home, rooms, offered)
    out = sum(situation.sent.values()) * offered + home.slots * min(
        MAX_EXCESS, home.load - keep
    )
    targets = _targets(free, out, offered)
    elapsed = min(SHARE_TIME, max(0.0, now - before.updated_at))
    step = 1.0 - math.exp(-elapsed / SHARE_TIME)
    shares = {}
    for name in sorted({*kept, *targets}):
        share = kept.get(name, 0.0)
        target = targets.get(name, 0.0)
        share += step * (target - share)
        if target > 0.0 or share >= MIN_SHARE:
            shares[name] = share
    total = sum(shares.values())
    scale = min(1.0, MAX_SHARE / total) if total else 1.0
    return Shares(
        by_data_centre={name: scale * share for name, share in shares.items()},
        limits={
            name: min(MAX_SHARE, count / offered)
            for name, count in free.items()
        },
        savings={
            name: home.wait(home.load)
            - room.wait(room.load)
            - situation.round_trips.get(name, ROUND_TRIP)
            for name, room in rooms.items()
        },
        updated_at=now,
    )


def _free_slots(
    situation: Situation, home: Room, rooms: Mapping[str, Room], offered: float
) -> tuple[dict[str, float], float]:
    """Returns the slots for calls from here, and the load that stays here.

    The slots are by data centre. The load is that from which on the wait here
    costs more than leaving.
    """
    free: dict[str, float] = {}
    keep = MAX_LOAD
    if offered <= 0.0:
        return free, keep
    for name, room in rooms.items():
        if name not in situation.open_to or room.slots <= 0:
            continue
        if _is_held_back(situation, home, name):
            continue
        senders = sum(
            1
            for other in (home, *rooms.values())
            if other.data_centre != name and other.load >= SEND_LOAD
        )
        # What we send is in its load already. What is free is divided among
        # the data centres that may send.
        more = room.slots * (accept_load(home.load) - room.load)
        if more > 0.0:
            more /= max(1, senders)
        count = situation.sent.get(name, 0.0) * offered + more
        if count > 0.0:
            free[name] = count
            worth = room.wait(room.load) + situation.delay_of(name)
            keep = min(keep, max(SEND_LOAD, _load_for_wait(home, worth)))
    return free, keep


def _targets(
    free: Mapping[str, float], out: float, offered: float
) -> dict[str, float]:
    """Returns the shares by which `out` slots of calls leave."""
    if not free or out <= 0.0:
        return {}
    total = sum(free.values())
    return {
        name: min(count, out * count / total) / offered
        for name, count in free.items()
    }


def _load_for_wait(room: Room, seconds: float) -> float:
    """Returns the load at which the wait for a slot is that long."""
    low, high = 0.0, MAX_LOAD
    if room.run_s <= 0.0 or room.wait(high) <= seconds:
        return high
    for _ in range(16):
        middle = (low + high) / 2
        if room.wait(middle) < seconds:
            low = middle
        else:
            high = middle
    return high


def _is_held_back(situation: Situation, home: Room, there: str) -> bool:
    """Returns whether the calls would go against those of a longer service.

    A run contains the calls that it makes. If the data centre there sends runs
    of a longer service here, calls made by these must not go back there.
    """
    for (service, data_centre), room in situation.summary.rooms.items():
        if data_centre != there or service == situation.service:
            continue
        here = situation.summary.rooms.get((service, situation.here))
        if (
            here is not None
            and room.run_s > home.run_s
            and room.load >= SEND_LOAD
            and here.load < ACCEPT_LOAD
        ):
            return True
    return False


def pays(
    shares: Shares, data_centre: str, crossing_cost_s: float, size: float
) -> bool:
    """Returns whether the bytes of a call are worth sending there.

    Args:
      shares: The shares of the service.
      data_centre: Where the call would go.
      crossing_cost_s: Seconds that leaving the data centre must save.
      size: Bytes of the request and its response.
    """
    saved = shares.savings.get(data_centre, 0.0) - crossing_cost_s
    return size / BANDWIDTH <= max(crossing_cost_s, saved)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Flow:
    """What became of the latest calls of a node to a service.

    Attributes:
      calls: Weighted number of calls.
      sent: Weighted number of those that left, by data centre.
      credits: Calls that may still leave, by data centre.
      seen_at: Monotonic seconds.
    """

    calls: float = 0.0
    sent: Mapping[str, float] = dataclasses.field(default_factory=dict)
    credits: Mapping[str, float] = dataclasses.field(default_factory=dict)
    seen_at: float = float("-inf")

    def fractions(self) -> dict[str, float]:
        """Returns the fraction of the calls that left, by data centre."""
        if not self.calls:
            return {}
        return {name: count / self.calls for name, count in self.sent.items()}

    def best_credit(self) -> str | None:
        """Returns the data centre to which most calls may go; None if none."""
        name = max(self.credits, key=self.credits.__getitem__, default=None)
        return name if name is not None and self.credits[name] >= 1.0 else None


def on_call(flow: Flow, shares: Shares, now: float) -> Flow:
    """Adds a call that is about to be sent somewhere."""
    if not shares.limits and not flow.sent:
        return dataclasses.replace(flow, credits={}) if flow.credits else flow
    age = min(60.0, max(0.0, now - flow.seen_at))
    factor = 0.5 ** (age / FLOW_HALF_LIFE)
    return Flow(
        calls=factor * flow.calls + 1.0,
        sent={
            name: factor * count
            for name, count in flow.sent.items()
            if factor * count > 1e-3
        },
        credits={
            name: min(MAX_CREDIT, flow.credits.get(name, 0.0) + limit)
            for name, limit in shares.limits.items()
        },
        seen_at=now,
    )


def on_sent(flow: Flow, data_centre: str) -> Flow:
    """Counts the call that was added last as one that left."""
    credit = max(-MAX_CREDIT, flow.credits.get(data_centre, 0.0) - 1.0)
    return dataclasses.replace(
        flow,
        sent={
            **flow.sent,
            data_centre: flow.sent.get(data_centre, 0.0) + 1.0,
        },
        credits={**flow.credits, data_centre: credit},
    )


def on_returned(flow: Flow, data_centre: str) -> Flow:
    """Takes back a call that was refused there, and adds nothing to its load.

    The credit stays used, so that a data centre that refuses gets fewer calls.
    """
    sent = max(0.0, flow.sent.get(data_centre, 0.0) - 1.0)
    return dataclasses.replace(flow, sent={**flow.sent, data_centre: sent})


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reach:
    """Whether the upstreams of another data centre can be reached.

    Attributes:
      failures: Failed attempts in a row, at any upstream there.
      blocked_until: Monotonic seconds.
      round_trip: Smoothed seconds of a refusal without a wait; 0 if none.
    """

    failures: int = 0
    blocked_until: float = float("-inf")
    round_trip: float = 0.0


def on_attempt(
    reach: Reach, *, failed: bool, round_trip: float, now: float
) -> Reach:
    """Updates the reach by an attempt.

    Args:
      reach: The state before.
      failed: Whether the attempt found no node.
      round_trip: Seconds of a refusal that came at once; negative otherwise.
      now: Monotonic seconds.
    """
    if round_trip >= 0.0:
        smoothed = reach.round_trip or round_trip
        smoothed += ROUND_TRIP_WEIGHT * (round_trip - smoothed)
        reach = dataclasses.replace(reach, round_trip=smoothed)
    if not failed:
        if not reach.failures:
            return reach
        return dataclasses.replace(reach, failures=0)
    failures = reach.failures + 1
    if failures < FAILURES_TO_BLOCK:
        return dataclasses.replace(reach, failures=failures)
    return dataclasses.replace(
        reach, failures=0, blocked_until=now + BLOCK_TIME
    )
