"""A control's node directory, kept by heartbeats and gossip with controls."""

from __future__ import annotations

from collections.abc import Hashable
import dataclasses
import time
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
from sassafrashall import settings as settings_module
from sassafrashall import task
from sassafrashall.decisions import call_chains
from sassafrashall.decisions import call_trees
from sassafrashall.decisions import completion
from sassafrashall.decisions import control_survey
from sassafrashall.decisions import demand as demand_decisions
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state
from sassafrashall.decisions import measured_capacity
from sassafrashall.decisions import node_directory
from sassafrashall.decisions import replication
from sassafrashall.decisions import routing
from sassafrashall.decisions import service_capacity
from sassafrashall.decisions import spillover
from sassafrashall.decisions import tree_admission
from sassafrashall.transport import rpc

GOSSIP_INTERVAL = 0.5  # seconds
GOSSIP_TIMEOUT = 0.5  # seconds
CONTROL_TTL = 5.0  # seconds without gossip until a control counts as silent
LEVELS_LOG_INTERVAL = 1.0  # seconds between two log lines on them
# Relative run times told in a reply to a heartbeat. In larger fleets a node
# gets those of all upstreams over several replies.
MAX_RELATIVE_TIMES = 64
MIN_DEVIATION = 0.05  # of a relative run time from 1, to be told
LEVELS_INTERVAL = 0.25  # seconds for which computed admission levels are reused
# Seconds by which a check for silent nodes may be late and still rely on the
# heartbeats that were read.
MAX_CHECK_DELAY = 0.5
# Seconds after a later check until nodes lapse again, two heartbeats.
LATE_CHECK_PAUSE = 1.0
# Seconds between the last heartbeat of a node's process and the first one of
# the next, at most, if the node has turned to no other control meanwhile.
RESTART_TIME = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ComposeGossip:
    """Asks for the gossip to send to one control.

    Attributes:
      address: RPC address of that control.
      status: Of the local replica.
    """

    address: str
    status: messages.ReplicaStatus


@dataclasses.dataclass(frozen=True, kw_only=True)
class _GossipReplied:
    """A control has received our gossip.

    Attributes:
      address: RPC address of that control.
      reply: Its reply.
      version: Directory version up to which the gossip had all changes.
      withdrawn: Number of withdrawn keys in the gossip.
      sent_at: When it was sent, in monotonic seconds.
    """

    address: str
    reply: protocol.GossipReply
    version: int
    withdrawn: int
    sent_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PeerControl:
    """Another control: what we sent to it and what it last reported.

    Attributes:
      source: Identifies its process; another value means that it restarted.
      version: Directory version up to which it has our changes.
      withdrawn: Number of withdrawn keys that we sent to it.
      record: As it last reported itself; None before its first message.
      heard_at: When it last sent or answered gossip, in monotonic seconds.
      confirmed_at: When it last confirmed, as the leader, that
        `confirmed_revision` was the newest, in monotonic seconds.
      confirmed_revision: The revision that it had applied by then.
    """

    source: str = ""
    version: int = 0
    withdrawn: int = 0
    record: protocol.ControlRecord | None = None
    heard_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    confirmed_revision: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _NodeProcess:
    """The process of a node that sends its heartbeats to this control.

    Attributes:
      incarnation: As in its record.
      heard_at: When its latest heartbeat came, in monotonic seconds.
      follows_another: Whether the process before it sent its heartbeats here
        until it ended.
    """

    incarnation: int
    heard_at: float
    follows_another: bool


