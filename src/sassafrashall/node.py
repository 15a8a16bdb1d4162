"""The node: the process beside the upstream on one VM."""

from __future__ import annotations

import secrets
import time

import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import settings as settings_module
from sassafrashall import task
from sassafrashall.controllers import admission
from sassafrashall.controllers import configuration_watch
from sassafrashall.controllers import connections
from sassafrashall.controllers import control_link
from sassafrashall.controllers import followed_upstream
from sassafrashall.controllers import loop_monitor
from sassafrashall.controllers import node_membership
from sassafrashall.controllers import node_quota
from sassafrashall.controllers import routing
from sassafrashall.controllers import running_calls
from sassafrashall.filters import chain
from sassafrashall.filters import claim
from sassafrashall.filters import deadline
from sassafrashall.filters import dispatch
from sassafrashall.filters import early_shed
from sassafrashall.filters import identity
from sassafrashall.filters import quota
from sassafrashall.filters import route
from sassafrashall.filters import upstream
from sassafrashall.transport import front_end
from sassafrashall.transport import http_server
from sassafrashall.transport import local_api
from sassafrashall.transport import memory_budget
from sassafrashall.transport import ops_api

# Seconds from announcing that this node leaves to closing its listeners. Two
# heartbeats of the other nodes, by which they learn of it, fit into this time.
LEAVE_DELAY = 2.5
LEAVE_TIMEOUT = 1.0  # seconds to announce to a control that the node leaves


