"""The node's membership of the fleet: heartbeats, directory, configuration."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import task
from sassafrashall.controllers import followed_upstream
from sassafrashall.controllers import held_configuration
from sassafrashall.controllers import load_meter
from sassafrashall.decisions import control_choice
from sassafrashall.decisions import control_survey
from sassafrashall.decisions import demand as demand_decisions
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import known_nodes
from sassafrashall.decisions import replication
from sassafrashall.decisions import route_table
from sassafrashall.decisions import spillover
from sassafrashall.decisions import tree_admission
from sassafrashall.decisions import upstream_runs
from sassafrashall.transport import codec

HEARTBEAT_INTERVAL = 1.0  # seconds
HEARTBEAT_TIMEOUT = 2.0  # seconds
# Seconds that the acknowledgement of a sign-off waits for it to be committed,
# before the controls are asked whether they have a leader.
SIGN_OFF_TIMEOUT = 0.4
# Seconds until a sign-off is refused. An upstream waits for 1 s.
SIGN_OFF_DEADLINE = 0.9
SURVEY_PAUSE = 0.1  # seconds until the controls are asked again
COMMIT_TIMEOUT = 3.0  # seconds for a control to commit, also without a leader
COMMIT_RETRY_PAUSE = 0.2  # seconds until a command is sent again
# Changes of the record that all controls are told, not only the one in use.
_TOLD_FIELDS = frozenset({"upstream", "signed_off", "leaving"})


@dataclasses.dataclass(frozen=True, kw_only=True)
class _HeartbeatReplied:
    """A control has answered a heartbeat.

    Attributes:
      reply: The answer.
      sent_at: When the heartbeat was sent, in monotonic seconds; the
        `proof_age` of the reply counts from then.
      record: The node's record in the heartbeat.
    """

    reply: protocol.HeartbeatReply
    sent_at: float
    record: model.NodeRecord


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SignOffCommitted:
    """A sign-off is in the log."""

    sign_off: model.SignOff


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SignOffsRead:
    """The log has told the sign-offs of before this process.

    Attributes:
      sign_offs: The latest last.
      complete_since: Monotonic seconds; those that were acknowledged after that
        are all in the log.
    """

    sign_offs: tuple[model.SignOff, ...]
    complete_since: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SignOffLeaderless:
    """A majority of the controls can't commit a sign-off.

    Attributes:
      waiting: The announcement that waits to be acknowledged.
    """

    waiting: _WaitingSignOff


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SignOffOverdue:
    """A sign-off was neither committed nor refused by the controls in time.

    Attributes:
      waiting: The announcement that waits to be acknowledged.
    """

    waiting: _WaitingSignOff


@dataclasses.dataclass(frozen=True, kw_only=True, eq=False)
class _WaitingSignOff:
    """An announcement that is to be acknowledged.

    Attributes:
      sign_off: What it says.
      reply: Gets the acknowledgement.
    """

    sign_off: model.SignOff
    reply: mailbox.Reply


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ComposeHeartbeat:
    """Asks for the next heartbeat; first expires a silent upstream.

    Attributes:
      demand: To be reported with it.
    """

    demand: demand_decisions.Demand | None


class NodeMembership(task.Controller):
    """Owns the node's record and its view of the fleet.

    Heartbeats send the record to a control and bring back changes of the view,
    which is published as snapshots.
    """

    def __init__(
        self,
        *,
        record: model.NodeRecord,
        link: mailbox.Mailbox,
        admission_level: mailbox.Published[int],
        event_log: events.EventLog,
        counters: metrics.Metrics,
        upstream: followed_upstream.FollowedUpstream | None = None,
        heartbeat_interval: float = HEARTBEAT_INTERVAL,
        demand_monitor: mailbox.Mailbox | None = None,
        upstream_load: mailbox.Published[int] | None = None,
    ) -> None:
        """Sets up an empty view.

        Args:
          record: The node's own record, without an upstream.
          link: Mailbox of the link to the controls.
          admission_level: The level of the local upstream, in thousandths; -1
            if there is none.
          event_log: Records changes of the upstream and the configuration.
          counters: The metrics of this process.
          upstream: Follows the upstream on this VM.
          heartbeat_interval: Seconds.
          demand_monitor: Mailbox of the task that measures the demand to
            report; None if it isn't measured.
          upstream_load: The load of the local upstream, in thousandths of its
            slots; None if it isn't measured.
        """
        super().__init__()
        self._heartbeat_interval = heartbeat_interval
        self._upstream = upstream or followed_upstream.FollowedUpstream()
        self._held = held_configuration.HeldConfiguration(event_log=event_log)
        self._load_meter = load_meter.LoadMeter(
            admission_level=admission_level,
            upstream_load=upstream_load,
            counters=counters,
        )
        self._controls_unreachable = False
        self._controls: tuple[replication.Member, ...] = ()
        self._record = record
        self._link = link
        self._events = event_log
        self._metrics = counters
        self._directory_source = ""
        self._directory_version = 0
        # By VM of the nodes that the last list lacked: when they are forgotten,
        # in monotonic seconds.
        self._unlisted: dict[str, float] = {}
        self._heartbeat_due = trio.Event()
        self._leave_replies: list[mailbox.Reply] = []
        self._waiting_sign_offs: list[_WaitingSignOff] = []
        # Those in the log, and those that are being committed.
        self._committed_sign_offs: tuple[model.SignOff, ...] = ()
        self._submitted_sign_offs: set[model.SignOff] = set()
        # The latest that the control in use knows.
        self._told_sign_off: model.SignOff | None = None
        # Whether the last call to read or commit sign-offs failed.
        self._sign_offs_fail = False
        self._demand_monitor = demand_monitor
        self._summary = mailbox.Published[spillover.Summary](
            initial=spillover.Summary()
        )
        self._route_levels = mailbox.Published[tree_admission.RouteLevels](
            initial=tree_admission.RouteLevels()
        )

    @property
    def view(self) -> mailbox.Published[model.NodeView]:
        """The fleet as this node sees it."""
        return self._held.view

    @property
    def local_upstream(self) -> mailbox.Published[model.Upstream | None]:
        """The upstream on this VM."""
        return self._upstream.published

    @property
    def table(self) -> mailbox.Published[route_table.RouteTable | None]:
        """The routes of the fleet configuration; None before the first."""
        return self._held.table

    @property
    def route_levels(self) -> mailbox.Published[tree_admission.RouteLevels]:
        """The admission levels of routes that the controls computed last."""
        return self._route_levels

    @property
    def summary(self) -> mailbox.Published[spillover.Summary]:
        """The loads of the services in each data centre, as told last."""
        return self._summary

    async def _setup(self) -> None:
        self._spawn(self._send_heartbeats)
        self._spawn(self._read_sign_offs)

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.Announce():
                self._on_announcement(message, reply)
            case _SignOffCommitted(sign_off=sign_off):
                self._note_committed(sign_off)
                self._acknowledge_sign_offs()
            case _SignOffLeaderless(waiting=waiting):
                self._on_sign_off_leaderless(waiting)
            case _SignOffOverdue(waiting=waiting):
                self._on_sign_off_overdue(waiting)
            case _SignOffsRead():
                for sign_off in message.sign_offs:
                    self._note_committed(sign_off)
                self._upstream.on_sign_offs_known(
                    message.sign_offs, message.complete_since
                )
                self._apply_upstream()
            case messages.Leave():
                self._update_record(leaving=True)
                self._leave_replies.append(reply)
            case _ComposeHeartbeat(demand=demand):
                self._upstream.expire(clock.monotonic())
                self._apply_upstream()
                reply.put(self._compose_heartbeat(demand))
            case _HeartbeatReplied():
                self._on_heartbeat_reply(message)
            case messages.ComposePing():
                record = self._record
                reply.put(
                    protocol.Ping(
                        vm=record.vm,
                        incarnation=record.incarnation,
                        counter=record.counter,
                    )
                )
            case messages.ConfigurationRead():
                self._on_configuration_read(message)
            case messages.ConfigurationConfirmed():
                self._held.confirm(message)

    def _on_announcement(
        self, message: messages.Announce, reply: mailbox.Reply
    ) -> None:
        self._upstream.on_announcement(message, clock.monotonic())
        self._apply_upstream()
        sign_off = self._upstream.sign_off_in(message)
        if sign_off is None:
            is_held_back = self._upstream.is_held_back
            reply.put(messages.Announced(is_held_back=is_held_back))
            return
        waiting = _WaitingSignOff(sign_off=sign_off, reply=reply)
        self._waiting_sign_offs.append(waiting)
        self._acknowledge_sign_offs()
        if not reply.done:
            self._spawn(self._limit_wait, waiting)
            self._start_commit(sign_off)

    def _start_commit(self, sign_off: model.SignOff) -> None:
        """Commits a sign-off, unless that is under way."""
        if sign_off not in self._submitted_sign_offs:
            self._submitted_sign_offs.add(sign_off)
            self._spawn(self._commit_sign_off, sign_off)

    def _note_committed(self, sign_off: model.SignOff) -> None:
        self._committed_sign_offs = upstream_runs.merge_sign_off(
            self._committed_sign_offs, sign_off
        )

    def _acknowledge_sign_offs(self) -> None:
        """Acknowledges sign-offs that are known wherever they have to be.

        The log keeps them, and the control in use tells the latest to the next
        process of this node if there is no leader then.
        """
        waiting_sign_offs, self._waiting_sign_offs = (
            self._waiting_sign_offs,
            [],
        )
        is_told = self._told_sign_off == self._record.signed_off
        for waiting in waiting_sign_offs:
            is_committed = any(
                upstream_runs.is_covered(waiting.sign_off, by=committed)
                for committed in self._committed_sign_offs
            )
            if is_committed and is_told:
                waiting.reply.put(messages.Announced(is_held_back=False))
            elif not waiting.reply.done:
                self._waiting_sign_offs.append(waiting)

    def _on_sign_off_leaderless(self, waiting: _WaitingSignOff) -> None:
        """Acknowledges a sign-off that is not committed.

        The next process of this node learns that there was no leader, and holds
        heartbeats back for as long as one of before may be late.
        """
        if not waiting.reply.done:
            logs.get().warning("sign-off acknowledged before it is committed")
            self._metrics.count("sign_offs_uncommitted")
        waiting.reply.put(messages.Announced(is_held_back=False))

    def _on_sign_off_overdue(self, waiting: _WaitingSignOff) -> None:
        if not waiting.reply.done:
            logs.get().warning("sign-off refused: it can't be committed now")
            self._metrics.count("sign_offs_refused")
        waiting.reply.fail(
            exceptions.RpcError("no majority of the controls has answered")
        )

    async def _read_sign_offs(self) -> None:
        """Reads what the process before this one has committed.

        It may have acknowledged more while there was no leader, until this one
        started. So the log is complete from when on there has been one.
        """
        started_at = clock.monotonic()
        sign_offs = await self._ask_for_sign_offs()
        while True:
            survey = messages.SurveyControls()
            steady_for = control_survey.steady_time(
                await self._link.ask(survey)
            )
            now = clock.monotonic()
            complete_since = min(started_at, now - steady_for)
            if now - complete_since >= upstream_runs.SUCCESSION_TIME:
                break
            await trio.sleep(COMMIT_RETRY_PAUSE)
        self.mailbox.tell(
            _SignOffsRead(sign_offs=sign_offs, complete_since=complete_since)
        )

    async def _ask_for_sign_offs(self) -> tuple[model.SignOff, ...]:
        query = protocol.SignOffQuery(vm=self._record.vm)
        while True:
            match await self._ask_controls(query):
                case protocol.SignOffReply(sign_offs=sign_offs):
                    return sign_offs
            await trio.sleep(COMMIT_RETRY_PAUSE)

    async def _commit_sign_off(self, sign_off: model.SignOff) -> None:
        """Commits a sign-off, unless a later one takes its place before."""
        command = fleet_commands.RecordSignOff(
            vm=self._record.vm, sign_off=sign_off
        )
        submit = protocol.SubmitCommand(command=codec.encode(command))
        while self._upstream.holds(sign_off):
            match await self._ask_controls(submit):
                case protocol.CommandResult():
                    self.mailbox.tell(_SignOffCommitted(sign_off=sign_off))
                    break
            await trio.sleep(COMMIT_RETRY_PAUSE)
        self._submitted_sign_offs.discard(sign_off)

    async def _ask_controls(
        self, message: protocol.SignOffQuery | protocol.SubmitCommand
    ) -> protocol.SignOffReply | protocol.CommandResult | None:
        """Returns the answer, or None if none came in time."""
        call = messages.AskControls(message=message, timeout=COMMIT_TIMEOUT)
        try:
            answer = await self._link.ask(call)
        except exceptions.SassafrashallError as error:
            self._metrics.count("sign_off_calls_failed")
            if not self._sign_offs_fail:
                logs.get().warning(
                    "no control reads or commits sign-offs",
                    extra={"reason": str(error)},
                )
            self._sign_offs_fail = True
            return None
        self._sign_offs_fail = False
        return answer

    def _apply_upstream(self) -> None:
        """Publishes and records what differs from the beliefs before."""
        self._set_upstream(self._upstream.upstream)
        sign_off = self._upstream.sign_off
        if sign_off != self._record.signed_off:
            self._update_record(signed_off=sign_off)

    async def _limit_wait(self, waiting: _WaitingSignOff) -> None:
        """Ends the wait for a commit before the upstream gives up."""
        await trio.sleep(SIGN_OFF_TIMEOUT)
        with trio.move_on_after(SIGN_OFF_DEADLINE - SIGN_OFF_TIMEOUT):
            while not waiting.reply.done:
                if await self._is_leaderless(waiting.sign_off):
                    self.mailbox.tell(_SignOffLeaderless(waiting=waiting))
                    return
                await trio.sleep(SURVEY_PAUSE)
        self.mailbox.tell(_SignOffOverdue(waiting=waiting))

    async def _is_leaderless(self, sign_off: model.SignOff) -> bool:
        """Returns whether no control can commit a sign-off, for certain.

        Controls that run keep it in the node's record. A node that has just
        started does not know enough to rely on their answers.
        """
        record = self._record
        if record.signed_off != sign_off or not self._upstream.sign_offs_known:
            return False
        survey = messages.SurveyControls(record=record)
        return control_survey.is_leaderless(await self._link.ask(survey))

    def _set_upstream(self, upstream: model.Upstream | None) -> None:
        if upstream == self._record.upstream:
            return
        previous = self._record.upstream
        self._update_record(upstream=upstream)
        self._upstream.published.publish(upstream)
        state = upstream.state if upstream else "gone"
        if (previous.state if previous else "gone") != state:
            self._events.record("upstream.state", detail=state)
            logs.get().info("upstream state changed", extra={"state": state})

    def _update_record(self, **changes: Any) -> None:
        self._record = dataclasses.replace(
            self._record, counter=self._record.counter + 1, **changes
        )
        self._heartbeat_due.set()
        if not changes.keys().isdisjoint(_TOLD_FIELDS):
            self._link.tell(
                messages.TellOtherControls(
                    message=protocol.RecordChanged(record=self._record)
                )
            )

    def _compose_heartbeat(
        self, demand: demand_decisions.Demand | None
    ) -> protocol.Heartbeat:
        return protocol.Heartbeat(
            record=self._record,
            directory_source=self._directory_source,
            directory_version=self._directory_version,
            withdrawn_count=len(self._held.view.value.configuration.withdrawn),
            load=self._load_meter.measure(),
            document_version=self._held.document_version,
            demand=demand,
        )

    async def _send_heartbeats(self) -> None:
        while True:
            self._heartbeat_due = trio.Event()
            sent_at = clock.monotonic()
            demand = (
                await self._demand_monitor.ask(messages.ReadDemand())
                if self._demand_monitor
                else None
            )
            heartbeat = await self.mailbox.ask(_ComposeHeartbeat(demand=demand))
            call = messages.CallControl(
                message=heartbeat, timeout=HEARTBEAT_TIMEOUT
            )
            try:
                answer = await self._link.ask(call)
                self.mailbox.tell(
                    _HeartbeatReplied(
                        reply=answer,
                        sent_at=sent_at,
                        record=heartbeat.record,
                    )
                )
                self._log_control_contact("")
            except exceptions.SassafrashallError as error:
                self._metrics.count("heartbeats_failed")
                self._log_control_contact(str(error))
            with trio.move_on_after(self._heartbeat_interval):
                await self._heartbeat_due.wait()

    def _log_control_contact(self, failure: str) -> None:
        """Logs when contact with the controls is lost or restored.

        Args:
          failure: Why the last heartbeat failed; empty if it did not.
        """
        if bool(failure) == self._controls_unreachable:
            return
        self._controls_unreachable = bool(failure)
        if failure:
            logs.get().warning(
                "lost contact with all controls", extra={"reason": failure}
            )
        else:
            logs.get().info("contact with the controls restored")

    def _on_heartbeat_reply(self, message: _HeartbeatReplied) -> None:
        answer = message.reply
        view = self._held.merge(answer, message.sent_at)
        self._route_levels.publish(
            tree_admission.RouteLevels(
                levels={level.route: level for level in answer.route_levels},
                received_at=clock.monotonic(),
            )
        )
        if not self._directory_source:
            self._outrank_record_before(answer)
        records, self._unlisted = known_nodes.merge(
            view.records,
            self._unlisted,
            ((entry.record, entry.lapsed) for entry in answer.entries),
            is_complete=answer.complete,
            now=clock.monotonic(),
        )
        self._publish_summary(answer, records)
        self._directory_source = answer.directory_source
        self._directory_version = answer.directory_version
        services = view.services
        if records is not view.records:
            services |= {
                r.upstream.service for r in records.values() if r.upstream
            }
        self._held.view.publish(
            dataclasses.replace(view, records=records, services=services)
        )
        self._report_revision(view.configuration.revision)
        if answer.controls and answer.controls != self._controls:
            self._controls = answer.controls
            self._link.tell(messages.ControlsKnown(members=answer.controls))
        if answer.majority_age >= control_choice.MIN_LEAVE_AGE:
            self._spawn(self._leave_stale_control, answer.majority_age)
        self._told_sign_off = message.record.signed_off
        self._acknowledge_sign_offs()
        self._restore_sign_off(message)
        if message.record.leaving:
            for reply in self._leave_replies:
                reply.put(None)
            self._leave_replies.clear()

    def _publish_summary(
        self,
        answer: protocol.HeartbeatReply,
        records: dict[str, model.NodeRecord],
    ) -> None:
        """Publishes the loads and run times that a control told.

        Each control tells again only of the upstreams that it told of, so that
        another one never takes back what this one told.
        """
        told_before = (
            self._summary.value.relative_times
            if answer.directory_source == self._directory_source
            else {}
        )
        relative_times = {**told_before, **answer.relative_times}
        self._summary.publish(
            spillover.summarize(
                answer.rooms,
                clock.monotonic(),
                {
                    vm: relative_time
                    for vm, relative_time in relative_times.items()
                    if vm in records
                },
            )
        )

    def _restore_sign_off(self, message: _HeartbeatReplied) -> None:
        """Takes in the sign-off that a control knows of the process before.

        A control that is cut off from the log knows all that matters if that
        process used it.
        """
        answer = message.reply
        if message.record.signed_off or self._record.signed_off:
            return
        known = (answer.signed_off,) if answer.signed_off is not None else ()
        is_cut_off = answer.majority_age >= control_choice.MIN_LEAVE_AGE
        if is_cut_off and answer.was_in_use:
            self._upstream.on_sign_offs_known(known)
        else:
            for sign_off in known:
                self._upstream.restore_sign_off(sign_off)
                self._start_commit(sign_off)
        self._apply_upstream()

    def _on_configuration_read(
        self, message: messages.ConfigurationRead
    ) -> None:
        view = self._held.merge(message.reply, message.sent_at)
        self._held.view.publish(view)
        self._report_revision(view.configuration.revision)

    async def _leave_stale_control(self, majority_age: float) -> None:
        """Looks for a control with a majority, and asks it for what is new."""
        stale = messages.ControlIsStale(majority_age=majority_age)
        try:
            if await self._link.ask(stale):
                self._heartbeat_due.set()
        except exceptions.MailboxClosedError:
            pass  # The process is stopping.

    def _report_revision(self, revision: int) -> None:
        if revision == self._record.configuration_revision:
            return
        self._events.record("configuration.applied", detail=str(revision))
        # The next heartbeat, sent at once, reports the applied revision.
        self._update_record(configuration_revision=revision)

    def _outrank_record_before(self, answer: protocol.HeartbeatReply) -> None:
        """Raises the incarnation above that of the process before this one.

        It is the time of the start, and the clock may have been set back since;
        controls ignore a record whose incarnation is not the highest.
        """
        for entry in answer.entries:
            known = entry.record
            if (
                known.vm == self._record.vm
                and known.incarnation > self._record.incarnation
            ):
                logs.get().warning(
                    "the clock was set back since this node ran before",
                    extra={
                        "incarnation": self._record.incarnation,
                        "incarnation_before": known.incarnation,
                    },
                )
                self._update_record(incarnation=known.incarnation + 1)
