"""Pattern: many nodes call the same few narrow upstreams.

Each node meets an upstream too rarely to know its load. A simulation without
network plays the routing decisions and doors that refuse at once.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
import statistics

import pytest

from sassafrashall.decisions import routing

WORK = 0.09  # seconds, at the mean
HOP = 0.001  # seconds to be refused and move on
KNOWN_FOR = routing.LOAD_TTL


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Call:
    arrived_at: float
    work: float
    node: int
    avoid: frozenset[str] = frozenset()


class _Fleet:
    """Nodes that choose by their own view, and doors with a queue each."""

    def __init__(self, policy, seed, *, nodes=60, upstreams=12, slots=6):
        self._policy = policy
        self._random = random.Random(seed)
        self._slots = slots
        self._busy = [0] * upstreams
        self._queues = [[] for _ in range(upstreams)]
        self._loads = [{} for _ in range(nodes)]
        self.sent = 0
        self.waits = []
        self.waited_beside_a_free_slot = 0

    def play(self, utilization, count):
        rate = utilization * len(self._busy) * self._slots / WORK
        events = []
        at = 0.0
        for number in range(count):
            at += self._random.expovariate(rate)
            call = _Call(
                arrived_at=at,
                work=self._random.expovariate(1 / WORK),
                node=self._random.randrange(len(self._loads)),
            )
            events.append((at, number, "send", call))
        heapq.heapify(events)
        sequence = count
        while events:
            now, _, kind, what = heapq.heappop(events)
            for event in getattr(self, f"_{kind}")(now, what):
                sequence += 1
                heapq.heappush(events, (event[0], sequence, *event[1:]))
        return self

    def _candidates(self, call, now):
        known = self._loads[call.node]
        return tuple(
            routing.Candidate(
                vm=str(index),
                data_centre="x",
                slots=self._slots,
                load=load if now - seen_at <= KNOWN_FOR else 0.0,
            )
            for index in range(len(self._busy))
            if str(index) not in call.avoid
            for load, seen_at in [known.get(index, (0.0, -1e9))]
        )

    def _send(self, now, call):
        candidates = self._candidates(call, now)
        draws = (self._random.random(), self._random.random())
        chosen = routing.choose_upstream(
            self._policy, candidates, "x", draws, now
        )
        may_wait = routing.may_wait(
            self._policy, chosen, candidates, len(call.avoid)
        )
        index = int(chosen.vm)
        self.sent += 1
        if self._busy[index] < self._slots:
            return self._start(now, index, call)
        self._loads[call.node][index] = (self._load(index), now)
        if may_wait:
            self.waited_beside_a_free_slot += min(self._busy) < self._slots
            self._queues[index].append(call)
            return []
        moved = dataclasses.replace(call, avoid=call.avoid | {chosen.vm})
        return [(now + HOP, "send", moved)]

    def _load(self, index):
        return (self._busy[index] + len(self._queues[index])) / self._slots

    def _start(self, now, index, call):
        self._busy[index] += 1
        self.waits.append(now - call.arrived_at)
        return [(now + call.work, "end", (index, call))]

    def _end(self, now, ended):
        index, call = ended
        self._busy[index] -= 1
        self._loads[call.node][index] = (self._load(index), now)
        if self._queues[index]:
            return self._start(now, index, self._queues[index].pop(0))
        return []


def _play(policy, utilization=0.8):
    return _Fleet(policy, seed=1).play(utilization, 12_000)


@pytest.fixture(scope="module")
def played():
    return (
        _play(routing.LeastLoaded()),
        _play(routing.LeastLoaded(moves=2)),
    )


def test_calls_that_move_on_wait_less_than_with_the_baseline(played):
    baseline, moving = played
    assert statistics.mean(moving.waits) < 0.6 * statistics.mean(baseline.waits)
    p99 = [sorted(fleet.waits)[-120] for fleet in played]
    assert p99[1] < p99[0]


def test_fewer_calls_wait_while_a_slot_is_free(played):
    baseline, moving = played
    assert (
        moving.waited_beside_a_free_slot
        < 0.3 * baseline.waited_beside_a_free_slot
    )


def test_few_busy_upstreams_are_not_asked_in_turn():
    """Pattern: more calls than four busy upstreams can take.

    Each of them has a slot free for moments. If that were taken for room, every
    call would be sent three times, and the nodes would spend their processor
    on it when they need it most.
    """
    policy = routing.LeastLoaded(moves=2)
    for utilization in (0.97, 1.3):
        fleet = _Fleet(policy, seed=1, nodes=16, upstreams=4, slots=21)
        fleet.play(utilization, 8000)
        assert fleet.sent < 1.25 * 8000


def _candidate(vm, load):
    return routing.Candidate(vm=vm, data_centre="x", slots=4, load=load)


def test_a_call_waits_if_all_others_are_known_to_be_full():
    """In an overload, moving on would only cost every node more."""
    policy = routing.LeastLoaded(moves=2)
    full = (_candidate("a", 1.2), _candidate("b", 1.0))
    assert routing.may_wait(policy, full[0], full, 0)
    with_room = (*full, _candidate("c", 0.5))
    assert not routing.may_wait(policy, full[0], with_room, 0)
    assert routing.may_wait(policy, full[0], with_room, 2)
    assert routing.may_wait(policy, full[0], full[:1], 0)
    baseline = routing.LeastLoaded()
    assert routing.may_wait(baseline, full[0], with_room, 0)
