"""Judges promises by what callers and upstreams saw."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import math
import signal

from bench.soak import faults
from bench.soak import history
from bench.soak import model
from bench.soak import operators
from bench.soak import part_checks

# Faults after which a process need not end as planned.
UNPLANNED = (faults.Kill, faults.LoseDisk, faults.Pause, faults.RefuseWrites)
MAX_SHARE_OFF = 0.2  # by which a share may miss its weight


class Checker:
    """Collects observations and reports each broken promise once.

    Attributes:
      violations: The promises broken so far.
      counts: Number of observations by their class, of answers by their status.
      parts: What the parts of a plan promise.
      lateness: For each node, and each version since the first probe.
    """

    def __init__(
        self,
        *,
        bounds: model.Bounds | None = None,
        on_violation: Callable[[model.Violation], None] = lambda _: None,
    ) -> None:
        self._bounds = bounds or model.Bounds()
        self._history = history.History(self._bounds)
        self.parts = part_checks.PartChecks(
            history=self._history, on_break=self._break
        )
        self._on_violation = on_violation
        self._sent: dict[str, model.Sent] = {}
        self._runs: dict[str, list[model.Ran]] = {}
        self._answers: dict[str, model.Answered] = {}
        self._unjudged: list[model.Closed] = []
        self._started: dict[str, float] = {}
        self._proposed: dict[int, model.Proposed] = {}
        self._acknowledged: dict[int, float] = {}
        self._withdrawn: dict[str, float] = {}
        # When the sign-off of each upstream that has left was acknowledged.
        self._signed_off: dict[str, float] = {}
        self._served: dict[str, float] = {}  # time of the last answer
        self._seen: dict[str, tuple[int, float]] = {}
        # By node and version, the acknowledged ones that were seen in force.
        self._in_force: set[tuple[str, int]] = set()
        self._probed_since = math.inf
        self.lateness: list[model.Lateness] = []
        self.violations: list[model.Violation] = []
        self.counts: dict[str, int] = {}

    def add(self, observation: model.Observation) -> None:
        """Takes in an observation and judges what it shows at once."""
        name = type(observation).__name__
        if isinstance(observation, model.Answered):
            name = str(observation.status)
        self.counts[name] = self.counts.get(name, 0) + 1
        self.parts.add(observation)
        match observation:
            case model.Sent():
                self._sent[observation.request_id] = observation
            case model.Answered():
                self._answers[observation.request_id] = observation
                self._judge_answer(observation)
            case model.Closed():
                self._unjudged.append(observation)
            case model.GaveUp():
                self._judge_given_up(observation)
            case model.Unasked(vm=vm, at=at, data=data):
                self._break("MIXED", at, "", vm, f"bytes not due: {data!r}")
            case model.Ran():
                self._judge_run(observation)
            case model.SignedOff(vm=vm, at=at):
                self._signed_off[vm] = at
            case model.UpstreamStarted(vm=vm):
                self._signed_off.pop(vm, None)
            case model.Proposed():
                self._proposed[observation.version] = observation
            case model.Acknowledged(version=version, at=at):
                self._acknowledge(version, at)
            case model.Refused(version=version, at=at, status=status):
                self._break(
                    "CONFIG", at, "", "", f"r{version} refused: {status}"
                )
            case model.Probed():
                self._judge_probe(observation)
            case model.Read(vm=vm, at=at, version=version):
                due = self._newest_acknowledged(at - self._bounds.apply)
                if version < due:
                    self._break(
                        "CONFIG", at, "", vm, f"read r{version}, not r{due}"
                    )
            case model.FaultBegan():
                self._history.begin(observation)
            case model.FaultEnded(number=number, at=at):
                self._history.end(number, at)
            case model.Started(vm=vm, at=at):
                self._started[vm] = at
                self._seen.pop(vm, None)
            case model.Exited():
                self._judge_exit(observation)

    def expect_loss_of_core(self) -> None:
        """Allows twice the time to get in touch, as after a final fault."""
        self._history.contact = 2 * self._bounds.contact

    def judge_closed(self, now: float) -> None:
        """Judges the connections that closed early, once it is clear.

        An upstream may begin with a request after its caller lost it; what
        closed less than the settle time before `now` waits.
        """
        self.parts.judge_cold(now)
        waiting = []
        for closed in self._unjudged:
            if now - closed.at > self._bounds.settle:
                self._judge_closed(closed)
            else:
                waiting.append(closed)
        self._unjudged = waiting

    def judge_end(
        self,
        now: float,
        versions: Mapping[str, int],
        late: Collection[str] = (),
    ) -> None:
        """Judges what was there when the time to recover had passed.

        Args:
          now: The time.
          versions: Version that each control has told; 0 if none.
          late: VMs of nodes that are not ready, and the operator if a change
            is not acknowledged.
        """
        due = self._newest_acknowledged(now)
        for vm, version in versions.items():
            if version < due:
                detail = f"r{version} at the end, not r{due}"
                self._break("LOST", now, "", vm, detail)
        for vm in sorted(late):
            self._break("RECOVER", now, "", vm, "not recovered in time")

    def runs_of(self, host: str, since: float) -> list[model.Ran]:
        """Returns the first runs of the requests for a host sent since."""
        return [
            runs[0]
            for request_id, runs in self._runs.items()
            if runs
            and request_id in self._sent
            and self._sent[request_id].host == host
            and self._sent[request_id].at >= since
        ]

    def judge_shares(
        self,
        host: str,
        since: float,
        services: Mapping[str, str],
        weights: Mapping[str, int],
    ) -> None:
        """Judges the shares of the services of a host's route.

        Args:
          host: Its host.
          since: When the weights were in force, without a fault since.
          services: Service by VM.
          weights: Weight by service.
        """
        runs = self.runs_of(host, since)
        for service, weight in weights.items():
            count = sum(services[run.vm] == service for run in runs)
            share = count / max(1, len(runs))
            due = weight / sum(weights.values())
            if abs(share - due) > MAX_SHARE_OFF:
                detail = f"{share:.2f} of {len(runs)} requests, not {due:.2f}"
                self._break("CONFIG", since, "", service, detail)

    def _break(
        self, rule: str, at: float, request_id: str, node: str, detail: str
    ) -> None:
        violation = model.Violation(
            rule=rule, at=at, request_id=request_id, node=node, detail=detail
        )
        self.violations.append(violation)
        self._on_violation(violation)

    # --- requests ------------------------------------------------------------

    def _judge_run(self, run: model.Ran) -> None:
        if run.request_id.startswith(operators.PROBE_ID):
            return
        sent = self._sent.get(run.request_id)
        runs = self._runs.setdefault(run.request_id, [])
        runs.append(run)
        if sent is None or (sent.target, sent.body) != (run.target, run.body):
            self._break("UNASKED", run.at, run.request_id, run.vm, run.target)
            return
        if len(runs) > 1 and not sent.idempotent:
            detail = f"ran at {[r.vm for r in runs]}"
            self._break("TWICE", run.at, run.request_id, sent.vm, detail)
        answer = self._answers.get(run.request_id)
        if answer and answer.status in model.REFUSALS:
            self._break_refused(sent, answer)
        left_at = self._signed_off.get(run.vm, math.inf)
        if (
            sent.at > left_at + self._bounds.drain
            and self._history.is_in_touch(sent.vm, sent.at, run.at)
            and self._history.is_in_touch(run.vm, sent.at, run.at)
        ):
            detail = f"{sent.at - left_at:.2f} s after the sign-off"
            self._break("DRAIN", run.at, run.request_id, run.vm, detail)
        withdrawn_at = self._withdrawn.get(sent.key, math.inf)
        if sent.at > withdrawn_at + self._bounds.revoke:
            detail = f"{sent.key} ran {sent.at - withdrawn_at:.2f} s too late"
            self._break("REVOKE", run.at, run.request_id, sent.vm, detail)

    def _break_refused(self, sent: model.Sent, answer: model.Answered) -> None:
        self._break(
            "REFUSED",
            answer.at,
            sent.request_id,
            sent.vm,
            f"status {answer.status}, "
            f"idempotent: {sent.idempotent}, "
            f"ran at {[run.vm for run in self._runs[sent.request_id]]}",
        )

    def _judge_answer(self, answer: model.Answered) -> None:
        sent = self._sent[answer.request_id]
        self._served[sent.vm] = answer.at
        runs = self._runs.get(answer.request_id, [])
        if answer.status in model.REFUSALS and runs:
            self._break_refused(sent, answer)
        if answer.answered_id not in ("", answer.request_id):
            self._break(
                "MIXED",
                answer.at,
                answer.request_id,
                sent.vm,
                f"answer to {answer.answered_id}",
            )
        elif answer.status == 200 and (
            answer.body != model.answer_body(sent.request_id, sent.size)
            or answer.signature
            not in {model.signature(sent.request_id, run.vm) for run in runs}
        ):
            self._break(
                "MIXED",
                answer.at,
                answer.request_id,
                sent.vm,
                f"{len(answer.body)} of {sent.size} bytes, signature "
                f"{answer.signature!r}, ran at {[run.vm for run in runs]}",
            )
        elif answer.status != 200 and answer.signature:
            self._break(
                "MIXED",
                answer.at,
                answer.request_id,
                sent.vm,
                f"status {answer.status} with {answer.signature!r}",
            )
        elif answer.status == 500:
            self._break(
                "FAULT", answer.at, answer.request_id, sent.vm, "internal error"
            )
        elif 400 <= answer.status < 500:
            self._judge_denial(sent, answer)

    def _judge_denial(self, sent: model.Sent, answer: model.Answered) -> None:
        """Judges a 4xx status of the node's own."""
        oldest = self._newest_acknowledged(sent.at - self._bounds.apply)
        allows = all(
            not sent.key or sent.key in proposed.keys
            for version, proposed in self._proposed.items()
            if version >= oldest
        )
        if (
            answer.status not in model.REFUSALS
            and allows
            and self._history.is_in_touch(sent.vm, sent.at, answer.at)
        ):
            detail = f"status {answer.status}, key {sent.key!r}"
            self._break("DENIED", answer.at, sent.request_id, sent.vm, detail)

    def _judge_given_up(self, given_up: model.GaveUp) -> None:
        sent = self._sent[given_up.request_id]
        since = sent.at - self._bounds.settle
        if not self._history.faults_at(sent.vm, since, given_up.at):
            self._break(
                "HELD",
                given_up.at,
                sent.request_id,
                sent.vm,
                f"no answer after {given_up.at - sent.at:.2f} s, ran at "
                f"{[run.vm for run in self._runs.get(sent.request_id, [])]}",
            )

    def _judge_closed(self, closed: model.Closed) -> None:
        sent = self._sent[closed.request_id]
        runs = self._runs.get(closed.request_id, [])
        if not runs:
            return
        settle = self._bounds.settle
        acting = self._history.faults_at(
            sent.vm, sent.at - settle, closed.at + 0.1
        )
        rule = "LOST"
        for fault in acting:
            match fault.fault:
                case faults.Kill() if fault.at <= closed.at + 0.1:
                    return
                case faults.Stop() if closed.at > fault.at + (
                    self._bounds.grace - self._bounds.grace_end
                ):
                    return
                case faults.Pause():
                    rule = "LOST_PAUSED"
        # The end of a cut answer must show that it is cut. With no byte of
        # it sent, the node has to answer whatever the upstream does.
        if closed.received and (
            closed.at - sent.at >= self._bounds.route_timeout
            or not all(self._is_sound(run, closed) for run in runs)
        ):
            return
        self._break(
            rule,
            closed.at,
            closed.request_id,
            sent.vm,
            f"use {sent.use} of its connection, which had rested "
            f"{sent.rested:.3f} s; {closed.received} bytes received "
            f"{closed.at - sent.at:.3f} s after it was sent, ran at "
            f"{[(run.vm, run.sound) for run in runs]}, faults "
            f"{[fault.fault for fault in acting]}",
        )

    def _is_sound(self, run: model.Ran, closed: model.Closed) -> bool:
        since = run.at - self._bounds.settle
        return run.sound and not self._history.faults_at(
            run.vm, since, closed.at
        )

    # --- configurations ------------------------------------------------------

    def _acknowledge(self, version: int, at: float) -> None:
        self._acknowledged[version] = at
        older = self._proposed.get(version - 1)
        if older is not None:
            for key in older.keys - self._proposed[version].keys:
                self._withdrawn[key] = at

    def _newest_acknowledged(self, by: float) -> int:
        return max(
            (v for v, at in self._acknowledged.items() if at <= by), default=0
        )

    def _judge_probe(self, probe: model.Probed) -> None:
        self._probed_since = min(self._probed_since, probe.at)
        seen, seen_at = self._seen.get(probe.vm, (0, math.inf))
        if probe.in_force:
            if probe.version > seen:
                self._seen[probe.vm] = probe.version, probe.answered_at
            self._count_lateness(probe)
            return
        if max(self._proposed) >= probe.version + operators.PROBED_VERSIONS:
            return  # a version that lacks the route may be in force
        if self._started.get(probe.vm, math.inf) > probe.at:
            return
        if (
            seen >= probe.version
            and probe.at > seen_at + self._bounds.rollback_slack
        ):
            self._break(
                "CONFIG", probe.at, "", probe.vm, f"r{seen} is no more in force"
            )
        age = probe.at - self._acknowledged[probe.version]
        span = probe.vm, probe.at, probe.answered_at
        skew = self._bounds.skew
        if (age > self._bounds.apply and self._history.is_in_touch(*span)) or (
            age > self._bounds.apply + skew
            and self._history.has_only_cuts(*span)
        ):
            self._break(
                "CONFIG",
                probe.at,
                "",
                probe.vm,
                f"r{probe.version} not in force {age:.2f} s after its ack",
            )

    def _count_lateness(self, probe: model.Probed) -> None:
        for version, acknowledged_at in self._acknowledged.items():
            if (
                version <= probe.version
                and acknowledged_at > self._probed_since
                and (probe.vm, version) not in self._in_force
            ):
                self._in_force.add((probe.vm, version))
                lateness = model.Lateness(
                    seconds=probe.answered_at - acknowledged_at,
                    vm=probe.vm,
                    version=version,
                )
                self.lateness.append(lateness)

    # --- processes -----------------------------------------------------------

    def _judge_exit(self, exited: model.Exited) -> None:
        if not exited.told:
            detail = f"exit {exited.status}"
            self._break("FAULT", exited.at, "", exited.vm, detail)
            return
        for fault in self._history.faults_at(exited.vm, exited.at, exited.at):
            match fault.fault:
                case faults.Stop() if not any(
                    isinstance(other.fault, UNPLANNED)
                    for other in self._history.faults_at(
                        exited.vm, fault.at, exited.at
                    )
                ):
                    took = exited.at - fault.at
                    # A process that has just started may not handle signals.
                    is_new = (
                        self._served.get(exited.vm, -1.0)
                        < (self._started[exited.vm])
                    )
                    if took > self._bounds.grace or not (
                        exited.status == 0
                        or (is_new and exited.status == -signal.SIGTERM)
                    ):
                        self._break(
                            "DRAIN",
                            exited.at,
                            "",
                            exited.vm,
                            f"exit {exited.status} {took:.2f} s after SIGTERM",
                        )
