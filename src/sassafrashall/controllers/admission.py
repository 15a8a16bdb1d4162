"""Admission control for the local upstream: limit, queue and level."""

from __future__ import annotations

import dataclasses
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import settings as settings_module
from sassafrashall import task
from sassafrashall.controllers import breaker_gate
from sassafrashall.controllers import cold_gate as cold_gates
from sassafrashall.controllers import evacuation_gate as evacuation_gates
from sassafrashall.controllers import level_keeper
from sassafrashall.decisions import cold_rate
from sassafrashall.decisions import evacuation
from sassafrashall.decisions import limits
from sassafrashall.decisions import queues
from sassafrashall.decisions import routing

FAIR_SHARE_THRESHOLD = 0.5  # fraction of the limit in use; see _admit
TICK_INTERVAL = 0.02  # seconds between checks of the queue and the level
COLD_DETAIL = "the upstream is cold and gets no more requests now"
FAILING_DETAIL = "the upstream fails its requests"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Tick:
    """Triggers the periodic check of the queue and the admission level."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _UpstreamUpdate:
    """The local upstream has changed.

    Attributes:
      upstream: As announced last; None if it is gone.
    """

    upstream: model.Upstream | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _HeartbeatHeard:
    """A heartbeat of the upstream may change whether it is cold."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _EvacuationTick:
    """Triggers the periodic check whether the data centre is evacuated."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Abandoned:
    """A caller stopped waiting for a slot."""

    call_id: str


class Admission(task.Controller):
    """Owns the slots of the upstream on this VM.

    A request gets a slot at once, waits in the queue for one, or is shed. The
    admission level says which priority classes callers may still send.
    """

    def __init__(
        self,
        *,
        local_upstream: mailbox.Published[model.Upstream | None],
        admission_level: mailbox.Published[int],
        policy: settings_module.Policy,
        event_log: events.EventLog,
        counters: metrics.Metrics,
        upstream_load: mailbox.Published[int] | None = None,
        usable_slots: mailbox.Published[int] | None = None,
        cold_gate: cold_gates.ColdGate | None = None,
        evacuation_gate: evacuation_gates.EvacuationGate | None = None,
    ) -> None:
        """Sets up admission; no upstream is known yet.

        Args:
          local_upstream: The upstream on this VM, as last announced.
          admission_level: Where the level is published, in thousandths of a
            priority class; -1 if the shedding policy uses none.
          policy: Selects the policies for the limit, queue and shedding.
          event_log: Records when the level leaves or reaches its maximum.
          counters: The metrics of this process.
          upstream_load: Where the load is published: slots in use and requests
            in the queue, in thousandths of the limit.
          usable_slots: Where the number of slots that requests may take is
            published; 0 while the upstream fails its requests.
          cold_gate: The bound of a cold upstream; None for no bound.
          evacuation_gate: Tells whether the data centre is evacuated; None if
            it never is.
        """
        super().__init__()
        self._cold_gate = cold_gate
        self._evacuation_gate = evacuation_gate
        self._usable_slots = usable_slots
        self._published_load = upstream_load
        self._local_upstream = local_upstream
        self._upstream: model.Upstream | None = None
        self._limit_policy = policy.limit_policy()
        self._queue_policy = policy.queue_policy()
        self._breaker = breaker_gate.BreakerGate(
            policy=policy.breaker_policy(),
            event_log=event_log,
            counters=counters,
        )
        self._level = level_keeper.LevelKeeper(
            policy=policy.shed_policy(),
            published=admission_level,
            event_log=event_log,
            counters=counters,
        )
        self._metrics = counters
        self._slot_wait = counters.bound_histogram("slot_wait_seconds")
        self._limit_state: limits.LimitState | None = None
        self._queue = queues.Queue()
        self._waiting_replies: dict[str, mailbox.Reply] = {}
        self._in_flight = 0
        self._ticks_needed = trio.Event()

    async def _setup(self) -> None:
        self._level.publish()
        self._spawn(self._follow_upstream)
        self._spawn(self._tick_regularly)
        if self._cold_gate is not None:
            self._spawn(self._follow_heartbeats, self._cold_gate.heartbeat)
        if self._evacuation_gate is not None:
            self._spawn(self._check_evacuation)

    async def _teardown(self) -> None:
        self._shed_all(exceptions.STOPPING, "the node is stopping")

    async def _follow_upstream(self) -> None:
        # It may have changed since the setup.
        upstream = self._local_upstream.value
        while True:
            self.mailbox.tell(_UpstreamUpdate(upstream=upstream))
            upstream = await self._local_upstream.wait_changed()

    async def _follow_heartbeats(
        self, published: mailbox.Published[cold_rate.Heartbeat | None]
    ) -> None:
        while True:
            self.mailbox.tell(_HeartbeatHeard())
            await published.wait_changed()

    async def _check_evacuation(self) -> None:
        while True:
            self.mailbox.tell(_EvacuationTick())
            await trio.sleep(evacuation_gates.TICK_INTERVAL)

    async def _tick_regularly(self) -> None:
        while True:
            if not self._queue.items and self._level.is_at_rest:
                self._ticks_needed = trio.Event()
                await self._ticks_needed.wait()
            await trio.sleep(TICK_INTERVAL)
            self.mailbox.tell(_Tick())

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        now = clock.monotonic()
        match message:
            case messages.Admit():
                self._admit(message, reply, now)
            case messages.SlotReleased():
                self._on_slot_released(message, now)
            case messages.RequestSent():
                sent = cold_rate.Sent(
                    sent_at=message.sent_at, is_repeated=message.is_repeated
                )
                self._tell_cold_gate(sent, now)
            case messages.ColdTold(remaining_s=seconds):
                event = cold_rate.Responded(cold_remaining_s=seconds)
                self._tell_cold_gate(event, now)
            case _EvacuationTick():
                self._on_evacuation_tick(now)
            case _HeartbeatHeard():
                assert self._cold_gate is not None
                self._cold_gate.apply_heartbeat(now)
            case _Abandoned(call_id=call_id):
                self._remove_abandoned(call_id)
            case _UpstreamUpdate(upstream=upstream):
                self._on_upstream_update(upstream, now)
            case _Tick():
                self._on_tick(now)
        is_blocked = self._find_block(now) is not None
        if self._published_load is not None:
            self._published_load.publish(self._current_load(now, is_blocked))
        if self._usable_slots is not None:
            self._usable_slots.publish(
                0 if is_blocked else self._count_usable_slots(now)
            )

    def _tell_cold_gate(self, event: cold_rate.Event, now: float) -> None:
        if self._cold_gate is not None:
            self._cold_gate.on_event(event, now)

    def _doubt_warmth(self, now: float) -> None:
        """Takes the upstream for cold until its heartbeats say otherwise."""
        event = cold_rate.Doubted(heartbeats=cold_gates.HEARTBEATS_AFTER_DOUBT)
        self._tell_cold_gate(event, now)

    def _may_send_cold(self, now: float) -> bool:
        """Returns whether the upstream isn't cold, or may get a request."""
        return self._cold_gate is None or self._cold_gate.may_send(now)

    def _find_block(self, now: float) -> evacuation.Block | None:
        gate = self._evacuation_gate
        return gate.find_block(now) if gate is not None else None

    def _on_evacuation_tick(self, now: float) -> None:
        assert self._evacuation_gate is not None
        if self._evacuation_gate.on_tick(now):
            # It had no requests for a while and may have become cold.
            self._doubt_warmth(now)
        self._refuse_blocked(now)

    def _refuse_blocked(self, now: float) -> None:
        """Refuses the waiting requests if the upstream gets none."""
        block = self._find_block(now)
        if block is not None:
            self._shed_all(exceptions.NO_UPSTREAM, block.value)

    def _count_usable_slots(self, now: float) -> int:
        if self._limit_state is None or not self._breaker.is_closed:
            return 0
        limit = limits.current_limit(self._limit_policy, self._limit_state, now)
        if self._cold_gate is None or not self._cold_gate.is_bound:
            return limit
        return self._cold_gate.usable_slots(
            limit, self._limit_state.latency, now
        )

    def _current_load(self, now: float, is_blocked: bool) -> int:
        """Returns slots in use plus queue length, in thousandths of the limit.

        Until an upstream has been ready, and while it fails its requests, the
        load counts as full.
        """
        if self._limit_state is None:
            return routing.LOAD_SCALE
        if is_blocked or not self._breaker.is_closed:
            return routing.BLOCKED_LOAD
        demand = self._in_flight + len(self._queue.items)
        load = (
            routing.LOAD_SCALE * demand // max(1, int(self._limit_state.limit))
        )
        if self._cold_gate is not None and self._cold_gate.is_bound:
            cold_load = routing.LOAD_SCALE * self._cold_gate.used_fraction(now)
            load = max(load, int(cold_load))
        # A long queue is not reported as a blocked upstream.
        return load - 1 if load == routing.BLOCKED_LOAD else load

    def _on_upstream_update(
        self, upstream: model.Upstream | None, now: float
    ) -> None:
        previous = self._upstream
        self._upstream = upstream
        if upstream is None or upstream.state is not model.UpstreamState.READY:
            self._shed_all(exceptions.STOPPING, "the upstream is leaving")
            return
        already_ready = (
            previous is not None
            and previous.state is model.UpstreamState.READY
            and previous.address == upstream.address
        )
        if previous is None or previous.incarnation != upstream.incarnation:
            self._breaker.reset()
        if not already_ready or self._limit_state is None:
            self._limit_state = limits.initial_state(upstream.slots, now)
        else:
            self._limit_state = frozen.replace(
                self._limit_state,
                slots=upstream.slots,
                limit=min(self._limit_state.limit, float(upstream.slots)),
            )
        self._grant_waiting(now)

    def _admit(
        self, message: messages.Admit, reply: mailbox.Reply, now: float
    ) -> None:
        refusal = self._refusal_before_queue(now)
        if refusal is not None:
            reply.put(refusal)
            return
        assert self._limit_state is not None
        item = queues.QueuedRequest(
            item_id=message.call_id,
            organisation=message.organisation,
            priority=message.priority,
            nested=message.nested,
            arrived_at=now,
            deadline=message.deadline,
            urgency=message.urgency,
            due=message.due,
        )
        limit = limits.current_limit(self._limit_policy, self._limit_state, now)
        if self._in_flight < limit and not self._queue.items:
            if self._in_flight >= FAIR_SHARE_THRESHOLD * limit:
                # Usage is charged to organisations only once slots get scarce.
                self._queue = queues.record_unqueued(
                    self._queue_policy, self._queue, item
                )
            self._grant(item, reply, now)
            return
        if not message.may_wait:
            reply.put(self._refusal(exceptions.SHED, "no slot is free"))
            return
        self._enqueue(item, reply, limit, now)

    def _refusal_before_queue(self, now: float) -> messages.Shed | None:
        """Returns why the upstream gets no further request, or None."""
        ready = (
            self._upstream is not None
            and self._upstream.state is model.UpstreamState.READY
        )
        if not ready or self._limit_state is None:
            return self._refusal(
                exceptions.NO_UPSTREAM, "the upstream is not ready"
            )
        block = self._find_block(now)
        if block is not None:
            self._metrics.count("evacuation_refusals")
            return self._refusal(exceptions.NO_UPSTREAM, block.value)
        if not self._breaker.may_send(now):
            return self._refusal(exceptions.NO_UPSTREAM, FAILING_DETAIL)
        if not self._may_send_cold(now):
            return self._refusal(exceptions.SHED, COLD_DETAIL)
        return None

    def _enqueue(
        self,
        item: queues.QueuedRequest,
        reply: mailbox.Reply,
        limit: int,
        now: float,
    ) -> None:
        """Lets a request wait for a slot, unless it can't end in time."""
        assert self._limit_state is not None
        self._waiting_replies[item.item_id] = reply
        finish_at = now + self._min_time_left()
        if not queues.can_finish(
            self._queue_policy,
            self._queue,
            item,
            limit=limit,
            latency=self._limit_state.latency,
            finish_at=finish_at,
        ):
            # Another upstream may have a free slot.
            self._shed(
                item,
                exceptions.SHED,
                "no time is left to wait for a slot and run the request",
            )
            return
        self._ticks_needed.set()
        reply.on_abandon(
            lambda: self.mailbox.tell(_Abandoned(call_id=item.item_id))
        )
        self._queue, shed = queues.push(
            self._effective_queue_policy(limit), self._queue, item, finish_at
        )
        for shed_item in shed:
            self._shed(shed_item, exceptions.SHED, "the queue is full")

    def _effective_queue_policy(self, limit: int) -> queues.Policy:
        """Returns the queue policy with bounds that fit limit and latency."""
        assert self._limit_state is not None
        return queues.fit_to_upstream(
            self._queue_policy, limit, self._limit_state.latency
        )

    def _min_time_left(self) -> float:
        """Returns the seconds that a call needs before its deadline."""
        assert self._limit_state is not None
        return queues.min_time_left(
            self._queue_policy, self._limit_state.base_latency
        )

    def _grant(
        self, item: queues.QueuedRequest, reply: mailbox.Reply, now: float
    ) -> None:
        assert self._upstream is not None
        self._in_flight += 1
        self._breaker.on_granted()
        self._slot_wait.observe(now - item.arrived_at)
        self._level.on_granted(item.priority, now - item.arrived_at)
        reply.on_abandon(None)
        gate = self._cold_gate
        if gate is None or not gate.on_granted(now):
            reply.put(messages.Admitted(upstream=self._upstream))
            return
        reply.put(
            messages.Admitted(
                upstream=self._upstream, counted=True, cold=gate.is_cold(now)
            )
        )

    def _on_slot_released(
        self, message: messages.SlotReleased, now: float
    ) -> None:
        usual_time = self._limit_state.latency if self._limit_state else 0.0
        if self._breaker.on_released(message, usual_time, now):
            self._shed_all(exceptions.NO_UPSTREAM, FAILING_DETAIL)
        if message.unsent:
            self._tell_cold_gate(cold_rate.Unsent(), now)
        if message.refused:
            self._doubt_warmth(now)
        if self._limit_state is not None:
            if message.shed:
                self._limit_state = limits.on_shed(
                    self._limit_policy, self._limit_state, now
                )
            elif message.latency >= 0 and not message.failed:
                self._limit_state = limits.on_answer(
                    self._limit_policy,
                    self._limit_state,
                    message.latency,
                    self._in_flight,
                    now,
                )
        self._in_flight -= 1
        self._grant_waiting(now)

    def _grant_waiting(self, now: float) -> None:
        if self._limit_state is None or not self._queue.items:
            return
        self._refuse_blocked(now)
        self._shed_expired(now)
        limit = limits.current_limit(self._limit_policy, self._limit_state, now)
        finish_at = now + self._min_time_left()
        while self._in_flight < limit:
            if self._queue.items and not self._may_send_cold(now):
                self._shed_all(exceptions.SHED, COLD_DETAIL)
                return
            self._queue, item = queues.pop(
                self._queue_policy, self._queue, finish_at
            )
            if item is None:
                return
            reply = self._waiting_replies.pop(item.item_id)
            if not reply.abandoned:
                self._grant(item, reply, now)

    def _shed_expired(self, now: float) -> None:
        assert self._limit_state is not None
        service_time = self._min_time_left()
        limit = limits.current_limit(self._limit_policy, self._limit_state, now)
        self._queue, expired_items = queues.remove_expired(
            self._effective_queue_policy(limit), self._queue, now, service_time
        )
        for item in expired_items:
            too_late = item.deadline < now + service_time
            self._shed(
                item,
                exceptions.DEADLINE_EXCEEDED if too_late else exceptions.SHED,
                "no time is left to run the request"
                if too_late
                else "it waited too long for a slot",
            )

    def _on_tick(self, now: float) -> None:
        self._grant_waiting(now)
        self._queue, past_deadline = queues.remove_past_deadline(
            self._queue, now
        )
        for item in past_deadline:
            self._shed(
                item,
                exceptions.DEADLINE_EXCEEDED,
                "the deadline passed before there was a slot",
            )
        self._level.update(now)

    def _remove_abandoned(self, call_id: str) -> None:
        if self._waiting_replies.pop(call_id, None) is not None:
            kept = tuple(i for i in self._queue.items if i.item_id != call_id)
            self._queue = frozen.replace(self._queue, items=kept)

    def _shed(self, item: queues.QueuedRequest, code: str, detail: str) -> None:
        self._level.on_shed(item.priority)
        self._metrics.count("shed", code=code, priority=item.priority.name)
        reply = self._waiting_replies.pop(item.item_id, None)
        if reply is not None:
            reply.on_abandon(None)
            reply.put(self._refusal(code, detail))

    def _shed_all(self, code: str, detail: str) -> None:
        items, self._queue = self._queue.items, queues.Queue()
        for item in items:
            self._shed(item, code, detail)

    def _refusal(self, code: str, detail: str) -> messages.Shed:
        return messages.Shed(
            code=code, detail=detail, level=self._level.wire_level
        )
