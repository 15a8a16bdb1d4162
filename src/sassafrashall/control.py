"""The control: the process that keeps a replica of the fleet state on disk."""

from __future__ import annotations

import dataclasses
import hashlib
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import settings as settings_module
from sassafrashall import task
from sassafrashall.controllers import fleet_directory
from sassafrashall.controllers import founding
from sassafrashall.controllers import loop_monitor
from sassafrashall.controllers import quota_owner
from sassafrashall.controllers import replica
from sassafrashall.controllers import sign_off_reader
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import replication
from sassafrashall.decisions import service_capacity
from sassafrashall.platform import operator_api
from sassafrashall.transport import codec
from sassafrashall.transport import http_server
from sassafrashall.transport import memory_budget
from sassafrashall.transport import ops_api
from sassafrashall.transport import rpc

# Connections of operators, and for metrics. 4,096 descriptors are also for
# 2,000 connections of processes, files, and the connections to other controls.
HTTP_CONNECTION_LIMIT = 500
OPS_BODY_LIMIT = 64 * 1024  # bytes; requests for metrics and events have none


class Control:
    """Owns the controllers and the listeners of a control."""

    def __init__(self, *, settings: settings_module.Daemon) -> None:
        self._settings = settings
        self._clock = clock.HybridClock()
        self._events = events.EventLog(process=settings.vm, clock=self._clock)
        self._metrics = metrics.Metrics(
            process=settings.vm, data_centre=settings.data_centre
        )
        self._budget = memory_budget.MemoryBudget(
            memory_mb=settings.memory_mb, counters=self._metrics
        )
        self._build_controllers()
        self._build_listeners()

    def _build_controllers(self) -> None:
        settings = self._settings
        self._replica = replica.Replica(
            vm=settings.vm,
            data_centre=settings.data_centre,
            address=str(settings.listen.rpc),
            folder=settings.data_folder,
            secret=settings.fleet_secret,
            claim_retention=settings.claim_retention_s,
            placement=(
                settings.routed.voter_requirements()
                if settings.routed is not None
                else None
            ),
            event_log=self._events,
            counters=self._metrics,
        )
        self._founding = founding.Founding(
            address=str(settings.listen.rpc),
            founders=tuple(str(c.address) for c in settings.controls),
            may_found=settings.routed is None or settings.routed.first_start,
            secret=settings.fleet_secret,
            replica=self._replica.mailbox,
            event_log=self._events,
        )
        self._fleet_directory = fleet_directory.FleetDirectory(
            settings=settings,
            replica=self._replica.mailbox,
            view=self._replica.view,
            event_log=self._events,
            counters=self._metrics,
            may_found=settings.routed is not None
            and settings.routed.first_start,
        )
        self._quota_owner = quota_owner.QuotaOwner(
            settings=settings,
            replica=self._replica.mailbox,
            view=self._replica.view,
            event_log=self._events,
            counters=self._metrics,
        )
        self._sign_off_reader = sign_off_reader.SignOffReader(
            replica=self._replica.mailbox
        )
        self._controllers: tuple[task.Controller, ...] = (
            loop_monitor.LoopMonitor(counters=self._metrics),
            self._replica,
            self._founding,
            self._fleet_directory,
            self._quota_owner,
            self._sign_off_reader,
        )

    def _build_listeners(self) -> None:
        settings = self._settings
        assert settings.listen.rpc is not None
        self._rpc_server = rpc.RpcServer(
            address=settings.listen.rpc,
            handler=self._handle_message,
            secrets={
                settings.fleet_secret: rpc.Caller.PROCESS,
                settings.operator_secret: rpc.Caller.OPERATOR,
            },
            hybrid_clock=self._clock,
            log=self._connection_log("rpc"),
        )
        ops = ops_api.OpsApi(
            counters=self._metrics,
            event_log=self._events,
            refresh_gauges=self._refresh_metrics,
        )
        self._ops_server = http_server.Server(
            address=settings.listen.ops,
            handler=ops.handle,
            source=model.Source.CALLER,
            log=self._connection_log("ops"),
            connection_limit=HTTP_CONNECTION_LIMIT,
            budget=self._budget,
            body_limit=OPS_BODY_LIMIT,
        )
        self._operator_server: http_server.Server | None = None
        if settings.listen.operators is not None:
            regions = settings.routed.regions if settings.routed else {}
            api = operator_api.OperatorApi(
                replica=self._replica.mailbox,
                view=self._replica.view,
                data_centres=frozenset(regions),
            )
            self._operator_server = http_server.Server(
                address=settings.listen.operators,
                handler=api.handle,
                source=model.Source.CALLER,
                log=self._connection_log("operators"),
                connection_limit=HTTP_CONNECTION_LIMIT,
                budget=self._budget,
            )

    def _connection_log(self, place: str) -> connection_log.ConnectionLog:
        return connection_log.ConnectionLog(place=place, counters=self._metrics)

    async def _handle_message(self, message: Any, caller: rpc.Caller) -> Any:
        """Passes a remote message to the controller that answers it."""
        if caller is rpc.Caller.OPERATOR and not isinstance(
            message, protocol.OPERATOR_MESSAGES
        ):
            raise exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "not a message for operators"
            )
        match message:
            case (
                protocol.Heartbeat()
                | protocol.Gossip()
                | protocol.Ping()
                | protocol.ConfigurationQuery()
                | protocol.RecordChanged()
            ):
                return await self._fleet_directory.mailbox.ask(message)
            case protocol.Borrow() | protocol.BorrowAhead() | protocol.Settle():
                return await self._quota_owner.mailbox.ask(message)
            case protocol.SignOffQuery():
                return await self._sign_off_reader.mailbox.ask(message)
            case protocol.SubmitCommand():
                return await self._submit_command(message)
            case protocol.StatusQuery():
                return await self._read_status(message)
            case protocol.CapacityQuery():
                return await self._read_capacity()
            case protocol.ReplaceReplica():
                return await self._replace_replica(message)
            case protocol.FoundingQuery():
                return await self._read_founding_state()
            case protocol.JoinRequest():
                return await self._replica.mailbox.ask(message)
            case (
                replication.AppendEntries()
                | replication.InstallSnapshot()
                | replication.RequestVote()
            ):
                replica_message = messages.ReplicaMessage(message=message)
                return await self._replica.mailbox.ask(replica_message)
            case _:
                raise exceptions.ProtocolError(
                    exceptions.BAD_REQUEST, "not a message for a control"
                )

    async def _submit_command(
        self, message: protocol.SubmitCommand
    ) -> protocol.CommandResult:
        command = codec.decode(message.command)
        if isinstance(command, fleet_commands.WithdrawKey):
            # The withdrawal takes effect on this control at once and spreads
            # by gossip while the command is being committed.
            await self._fleet_directory.mailbox.ask(command)
        submit = messages.Submit(command=command, forwarded=message.forwarded)
        result = await self._replica.mailbox.ask(submit)
        return protocol.CommandResult(result=codec.encode(result))

    async def _replace_replica(
        self, message: protocol.ReplaceReplica
    ) -> protocol.CommandResult:
        replace = messages.ReplaceVoter(
            old_id=message.old_id,
            new_id=message.new_id,
            forwarded=message.forwarded,
        )
        result = await self._replica.mailbox.ask(replace)
        return protocol.CommandResult(result=codec.encode(result))

    async def status(self) -> protocol.StatusReply:
        """Returns the fleet as this control sees it."""
        return await self._read_status(protocol.StatusQuery())

    async def _read_status(
        self, message: protocol.StatusQuery
    ) -> protocol.StatusReply:
        reply = await self._fleet_directory.mailbox.ask(message)
        quotas = await self._quota_owner.mailbox.ask(message)
        return dataclasses.replace(reply, quotas=quotas)

    async def _read_capacity(self) -> protocol.CapacityReply:
        status = await self._fleet_directory.mailbox.ask(protocol.StatusQuery())
        run_s = await self._fleet_directory.mailbox.ask(messages.ReadRunTimes())
        known = service_capacity.add_up(
            (
                (upstream.service, upstream.slots)
                for upstream in status.ready_upstreams()
            ),
            run_s,
        )
        accepted = self._replica.view.value.state.accepted
        text = b"" if accepted is None else accepted.text
        return protocol.CapacityReply(
            document_digest=hashlib.sha256(text).hexdigest(),
            services=known.services,
            is_complete=known.is_complete,
        )

    async def _read_founding_state(self) -> protocol.FoundingReply:
        status = await self._replica.mailbox.ask(messages.ReadReplica())
        return protocol.FoundingReply(
            member=status.member,
            founded=status.founded,
            membership=status.membership,
            majority_age=status.majority_age,
        )

    def _refresh_metrics(self) -> None:
        view = self._replica.view.value
        self._metrics.gauge("fleet_revision", view.state.revision)
        self._metrics.gauge("held_bytes", self._budget.held)
        self._metrics.gauge("claims", len(view.state.claims))
        self._metrics.gauge(
            "evacuated_data_centres", len(view.state.evacuations.evacuated)
        )
        self._metrics.gauge("organisations", len(view.state.organisations))

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the controllers, then the listeners."""
        for controller in self._controllers:
            await controller.start(nursery)
        await self._rpc_server.start(nursery)
        await self._ops_server.start(nursery)
        if self._operator_server is not None:
            await self._operator_server.start(nursery)
        self._events.record("process.started")
        logs.get().info("control started")

    async def close(self) -> None:
        """Finishes the requests in progress, then stops."""
        logs.get().info("control stopping")
        if self._operator_server is not None:
            await self._operator_server.close()
        await self._rpc_server.close()
        await self._ops_server.close()
        for controller in reversed(self._controllers):
            await controller.close()
        logs.get().info("control stopped")