class Node:
    """Owns the controllers, the filter chains and the listeners of a node."""

    def __init__(self, *, settings: settings_module.Daemon) -> None:
        self._settings = settings
        self._clock = clock.HybridClock()
        self._events = events.EventLog(process=settings.vm, clock=self._clock)
        self._metrics = metrics.Metrics(
            process=settings.vm, data_centre=settings.data_centre
        )
        self._secret = settings.fleet_secret.encode()
        self._build_controllers()
        self._worker_chain = self._build_worker_chain()
        self._entry_chain = self._build_entry_chain()
        self._servers = self._build_servers()
        self._controllers: tuple[task.Controller, ...] = (
            loop_monitor.LoopMonitor(counters=self._metrics),
            self._control_link,
            self._membership,
            self._configuration_watch,
            self._quota,
            self._admission,
            self._running_calls,
            self._routing,
            self._connections,
        )

    def _build_controllers(self) -> None:
        settings = self._settings
        self._control_link = control_link.ControlLink(
            controls=settings.controls,
            data_centre=settings.data_centre,
            secret=settings.fleet_secret,
            event_log=self._events,
        )
        self._admission_level = mailbox.Published[int](initial=-1)
        self._membership = node_membership.NodeMembership(
            record=self._initial_record(),
            link=self._control_link.mailbox,
            admission_level=self._admission_level,
            event_log=self._events,
            counters=self._metrics,
        )
        self._configuration_watch = configuration_watch.ConfigurationWatch(
            link=self._control_link.mailbox,
            membership=self._membership.mailbox,
            view=self._membership.view,
            table=self._membership.table,
            interval=node_membership.HEARTBEAT_INTERVAL,
            counters=self._metrics,
        )
        self._quota = node_quota.NodeQuota(
            link=self._control_link.mailbox, counters=self._metrics
        )
        self._admission = admission.Admission(
            local_upstream=self._membership.local_upstream,
            admission_level=self._admission_level,
            policy=settings.policy,
            event_log=self._events,
            counters=self._metrics,
        )
        self._running_calls = running_calls.RunningCalls()
        self._routing = routing.Routing(
            vm=settings.vm,
            data_centre=settings.data_centre,
            view=self._membership.view,
            policy=settings.policy,
            event_log=self._events,
            counters=self._metrics,
            seed=secrets.randbits(64),
        )
        self._connections = connections.HttpConnectionPool(
            secret=self._secret,
            hybrid_clock=self._clock,
            counters=self._metrics,
        )

    def _initial_record(self) -> model.NodeRecord:
        listen = self._settings.listen
        assert listen.peers is not None
        return model.NodeRecord(
            vm=self._settings.vm,
            data_centre=self._settings.data_centre,
            incarnation=time.time_ns(),
            counter=1,
            peer_address=listen.peers,
            ops_address=listen.ops,
        )

    def _build_worker_chain(self) -> chain.Chain:
        return chain.Chain(
            name="worker",
            counters=self._metrics,
            filters=(
                upstream.TicketFilter(),
                deadline.DeadlineFilter(
                    default_timeout_ms=self._settings.default_timeout_ms
                ),
                upstream.UpstreamFilter(
                    node=self._settings.vm,
                    admission=self._admission.mailbox,
                    admission_level=self._admission_level,
                    nested_admission_level=self._routing.nested_admission_level,
                    running=self._running_calls.mailbox,
                    connections=self._connections.mailbox,
                    event_log=self._events,
                ),
            ),
        )

    def _build_entry_chain(self) -> chain.Chain:
        settings = self._settings
        view = self._membership.view
        return chain.Chain(
            name="entry",
            counters=self._metrics,
            filters=(
                route.RouteFilter(view=view),
                identity.IdentityFilter(
                    node=settings.vm,
                    view=view,
                    running=self._running_calls.mailbox,
                ),
                deadline.DeadlineFilter(
                    default_timeout_ms=settings.default_timeout_ms
                ),
                early_shed.EarlyShedFilter(
                    policy=settings.policy.shed_policy(),
                    routing=self._routing.mailbox,
                    levels=self._routing.admission_levels,
                    counters=self._metrics,
                ),
                quota.QuotaFilter(quota=self._quota.mailbox),
                claim.ClaimFilter(
                    link=self._control_link.mailbox, event_log=self._events
                ),
                dispatch.DispatchFilter(
                    node=settings.vm,
                    routing=self._routing.mailbox,
                    connections=self._connections.mailbox,
                    local=self._worker_chain,
                    event_log=self._events,
                ),
            ),
        )

    def _build_servers(self) -> tuple[http_server.Server, ...]:
        listen = self._settings.listen
        assert listen.callers and listen.local and listen.peers
        callers = front_end.FrontEnd(
            handler=self._run_entry_chain,
            secret=self._secret,
            hybrid_clock=self._clock,
        )
        local = local_api.LocalApi(
            membership=self._membership.mailbox,
            call_front_end=callers,
            announcement_ttl=followed_upstream.ANNOUNCEMENT_TTL,
        )
        peers = front_end.FrontEnd(
            handler=self._run_worker_chain,
            secret=self._secret,
            hybrid_clock=self._clock,
        )
        ops = ops_api.OpsApi(
            counters=self._metrics,
            event_log=self._events,
            refresh_gauges=self._refresh_metrics,
        )
        budget = memory_budget.MemoryBudget(
            memory_mb=self._settings.memory_mb, counters=self._metrics
        )
        return tuple(
            http_server.Server(
                address=address,
                handler=handler,
                source=source,
                log=connection_log.ConnectionLog(
                    place=place, counters=self._metrics
                ),
                budget=budget,
            )
            for place, address, handler, source in (
                (
                    "callers",
                    listen.callers,
                    callers.handle,
                    model.Source.CALLER,
                ),
                ("peers", listen.peers, peers.handle, model.Source.PEER),
                ("local", listen.local, local.handle, model.Source.LOCAL),
                ("ops", listen.ops, ops.handle, model.Source.CALLER),
            )
        )

    async def _run_entry_chain(self, request: model.Request) -> model.Outcome:
        return await self._entry_chain.run(
            model.Call(request=request, root_id=request.request_id)
        )

    async def _run_worker_chain(self, request: model.Request) -> model.Outcome:
        return await self._worker_chain.run(
            model.Call(request=request, root_id="")
        )

    def _refresh_metrics(self) -> None:
        view = self._membership.view.value
        self._metrics.gauge(
            "configuration_revision", view.configuration.revision
        )
        self._metrics.gauge("nodes_known", len(view.records))
        for server, name in zip(
            self._servers, ("callers", "peers", "local", "ops"), strict=True
        ):
            self._metrics.gauge(
                "connections", server.connections, listener=name
            )

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the controllers, then the listeners."""
        for controller in self._controllers:
            await controller.start(nursery)
        for server in self._servers:
            await server.start(nursery)
        self._events.record("process.started")
        logs.get().info("node started")

    async def close(self) -> None:
        """Leaves the fleet, finishes the requests in progress, then stops."""
        logs.get().info("node leaving")
        self._events.record("process.leaving")
        with trio.move_on_after(LEAVE_TIMEOUT):
            try:
                await self._membership.mailbox.ask(messages.Leave())
            except exceptions.SassafrashallError as error:
                logs.get().warning(
                    "could not announce that the node leaves",
                    extra={"reason": str(error)},
                )
        callers, peers, local, ops = self._servers
        callers.drain()
        peers.drain()
        await trio.sleep(LEAVE_DELAY)
        # The local listener closes last, since requests in progress may make
        # nested calls through it.
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.close)
            nursery.start_soon(peers.close)
        await local.close()
        await ops.close()
        for controller in reversed(self._controllers):
            await controller.close()
        logs.get().info("node stopped")
