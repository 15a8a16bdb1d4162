"""The node of a routed fleet: the process beside the upstream on one VM."""

from __future__ import annotations

import random
import secrets
import time

import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import fiber
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import request_recorder
from sassafrashall import route_lookup
from sassafrashall import settings as settings_module
from sassafrashall import task
from sassafrashall.controllers import admission
from sassafrashall.controllers import cold_gate
from sassafrashall.controllers import configuration_watch
from sassafrashall.controllers import control_link
from sassafrashall.controllers import demand_monitor
from sassafrashall.controllers import evacuation_gate
from sassafrashall.controllers import followed_upstream
from sassafrashall.controllers import loop_monitor
from sassafrashall.controllers import node_membership
from sassafrashall.controllers import node_quota
from sassafrashall.controllers import peer_links
from sassafrashall.controllers import routing
from sassafrashall.controllers import upstream_pool
from sassafrashall.decisions import cold_rate
from sassafrashall.decisions import queues
from sassafrashall.decisions import shedding
from sassafrashall.decisions import token_cache
from sassafrashall.filters import api_key
from sassafrashall.filters import chain
from sassafrashall.filters import deadline
from sassafrashall.filters import demand
from sassafrashall.filters import early_shed
from sassafrashall.filters import local_upstream
from sassafrashall.filters import quota
from sassafrashall.filters import route_match
from sassafrashall.filters import routed_dispatch
from sassafrashall.filters import stopping
from sassafrashall.filters import tree_admission
from sassafrashall.filters import upstream
from sassafrashall.platform import dialect
from sassafrashall.platform import front_end
from sassafrashall.platform import names
from sassafrashall.platform import node_api
from sassafrashall.transport import http_server
from sassafrashall.transport import memory_budget
from sassafrashall.transport import ops_api
from sassafrashall.transport import peer_server
from sassafrashall.transport import stream_server

HEARTBEAT_INTERVAL = 0.5  # seconds; changes are in force within about 1 s
# Seconds without a heartbeat after which an upstream counts as gone. Upstreams
# send one every 1.5 s, which may be seconds late. A crash is noticed before,
# on the connections to the upstream.
ANNOUNCEMENT_TTL = 8.0
# Fraction of the withdrawal time for which the last confirmation of the
# configuration is valid; the rest is for the time from the check of a key to
# the arrival of the request at the upstream.
LEASE_FRACTION = 0.9
# Seconds for callers and peers to learn that the node leaves: two readiness
# checks, which are one second apart, and their answers.
LEAVE_DELAY = 2.5
LEAVE_TIMEOUT = 1.0  # seconds to announce to a control that the node leaves
# Seconds before SIGKILL at which the last calls end and the process stops.
GRACE_MARGIN = 0.4
CLOSE_TIMEOUT = 0.2  # seconds of it for the last answers to be received
# Connections for readiness checks, heartbeats and metrics each. 4,100
# descriptors are for 3,000 callers, 400 nodes, these, and the upstream.
LOCAL_CONNECTION_LIMIT = 100
HEARTBEAT_LIMIT = 64 * 1024  # bytes of a body; a heartbeat has a few hundred
DRAIN_POLL_INTERVAL = 0.05  # seconds between checks for requests in progress


