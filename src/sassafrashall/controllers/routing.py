"""Chooses upstreams for this node's attempts, and limits its retries."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses
import random
from typing import Any

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import frozen
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import settings as settings_module
from sassafrashall import task
from sassafrashall.decisions import completion
from sassafrashall.decisions import retries
from sassafrashall.decisions import routing
from sassafrashall.decisions import shedding
from sassafrashall.decisions import spillover

# Seconds after which an admission level that did not change is published again,
# so that it does not count as outdated.
LEVEL_REPUBLISH_INTERVAL = 0.1
# Seconds for which computed slowness is reused. Slowness shows over many
# answers, so that it need not be computed for each of them.
SLOWNESS_TTL = 0.1
# Seconds for which a comparison of the upstreams of a service is reused, and
# the policy of its retries.
COMPARISON_TTL = 0.25
# Mean load assumed for a service without a recent report.
UNKNOWN_LOAD = 0.5
SHARES_LOG_INTERVAL = 1.0  # seconds between two log lines on a service
# Weight below which the run time of a route at an upstream is forgotten.
MIN_WEIGHT = 0.01
SMOOTHING = 0.05  # weight of the latest call in means by route


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Comparison:
    """The upstreams of one service next to each other.

    Attributes:
      made_at: Monotonic seconds.
      times: How their run times compare.
      failure_costs: By VM, for those that fail more calls than others.
      usual_load: Mean of the loads that were reported lately.
      loads: Load by data centre; empty if not known.
      rooms_known: Whether the load of this data centre is known.
      run_s: Usual run time of the service in seconds; 0 if not known.
      candidates: By route and VM, what the comparison and the directory say of
        an upstream; filled by the calls that need it.
    """

    made_at: float
    times: completion.RelativeTimes
    failure_costs: dict[str, float]
    usual_load: float
    loads: dict[str, float]
    rooms_known: bool
    run_s: float
    candidates: dict[str, dict[str, routing.Candidate]] = dataclasses.field(
        default_factory=dict
    )


class Routing(task.Controller):
    """Owns this node's observations of the upstreams that it calls.

    These are their health, load, latency and admission level, and the retry
    tokens that first attempts have earned.
    """

    def __init__(
        self,
        *,
        vm: str,
        data_centre: str,
        view: mailbox.Published[model.NodeView],
        policy: settings_module.Policy,
        event_log: events.EventLog,
        counters: metrics.Metrics,
        seed: int,
        retry_policy: retries.Policy | None = None,
        summary: mailbox.Published[spillover.Summary] | None = None,
    ) -> None:
        """Creates the controller.

        Args:
          vm: The VM of this node.
          data_centre: Its data centre.
          view: The fleet as this node sees it.
          policy: Selects the policies.
          event_log: Records ejections.
          counters: The metrics of this process.
          seed: Of the random numbers.
          retry_policy: Replaces the one that `policy` selects.
          summary: The loads of the data centres; None if nobody tells them.
        """
        super().__init__()
        self._policy = policy
        self._summary = summary or mailbox.Published[spillover.Summary](
            initial=spillover.Summary()
        )
        # By service.
        self._shares: dict[str, spillover.Shares] = {}
        self._flows: dict[str, spillover.Flow] = {}
        # When it was last logged whether calls leave, and whether they did.
        self._shares_logged: dict[str, tuple[float, bool]] = {}
        # By data centre.
        self._reaches: dict[str, spillover.Reach] = {}
        # By route: mean size of the responses, and mean time of the calls that
        # stay in this data centre.
        self._response_sizes: dict[str, float] = {}
        self._near_times: dict[str, float] = {}
        self._vm = vm
        self._data_centre = data_centre
        self._view = view
        self._routing_policy = policy.routing_policy()
        self._retry_policy = retry_policy or policy.retry_policy()
        self._events = event_log
        self._metrics = counters
        self._random = random.Random(seed)
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._health: dict[str, routing.Health] = {}
        # VMs that have been ejected and not been readmitted since. Others are
        # usable.
        self._ejected: set[str] = set()
        # By VM and incarnation of the node.
        self._ready_since: dict[tuple[str, int], float] = {}
        # By service and VM: the level in thousandths, and when it was seen.
        self._levels_by_upstream: dict[tuple[str, str], tuple[int, float]] = {}
        self._admission_levels = mailbox.Published[
            dict[str, shedding.ObservedLevel]
        ](initial={})
        self._nested_services: frozenset[str] = frozenset()
        self._nested_admission_level = mailbox.Published[
            shedding.ObservedLevel
        ](
            initial=shedding.ObservedLevel(
                level=shedding.ADMIT_ALL_LEVEL, observed_at=0.0
            )
        )
        self._shed_policy = policy.shed_policy()
        self._demand = shedding.Demand()
        self._retry_buckets: dict[str, retries.RetryTokenBucket] = {}
        # By service: when it was worked out, and the policy.
        self._retry_policies: dict[str, tuple[float, retries.Policy]] = {}
        self._latencies: dict[str, routing.LatencyEstimate] = {}
        # By service: when it was computed, and the slowness by VM.
        self._slowness: dict[str, tuple[float, dict[str, float]]] = {}
        # By service: run times by VM and route, and their comparison.
        self._run_times: dict[str, dict[tuple[str, str], completion.Mean]] = {}
        # By service and VM: failures of calls, each 1 or 0.
        self._failures: dict[str, dict[str, completion.Mean]] = {}
        self._comparisons: dict[str, _Comparison] = {}
        # By VM, as the last answer told.
        self._seen_loads: dict[str, completion.SeenLoad] = {}
        # By VM: calls sent since the last report of its load, and not ended.
        self._sent_since: collections.Counter[str] = collections.Counter()
        self._indexed_view: model.NodeView | None = None
        self._by_service: dict[str, list[model.NodeRecord]] = {}
        # The same, split into those of this data centre and the others.
        self._by_distance: dict[
            str, tuple[list[model.NodeRecord], list[model.NodeRecord]]
        ] = {}

    @property
    def admission_levels(
        self,
    ) -> mailbox.Published[dict[str, shedding.ObservedLevel]]:
        """The last observed admission level of each service."""
        return self._admission_levels

    @property
    def nested_admission_level(
        self,
    ) -> mailbox.Published[shedding.ObservedLevel]:
        """The lowest level of the services that the local upstream calls."""
        return self._nested_admission_level

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        now = clock.monotonic()
        match message:
            case messages.ChooseUpstream():
                reply.put(self._choose_upstream(message, now))
            case messages.AttemptEnded():
                self._on_attempt_ended(message, now)
            case messages.CallArrived():
                if message.nested:
                    self._nested_services |= {message.service}
                self._demand = shedding.record_arrival(
                    self._demand,
                    message.service,
                    message.priority,
                    message.organisation,
                    now,
                )
            case messages.FirstAttempt(service=service):
                key = retries.token_bucket_key(self._retry_policy, service)
                self._retry_buckets[key] = retries.on_first_attempt(
                    self._retry_bucket(key),
                    self._retry_policy_for(service, now),
                )
            case messages.MayRetry():
                reply.put(self._may_retry(message, now))

    def _choose_upstream(
        self, message: messages.ChooseUpstream, now: float
    ) -> messages.UpstreamChoice | None:
        self._index_records(now)
        records = self._by_service.get(message.service, [])
        usable = records
        if self._ejected:
            usable = [r for r in records if self._is_usable(r.vm, now)]
            # With all upstreams ejected, one that failed is better than none.
            usable = usable or records
        match self._routing_policy:
            case routing.ExpectedCompletion() as policy:
                choice = self._choose_by_estimates(policy, usable, message, now)
            case _:
                untried = [r for r in usable if r.vm not in message.avoid]
                choice = self._choose(
                    tuple(
                        self._to_candidate(record, now)
                        for record in untried or usable
                    ),
                    len(message.avoid),
                    now,
                )
        if choice is None:
            return None
        self._in_flight[choice.vm] += 1
        self._sent_since[choice.vm] += 1
        health = self._health_of(choice.vm)
        if health.ejections:
            self._health[choice.vm] = routing.start_probe(health)
        return choice

    def _choose(
        self,
        candidates: tuple[routing.Candidate, ...],
        attempts: int,
        now: float,
    ) -> messages.UpstreamChoice | None:
        chosen = routing.choose_upstream(
            self._routing_policy,
            candidates,
            self._data_centre,
            (self._random.random(), self._random.random()),
            now,
        )
        if chosen is None:
            return None
        return messages.UpstreamChoice(
            vm=chosen.vm,
            address=self._view.value.records[chosen.vm].peer_address,
            may_wait=routing.may_wait(
                self._routing_policy, chosen, candidates, attempts
            ),
        )

    def _choose_by_estimates(
        self,
        policy: routing.ExpectedCompletion,
        usable: list[model.NodeRecord],
        message: messages.ChooseUpstream,
        now: float,
    ) -> messages.UpstreamChoice | None:
        """Returns the choice among estimated candidates.

        Those of other data centres are looked at only if calls leave this one,
        which saves most of the processor time.
        """
        comparison = self._comparison_of(message.service, now)
        near_records, far_records = self._split_untried(usable, message)
        near = self._estimate_all(near_records, message, comparison, now)
        if not comparison.rooms_known:
            # Without the loads of the data centres, each call is decided by
            # what this node has seen of the upstreams.
            attempts = len(message.avoid)
            if routing.has_room(policy, near):
                return self._choose(near, attempts, now)
            everywhere = near + self._estimate_all(
                far_records, message, comparison, now
            )
            return self._choose(
                everywhere
                or self._estimate_all(usable, message, comparison, now),
                attempts,
                now,
            )
        if not message.avoid:
            self._flows[message.service] = spillover.on_call(
                self._flow_of(message.service),
                self._shares.get(message.service, spillover.NO_SHARES),
                now,
            )
        if near:
            return self._choose_near(
                policy, message, comparison, near, far_records, now
            )
        return self._choose_after_near(
            policy, message, comparison, usable, far_records, now
        )

    def _split_untried(
        self,
        usable: list[model.NodeRecord],
        message: messages.ChooseUpstream,
    ) -> tuple[list[model.NodeRecord], list[model.NodeRecord]]:
        """Returns the untried records of this data centre, and the others."""
        if usable is self._by_service.get(message.service):
            near, far = self._by_distance[message.service]
        else:
            near, far = self._split_by_distance(usable)
        avoid = message.avoid
        if avoid:
            near = [r for r in near if r.vm not in avoid]
            far = [r for r in far if r.vm not in avoid]
        return near, far

    def _split_by_distance(
        self, records: list[model.NodeRecord]
    ) -> tuple[list[model.NodeRecord], list[model.NodeRecord]]:
        """Returns the records of this data centre, and the others."""
        here = self._data_centre
        return (
            [r for r in records if r.data_centre == here],
            [r for r in records if r.data_centre != here],
        )

    def _estimate_all(
        self,
        records: Iterable[model.NodeRecord],
        message: messages.ChooseUpstream,
        comparison: _Comparison,
        now: float,
    ) -> tuple[routing.Candidate, ...]:
        bases = comparison.candidates.get(message.route)
        if bases is None:
            bases = comparison.candidates[message.route] = {}
        return tuple(
            [
                self._estimate(record, message.route, bases, comparison, now)
                for record in records
            ]
        )

    def _choose_near(
        self,
        policy: routing.ExpectedCompletion,
        message: messages.ChooseUpstream,
        comparison: _Comparison,
        near: tuple[routing.Candidate, ...],
        far_records: list[model.NodeRecord],
        now: float,
    ) -> messages.UpstreamChoice | None:
        """Chooses while upstreams here are untried; the call may leave."""
        attempts = len(message.avoid)
        there, cause = None, "share"
        is_full = routing.are_full(policy, near)
        if message.avoid:
            if is_full and attempts < policy.moves:
                there = self._overflow_to(message, near, comparison)
                cause = "overflow"
        elif not routing.is_free_here(policy, near):
            there = self._leave_for(message)
        if there is not None:
            far = self._estimate_all(
                (r for r in far_records if r.data_centre == there),
                message,
                comparison,
                now,
            )
            choice = self._choose(far, attempts, now)
            if choice is not None:
                self._count_crossing(message.service, cause, there)
                # It doesn't wait where it takes room from others.
                return dataclasses.replace(
                    choice, may_wait=attempts >= policy.moves
                )
        choice = self._choose(near, attempts, now)
        if (
            choice is not None
            and not message.avoid
            and is_full
            and self._overflow_to(message, near, comparison) is not None
        ):
            # If it is full indeed, the call leaves with the next attempt.
            return dataclasses.replace(choice, may_wait=False)
        return choice

    def _choose_after_near(
        self,
        policy: routing.ExpectedCompletion,
        message: messages.ChooseUpstream,
        comparison: _Comparison,
        usable: list[model.NodeRecord],
        far_records: list[model.NodeRecord],
        now: float,
    ) -> messages.UpstreamChoice | None:
        """Chooses once no upstream here is left that the call hasn't tried."""
        attempts = len(message.avoid)
        tried = self._estimate_all(
            (r for r in usable if r.data_centre == self._data_centre),
            message,
            comparison,
            now,
        )
        # With no other data centre within reach, any is better than none.
        far_records = [
            r
            for r in far_records
            if self._reach_of(r.data_centre).blocked_until <= now
        ] or far_records
        if tried and routing.are_full(policy, tried):
            # A full data centre elsewhere would only refuse the call too.
            bound = spillover.max_load_to_overflow(
                comparison.loads.get(self._data_centre)
            )
            far_records = [
                r
                for r in far_records
                if comparison.loads.get(r.data_centre, 0.0) < bound
            ]
        far = self._estimate_all(far_records, message, comparison, now)
        choice = self._choose(far, attempts, now)
        if choice is None:
            return self._choose(
                tried or self._estimate_all(usable, message, comparison, now),
                attempts,
                now,
            )
        there = self._view.value.records[choice.vm].data_centre
        self._count_crossing(
            message.service, "refused" if tried else "no-upstream", there
        )
        if not tried:
            return choice
        return dataclasses.replace(choice, may_wait=attempts >= policy.moves)

    def _leave_for(self, message: messages.ChooseUpstream) -> str | None:
        """Returns the data centre that a call goes to; None if it stays."""
        shares = self._shares.get(message.service, spillover.NO_SHARES)
        if not shares.by_data_centre:
            return None
        there = shares.pick(self._random.random())
        if there is None or not self._is_worth_its_size(message, there):
            return None
        return there

    def _overflow_to(
        self,
        message: messages.ChooseUpstream,
        near: tuple[routing.Candidate, ...],
        comparison: _Comparison,
    ) -> str | None:
        """Returns where a call may go that finds this data centre full."""
        there = self._flow_of(message.service).best_credit()
        if there is None:
            return None
        wait = routing.shortest_wait(near) * comparison.run_s
        reach = self._reach_of(there)
        cost = self._policy.crossing_cost_ms / 1000
        if wait <= cost + (reach.round_trip or spillover.ROUND_TRIP):
            return None
        return there if self._is_worth_its_size(message, there) else None

    def _is_worth_its_size(
        self, message: messages.ChooseUpstream, there: str
    ) -> bool:
        return spillover.pays(
            self._shares.get(message.service, spillover.NO_SHARES),
            there,
            self._policy.crossing_cost_ms / 1000,
            message.size + self._response_sizes.get(message.route, 0.0),
        )

    def _flow_of(self, service: str) -> spillover.Flow:
        return self._flows.get(service, spillover.Flow())

    def _count_crossing(self, service: str, cause: str, there: str) -> None:
        self._metrics.count("calls_sent_out", cause=cause, to=there)
        self._flows[service] = spillover.on_sent(self._flow_of(service), there)

    def _update_shares(
        self, service: str, rooms: dict[str, spillover.Room], now: float
    ) -> None:
        before = self._shares.get(service, spillover.NO_SHARES)
        near_loads = [
            seen.load
            for record in self._by_service.get(service, ())
            if record.data_centre == self._data_centre
            and (seen := self._seen_loads.get(record.vm)) is not None
            and _shows_demand(seen, now)
        ]
        open_to = frozenset(
            record.data_centre
            for record in self._by_service.get(service, ())
            if record.data_centre != self._data_centre
            and self._is_usable(record.vm, now)
            and self._reach_of(record.data_centre).blocked_until <= now
        )
        situation = spillover.Situation(
            here=self._data_centre,
            service=service,
            summary=self._summary.value,
            open_to=open_to,
            round_trips={
                name: reach.round_trip
                for name, reach in self._reaches.items()
                if reach.round_trip
            },
            crossing_cost_s=self._policy.crossing_cost_ms / 1000,
            sent=self._flow_of(service).fractions(),
            seen_load=sum(near_loads) / len(near_loads) if near_loads else -1.0,
        )
        after = spillover.update(before, situation, now)
        self._shares[service] = after
        self._log_shares(service, before, after, rooms, now)

    def _log_shares(
        self,
        service: str,
        before: spillover.Shares,
        after: spillover.Shares,
        rooms: dict[str, spillover.Room],
        now: float,
    ) -> None:
        """Logs when calls begin or cease to leave the data centre."""
        if before.total or after.total:
            self._metrics.gauge("share_sent_out", after.total, service=service)
        leaves = bool(after.total)
        logged_at, logged = self._shares_logged.get(
            service, (float("-inf"), False)
        )
        if leaves == logged or now - logged_at < SHARES_LOG_INTERVAL:
            return
        self._shares_logged[service] = (now, leaves)
        logs.get().info(
            "calls leave the data centre"
            if leaves
            else "calls stay in the data centre again",
            extra={
                "service": service,
                "shares": {
                    name: round(share, 3)
                    for name, share in after.by_data_centre.items()
                },
                "loads": {
                    name: round(room.load, 2) for name, room in rooms.items()
                },
            },
        )

    def _reach_of(self, data_centre: str) -> spillover.Reach:
        return self._reaches.get(data_centre, spillover.Reach())

    def _observe_data_centre(
        self, message: messages.AttemptEnded, now: float
    ) -> None:
        """Records what an attempt says about its data centre."""
        record = self._view.value.records.get(message.vm)
        if record is None:
            return
        name = record.data_centre
        answered = message.result is messages.AttemptResult.ANSWERED
        if answered and message.route:
            size = self._response_sizes.get(message.route, float(message.size))
            size += SMOOTHING * (message.size - size)
            self._response_sizes[message.route] = size
        if name == self._data_centre:
            if answered and message.latency >= 0:
                usual = self._near_times.get(message.route, message.latency)
                usual += SMOOTHING * (message.latency - usual)
                self._near_times[message.route] = usual
            return
        if answered and message.latency >= 0:
            usual = self._near_times.get(message.route, message.latency)
            saved = usual - message.latency
            self._metrics.count(
                "crossing_seconds",
                abs(saved),
                result="saved" if saved >= 0 else "lost",
            )
        if (
            message.result is messages.AttemptResult.INCONCLUSIVE
            and message.load < 0
            and message.round_trip < 0
        ):
            # It was cancelled or ended at its deadline, and nothing was heard.
            return
        if not answered:
            self._flows[message.service] = spillover.on_returned(
                self._flow_of(message.service), name
            )
        # A refusal that tells a load was sent by a node there.
        failed = (
            message.result is messages.AttemptResult.CONNECTION_FAILED
            and message.load < 0
        )
        before = self._reach_of(name)
        after = spillover.on_attempt(
            before, failed=failed, round_trip=message.round_trip, now=now
        )
        self._reaches[name] = after
        if after.blocked_until > before.blocked_until:
            self._shares = {
                service: shares.without(name)
                for service, shares in self._shares.items()
            }
            logs.get().warning(
                "calls to a data centre fail", extra={"data_centre": name}
            )

    def _index_records(self, now: float) -> None:
        """Groups the records of ready upstreams by service.

        This is done once for all views that hold the same records. Each proof
        that they are the newest makes a new view.
        """
        view, indexed = self._view.value, self._indexed_view
        if view is indexed:
            return
        self._indexed_view = view
        if (
            indexed is not None
            and view.records is indexed.records
            and view.evacuated == indexed.evacuated
        ):
            return
        self._by_service = {}
        ready_since: dict[tuple[str, int], float] = {}
        for record in view.records.values():
            upstream = record.upstream
            if record.leaving or upstream is None:
                continue
            if upstream.state is not model.UpstreamState.READY:
                continue
            if record.data_centre in view.evacuated:
                continue
            self._by_service.setdefault(upstream.service, []).append(record)
            key = (record.vm, record.incarnation)
            ready_since[key] = self._ready_since.get(key, now)
        self._ready_since = ready_since
        self._by_distance = {
            service: self._split_by_distance(records)
            for service, records in self._by_service.items()
        }
        # Their candidates hold what the records before said.
        self._comparisons = {
            service: dataclasses.replace(comparison, candidates={})
            for service, comparison in self._comparisons.items()
        }
        self._health = {
            vm: health
            for vm, health in self._health.items()
            if vm in view.records
        }
        self._ejected.intersection_update(view.records)
        self._run_times = {
            service: kept
            for service, run_times in self._run_times.items()
            if (
                kept := {
                    key: run_time
                    for key, run_time in run_times.items()
                    if key[0] in view.records
                    and run_time.weight_at(now) > MIN_WEIGHT
                }
            )
        }
        self._failures = {
            service: {
                vm: mean for vm, mean in failures.items() if vm in view.records
            }
            for service, failures in self._failures.items()
        }
        self._seen_loads = {
            vm: seen
            for vm, seen in self._seen_loads.items()
            if vm in view.records
        }

    def _estimate(
        self,
        record: model.NodeRecord,
        route: str,
        bases: dict[str, routing.Candidate],
        comparison: _Comparison,
        now: float,
    ) -> routing.Candidate:
        """Returns the estimate for one upstream.

        Args:
          record: The record of its node.
          route: The route of the call.
          bases: What earlier calls of the route found, by VM; replaced with the
            comparison.
          comparison: The upstreams of the service.
          now: Monotonic seconds.
        """
        vm = record.vm
        base = bases.get(vm)
        if base is None:
            base = bases[vm] = self._base_of(record, route, comparison)
        slots = base.slots
        sent_since = self._sent_since
        load, spread = completion.believed_load(
            self._seen_loads.get(vm),
            sent_since[vm] / max(1, slots) if vm in sent_since else 0.0,
            comparison.usual_load,
            now,
        )
        return frozen.replace(
            base,
            in_flight=self._in_flight.get(vm, 0),
            load=load,
            load_spread=spread,
        )

    def _base_of(
        self, record: model.NodeRecord, route: str, comparison: _Comparison
    ) -> routing.Candidate:
        """Returns a candidate without what changes with each call."""
        assert record.upstream is not None
        vm = record.vm
        return routing.Candidate(
            vm=vm,
            data_centre=record.data_centre,
            slots=record.upstream.slots,
            relative_time=comparison.times.relative_time(vm, route)
            * comparison.failure_costs.get(vm, 1.0),
            is_local=vm == self._vm,
        )

    def _comparison_of(self, service: str, now: float) -> _Comparison:
        """Returns the comparison of a service's upstreams, made lately."""
        comparison = self._comparisons.get(service)
        if (
            comparison is not None
            and now - comparison.made_at <= COMPARISON_TTL
        ):
            return comparison
        loads = [
            seen.load
            for record in self._by_service.get(service, ())
            if (seen := self._seen_loads.get(record.vm)) is not None
            and _shows_demand(seen, now)
        ]
        rooms = self._summary.value.rooms_of(service, now)
        if rooms:
            self._update_shares(service, rooms, now)
        comparison = _Comparison(
            loads={name: room.load for name, room in rooms.items()},
            rooms_known=bool(rooms),
            run_s=max((room.run_s for room in rooms.values()), default=0.0),
            made_at=now,
            times=completion.compare(
                self._run_times.get(service, {}),
                now,
                self._told_times(service),
            ),
            failure_costs=completion.failure_costs(
                self._failures.get(service, {}), now
            ),
            usual_load=sum(loads) / len(loads) if loads else UNKNOWN_LOAD,
        )
        self._comparisons[service] = comparison
        return comparison

    def _told_times(self, service: str) -> dict[str, float] | None:
        """Returns the relative run times that the controls told.

        They tell of no upstream whose run time is the usual one.
        """
        told = self._summary.value.relative_times
        if not told:
            return None
        return {
            record.vm: told.get(record.vm, 1.0)
            for record in self._by_service.get(service, ())
        }

    def _record_run_time(
        self, message: messages.AttemptEnded, now: float
    ) -> None:
        run_times = self._run_times.setdefault(message.service, {})
        key = (message.vm, message.route)
        before = run_times.get(key)
        if message.result is not messages.AttemptResult.ANSWERED:
            # The run was cut off, so that it would have taken longer.
            times = self._comparison_of(message.service, now).times
            usual = times.usual.get(message.route, message.run_time)
            known = before.value if before is not None else usual
            if message.run_time <= known:
                return
        run_times[key] = completion.update_mean(before, message.run_time, now)

    def _to_candidate(
        self, record: model.NodeRecord, now: float
    ) -> routing.Candidate:
        assert record.upstream is not None
        return routing.Candidate(
            vm=record.vm,
            data_centre=record.data_centre,
            slots=record.upstream.slots,
            in_flight=self._in_flight[record.vm],
            load=self._load_of(record.vm, now),
            slowness=self._slowness_of(record, now),
            is_local=record.vm == self._vm,
            ready_since=self._ready_since[(record.vm, record.incarnation)],
        )

    def _slowness_of(self, record: model.NodeRecord, now: float) -> float:
        """Returns how many times slower than its peers an upstream is."""
        assert record.upstream is not None
        service = record.upstream.service
        computed_at, slowness = self._slowness.get(service, (0.0, {}))
        if now - computed_at > SLOWNESS_TTL:
            # Each upstream is compared with the others of its service, so the
            # slowness of all of them is computed together.
            slowness = self._slowness_by_vm(service, now)
            self._slowness[service] = (now, slowness)
        return slowness.get(record.vm, 1.0)

    def _slowness_by_vm(self, service: str, now: float) -> dict[str, float]:
        latencies = {
            record.vm: latency
            for record in self._by_service.get(service, ())
            if (latency := self._latencies.get(record.vm)) is not None
        }
        peers = tuple(latencies.values())
        return {
            vm: routing.slowness(latency, peers, now)
            for vm, latency in latencies.items()
        }

    def _load_of(self, vm: str, now: float) -> float:
        """Returns the load in the last answer, or 0 if that is outdated."""
        seen = self._seen_loads.get(vm)
        if seen is None or now - seen.seen_at > routing.LOAD_TTL:
            return 0.0
        return seen.load

    def _is_usable(self, vm: str, now: float) -> bool:
        return vm not in self._ejected or routing.is_usable(
            self._health_of(vm), now
        )

    def _health_of(self, vm: str) -> routing.Health:
        return self._health.get(vm, routing.HEALTHY)

    def _on_attempt_ended(
        self, message: messages.AttemptEnded, now: float
    ) -> None:
        self._in_flight[message.vm] -= 1
        if self._in_flight[message.vm] <= 0:
            del self._in_flight[message.vm]
        if message.latency >= 0:
            self._latencies[message.vm] = routing.update_latency(
                self._latencies.get(message.vm), message.latency, now
            )
        if message.run_time >= 0:
            self._record_run_time(message, now)
        if message.failed is not None:
            failures = self._failures.setdefault(message.service, {})
            failures[message.vm] = completion.update_mean(
                failures.get(message.vm),
                float(message.failed),
                now,
                completion.FAILURES_WEIGHT,
            )
        if message.load >= 0:
            self._seen_loads[message.vm] = completion.SeenLoad(
                load=message.load / routing.LOAD_SCALE, seen_at=now
            )
            self._sent_since.pop(message.vm, None)
        elif self._sent_since.get(message.vm, 0) > 1:
            self._sent_since[message.vm] -= 1
        else:
            self._sent_since.pop(message.vm, None)
        if message.level >= 0:
            self._record_level(message, now)
        self._observe_data_centre(message, now)
        previous = self._health_of(message.vm)
        match message.result:
            case messages.AttemptResult.INCONCLUSIVE:
                current = routing.on_inconclusive(previous)
            case messages.AttemptResult.CONNECTION_FAILED:
                current = routing.on_failure(previous, now)
            case messages.AttemptResult.ANSWERED | messages.AttemptResult.ERROR:
                current = routing.on_answer(
                    previous,
                    message.result is messages.AttemptResult.ERROR,
                    self._peer_health(message)
                    if message.result is messages.AttemptResult.ERROR
                    else (),
                    now,
                )
        if current.ejections > previous.ejections:
            self._metrics.count("ejections")
            self._events.record("upstream.ejected", detail=message.vm)
        elif previous.ejections and not current.ejections:
            self._events.record("upstream.readmitted", detail=message.vm)
        self._health[message.vm] = current
        if current.ejections:
            self._ejected.add(message.vm)
        else:
            self._ejected.discard(message.vm)

    def _peer_health(
        self, message: messages.AttemptEnded
    ) -> tuple[routing.Health, ...]:
        """Returns the health of the other upstreams of the service."""
        return tuple(
            self._health_of(record.vm)
            for record in self._by_service.get(message.service, [])
            if record.vm != message.vm
        )

    def _record_level(self, message: messages.AttemptEnded, now: float) -> None:
        """Records the admission level of one upstream, from an answer.

        Publishes the mean over the service's upstreams in our data centre; one
        without a recent level counts as admitting everything.
        """
        self._levels_by_upstream[(message.service, message.vm)] = (
            message.level,
            now,
        )
        self._index_records(now)
        levels = []
        for record in self._by_service.get(message.service, []):
            if record.data_centre != self._data_centre:
                continue
            level, recorded_at = self._levels_by_upstream.get(
                (message.service, record.vm), (-1, 0.0)
            )
            is_recent = level >= 0 and now - recorded_at < shedding.LEVEL_TTL
            levels.append(
                level / shedding.LEVEL_SCALE
                if is_recent
                else shedding.ADMIT_ALL_LEVEL
            )
        mean = sum(levels) / len(levels) if levels else shedding.ADMIT_ALL_LEVEL
        published = self._admission_levels.value.get(message.service)
        if (
            published is None
            or published.level != mean
            or now - published.observed_at > LEVEL_REPUBLISH_INTERVAL
        ):
            observed = shedding.observe_level(
                self._shed_policy, mean, message.service, self._demand, now
            )
            levels_by_service = {
                **self._admission_levels.value,
                message.service: observed,
            }
            self._admission_levels.publish(levels_by_service)
            self._publish_nested_level(levels_by_service)

    def _publish_nested_level(
        self, levels: dict[str, shedding.ObservedLevel]
    ) -> None:
        """Publishes the lowest level of the services called by our upstream.

        Answers of the local upstream carry it to their callers.
        """
        nested = [
            levels[name] for name in self._nested_services if name in levels
        ]
        if nested:
            self._nested_admission_level.publish(
                min(nested, key=lambda observed: observed.level)
            )

    def _retry_bucket(self, key: str) -> retries.RetryTokenBucket:
        bucket = self._retry_buckets.get(key)
        return bucket or retries.new_token_bucket(self._retry_policy)

    def _retry_policy_for(self, service: str, now: float) -> retries.Policy:
        made_at, policy = self._retry_policies.get(
            service, (float("-inf"), self._retry_policy)
        )
        if now - made_at >= COMPARISON_TTL:
            rooms = self._summary.value.rooms_of(service, now)
            policy = retries.policy_for_chain(
                self._retry_policy,
                max((room.chain for room in rooms.values()), default=0),
                len(self._view.value.records),
            )
            self._retry_policies[service] = (now, policy)
        return policy

    def _may_retry(self, message: messages.MayRetry, now: float) -> bool:
        policy = self._retry_policy_for(message.call.service, now)
        key = retries.token_bucket_key(self._retry_policy, message.call.service)
        bucket = self._retry_bucket(key)
        allowed = retries.should_retry(
            policy,
            message.call,
            message.refusal,
            message.attempts,
            bucket,
            now,
        )
        if allowed:
            self._retry_buckets[key] = retries.on_retry(
                bucket, retries.retry_cost(policy, message.refusal)
            )
            self._metrics.count("retries", service=message.call.service)
        elif retries.reserved_tokens(
            policy, message.call
        ) and retries.should_retry(
            policy,
            frozen.replace(message.call, urgency=None),
            message.refusal,
            message.attempts,
            bucket,
            now,
        ):
            self._metrics.count(
                "retries_withheld", service=message.call.service
            )
        return allowed


def _shows_demand(seen: completion.SeenLoad, now: float) -> bool:
    """Returns whether a load is recent and that of an upstream in use."""
    blocked = routing.BLOCKED_LOAD / routing.LOAD_SCALE
    return seen.age(now) <= routing.LOAD_TTL and seen.load != blocked
