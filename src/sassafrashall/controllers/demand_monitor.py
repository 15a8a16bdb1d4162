"""Measures what enters the fleet at this node, and what its upstream costs."""

from __future__ import annotations

import collections
from typing import Any
from typing import TypeAlias

from sassafrashall import clock
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import task
from sassafrashall.decisions import demand

# Seconds in which the weight of an observation halves.
ROOTS_HALF_LIFE = 2.0
RUNS_HALF_LIFE = 6.0
# A loss of capacity must show within the interval of two reports.
OUTCOMES_HALF_LIFE = 0.5
MIN_WEIGHT = 0.01  # weight below which an observation is dropped
CALLS_KEPT = 256  # calls on one route from which rates are estimated
CALLS_KEPT_FOR = 20.0  # seconds
ESTIMATION_STEPS = 2  # for each report


_Kind: TypeAlias = tuple[str, str]  # the route and the service of a run


class _Runs:
    """The observed runs of one kind at the local upstream."""

    def __init__(self, *, now: float) -> None:
        self.in_progress = 0
        # Runs in progress by the class of their root.
        self._urgencies = [0] * len(model.Priority)
        self.started = 0.0
        self.ended = 0.0
        self.refused = 0.0
        self.busy_s = 0.0
        self.calls: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self.exposure_s = 0.0
        self._exposed_at = now

    @property
    def urgencies(self) -> list[model.Priority]:
        """The classes of the roots of the runs in progress."""
        return [p for p in model.Priority if self._urgencies[p]]

    def begin(self, urgency: model.Priority, now: float) -> None:
        """Counts a run that begins."""
        self.expose(now)
        self.in_progress += 1
        self.started += 1
        self._urgencies[urgency] += 1

    def end(
        self,
        urgency: model.Priority,
        seconds: float,
        now: float,
        *,
        refused: bool,
    ) -> None:
        """Counts the end of a run, which held a slot for `seconds`."""
        self.expose(now)
        self.in_progress = max(0, self.in_progress - 1)
        self.ended += 1
        self.refused += refused
        self.busy_s += seconds
        self._urgencies[urgency] = max(0, self._urgencies[urgency] - 1)

    def expose(self, now: float) -> None:
        """Adds the time for which runs have been in progress."""
        self.exposure_s += self.in_progress * (now - self._exposed_at)
        self._exposed_at = now

    def decay(self, factor: float) -> None:
        """Multiplies the weight of all observations by `factor`."""
        self.started *= factor
        self.ended *= factor
        self.refused *= factor
        self.busy_s *= factor
        for route, count in list(self.calls.items()):
            if count > MIN_WEIGHT:
                self.calls[route] = factor * count
            else:
                del self.calls[route]


class _ObservedCalls:
    """The calls of the local upstream on one route.

    The latest are kept with their time, the runs in progress, and the exposure
    of each kind of run by then.
    """

    def __init__(self, *, route: str) -> None:
        self._route = route
        self.rates: dict[_Kind, float] = {}
        self._calls: collections.deque[
            tuple[float, demand.InProgress[_Kind], dict[_Kind, float]]
        ] = collections.deque(maxlen=CALLS_KEPT)

    @property
    def is_empty(self) -> bool:
        """Whether no recent call is known."""
        return not self._calls

    def add(self, runs: dict[_Kind, _Runs], now: float) -> None:
        """Adds a call that is made now."""
        in_progress = tuple(
            (kind, run.in_progress)
            for kind, run in runs.items()
            if run.in_progress
        )
        exposures = {kind: run.exposure_s for kind, run in runs.items()}
        self._calls.append((now, in_progress, exposures))
        fractions = demand.attribute_call(in_progress, self.rates)
        for kind, fraction in fractions.items():
            runs[kind].calls[self._route] += fraction

    def estimate_rates(self, runs: dict[_Kind, _Runs], now: float) -> None:
        """Updates the rates by what has been observed since."""
        while self._calls and now - self._calls[0][0] > CALLS_KEPT_FOR:
            self._calls.popleft()
        if not self._calls:
            return
        exposed_before = self._calls[0][2]
        exposures = {
            kind: run.exposure_s - exposed_before.get(kind, 0.0)
            for kind, run in runs.items()
        }
        calls = [in_progress for _, in_progress, _ in self._calls]
        for _ in range(ESTIMATION_STEPS):
            self.rates = demand.attribute_calls(calls, exposures, self.rates)


class _Outcomes:
    """Outcomes of nested calls per second; recent ones weigh most."""

    def __init__(self) -> None:
        self._new: collections.Counter[str] = collections.Counter()
        self._counts: dict[str, float] = {}
        self._seconds = 0.0

    def rates(self) -> dict[str, float]:
        """Returns the rates by service, as of the last update."""
        seconds = max(self._seconds, 1e-3)
        return {
            service: round(count / seconds, 2)
            for service, count in self._counts.items()
        }

    def count(self, service: str) -> None:
        """Counts a call to a service."""
        self._new[service] += 1

    def update(self, elapsed: float) -> None:
        """Takes in what was counted within the last `elapsed` seconds."""
        factor = 0.5 ** (elapsed / OUTCOMES_HALF_LIFE)
        self._seconds = self._seconds * factor + elapsed
        counts = {
            service: factor * self._counts.get(service, 0.0)
            + self._new[service]
            for service in {**self._new, **self._counts}
        }
        self._counts = {
            service: count
            for service, count in counts.items()
            if count > MIN_WEIGHT
        }
        self._new.clear()