class RoutedNode:
    """Owns the controllers, the filter chains and the listeners of a node."""

    def __init__(self, *, settings: settings_module.Daemon) -> None:
        assert settings.routed is not None
        self._settings = settings
        self._routed = settings.routed
        self._clock = clock.HybridClock()
        self._events = events.EventLog(process=settings.vm, clock=self._clock)
        self._metrics = metrics.Metrics(
            process=settings.vm, data_centre=settings.data_centre
        )
        self._secret = settings.fleet_secret.encode()
        self._budget = memory_budget.MemoryBudget(
            memory_mb=settings.memory_mb, counters=self._metrics
        )
        self._leaving = False
        self._in_progress = 0
        # Monotonic seconds by which the calls passed on must end.
        self._process_end = mailbox.Published[float](
            initial=stopping.NEVER_STOPS
        )
        self._build_membership()
        self._build_admission()
        self._build_routing()
        self._recorder = request_recorder.RequestRecorder(
            table=self._membership.table, counters=self._metrics
        )
        self._lookup = route_lookup.RouteLookup(table=self._membership.table)
        self._worker_chain = self._build_worker_chain()
        self._entry_chain = self._build_entry_chain()
        self._build_listeners()
        self._controllers: tuple[task.Controller, ...] = (
            loop_monitor.LoopMonitor(counters=self._metrics),
            self._control_link,
            self._demand_monitor,
            self._membership,
            self._configuration_watch,
            self._quota,
            self._admission,
            self._routing,
            self._peer_links,
            self._upstream_pool,
        )

    @property
    def membership(self) -> node_membership.NodeMembership:
        """The controller that holds what this node knows of the fleet."""
        return self._membership

    def _build_membership(self) -> None:
        """Builds what follows the controls and the upstream."""
        settings = self._settings
        self._control_link = control_link.ControlLink(
            controls=settings.controls,
            data_centre=settings.data_centre,
            secret=settings.fleet_secret,
            event_log=self._events,
        )
        self._admission_level = mailbox.Published[int](initial=-1)
        self._upstream_load = mailbox.Published[int](initial=0)
        self._local_upstream = mailbox.Published[model.Upstream | None](
            initial=None
        )
        self._usable_slots = mailbox.Published[int](initial=0)
        self._demand_monitor = demand_monitor.DemandMonitor(
            local_upstream=self._local_upstream,
            usable_slots=self._usable_slots,
        )
        self._cold_heartbeat = mailbox.Published[cold_rate.Heartbeat | None](
            initial=None
        )
        self._membership = node_membership.NodeMembership(
            record=self._initial_record(),
            link=self._control_link.mailbox,
            admission_level=self._admission_level,
            event_log=self._events,
            counters=self._metrics,
            upstream=followed_upstream.FollowedUpstream(
                announcement_ttl=ANNOUNCEMENT_TTL,
                published=self._local_upstream,
                cold_heartbeat=self._cold_heartbeat,
            ),
            heartbeat_interval=HEARTBEAT_INTERVAL,
            demand_monitor=self._demand_monitor.mailbox,
            upstream_load=self._upstream_load,
        )
        self._configuration_watch = configuration_watch.ConfigurationWatch(
            link=self._control_link.mailbox,
            membership=self._membership.mailbox,
            view=self._membership.view,
            table=self._membership.table,
            interval=HEARTBEAT_INTERVAL,
            counters=self._metrics,
        )
        self._quota = node_quota.NodeQuota(
            link=self._control_link.mailbox,
            counters=self._metrics,
            borrowing_policy=token_cache.RELAXED,
        )

    def _build_admission(self) -> None:
        """Builds what decides on requests to the upstream."""
        settings = self._settings
        self._evacuation_gate = evacuation_gate.EvacuationGate(
            data_centre=settings.data_centre,
            bound=self._routed.evacuation.seconds,
            view=self._membership.view,
            counters=self._metrics,
        )
        self._admission = admission.Admission(
            local_upstream=self._membership.local_upstream,
            admission_level=self._admission_level,
            policy=settings.policy,
            event_log=self._events,
            counters=self._metrics,
            upstream_load=self._upstream_load,
            usable_slots=self._usable_slots,
            cold_gate=cold_gate.ColdGate(
                service=self._routed.service,
                overage=self._routed.cold_overage,
                slack=self._routed.cold_slack,
                table=self._membership.table,
                heartbeat=self._cold_heartbeat,
                counters=self._metrics,
            ),
            evacuation_gate=self._evacuation_gate,
        )

    def _build_routing(self) -> None:
        """Builds what passes requests on."""
        settings = self._settings
        self._routing = routing.Routing(
            vm=settings.vm,
            data_centre=settings.data_centre,
            view=self._membership.view,
            policy=settings.policy,
            event_log=self._events,
            counters=self._metrics,
            seed=secrets.randbits(64),
            retry_policy=self._routed.with_retry_ratio(
                settings.policy.retry_policy()
            ),
            summary=self._membership.summary,
        )
        self._peer_links = peer_links.PeerLinks(
            vm=settings.vm, secret=self._secret, counters=self._metrics
        )
        self._upstream_pool = upstream_pool.UpstreamPool(
            counters=self._metrics, budget=self._budget
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
                stopping.StoppingFilter(process_end=self._process_end),
                local_upstream.LocalUpstreamFilter(
                    admission=self._admission.mailbox,
                    admission_level=self._admission_level,
                    upstream_load=self._upstream_load,
                    pool=self._upstream_pool.mailbox,
                    dialect=dialect.UpstreamDialect(),
                    counters=self._metrics,
                    demand_monitor=self._demand_monitor.mailbox,
                    upstream_may_call=self._upstream_may_call,
                    route_name=self._lookup.route_name,
                    check_before_send=self._evacuation_gate.check_before_send,
                    feedback_policy=self._settings.policy.feedback_policy(),
                ),
            ),
        )

    def _build_entry_chain(self) -> chain.Chain:
        settings = self._settings
        table = self._membership.table
        by_urgency = isinstance(
            settings.policy.queue_policy(), queues.UrgencyFirst
        )
        lease = None
        if self._routed.strict_withdrawal:
            lease = LEASE_FRACTION * self._routed.withdrawal.seconds
        return chain.Chain(
            name="entry",
            counters=self._metrics,
            filters=(
                route_match.RouteMatchFilter(table=table),
                api_key.ApiKeyFilter(
                    table=table, view=self._membership.view, lease=lease
                ),
                deadline.DeadlineFilter(
                    default_timeout_ms=settings.default_timeout_ms
                ),
                stopping.StoppingFilter(process_end=self._process_end),
                *self._early_shed_filters(),
                tree_admission.TreeAdmissionFilter(
                    levels=self._membership.route_levels,
                    counters=self._metrics,
                ),
                quota.QuotaFilter(quota=self._quota.mailbox),
                demand.DemandFilter(
                    monitor=self._demand_monitor.mailbox,
                    levels=self._membership.route_levels,
                    table=table,
                    estimates_urgency=by_urgency,
                ),
                routed_dispatch.RoutedDispatchFilter(
                    node=settings.vm,
                    routing=self._routing.mailbox,
                    links=self._peer_links.mailbox,
                    local=self._worker_chain,
                    event_log=self._events,
                    demand_monitor=self._demand_monitor.mailbox,
                    spreads_returns=by_urgency,
                    budget=self._budget,
                ),
            ),
        )

    def _upstream_may_call(self) -> bool:
        """Returns whether the local upstream may make calls of its own.

        Without keys, its calls can't be told from the requests of callers.
        """
        table = self._membership.table.value
        if table is None or not table.document.keyed:
            return True
        return self._demand_monitor.upstream_calls.value

    def _early_shed_filters(self) -> tuple[chain.Filter, ...]:
        policy = self._settings.policy.shed_policy()
        if isinstance(policy, shedding.NoEarlyShed):
            return ()
        return (
            early_shed.EarlyShedFilter(
                policy=policy,
                routing=self._routing.mailbox,
                levels=self._routing.admission_levels,
                counters=self._metrics,
            ),
        )

    def _build_listeners(self) -> None:
        listen = self._settings.listen
        assert listen.callers and listen.peers
        caller_front_end = front_end.FrontEnd(
            handler=self._run_entry_chain, service=self._routed.service
        )
        self._callers = stream_server.Server(
            address=listen.callers,
            handler=caller_front_end.handle,
            source=model.Source.CALLER,
            limits=self._lookup.limits,
            log=connection_log.ConnectionLog(
                place="callers", counters=self._metrics
            ),
            request_id_header=names.REQUEST_ID,
            pipeline_depth=self._routed.pipeline_depth,
            budget=self._budget,
            may_overlap=self._lookup.may_overlap,
        )
        self._peers = peer_server.PeerServer(
            address=listen.peers,
            handler=self._run_worker_chain,
            compute_proof=lambda vm: peer_links.hello_proof(vm, self._secret),
            log=connection_log.ConnectionLog(
                place="peers", counters=self._metrics
            ),
            budget=self._budget,
        )
        self._http_servers = self._build_http_servers()

    def _build_http_servers(self) -> tuple[http_server.Server, ...]:
        """Returns the listeners for the platform and for monitoring."""
        listen = self._settings.listen
        assert listen.readiness and listen.announcements
        assert self._routed.upstream
        ops = ops_api.OpsApi(
            counters=self._metrics,
            event_log=self._events,
            refresh_gauges=self._refresh_metrics,
        )
        readiness = node_api.Readiness(is_ready=self._is_ready)
        announcements = self._announcements = node_api.Announcements(
            membership=self._membership.mailbox,
            upstream=self._routed.upstream,
            address=listen.announcements,
        )
        return tuple(
            self._new_http_server(place, address, handler)
            for place, address, handler in (
                ("readiness", listen.readiness, readiness.handle),
                ("announcements", listen.announcements, announcements.handle),
                ("ops", listen.ops, ops.handle),
            )
        )

    def _new_http_server(
        self, place: str, address: model.Address, handler: http_server.Handler
    ) -> http_server.Server:
        return http_server.Server(
            address=address,
            handler=handler,
            source=model.Source.CALLER,
            log=connection_log.ConnectionLog(
                place=place, counters=self._metrics
            ),
            connection_limit=LOCAL_CONNECTION_LIMIT,
            budget=self._budget,
            body_limit=HEARTBEAT_LIMIT,
        )

    async def _start_fresh_listener(self, nursery: trio.Nursery) -> None:
        """Listens where no other process of this VM has told to send to.

        The process before this one has used it by chance at most.
        """
        listen = self._settings.listen
        assert listen.announcements is not None
        first, last = self._routed.heartbeat_ports
        ports = range(first + 1, last)
        for port in random.sample(ports, len(ports)):
            address = model.Address(host=listen.announcements.host, port=port)
            server = self._new_http_server(
                "announcements", address, self._announcements.handle_fresh
            )
            try:
                await server.start(nursery)
            except OSError:
                continue  # Another process has the port.
            self._http_servers += (server,)
            self._announcements.tell_fresh_address(address)
            return

    def _is_ready(self) -> bool:
        return not self._leaving and self._membership.table.value is not None

    async def _run_entry_chain(self, request: model.Request) -> model.Outcome:
        self._in_progress += 1
        try:
            outcome = await self._entry_chain.run(
                model.Call(request=request, root_id=request.request_id)
            )
            self._recorder.record_outcome(
                request.request_id, "entry", request, outcome
            )
            return outcome
        except (trio.Cancelled, fiber.Cancelled) as error:
            self._recorder.record_cancel(
                request.request_id, "entry", request, error
            )
            raise
        finally:
            self._in_progress -= 1

    async def _run_worker_chain(self, request: model.Request) -> model.Outcome:
        assert request.ticket is not None
        try:
            outcome = await self._worker_chain.run(
                model.Call(request=request, root_id="")
            )
        except fiber.Cancelled as error:
            self._recorder.record_cancel(
                request.ticket.root_id, "worker", request, error
            )
            raise
        self._recorder.record_outcome(
            request.ticket.root_id, "worker", request, outcome
        )
        return outcome

    def _refresh_metrics(self) -> None:
        view = self._membership.view.value
        self._metrics.gauge("nodes_known", len(view.records))
        self._metrics.gauge("evacuated_data_centres", len(view.evacuated))
        self._metrics.gauge("requests_in_progress", self._in_progress)
        self._metrics.gauge("connections", self._callers.connections)
        self._metrics.gauge("requests_overlapping", self._callers.overlapping)
        self._metrics.gauge("held_bytes", self._budget.held)

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts the controllers, then the listeners."""
        for controller in self._controllers:
            await controller.start(nursery)
        await self._peers.start(nursery)
        for server in self._http_servers:
            await server.start(nursery)
        await self._start_fresh_listener(nursery)
        await self._callers.start(nursery)
        self._events.record("process.started")
        logs.get().info("node started", extra={"vm": self._settings.vm})

    async def close(self) -> None:
        """Leaves the fleet, finishes the requests in progress, then stops.

        Once callers and peers know that the node leaves, a request is passed
        on only if its deadline is before the end of the grace period. Requests
        still in progress shortly before that end are answered with a failure.
        """
        stop_at = clock.monotonic() + self._routed.grace.seconds - GRACE_MARGIN
        logs.get().info("node leaving")
        self._events.record("process.leaving")
        self._leaving = True
        self._callers.drain()
        await self._announce_leave()
        await trio.sleep(
            min(LEAVE_DELAY, max(0.0, stop_at - clock.monotonic()) / 2)
        )
        # From now on, only calls that end in time are passed on.
        self._process_end.publish(stop_at)
        while clock.monotonic() < stop_at and (
            self._in_progress or self._peers.busy
        ):
            await trio.sleep(DRAIN_POLL_INTERVAL)
        self._process_end.publish(stopping.ALREADY_STOPPED)
        with trio.move_on_after(max(0.0, stop_at - clock.monotonic())):
            await self._callers.close()
        await self._end_calls()
        # The connections end before the controllers that they call.
        with trio.move_on_after(CLOSE_TIMEOUT):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._callers.close)
                nursery.start_soon(self._peers.close)
                for server in self._http_servers:
                    nursery.start_soon(server.close)
        for controller in reversed(self._controllers):
            await controller.close()
        logs.get().info("node stopped")

    async def _announce_leave(self) -> None:
        with trio.move_on_after(LEAVE_TIMEOUT):
            try:
                await self._membership.mailbox.ask(messages.Leave())
            except exceptions.SassafrashallError as error:
                logs.get().warning(
                    "could not announce that the node leaves",
                    extra={"reason": str(error)},
                )

    async def _end_calls(self) -> None:
        """Ends the calls in progress, so that each of them is answered."""
        if self._in_progress:
            logs.get().warning(
                "requests in progress at the end of the grace period",
                extra={"requests": self._in_progress},
            )
        # They close together: a call that ends must not be tried elsewhere.
        async with trio.open_nursery() as nursery:
            for controller in (
                self._admission,
                self._peer_links,
                self._upstream_pool,
            ):
                nursery.start_soon(controller.close)
