"""Plays the routing of calls by many nodes, without network or real time.

Each node is a routing controller with its own view of loads and run times. The
upstreams have slots, a queue, and a speed that may change.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import heapq
import random

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import settings
from sassafrashall.controllers import routing
from sassafrashall.decisions import completion
from sassafrashall.decisions import spillover

SERVICE = "s"
ROUTE = "r"
HOP = 0.0003  # seconds one way inside a data centre
CROSSING = 0.0012  # seconds one way between data centres
FAILURE_TIME = 0.001  # seconds until an upstream answers with an error
SUMMARY_INTERVAL = 0.5  # seconds
RUNS_HALF_LIFE = 6.0  # seconds
SUMMARY_DELAY = 0.5  # seconds from the measurement to the nodes
LAPSE_TIME = 2.0  # seconds until a silent data centre leaves the summaries


@dataclasses.dataclass(frozen=True, kw_only=True)
class Upstream:
    """An upstream of the service, with the node beside it.

    Attributes:
      speed: Run times are divided by it; a function of time.
      failing: Fraction of its calls that it answers with an error at once; a
        function of time.
    """

    vm: str
    data_centre: str
    slots: int = 8
    speed: Callable[[float], float] = lambda now: 1.0
    failing: Callable[[float], float] = lambda now: 0.0


@dataclasses.dataclass(kw_only=True)
class Call:
    arrived_at: float
    work: float
    node: str
    nested: bool = False
    sent_at: float = 0.0
    avoid: frozenset[str] = frozenset()
    sends: int = 0
    on_end: Callable[[float, str], None] | None = None


class _Reply:
    def __init__(self):
        self.value = None

    def put(self, value):
        self.value = value


class _Door:
    """An upstream with its slots and queue."""

    def __init__(self, upstream, max_queue):
        self.upstream = upstream
        self.busy = 0
        self.queue = collections.deque()
        self.max_queue = max_queue
        self.busy_seconds = 0.0
        self.arrivals = 0
        # Weighted number and seconds of the latest runs.
        self.runs = 0.0
        self.run_seconds = 0.0

    @property
    def load(self):
        return 1000 * (self.busy + len(self.queue)) // self.upstream.slots


class Fleet:
    """Plays calls and records how they ended.

    `nodes` are data centres by VM, of nodes without an upstream of the service.
    """

    def __init__(
        self,
        *,
        upstreams,
        nodes,
        monkeypatch,
        policy="expected-completion",
        seed=1,
        work=0.09,
        max_wait=0.25,
        policy_settings=None,
        with_summaries=True,
        tells_times=True,
    ):
        self.tells_times = tells_times
        self.now = 0.0
        monkeypatch.setattr(clock, "monotonic", lambda: self.now)
        self._random = random.Random(seed)
        self.work = work
        self.doors = {
            u.vm: _Door(u, max(2, int(u.slots * max_wait / work)))
            for u in upstreams
        }
        self.data_centres = {
            **nodes,
            **{u.vm: u.data_centre for u in upstreams},
        }
        self.view = mailbox.Published[model.NodeView](
            initial=model.NodeView(
                records={
                    u.vm: _record(u, index) for index, u in enumerate(upstreams)
                }
            )
        )
        self.data_centre_names = sorted(set(self.data_centres.values()))
        self.summaries = {
            name: mailbox.Published[spillover.Summary](
                initial=spillover.Summary()
            )
            for name in self.data_centre_names
        }
        # Data centres cut off from the others, and since when.
        self.cut_off = {}
        names = settings.Policy(
            routing=policy, retries="arrivals", early_shed="none"
        )
        if policy_settings:
            names = dataclasses.replace(names, **policy_settings)
        self.controllers = {
            vm: routing.Routing(
                vm=vm,
                data_centre=data_centre,
                view=self.view,
                policy=names,
                event_log=events.EventLog(
                    process=vm, clock=clock.HybridClock()
                ),
                counters=metrics.Metrics(process=vm, data_centre=data_centre),
                seed=seed + index,
                summary=self.summaries[data_centre],
            )
            for index, (vm, data_centre) in enumerate(self.data_centres.items())
        }
        self._sequence = 0
        self._events = []
        self.sent = 0
        self.refused = 0
        # (arrived at, seconds, data centre of the node, of the upstream)
        self.ended = []
        # (sent at, data centre of the node, of the upstream), of all attempts
        self.attempts = []
        self.unreachable = 0
        # (arrived at, upstream) of the calls that an upstream failed
        self.failures = []
        if with_summaries:
            self._last_arrival = 0.0
            self.schedule(0.0, self._summarize)

    def schedule(self, at, action, *arguments):
        self._sequence += 1
        if action == self.send:
            self._last_arrival = max(at, getattr(self, "_last_arrival", 0.0))
        heapq.heappush(self._events, (at, self._sequence, action, arguments))

    def arrivals(self, rate, seconds, nodes, start=0.0, bound=None):
        """Schedules a Poisson process; `rate` is a function of time."""
        bound = bound or max(rate(start + seconds * i / 50) for i in range(51))
        at = start
        while bound:
            at += self._random.expovariate(bound)
            if at >= start + seconds:
                return
            if self._random.random() < rate(at) / bound:
                call = Call(
                    arrived_at=at,
                    work=self.work * self._random.lognormvariate(-0.08, 0.4),
                    node=self._random.choice(nodes),
                )
                self.schedule(at, self.send, call)

    def play(self):
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self

    def _relative_times(self):
        """Returns what the controls tell of the run times, by VM."""
        runs = sum(door.runs for door in self.doors.values())
        if not runs:
            return {}
        usual = sum(d.run_seconds for d in self.doors.values()) / runs
        told = {
            vm: completion.relative_time_of_runs(
                ((ROUTE, door.runs, door.run_seconds),), {ROUTE: usual}
            )
            for vm, door in self.doors.items()
        }
        factor = 0.5 ** (SUMMARY_INTERVAL / RUNS_HALF_LIFE)
        for door in self.doors.values():
            door.runs *= factor
            door.run_seconds *= factor
        return told

    def _summarize(self):
        told = self._relative_times()
        for here in self.data_centre_names:
            rooms = spillover.add_up(
                (
                    (SERVICE, d.upstream.data_centre, d.upstream.slots, d.load)
                    for d in self.doors.values()
                    if self._is_connected(here, d.upstream.data_centre)
                    or self.now - self._cut_at(here, d.upstream.data_centre)
                    < LAPSE_TIME
                ),
                {SERVICE: self.work},
            )
            self.schedule(
                self.now + SUMMARY_DELAY, self._publish, here, rooms, told
            )
        if self.now < self._last_arrival:
            self.schedule(self.now + SUMMARY_INTERVAL, self._summarize)

    def _publish(self, here, rooms, told):
        if not self.tells_times:
            told = {}
        self.summaries[here].publish(spillover.summarize(rooms, self.now, told))

    def _is_connected(self, here, there):
        return here == there or not {here, there} & set(self.cut_off)

    def _cut_at(self, here, there):
        return max(self.cut_off.get(name, -1e9) for name in (here, there))

    def send(self, call):
        reply = _Reply()
        self.controllers[call.node]._handle(
            messages.ChooseUpstream(
                service=SERVICE, avoid=call.avoid, route=ROUTE
            ),
            reply,
        )
        choice = reply.value
        if choice is None:
            self.refused += 1
            return
        self.sent += 1
        call.sends += 1
        call.sent_at = self.now
        delay = self._delay(call.node, choice.vm)
        here, there = (self.data_centres[v] for v in (call.node, choice.vm))
        self.attempts.append((self.now, here, there))
        if not self._is_connected(here, there):
            self.unreachable += 1
            self.schedule(
                self.now + delay, self._on_unreachable, call, choice.vm
            )
            return
        self.schedule(self.now + delay, self._arrive, call, choice)

    def _delay(self, vm, other):
        if vm == other:
            return 0.0
        same = self.data_centres[vm] == self.data_centres[other]
        return HOP if same else CROSSING

    def _arrive(self, call, choice):
        door = self.doors[choice.vm]
        door.arrivals += 1
        if door.busy < door.upstream.slots:
            self._start(call, door)
        elif choice.may_wait and len(door.queue) < door.max_queue:
            door.queue.append(call)
        else:
            delay = self._delay(call.node, choice.vm)
            self.schedule(
                self.now + delay, self._on_refused, call, choice.vm, door.load
            )

    def _start(self, call, door):
        door.busy += 1
        seconds = call.work / door.upstream.speed(self.now)
        failed = self._random.random() < door.upstream.failing(self.now)
        if failed:
            seconds = FAILURE_TIME
        door.busy_seconds += seconds
        self.schedule(
            self.now + seconds, self._on_run_ended, call, door, failed
        )

    def _on_run_ended(self, call, door, failed):
        door.busy -= 1
        if not failed:
            door.runs += 1
            door.run_seconds += call.work / door.upstream.speed(self.now)
        if door.queue:
            self._start(door.queue.popleft(), door)
        vm = door.upstream.vm
        self.schedule(
            self.now + self._delay(call.node, vm),
            self._on_answer,
            call,
            vm,
            door.load,
            failed,
        )

    def _on_answer(self, call, vm, load, failed):
        elapsed = self.now - call.sent_at
        self._end_attempt(call, vm, load, elapsed, failed=failed)
        if failed:
            self.failures.append((call.arrived_at, vm))
            return
        data_centres = (self.data_centres[call.node], self.data_centres[vm])
        self.ended.append(
            (call.arrived_at, self.now - call.arrived_at, *data_centres)
        )
        if call.on_end is not None:
            call.on_end(self.now, vm)

    def _on_refused(self, call, vm, load):
        self._end_attempt(call, vm, load, -1.0)
        call.avoid |= {vm}
        if call.sends > 3:
            self.refused += 1
        else:
            self.send(call)

    def _on_unreachable(self, call, vm):
        self._end_attempt(
            call, vm, -1, -1.0, messages.AttemptResult.CONNECTION_FAILED
        )
        call.avoid |= {vm}
        self.send(call)

    def _end_attempt(self, call, vm, load, elapsed, result=None, failed=None):
        answered = elapsed >= 0
        self.controllers[call.node]._handle(
            messages.AttemptEnded(
                vm=vm,
                service=SERVICE,
                result=result
                or (
                    messages.AttemptResult.ANSWERED
                    if answered
                    else messages.AttemptResult.INCONCLUSIVE
                ),
                load=load,
                latency=elapsed,
                route=ROUTE,
                run_time=elapsed
                if answered and not failed and load < 1000
                else -1.0,
                failed=failed,
            ),
            _Reply(),
        )

    def seconds(self, start=0.0, end=1e9):
        """Returns the sorted times of the calls that arrived in a period."""
        return sorted(s for at, s, _, _ in self.ended if start <= at < end)

    def crossings(self, start=0.0, end=1e9):
        """Returns the number of calls by data centres, where they differ."""
        return collections.Counter(
            (here, there)
            for at, _, here, there in self.ended
            if start <= at < end and here != there
        )

    def crossing_share(self, here, start=0.0, end=1e9):
        """Returns the fraction of a data centre's attempts that left it."""
        sent = [
            t for at, h, t in self.attempts if h == here and start <= at < end
        ]
        return sum(there != here for there in sent) / max(1, len(sent))

    def load_of(self, data_centre):
        """Returns the load of a data centre's upstreams now."""
        doors = [
            d
            for d in self.doors.values()
            if d.upstream.data_centre == data_centre
        ]
        return sum(d.load * d.upstream.slots for d in doors) / sum(
            1000 * d.upstream.slots for d in doors
        )

    def busiest_to_mean(self):
        """Returns the ratio of slot use, busiest upstream to the mean."""
        use = [
            door.busy_seconds / door.upstream.slots
            for door in self.doors.values()
        ]
        return max(use) / (sum(use) / len(use))


def _record(upstream, index):
    address = model.Address(host="127.0.0.1", port=20000 + index)
    return model.NodeRecord(
        vm=upstream.vm,
        data_centre=upstream.data_centre,
        incarnation=1,
        counter=1,
        peer_address=address,
        ops_address=address,
        upstream=model.Upstream(
            service=SERVICE,
            address=address,
            slots=upstream.slots,
            connection_limit=100,
            state=model.UpstreamState.READY,
        ),
    )
