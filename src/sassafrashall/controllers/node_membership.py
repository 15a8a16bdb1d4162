"""The node's membership of the fleet: heartbeats, directory, configuration."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import configuration
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import task
from sassafrashall.decisions import cold_rate
from sassafrashall.decisions import control_choice
from sassafrashall.decisions import demand as demand_decisions
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import replication
from sassafrashall.decisions import route_table
from sassafrashall.decisions import shedding
from sassafrashall.decisions import spillover
from sassafrashall.decisions import tree_admission
from sassafrashall.decisions import upstream_runs

HEARTBEAT_INTERVAL = 1.0  # seconds
HEARTBEAT_TIMEOUT = 2.0  # seconds
ANNOUNCEMENT_TTL = 3.0  # seconds until a silent upstream counts as gone
# Seconds for which nodes stay known that the list of another control lacks. A
# control that has just started hears of all nodes within this time.
UNLISTED_TTL = 3.0
# Seconds that the acknowledgement of a sign-off waits for a control to know it.
SIGN_OFF_TIMEOUT = 0.4
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
class _SignOffOverdue:
    """No control has answered in time that it knows a sign-off.

    Attributes:
      reply: The acknowledgement that waits for it.
    """

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
        announcement_ttl: float = ANNOUNCEMENT_TTL,
        heartbeat_interval: float = HEARTBEAT_INTERVAL,
        local_upstream: mailbox.Published[model.Upstream | None] | None = None,
        demand_monitor: mailbox.Mailbox | None = None,
        cold_heartbeat: mailbox.Published[cold_rate.Heartbeat | None]
        | None = None,
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
          announcement_ttl: Seconds without an announcement after which the
            upstream counts as gone.
          heartbeat_interval: Seconds.
          local_upstream: Where the upstream on this VM is published.
          demand_monitor: Mailbox of the task that measures the demand to
            report; None if it isn't measured.
          cold_heartbeat: Where the newest heartbeat of the upstream is
            published, for the bound of a cold one.
          upstream_load: The load of the local upstream, in thousandths of its
            slots; None if it isn't measured.
        """
        super().__init__()
        self._announcement_ttl = announcement_ttl
        self._heartbeat_interval = heartbeat_interval
        self._runs = upstream_runs.State()
        self._controls_unreachable = False
        self._controls: tuple[replication.Member, ...] = ()
        self._published_table = mailbox.Published[
            route_table.RouteTable | None
        ](initial=None)
        self._record = record
        self._admission_level = admission_level
        self._link = link
        self._events = event_log
        self._metrics = counters
        self._directory_source = ""
        self._directory_version = 0
        # By VM of the nodes that the last list lacked: when they are forgotten,
        # in monotonic seconds.
        self._unlisted: dict[str, float] = {}
        self._reported_shed = 0.0
        self._load_measured_at = clock.monotonic()
        self._heartbeat_due = trio.Event()
        self._leave_replies: list[mailbox.Reply] = []
        self._sign_off_replies: list[mailbox.Reply] = []
        self._view = mailbox.Published[model.NodeView](initial=model.NodeView())
        self._local_upstream = local_upstream or mailbox.Published[
            model.Upstream | None
        ](initial=None)
        self._demand_monitor = demand_monitor
        self._cold_heartbeat = cold_heartbeat
        self._upstream_load = upstream_load
        self._summary = mailbox.Published[spillover.Summary](
            initial=spillover.Summary()
        )
        self._route_levels = mailbox.Published[tree_admission.RouteLevels](
            initial=tree_admission.RouteLevels()
        )

    @property
    def view(self) -> mailbox.Published[model.NodeView]:
        """The fleet as this node sees it."""
        return self._view

    @property
    def local_upstream(self) -> mailbox.Published[model.Upstream | None]:
        """The upstream on this VM."""
        return self._local_upstream

    @property
    def table(self) -> mailbox.Published[route_table.RouteTable | None]:
        """The routes of the fleet configuration; None before the first."""
        return self._published_table

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

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.Announce():
                signed_off_before = self._record.signed_off
                self._on_announcement(message)
                if self._record.signed_off == signed_off_before:
                    reply.put(None)
                else:
                    self._sign_off_replies.append(reply)
                    self._spawn(self._limit_wait, reply)
            case _SignOffOverdue(reply=waiting):
                waiting.put(None)
                self._sign_off_replies = [
                    r for r in self._sign_off_replies if not r.done
                ]
            case messages.Leave():
                self._update_record(leaving=True)
                self._leave_replies.append(reply)
            case _ComposeHeartbeat(demand=demand):
                self._apply_runs(
                    upstream_runs.on_check(
                        self._runs, self._announcement_ttl, clock.monotonic()
                    )
                )
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
                self._on_configuration_confirmed(message)

    def _on_announcement(self, message: messages.Announce) -> None:
        now = clock.monotonic()
        match message:
            case messages.Announce(upstream=None, incarnation=""):
                runs = upstream_runs.on_unnumbered(self._runs, None, now)
            case messages.Announce(upstream=None, incarnation=incarnation):
                runs = upstream_runs.on_sign_off(
                    self._runs, incarnation, clock.wall_ms()
                )
            case messages.Announce(upstream=upstream) if message.sequence < 0:
                runs = upstream_runs.on_unnumbered(self._runs, upstream, now)
            case messages.Announce(upstream=upstream):
                assert upstream is not None
                heartbeat = upstream_runs.Heartbeat(
                    run=upstream_runs.Run(
                        incarnation=message.incarnation,
                        started_ms=message.started_ms,
                    ),
                    sequence=message.sequence,
                    upstream=upstream,
                )
                runs = upstream_runs.on_heartbeat(self._runs, heartbeat, now)
                self._publish_cold(runs, message, now)
        self._apply_runs(runs)

    def _publish_cold(
        self, runs: upstream_runs.State, message: messages.Announce, now: float
    ) -> None:
        """Publishes a heartbeat, unless a newer one of its run was heard."""
        if self._cold_heartbeat is None or runs.run is None:
            return
        run = upstream_runs.Run(
            incarnation=message.incarnation, started_ms=message.started_ms
        )
        is_newest = run == runs.run and message.sequence == runs.sequence
        is_repeated = (
            run == self._runs.run and message.sequence == self._runs.sequence
        )
        # A run that is not believed yet may have taken the place of this one.
        is_doubtful = runs.successor is not None and run == runs.successor.run
        if is_doubtful or (is_newest and not is_repeated):
            self._cold_heartbeat.publish(
                cold_rate.Heartbeat(
                    run=(run.incarnation, run.started_ms),
                    sequence=message.sequence,
                    cold_remaining_s=message.cold_remaining_s,
                    heard_at=now,
                    is_doubtful=is_doubtful,
                )
            )

    def _apply_runs(self, runs: upstream_runs.State) -> None:
        """Publishes and records what differs from the beliefs before."""
        before, self._runs = self._runs, runs
        if runs.run != before.run and runs.run is not None:
            logs.get().info(
                "upstream run followed",
                extra={
                    "id": runs.run.incarnation,
                    "started_ms": runs.run.started_ms,
                },
            )
        if runs.successor is not None and (
            before.successor is None
            or runs.successor.run != before.successor.run
        ):
            logs.get().info(
                "heartbeat of an earlier run, or of one that signed off",
                extra={
                    "id": runs.successor.run.incarnation,
                    "started_ms": runs.successor.run.started_ms,
                    "sequence": runs.successor.sequence,
                },
            )
        self._set_upstream(runs.upstream)
        if runs.sign_off != self._record.signed_off:
            self._update_record(signed_off=runs.sign_off)

    async def _limit_wait(self, reply: mailbox.Reply) -> None:
        await trio.sleep(SIGN_OFF_TIMEOUT)
        self.mailbox.tell(_SignOffOverdue(reply=reply))

    def _set_upstream(self, upstream: model.Upstream | None) -> None:
        if upstream == self._record.upstream:
            return
        previous = self._record.upstream
        self._update_record(upstream=upstream)
        self._local_upstream.publish(upstream)
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
            withdrawn_count=len(self._view.value.configuration.withdrawn),
            load=self._measure_load(),
            document_version=self._document_version(),
            demand=demand,
        )

    def _document_version(self) -> int:
        table = self._published_table.value
        return table.document.version if table else 0

    def _measure_load(self) -> model.NodeLoad:
        """Returns the admission level and the shed rate since the last call."""
        now = clock.monotonic()
        shed = self._metrics.total("shed") + self._metrics.total("shed_early")
        rate = (shed - self._reported_shed) / max(
            0.1, now - self._load_measured_at
        )
        self._reported_shed, self._load_measured_at = shed, now
        level = self._admission_level.value
        return model.NodeLoad(
            level=shedding.ADMIT_ALL_LEVEL
            if level < 0
            else level / shedding.LEVEL_SCALE,
            shed_per_second=round(rate, 1),
            load=self._upstream_load.value if self._upstream_load else -1,
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
        view = self._merge_configuration(answer, message.sent_at)
        self._route_levels.publish(
            tree_admission.RouteLevels(
                levels={level.route: level for level in answer.route_levels},
                received_at=clock.monotonic(),
            )
        )
        if not self._directory_source:
            self._outrank_record_before(answer)
        # Each control tells again only of the upstreams that it told of, so
        # that another one never takes back what this one told.
        told_before = (
            self._summary.value.relative_times
            if answer.directory_source == self._directory_source
            else {}
        )
        records = self._merge_records(view.records, answer)
        self._summary.publish(
            spillover.summarize(
                answer.rooms,
                clock.monotonic(),
                {
                    vm: relative_time
                    for vm, relative_time in {
                        **told_before,
                        **answer.relative_times,
                    }.items()
                    if vm in records
                },
            )
        )
        services = view.services
        if records is not view.records:
            services |= {
                r.upstream.service for r in records.values() if r.upstream
            }
        self._view.publish(
            dataclasses.replace(view, records=records, services=services)
        )
        self._report_revision(view.configuration.revision)
        if answer.controls and answer.controls != self._controls:
            self._controls = answer.controls
            self._link.tell(messages.ControlsKnown(members=answer.controls))
        if answer.majority_age >= control_choice.MIN_LEAVE_AGE:
            self._spawn(self._leave_stale_control, answer.majority_age)
        if message.record.signed_off is not None:
            if message.record.signed_off == self._record.signed_off:
                for reply in self._sign_off_replies:
                    reply.put(None)
                self._sign_off_replies.clear()
        elif answer.signed_off is not None and not self._record.signed_off:
            self._apply_runs(
                upstream_runs.on_sign_off_restored(
                    self._runs, answer.signed_off
                )
            )
        if message.record.leaving:
            for reply in self._leave_replies:
                reply.put(None)
            self._leave_replies.clear()

    def _merge_configuration(
        self,
        answer: protocol.HeartbeatReply | protocol.ConfigurationReply,
        sent_at: float,
    ) -> model.NodeView:
        """Returns the view with what is newer at a control; applies its routes.

        Args:
          answer: What the control told.
          sent_at: When it was asked, in monotonic seconds. Its age counts from
            then, since the answer may have been delayed.
        """
        view = self._view.value
        configuration = fleet_state.merge_configuration(
            view.configuration,
            answer.revision,
            answer.organisations,
            frozenset(answer.withdrawn),
        )
        fresh_at = view.fresh_at
        if answer.revision >= view.configuration.revision:
            fresh_at = max(fresh_at, sent_at - answer.proof_age)
        self._apply_document(answer.document)
        return dataclasses.replace(
            view,
            configuration=configuration,
            fresh_at=fresh_at,
            evacuated=self._newest_evacuated(view, answer),
        )

    def _newest_evacuated(
        self,
        view: model.NodeView,
        answer: protocol.HeartbeatReply | protocol.ConfigurationReply,
    ) -> frozenset[str]:
        """Returns the evacuated data centres, unless the answer is older."""
        if (
            answer.evacuated is None
            or answer.revision < view.configuration.revision
        ):
            return view.evacuated
        evacuated = frozenset(answer.evacuated)
        if evacuated != view.evacuated:
            logs.get().info(
                "evacuated data centres changed",
                extra={
                    "evacuated": sorted(evacuated),
                    "revision": answer.revision,
                },
            )
        return evacuated

    def _on_configuration_read(
        self, message: messages.ConfigurationRead
    ) -> None:
        self._view.publish(
            self._merge_configuration(message.reply, message.sent_at)
        )
        self._report_revision(self._view.value.configuration.revision)

    def _on_configuration_confirmed(
        self, message: messages.ConfigurationConfirmed
    ) -> None:
        view = self._view.value
        if (
            message.revision == view.configuration.revision
            and message.fresh_at > view.fresh_at
        ):
            self._view.publish(
                dataclasses.replace(view, fresh_at=message.fresh_at)
            )

    async def _leave_stale_control(self, majority_age: float) -> None:
        """Looks for a control with a majority, and asks it for what is new."""
        stale = messages.ControlIsStale(majority_age=majority_age)
        try:
            if await self._link.ask(stale):
                self._heartbeat_due.set()
        except exceptions.MailboxClosedError:
            pass  # The process is stopping.

    def _apply_document(
        self, document: configuration.Configuration | None
    ) -> None:
        if document is None or document.version <= self._document_version():
            return
        self._published_table.publish(route_table.compile_table(document))
        self._events.record(
            "configuration.document", detail=str(document.version)
        )
        logs.get().info(
            "fleet configuration applied", extra={"version": document.version}
        )

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

    def _merge_records(
        self,
        held_records: dict[str, model.NodeRecord],
        answer: protocol.HeartbeatReply,
    ) -> dict[str, model.NodeRecord]:
        now = clock.monotonic()
        if answer.complete:
            listed = {entry.record.vm for entry in answer.entries}
            self._unlisted = {
                vm: self._unlisted.get(vm, now + UNLISTED_TTL)
                for vm in held_records
                if vm not in listed
            }
        self._directory_source = answer.directory_source
        self._directory_version = answer.directory_version
        if not answer.entries and not self._unlisted:
            # What is derived from the records need not be derived anew.
            return held_records
        records = {
            vm: record
            for vm, record in held_records.items()
            if self._unlisted.get(vm, now) >= now
        }
        for entry in answer.entries:
            self._unlisted.pop(entry.record.vm, None)
            if entry.lapsed:
                records.pop(entry.record.vm, None)
            else:
                records[entry.record.vm] = entry.record
        return held_records if records == held_records else records
