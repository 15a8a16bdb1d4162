"""Judges what the parts of a plan promise, see `parts.PARTS`."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import math
import operator

from bench.soak import faults
from bench.soak import history as histories
from bench.soak import model

COLD_BOUND = (
    model.COLD_PER_S * model.COLD_OVERAGE + model.COLD_SLACK
)  # requests that a cold upstream may get in any second
# Seconds of sends that a node counts. What is read up to 0.1 s late is within
# the bound of one such window, too.
SEND_WINDOW = 1.1
# Bytes of a body above which a request may arrive long after it was sent.
MAX_BODY = 1000
# Answers at nodes of an evacuated data centre of which one must be a response.
MIN_ANSWERS = 20
MINORITY = 1  # controls of three that may have a fault while nodes have contact


class PartChecks:
    """Knows the evacuations in force and what reaches cold upstreams.

    Attributes:
      history: When faults acted.
    """

    def __init__(
        self,
        *,
        history: histories.History,
        on_break: Callable[[str, float, str, str, str], None],
    ) -> None:
        """Creates the checks.

        Args:
          history: See the attribute.
          on_break: Called with the rule, time, request id, VM and detail of
            each broken promise.
        """
        self.history = history
        self._break = on_break
        self._evacuated: dict[str, model.Evacuated] = {}
        self._arrivals: dict[tuple[str, float], list[model.ColdArrival]] = {}
        self._late: list[model.RanLate] = []
        self._proposed: dict[int, float] = {}
        self._started: list[float] = []  # when controls were started
        self._sent: dict[str, model.Sent] = {}
        self._answers: list[model.Answered] = []
        self._ran: dict[str, float] = {}  # time of the last run by upstream

    def add(self, observation: model.Observation) -> None:
        """Takes in what concerns the parts."""
        match observation:
            case model.Evacuated(data_centre=data_centre):
                self._evacuated[data_centre] = observation
            case model.ColdArrival(vm=vm, told_at=told_at):
                key = vm, told_at
                self._arrivals.setdefault(key, []).append(observation)
            case model.RanLate():
                self._late.append(observation)
            case model.EvacuationEnds():
                self._end_evacuation(observation)
            case model.Proposed(version=version, at=at):
                self._proposed[version] = at
            case model.Acknowledged(version=version, at=at):
                self._judge_acknowledgement(version, at)
            case model.Started(vm=vm, at=at) if vm.startswith("control"):
                self._started.append(at)
            case model.Sent(request_id=request_id):
                self._sent[request_id] = observation
            case model.Answered():
                self._answers.append(observation)
            case model.Ran(vm=vm, at=at):
                self._ran[vm] = at
                self._judge_run(observation)

    def has_run(self, vm: str, since: float) -> bool:
        """Returns whether an upstream has run a request since a time."""
        return self._ran.get(vm, -math.inf) > since

    def _end_evacuation(self, ends: model.EvacuationEnds) -> None:
        evacuated = self._evacuated.pop(ends.data_centre)
        since = evacuated.at + self.history.bounds.evacuation
        statuses = [
            answer.status
            for answer in self._answers
            if (sent := self._sent[answer.request_id]).vm in evacuated.vms
            and sent.at >= since
        ]
        if (
            len(statuses) >= MIN_ANSWERS
            and 200 not in statuses
            and not self.history.has_fault(evacuated.at, ends.at)
        ):
            detail = f"none of {len(statuses)} requests there was served"
            self._break("EVACUATION", ends.at, "", ends.data_centre, detail)

    def _judge_acknowledgement(self, version: int, at: float) -> None:
        """Judges the time that a change took while one disk may be full."""
        began = self._proposed[version]
        since = began - self.history.bounds.contact
        acting = self.history.controls_with_faults(since, at)
        if (
            at - began > self.history.bounds.ack
            and len(acting) <= MINORITY
            and all(
                isinstance(fault, faults.RefuseWrites)
                for fault in itertools.chain(*acting.values())
            )
            and all(started <= since for started in self._started)
        ):
            detail = f"r{version} acknowledged after {at - began:.2f} s"
            self._break("ACK", at, "", "", detail)

    def _judge_run(self, run: model.Ran) -> None:
        for evacuated in self._evacuated.values():
            age = run.at - evacuated.at
            if (
                run.vm in evacuated.vms
                and age > self.history.bounds.evacuation
                and len(run.body) <= MAX_BODY
                and self._must_know(run, evacuated)
            ):
                detail = f"ran {age:.2f} s after the evacuation"
                self._break(
                    "EVACUATION", run.at, run.request_id, run.vm, detail
                )

    def _must_know(self, run: model.Ran, evacuated: model.Evacuated) -> bool:
        """Whether the node beside an upstream must know of the evacuation.

        It has contact unless several controls, or their links to nodes, have a
        fault. A node that starts or wakes needs contact again.
        """
        bounds = self.history.bounds
        own = self.history.faults_at(run.vm, evacuated.at, run.at)
        if any(isinstance(f.fault, faults.CutDataCentre) for f in own):
            return False
        recent = self.history.faults_at(run.vm, run.at - bounds.settle, run.at)
        if any(isinstance(f.fault, faults.DisturbLink) for f in recent):
            return False  # It may have been held on its way.
        until = run.at if own else evacuated.at + bounds.evacuation
        since = evacuated.at - bounds.contact
        return len(self.history.controls_with_faults(since, until)) <= MINORITY

    def judge_cold(self, now: float) -> None:
        """Judges the seconds in which cold upstreams got requests.

        What arrived less than a second before `now` waits for later arrivals.
        """
        for key, arrivals in list(self._arrivals.items()):
            if now - arrivals[-1].at < 1.0:
                continue
            del self._arrivals[key]
            counts = [
                self._count_second(arrivals, index)
                for index in range(len(arrivals))
            ]
            excess, first, count = max(
                (
                    (count - self._bound_of_second(first), first, count)
                    for first, count in zip(arrivals, counts, strict=True)
                ),
                key=operator.itemgetter(0),
            )
            if excess > 0:
                detail = f"{count} requests in a second while cold"
                self._break("COLD", first.at, "", first.vm, detail)

    def _bound_of_second(self, first: model.ColdArrival) -> float:
        """Returns how many requests may arrive in the second from one on."""
        sent_within = 1 + self._delay_around(first)
        return math.ceil(sent_within / SEND_WINDOW) * COLD_BOUND

    def _delay_around(self, first: model.ColdArrival) -> float:
        """Returns how late what arrived within a second may have been read."""
        return max(
            (
                late.seconds
                for late in self._late
                if first.at - late.seconds
                <= late.at
                <= first.at + 1 + late.seconds
            ),
            default=0.0,
        )

    def _count_second(
        self, arrivals: list[model.ColdArrival], index: int
    ) -> int:
        """Counts what arrived in the second from an arrival on.

        It is 0 if they may have been sent over an unknown time, or before the
        node knew that the upstream is cold.
        """
        first = arrivals[index]
        span = first.vm, first.at - self.history.bounds.settle, first.at + 1
        if first.at < first.told_at + self._delay_around(first):
            return 0
        if any(
            isinstance(fault.fault, faults.DisturbLink)
            for fault in self.history.faults_at(*span)
        ):
            return 0
        if first.is_assumed and not self.history.is_in_touch(*span):
            return 0
        return sum(
            1
            for _ in itertools.takewhile(
                lambda arrival: arrival.at < first.at + 1, arrivals[index:]
            )
        )