class FleetDirectory(task.Controller):
    """Owns the node directory and the set of withdrawn keys.

    Withdrawals spread by gossip before the log has committed them.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Daemon,
        replica: mailbox.Mailbox,
        view: mailbox.Published[messages.FleetView],
        event_log: events.EventLog,
        counters: metrics.Metrics,
        may_found: bool = False,
    ) -> None:
        """Sets up an empty directory.

        Args:
          settings: Of this control.
          replica: Mailbox of the local replica.
          view: What the replica has applied.
          event_log: Records withdrawals and evacuations.
          counters: The metrics of this process.
          may_found: Whether an empty data folder means that the fleet starts
            for the first time.
        """
        super().__init__()
        self._may_found = may_found
        self._settings = settings
        self._replica = replica
        self._view = view
        self._events = event_log
        self._metrics = counters
        self._directory_source = f"{settings.vm}/{time.time_ns()}"
        self._directory = node_directory.Directory()
        self._withdrawn: frozenset[str] = frozenset()
        self._peers: dict[str, _PeerControl] = {}
        # Controls with which a child task exchanges gossip.
        self._gossip_partners: set[model.Address] = set()
        # By VM of the nodes that send their heartbeats to this control.
        self._heartbeat_times: dict[str, float] = {}
        self._processes: dict[str, _NodeProcess] = {}  # by VM
        self._loads: dict[str, model.NodeLoad | None] = {}
        self._demand = demand_decisions.FleetDemand()
        self._admission_policy = settings.policy.tree_admission_policy()
        self._route_levels: tuple[tree_admission.RouteLevel, ...] = ()
        self._levels_computed_at = float("-inf")
        self._rooms: tuple[spillover.Room, ...] = ()
        # By service.
        self._chains: dict[str, call_chains.HeldLength] = {}
        # Usual run time in seconds, by route and service.
        self._usual_times: dict[Hashable, float] = {}
        self._relative_times: list[tuple[str, float]] = []  # by VM
        # VMs whose relative run time has once been told. It is told on, so that
        # nodes learn when it is the usual one again.
        self._told_vms: set[str] = set()
        self._next_told = 0  # index of the first for the next reply
        self._calls_per_run = demand_decisions.CallsPerRun()
        self._corrections: dict[str, float] = {}
        # By service that refuses calls, or did lately.
        self._spells: dict[str, measured_capacity.Spell] = {}
        self._levels_logged_at = float("-inf")
        self._status: messages.ReplicaStatus | None = None
        self._status_at = float("-inf")  # monotonic seconds
        self._contact = control_survey.started(clock.monotonic())
        # Whether the process has seen the first start of the fleet, or waits
        # for it.
        self._founds = False
        self._observed_state: fleet_state.FleetState | None = None
        # Of the nodes that are silent, in monotonic seconds.
        self._checked_at = float("inf")
        self._check_paused_until = float("-inf")

    async def _setup(self) -> None:
        self._spawn(self._follow_replica)
        self._start_gossip()

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        now = clock.monotonic()
        match message:
            case messages.ReplicaStatus():
                self._status, self._status_at = message, now
                self._note_contact(self._majority_age(), now)
                self._merge_committed_withdrawals()
                self._expire_entries(now)
                self._start_gossip()
            case protocol.Heartbeat():
                reply.put(self._on_heartbeat(message, now))
            case protocol.Gossip():
                reply.put(self._on_gossip(message, now))
            case protocol.RecordChanged(record=record):
                self._merge_record(record, 0.0, now)
                reply.put(protocol.Ack())
            case protocol.StatusQuery():
                reply.put(self._status_reply(now))
            case messages.ReadRunTimes():
                fleet = demand_decisions.demand_of_fleet(self._demand, now)
                reply.put(service_capacity.run_times(fleet))
            case protocol.Ping():
                self._note_alive(
                    message.vm, message.incarnation, message.counter, 0.0, now
                )
                reply.put(self._pong(now))
            case protocol.ConfigurationQuery():
                reply.put(self._read_configuration(message, now))
            case _ComposeGossip():
                reply.put(self._compose_gossip(message, now))
            case _GossipReplied():
                self._on_gossip_reply(message, now)
            case fleet_commands.WithdrawKey():
                reply.put(self._withdraw_at_once(message))

    async def _follow_replica(self) -> None:
        while True:
            status = await self._replica.ask(messages.ReadReplica())
            self.mailbox.tell(status)
            await trio.sleep(GOSSIP_INTERVAL / 2)

    def _majority_age(self) -> float:
        """Returns the seconds since the last contact with a majority.

        The replica tells nothing new while it waits for its disk, so that the
        age grows from its last status on.
        """
        if self._status is None:
            return 1e6
        return self._status.majority_age + clock.monotonic() - self._status_at

    def _note_contact(self, majority_age: float, now: float) -> None:
        if self._status is not None and not self._status.founded:
            self._founds = self._may_found
        self._contact = control_survey.on_age(
            self._contact, majority_age, founds=self._founds, now=now
        )

    def _pong(self, now: float) -> protocol.Pong:
        majority_age = self._majority_age()
        self._note_contact(majority_age, now)
        return protocol.Pong(
            majority_age=majority_age,
            steady_for=control_survey.steady_for(self._contact, now),
            revision=self._view.value.state.revision,
            proof_age=now - self._confirmed_fresh_at(now),
        )

    def _read_configuration(
        self, message: protocol.ConfigurationQuery, now: float
    ) -> protocol.ConfigurationReply:
        state = self._view.value.state
        return protocol.ConfigurationReply(
            revision=state.revision,
            organisations=fleet_state.changed_since(state, message.revision),
            withdrawn=self._withdrawn_beyond(message.withdrawn_count),
            proof_age=now - self._confirmed_fresh_at(now),
            document=self._newer_document(message.document_version),
            evacuated=tuple(sorted(state.evacuations.evacuated)),
            evacuation_changes=tuple(state.evacuations.changed.items()),
        )

    def _withdrawn_beyond(self, count: int) -> tuple[str, ...]:
        """Returns all withdrawn keys if a node knows fewer."""
        return tuple(self._withdrawn) if len(self._withdrawn) > count else ()

    # --- withdrawals ---------------------------------------------------------

    def _withdraw_at_once(self, command: fleet_commands.WithdrawKey) -> bool:
        """Withdraws a key here before its withdrawal is committed.

        A withdrawal is never undone, so it needs no majority to take effect.

        Returns:
          Whether the organisation has such a key.
        """
        organisation = self._view.value.state.organisations.get(
            command.organisation
        )
        for key in organisation.keys if organisation else ():
            if key.key_id == command.key_id:
                self._withdrawn |= {key.digest}
                self._events.record("key.withdrawn", detail=key.key_id)
                return True
        return False

    def _merge_committed_withdrawals(self) -> None:
        """Adds the withdrawals that the log has committed.

        Others stay, since they may not be committed yet.
        """
        state = self._view.value.state
        if state is self._observed_state:
            return
        self._observed_state = state
        self._withdrawn |= {
            key.digest
            for organisation in state.organisations.values()
            for key in organisation.keys
            if key.withdrawn
        }

    # --- heartbeats ----------------------------------------------------------

    def _expire_entries(self, now: float) -> None:
        """Marks silent nodes as lapsed.

        After a delay of the event loop, heartbeats may wait in the sockets, or
        nodes may have turned to another control for a while.
        """
        if now - self._checked_at > GOSSIP_INTERVAL / 2 + MAX_CHECK_DELAY:
            self._check_paused_until = now + LATE_CHECK_PAUSE
        self._checked_at = now
        if now >= self._check_paused_until:
            self._directory = node_directory.expire_entries(
                self._directory, now
            )

    def _on_heartbeat(
        self, message: protocol.Heartbeat, now: float
    ) -> protocol.HeartbeatReply:
        self._metrics.count("heartbeats")
        record = message.record
        self._heartbeat_times[record.vm] = now
        process = self._processes[record.vm] = self._note_process(record, now)
        self._loads[record.vm] = self._with_relative_time(message)
        self._demand = demand_decisions.on_heartbeat(
            self._demand, record.vm, message.demand, now
        )
        self._merge_record(record, 0.0, now)
        complete = message.directory_source != self._directory_source
        since = 0 if complete else message.directory_version
        state = self._view.value.state
        return protocol.HeartbeatReply(
            directory_source=self._directory_source,
            directory_version=self._directory.version,
            complete=complete,
            entries=self._entries_since(since, now),
            revision=state.revision,
            organisations=fleet_state.changed_since(
                state, record.configuration_revision
            ),
            withdrawn=self._withdrawn_beyond(message.withdrawn_count),
            majority_age=self._majority_age(),
            proof_age=now - self._confirmed_fresh_at(now),
            document=self._newer_document(message.document_version),
            controls=self._view.value.members,
            route_levels=self._current_route_levels(now),
            signed_off=self._sign_off_before(record),
            was_in_use=process.follows_another,
            evacuated=tuple(sorted(state.evacuations.evacuated)),
            evacuation_changes=tuple(state.evacuations.changed.items()),
            rooms=self._rooms,
            relative_times=self._tell_relative_times(),
        )

    def _note_process(
        self, record: model.NodeRecord, now: float
    ) -> _NodeProcess:
        known = self._processes.get(record.vm)
        if known is not None and known.incarnation == record.incarnation:
            return dataclasses.replace(known, heard_at=now)
        return _NodeProcess(
            incarnation=record.incarnation,
            heard_at=now,
            follows_another=known is not None
            and known.incarnation < record.incarnation
            and now - known.heard_at < RESTART_TIME,
        )

    def _sign_off_before(
        self, record: model.NodeRecord
    ) -> model.SignOff | None:
        """Returns the sign-off that a node reported before it restarted."""
        entry = self._directory.entries.get(record.vm)
        if record.signed_off is not None or entry is None:
            return None
        return entry.record.signed_off

    def _current_route_levels(
        self, now: float
    ) -> tuple[tree_admission.RouteLevel, ...]:
        if now - self._levels_computed_at >= LEVELS_INTERVAL:
            elapsed = min(now - self._levels_computed_at, LEVELS_INTERVAL * 4)
            self._levels_computed_at = now
            self._compute_route_levels(now, elapsed)
        return self._route_levels

    def _compute_route_levels(self, now: float, elapsed: float) -> None:
        self._demand = demand_decisions.forget_outdated(self._demand, now)
        fleet = demand_decisions.demand_of_fleet(self._demand, now)
        self._chains = call_chains.hold(
            self._chains, call_chains.lengths(fleet), now
        )
        self._rooms = self._compute_rooms(fleet)
        known = demand_decisions.with_held_calls(fleet, self._calls_per_run)
        self._spells = measured_capacity.update_spells(
            self._spells,
            self._corrections,
            tree_admission.refusing_services(self._admission_policy, known),
            elapsed,
        )
        self._update_run_times(fleet)
        self._calls_per_run = demand_decisions.hold_calls_per_run(
            self._calls_per_run,
            fleet,
            now,
            refusing=bool(self._spells)
            or tree_admission.breaks_trees(self._admission_policy, known),
        )
        fleet = demand_decisions.with_held_calls(fleet, self._calls_per_run)
        self._corrections = tree_admission.correct(
            self._admission_policy,
            self._corrections,
            fleet,
            {level.service for level in self._route_levels},
            elapsed,
            self._spells,
        )
        levels = tree_admission.route_levels(
            self._admission_policy, fleet, self._corrections, self._spells
        )
        were_limited, self._route_levels = bool(self._route_levels), levels
        if not levels and not were_limited:
            return
        log_due = now - self._levels_logged_at >= LEVELS_LOG_INTERVAL
        if log_due or bool(levels) != were_limited:
            self._levels_logged_at = now
            logs.get().info(
                "admission levels computed",
                extra={
                    "levels": {
                        level.route: round(level.level, 2) for level in levels
                    },
                    "corrections": {
                        service: round(factor, 2)
                        for service, factor in self._corrections.items()
                    },
                    "refusing_s": {
                        service: round(spell.refusing_s, 2)
                        for service, spell in self._spells.items()
                    },
                    "services": tree_admission.describe_loads(
                        fleet, {level.service for level in levels}
                    ),
                },
            )

    def _compute_rooms(
        self, fleet: demand_decisions.Demand
    ) -> tuple[spillover.Room, ...]:
        """Returns the rooms of the ready upstreams that report their load.

        Those that get no requests are no room, and their load is no demand.
        """
        upstreams = []
        for vm, entry in self._directory.entries.items():
            upstream, load = entry.record.upstream, self._loads.get(vm)
            if entry.lapsed or entry.record.leaving or load is None:
                continue
            if (
                upstream is not None
                and upstream.state is model.UpstreamState.READY
                and load.load >= 0
                and load.load != routing.BLOCKED_LOAD
            ):
                upstreams.append(
                    (
                        upstream.service,
                        entry.record.data_centre,
                        upstream.slots,
                        load.load,
                    )
                )
        ended: dict[str, float] = {}
        busy: dict[str, float] = {}
        for route in fleet.routes:
            name = route.service
            ended[name] = ended.get(name, 0.0) + route.ended
            busy[name] = busy.get(name, 0.0) + route.busy_s
        return spillover.add_up(
            upstreams,
            {
                name: busy[name] / count
                for name, count in ended.items()
                if count > call_trees.MIN_RUNS
            },
            {name: held.length for name, held in self._chains.items()},
        )

    def _update_run_times(self, fleet: demand_decisions.Demand) -> None:
        """Updates the usual run times, and the relative ones to be told."""
        self._usual_times = {
            (route.route, route.service): route.busy_s / route.ended
            for route in fleet.routes
            if route.ended > call_trees.MIN_RUNS
        }
        self._relative_times = [
            (vm, load.relative_time)
            for vm, load in self._loads.items()
            if load is not None
            and (
                vm in self._told_vms
                or abs(load.relative_time - 1.0) >= MIN_DEVIATION
            )
            and (entry := self._directory.entries.get(vm)) is not None
            and not entry.lapsed
        ]
        self._told_vms = {vm for vm, _ in self._relative_times}

    def _with_relative_time(
        self, message: protocol.Heartbeat
    ) -> model.NodeLoad | None:
        if message.load is None or message.demand is None:
            return message.load
        relative_time = completion.relative_time_of_runs(
            (
                ((route.route, route.service), route.ended, route.busy_s)
                for route in message.demand.routes
            ),
            self._usual_times,
        )
        return dataclasses.replace(
            message.load, relative_time=round(relative_time, 2)
        )

    def _tell_relative_times(self) -> dict[str, float]:
        """Returns some of the relative run times, the others later."""
        times = self._relative_times
        if len(times) <= MAX_RELATIVE_TIMES:
            return dict(times)
        first = self._next_told % len(times)
        self._next_told = first + MAX_RELATIVE_TIMES
        told = times[first : first + MAX_RELATIVE_TIMES]
        return dict(told + times[: MAX_RELATIVE_TIMES - len(told)])

    def _newer_document(
        self, version: int
    ) -> configuration.Configuration | None:
        accepted = self._view.value.state.accepted
        if accepted is None or accepted.configuration.version <= version:
            return None
        return accepted.configuration

    def _confirmed_fresh_at(self, now: float) -> float:
        """Returns when our state was last confirmed to be the newest.

        A leader confirms its own state. Another control relies on the gossip
        reply of a leader whose revision was no higher than ours. The time is
        that before the gossip was sent, since the reply may have been delayed.

        Returns:
          Monotonic seconds, at least `now - 1e6`.
        """
        own_confirmed_at = (
            self._status.leadership_confirmed_at
            if self._status
            else float("-inf")
        )
        revision = self._view.value.state.revision
        peer_confirmed_at = [
            peer.confirmed_at
            for peer in self._peers.values()
            if peer.record is not None and peer.confirmed_revision <= revision
        ]
        return max([own_confirmed_at, now - 1e6, *peer_confirmed_at])

    def _entries_since(
        self, since: int, now: float
    ) -> tuple[protocol.DirectoryEntry, ...]:
        return tuple(
            protocol.DirectoryEntry(
                record=entry.record,
                age=now - entry.heard_at,
                lapsed=entry.lapsed,
                load=None if entry.lapsed else self._loads.get(entry.record.vm),
            )
            for entry in node_directory.changed_since(self._directory, since)
        )

    def _merge_record(
        self, record: model.NodeRecord, age: float, now: float
    ) -> None:
        held_entry = self._directory.entries.get(record.vm)
        self._directory = node_directory.merge_record(
            self._directory, record, age, now
        )
        if held_entry is None or held_entry.lapsed:
            self._events.record("node.joined", detail=record.vm)

    def _note_alive(
        self, vm: str, incarnation: int, counter: int, age: float, now: float
    ) -> None:
        """Notes a sign of life of a node whose record has not changed."""
        held_entry = self._directory.entries.get(vm)
        if held_entry is None:
            return
        held = held_entry.record
        if (held.incarnation, held.counter) == (incarnation, counter):
            self._merge_record(held, age, now)

    # --- gossip --------------------------------------------------------------

    def _gossip_addresses(self) -> set[model.Address]:
        """Returns the other controls, those of the log and of the settings.

        The settings may name only some of them, and some that have left.
        """
        members = {
            settings_module.parse_address(member.address)
            for member in self._view.value.members
        }
        configured = {control.address for control in self._settings.controls}
        return (members | configured) - {self._settings.listen.rpc}

    def _start_gossip(self) -> None:
        """Starts to gossip with the controls that have become known."""
        for address in self._gossip_addresses() - self._gossip_partners:
            self._gossip_partners.add(address)
            self._spawn(self._gossip_with, address)

    async def _gossip_with(self, address: model.Address) -> None:
        client = rpc.RpcClient(
            address=address,
            secret=self._settings.fleet_secret,
            hybrid_clock=self._events.clock,
        )
        try:
            while address in self._gossip_addresses():
                await self._gossip_once(str(address), client)
                await trio.sleep(GOSSIP_INTERVAL)
        finally:
            self._gossip_partners.discard(address)
            client.close()

    async def _gossip_once(self, address: str, client: rpc.RpcClient) -> None:
        if self._status is None:
            return
        request = _ComposeGossip(address=address, status=self._status)
        gossip, version = await self.mailbox.ask(request)
        sent_at = clock.monotonic()
        try:
            reply = await client.call(gossip, GOSSIP_TIMEOUT)
        except exceptions.RpcError:
            self._metrics.count("gossip_failed", control=address)
            return
        self.mailbox.tell(
            _GossipReplied(
                address=address,
                reply=reply,
                version=version,
                withdrawn=len(gossip.withdrawn),
                sent_at=sent_at,
            )
        )

    def _compose_gossip(
        self, request: _ComposeGossip, now: float
    ) -> tuple[protocol.Gossip, int]:
        peer = self._peers.get(request.address, _PeerControl())
        direct_vms = {
            vm
            for vm, at in self._heartbeat_times.items()
            if now - at < node_directory.RECORD_TTL
        }
        self._heartbeat_times = {
            vm: self._heartbeat_times[vm] for vm in direct_vms
        }
        changed = tuple(
            entry
            for entry in self._entries_since(peer.version, now)
            if entry.record.vm in direct_vms and not entry.lapsed
        )
        alive = tuple(
            protocol.Alive(
                vm=vm,
                incarnation=entry.record.incarnation,
                counter=entry.record.counter,
                age=now - entry.heard_at,
                load=self._loads.get(vm),
            )
            for vm, entry in self._directory.entries.items()
            if vm in direct_vms
        )
        gossip = protocol.Gossip(
            control=self._own_record(request.status),
            entries=changed,
            alive=alive,
            withdrawn=tuple(self._withdrawn)
            if len(self._withdrawn) != peer.withdrawn
            else (),
            demand=demand_decisions.demand_of_nodes(self._demand, now),
        )
        return gossip, self._directory.version

    def _on_gossip_reply(self, message: _GossipReplied, now: float) -> None:
        peer = self._peers.get(message.address, _PeerControl())
        restarted = peer.source not in ("", message.reply.source)
        self._peers[message.address] = _PeerControl(
            source=message.reply.source,
            version=0 if restarted else message.version,
            withdrawn=0
            if restarted
            else max(peer.withdrawn, message.withdrawn),
            record=message.reply.control,
            heard_at=now,
            confirmed_at=message.sent_at - message.reply.control.proof_age,
            confirmed_revision=message.reply.control.revision,
        )

    def _on_gossip(
        self, message: protocol.Gossip, now: float
    ) -> protocol.GossipReply:
        for entry in message.entries:
            self._merge_record(entry.record, entry.age, now)
        for alive in message.alive:
            self._loads[alive.vm] = alive.load
            self._note_alive(
                alive.vm, alive.incarnation, alive.counter, alive.age, now
            )
        self._withdrawn |= frozenset(message.withdrawn)
        address = message.control.rpc_address
        self._demand = demand_decisions.on_gossip(
            self._demand, address, message.demand, now
        )
        peer = self._peers.get(address, _PeerControl())
        self._peers[address] = dataclasses.replace(
            peer, record=message.control, heard_at=now
        )
        return protocol.GossipReply(
            source=self._directory_source,
            control=self._own_record(self._status),
        )

    def _own_record(
        self, status: messages.ReplicaStatus | None
    ) -> protocol.ControlRecord:
        settings = self._settings
        state = self._view.value.state
        return protocol.ControlRecord(
            vm=settings.vm,
            data_centre=settings.data_centre,
            replica_id=status.member.replica_id if status else "",
            rpc_address=str(settings.listen.rpc),
            ops_address=str(settings.listen.ops),
            role=status.role if status else "starting",
            term=status.term if status else 0,
            applied=status.commit if status else 0,
            revision=state.revision,
            majority_age=self._majority_age(),
            proof_age=min(
                1e6, clock.monotonic() - status.leadership_confirmed_at
            )
            if status
            else 1e6,
            voter=status is not None
            and status.membership.is_voter(status.member.replica_id),
        )

    # --- status --------------------------------------------------------------

    def _status_reply(self, now: float) -> protocol.StatusReply:
        status = self._status
        state = self._view.value.state
        controls = [self._own_record(status)]
        for peer in self._peers.values():
            if peer.record is None:
                continue
            age = now - peer.heard_at
            record = peer.record
            if age > CONTROL_TTL:
                record = dataclasses.replace(record, role="silent")
            controls.append(record)
        log_membership = (
            status.membership if status else replication.Membership()
        )
        return protocol.StatusReply(
            answered_by=self._settings.vm,
            revision=state.revision,
            majority_age=self._majority_age(),
            leader=status.leader if status else "",
            controls=tuple(sorted(controls, key=lambda c: c.vm)),
            membership=log_membership,
            nodes=tuple(
                sorted(self._entries_since(0, now), key=lambda e: e.record.vm)
            ),
            organisations=tuple(
                sorted(state.organisations.values(), key=lambda o: o.name)
            ),
            quotas=(),
            claims=len(state.claims) + len(state.old_claims),
            evacuated=tuple(sorted(state.evacuations.evacuated)),
        )