class DemandMonitor(task.Controller):
    """Owns the counts behind the demand that this node reports."""

    def __init__(
        self,
        *,
        local_upstream: mailbox.Published[model.Upstream | None],
        usable_slots: mailbox.Published[int],
    ) -> None:
        """Creates the monitor.

        Args:
          local_upstream: The upstream on this VM, as last announced.
          usable_slots: How many of its slots requests may take now.
        """
        super().__init__()
        self._local_upstream = local_upstream
        self._usable_slots = usable_slots
        self._upstream_calls = mailbox.Published[bool](initial=False)
        self._runs: dict[_Kind, _Runs] = {}
        self._calls: dict[str, _ObservedCalls] = {}
        # Root requests by route and priority class: those since the last
        # report, and those before, whose weight decays.
        self._new_roots: dict[str, list[float]] = {}
        self._roots: dict[str, list[float]] = {}
        self._roots_seconds = 0.0
        self._completions = _Outcomes()  # at the local upstream
        self._sheds = _Outcomes()  # of calls that the local upstream made
        self._reported_at = clock.monotonic()

    @property
    def upstream_calls(self) -> mailbox.Published[bool]:
        """Whether the local upstream has made calls lately."""
        return self._upstream_calls

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        now = clock.monotonic()
        match message:
            case messages.RootArrived():
                counts = self._new_roots.setdefault(
                    message.route, [0.0] * len(model.Priority)
                )
                counts[message.priority] += message.weight
            case messages.RunStarted(route=route, service=service):
                runs = self._runs_of((route, service), now)
                runs.begin(message.urgency, now)
            case messages.RunEnded(route=route, service=service):
                runs = self._runs_of((route, service), now)
                runs.end(
                    message.urgency,
                    message.seconds,
                    now,
                    refused=message.refused,
                )
                if message.completed:
                    self._completions.count(service)
            case messages.CallRejected(service=service):
                self._sheds.count(service)
            case messages.UpstreamCalled(route=route):
                self._expose_all(now)
                self._upstream_calls.publish(True)
                calls = self._calls.get(route)
                if calls is None:
                    calls = self._calls[route] = _ObservedCalls(route=route)
                calls.add(self._runs, now)
                reply.put(self._urgency_of_call(route))
            case messages.ReadDemand():
                self._update(now)
                reply.put(self._current_demand())

    def _urgency_of_call(self, route: str) -> model.Priority | None:
        return demand.most_urgent(
            runs.urgencies
            for runs in self._runs.values()
            if runs.in_progress
            and demand.may_call(runs.started, runs.calls.get(route, 0.0))
        )

    def _runs_of(self, kind: _Kind, now: float) -> _Runs:
        runs = self._runs.get(kind)
        if runs is None:
            runs = self._runs[kind] = _Runs(now=now)
        return runs

    def _expose_all(self, now: float) -> None:
        for runs in self._runs.values():
            runs.expose(now)

    def _update(self, now: float) -> None:
        """Estimates anew, with less weight for what is older."""
        self._expose_all(now)
        for route, calls in list(self._calls.items()):
            calls.estimate_rates(self._runs, now)
            if calls.is_empty:
                del self._calls[route]
        self._upstream_calls.publish(bool(self._calls))
        elapsed = max(0.0, now - self._reported_at)
        self._reported_at = now
        self._completions.update(elapsed)
        self._sheds.update(elapsed)
        runs_factor = 0.5 ** (elapsed / RUNS_HALF_LIFE)
        for kind, runs in list(self._runs.items()):
            runs.decay(runs_factor)
            if not runs.in_progress and runs.started < MIN_WEIGHT:
                del self._runs[kind]
        roots_factor = 0.5 ** (elapsed / ROOTS_HALF_LIFE)
        self._roots_seconds = self._roots_seconds * roots_factor + elapsed
        new_roots, self._new_roots = self._new_roots, {}
        nothing = [0.0] * len(model.Priority)
        self._roots = {
            route: [
                roots_factor * before + new
                for before, new in zip(
                    self._roots.get(route, nothing),
                    new_roots.get(route, nothing),
                    strict=True,
                )
            ]
            for route in {**self._roots, **new_roots}
            if route in new_roots or sum(self._roots[route]) > MIN_WEIGHT
        }

    def _current_demand(self) -> demand.Demand:
        seconds = max(self._roots_seconds, 1e-3)
        routes = [
            demand.RouteDemand(
                route=route,
                roots=tuple(round(count / seconds, 3) for count in counts),
            )
            for route, counts in self._roots.items()
        ]
        routes += [
            demand.RouteDemand(
                route=kind[0],
                service=kind[1],
                started=round(runs.started, 3),
                ended=round(runs.ended, 3),
                refused=round(runs.refused, 3),
                busy_s=round(runs.busy_s, 4),
                calls=tuple(
                    demand.Calls(route=route, count=round(count, 3))
                    for route, count in runs.calls.items()
                    if count > MIN_WEIGHT
                ),
            )
            for kind, runs in self._runs.items()
        ]
        upstream = self._local_upstream.value
        services: tuple[demand.ServiceSlots, ...] = ()
        if upstream is not None and upstream.state is model.UpstreamState.READY:
            services = (
                demand.ServiceSlots(
                    service=upstream.service,
                    slots=self._usable_slots.value,
                    busy=sum(
                        runs.in_progress
                        for kind, runs in self._runs.items()
                        if kind[1] == upstream.service
                    ),
                    completions=self._completions.rates().get(
                        upstream.service, 0.0
                    ),
                ),
            )
        return demand.Demand(
            routes=tuple(routes),
            services=services,
            sheds=tuple(
                demand.Sheds(service=service, per_second=rate)
                for service, rate in self._sheds.rates().items()
            ),
        )
