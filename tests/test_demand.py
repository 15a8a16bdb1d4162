from __future__ import annotations

import random

import pytest

from sassafrashall import clock
from sassafrashall import configuration
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.controllers import demand_monitor
from sassafrashall.decisions import demand
from sassafrashall.decisions import return_times
from sassafrashall.decisions import route_table
from sassafrashall.decisions import tree_admission
from sassafrashall.filters import demand as demand_filter
from sassafrashall.filters import routed_dispatch
from sassafrashall.filters import tree_admission as tree_admission_filter
from tests import fakes

UPSTREAM = model.Upstream(
    service="middle",
    address=model.Address(host="127.0.0.1", port=1),
    slots=8,
    connection_limit=0,
    state=model.UpstreamState.READY,
)


class _FakeClock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def fake_clock(monkeypatch):
    fake = _FakeClock()
    monkeypatch.setattr(clock, "monotonic", fake)
    return fake


def _monitor(upstream=UPSTREAM):
    published = mailbox.Published[model.Upstream | None](initial=upstream)
    return demand_monitor.DemandMonitor(
        local_upstream=published, usable_slots=mailbox.Published(initial=8)
    )


async def test_calls_are_attributed_to_the_routes_that_make_them(fake_clock):
    """Pattern: two routes on one service, only one of which calls on.

    Counted by service alone, the calls would be charged to both, and the roots
    of a route that needs nothing of the narrow service would be refused.
    """
    monitor = _monitor()
    draw = random.Random(1)
    events = []
    at = 0.0
    while at < 20.0:
        at += draw.expovariate(12.0)
        if draw.random() < 0.6:
            # Four calls, 90 ms apart.
            events += [(at, "start", "sync"), (at + 0.4, "end", "sync")]
            events += [(at + 0.02 + 0.09 * i, "call", "feed") for i in range(4)]
        else:
            length = draw.expovariate(1 / 0.8)
            events += [(at, "start", "calendar")]
            events += [(at + length, "end", "calendar")]
    async with fakes.started(monitor):
        tell = monitor.mailbox.tell
        read_at = 0.0
        for at, kind, route in sorted(events):
            fake_clock.now = 1000.0 + at
            if at - read_at > 0.5:
                read_at = at
                await monitor.mailbox.ask(messages.ReadDemand())
            if kind == "start":
                tell(messages.RunStarted(route=route, service="middle"))
            elif kind == "end":
                tell(
                    messages.RunEnded(
                        route=route, service="middle", seconds=0.4
                    )
                )
            else:
                tell(messages.UpstreamCalled(route=route))
        reported = await monitor.mailbox.ask(messages.ReadDemand())
    by_route = {route.route: route for route in reported.routes}

    def calls_per_run(name):
        route = by_route[name]
        return sum(call.count for call in route.calls) / route.started

    assert calls_per_run("sync") == pytest.approx(4.0, rel=0.15)
    assert calls_per_run("calendar") < 0.4


async def test_roots_are_reported_as_a_rate(fake_clock):
    monitor = _monitor()
    async with fakes.started(monitor):
        for step in range(1, 101):
            fake_clock.now = 1000.0 + step * 0.05
            monitor.mailbox.tell(
                messages.RootArrived(
                    route="view", priority=model.Priority.BULK, weight=2.0
                )
            )
            if step % 10 == 0:
                reported = await monitor.mailbox.ask(messages.ReadDemand())
    (route,) = reported.routes
    assert route.roots[model.Priority.BULK] == pytest.approx(40.0, rel=0.2)
    assert route.roots[model.Priority.CRITICAL] == 0
    assert reported.services == (
        demand.ServiceSlots(service="middle", slots=8, busy=0, completions=0.0),
    )


async def test_what_ended_is_forgotten(fake_clock):
    monitor = _monitor(upstream=None)
    async with fakes.started(monitor):
        monitor.mailbox.tell(
            messages.RootArrived(
                route="view", priority=model.Priority.BULK, weight=1.0
            )
        )
        monitor.mailbox.tell(messages.RunStarted(route="r", service="middle"))
        monitor.mailbox.tell(
            messages.RunEnded(route="r", service="middle", seconds=1.0)
        )
        for _ in range(3):
            fake_clock.now += 60.0
            reported = await monitor.mailbox.ask(messages.ReadDemand())
    assert reported == demand.Demand()


def test_demand_adds_up_over_nodes():
    one = demand.Demand(
        routes=(
            demand.RouteDemand(route="r", roots=(1.0, 0.0, 2.0)),
            demand.RouteDemand(
                route="r",
                service="s",
                started=1,
                ended=1,
                busy_s=0.5,
                calls=(demand.Calls(route="c", count=2),),
            ),
        ),
        services=(demand.ServiceSlots(service="s", slots=3),),
    )
    total = demand.add_up((one, one, demand.Demand()))
    assert total.services == (demand.ServiceSlots(service="s", slots=6),)
    assert total.routes[0].roots == (2.0, 0.0, 4.0)
    assert total.routes[1].busy_s == 1.0
    assert total.routes[1].calls == (demand.Calls(route="c", count=4),)


def test_a_part_that_is_cut_off_no_longer_counts():
    one = demand.Demand(
        services=(demand.ServiceSlots(service="s", slots=3),),
    )
    fleet = demand.on_heartbeat(demand.FleetDemand(), "vm-1", one, 10.0)
    fleet = demand.on_gossip(fleet, "control-2", one, 10.0)
    assert demand.demand_of_fleet(fleet, 11.0).services[0].slots == 6
    assert demand.demand_of_nodes(fleet, 11.0).services[0].slots == 3
    fleet = demand.on_heartbeat(fleet, "vm-1", one, 13.5)
    assert demand.demand_of_fleet(fleet, 13.5).services[0].slots == 3
    assert not demand.forget_outdated(fleet, 13.5).controls
    assert set(demand.forget_outdated(fleet, 13.5).nodes) == {"vm-1"}
    # A build that doesn't measure it reports nothing.
    assert demand.on_heartbeat(fleet, "vm-2", None, 13.5) is fleet
    assert demand.on_gossip(fleet, "control-3", None, 13.5) is fleet


def _published(level=None, at=None):
    levels = {}
    if level is not None:
        levels["view"] = tree_admission.RouteLevel(
            route="view", level=level, service="narrow"
        )
    return mailbox.Published(
        initial=tree_admission.RouteLevels(
            levels=levels,
            received_at=clock.monotonic() if at is None else at,
        )
    )


def _call(number=0, *, depth=0, priority=model.Priority.BULK):
    return fakes.call(
        route="view", root_id=f"root-{number}", depth=depth, priority=priority
    )


async def test_roots_are_refused_by_the_level_of_their_route_and_calls_never():
    counters = fakes.counters()
    tested = tree_admission_filter.TreeAdmissionFilter(
        levels=_published(2.0), counters=counters
    )
    results = [await tested.handle(_call(n)) for n in range(200)]
    refused = [r for r in results if isinstance(r, model.Refuse)]
    assert len(refused) > 180
    for refusal in refused:
        assert refusal.run is model.RunState.NOT_RUN
        assert refusal.retry_after_s >= return_times.MIN_RETRY_AFTER
        assert "narrow" in refusal.detail
    for n in range(200):
        nested = await tested.handle(_call(n, depth=1))
        urgent = await tested.handle(_call(n, priority=model.Priority.NORMAL))
        assert isinstance(nested, model.Forward)
        assert isinstance(urgent, model.Forward)


async def test_levels_that_are_not_renewed_refuse_nothing():
    tested = tree_admission_filter.TreeAdmissionFilter(
        levels=_published(0.0, at=clock.monotonic() - 10.0),
        counters=fakes.counters(),
    )
    for n in range(50):
        assert isinstance(await tested.handle(_call(n)), model.Forward)


def _table(*, keyed):
    return mailbox.Published(
        initial=route_table.compile_table(
            configuration.Configuration(version=1, keyed=keyed)
        )
    )


async def test_an_admitted_root_stands_for_those_kept_out():
    monitor = fakes.ScriptedController(lambda message: None)
    async with fakes.started(monitor):
        tested = demand_filter.DemandFilter(
            monitor=monitor.mailbox,
            levels=_published(2.25),
            table=_table(keyed=True),
        )
        await tested.handle(_call())
        await tested.handle(_call(priority=model.Priority.CRITICAL))
        await tested.handle(_call(depth=1))
    assert monitor.received == [
        messages.RootArrived(
            route="view", priority=model.Priority.BULK, weight=4.0
        ),
        messages.RootArrived(
            route="view", priority=model.Priority.CRITICAL, weight=1.0
        ),
        messages.UpstreamCalled(route="view"),
    ]


async def test_nothing_is_counted_where_roots_and_calls_look_the_same():
    """Without keys, calls of upstreams would be limited like roots."""
    monitor = fakes.ScriptedController(lambda message: None)
    async with fakes.started(monitor):
        tested = demand_filter.DemandFilter(
            monitor=monitor.mailbox,
            levels=_published(),
            table=_table(keyed=False),
        )
        assert isinstance(await tested.handle(_call()), model.Forward)
    assert not monitor.received


def _tree(calls, started=100.0):
    return demand.Demand(
        routes=(
            demand.RouteDemand(
                route="r",
                service="s",
                started=started,
                calls=(demand.Calls(route="c", count=calls),),
            ),
        )
    )


def _calls(held, observed):
    (route,) = demand.with_held_calls(observed, held).routes
    return route.calls[0].count / route.started


def test_trees_that_are_broken_off_do_not_look_cheaper():
    """Pattern: calls are refused, and their roots give up on the others."""
    held = demand.hold_calls_per_run(demand.CallsPerRun(), _tree(400.0), 0.0)
    for step in range(1, 9):
        held = demand.hold_calls_per_run(held, _tree(200.0), step * 0.25)
    assert _calls(held, _tree(200.0)) > 3.5
    for step in range(9, 400):
        held = demand.hold_calls_per_run(held, _tree(200.0), step * 0.25)
    assert _calls(held, _tree(200.0)) < 2.2


def test_trees_that_are_broken_off_stay_known_while_calls_are_refused():
    """Pattern: a narrow service sheds half of its calls for half a minute.

    Guards against trees of four calls that seem to make two, after 15 s.
    """
    held = demand.hold_calls_per_run(demand.CallsPerRun(), _tree(400.0), 0.0)
    for second in range(1, 31):
        held = demand.hold_calls_per_run(
            held, _tree(150.0), float(second), refusing=True
        )
    assert _calls(held, _tree(150.0)) > 3.5


def test_more_calls_than_held_count_at_once():
    held = demand.hold_calls_per_run(demand.CallsPerRun(), _tree(100.0), 0.0)
    held = demand.hold_calls_per_run(held, _tree(400.0), 0.25)
    assert _calls(held, _tree(400.0)) == pytest.approx(4.0)


def test_few_runs_are_not_held():
    few = _tree(400.0, started=10.0)
    held = demand.hold_calls_per_run(demand.CallsPerRun(), few, 0.0)
    assert not held.numbers
    assert _calls(held, few) == pytest.approx(40.0)


def test_one_call_in_a_short_time_is_no_high_rate():
    """A node that has just started would make all trees look dear."""
    rates = demand.attribute_calls([(("r", 1),)], {"r": 0.002}, {})
    assert rates["r"] <= 1.0


def test_a_held_number_stays_near_what_is_observed():
    held = demand.hold_calls_per_run(demand.CallsPerRun(), _tree(9000.0), 0.0)
    held = demand.hold_calls_per_run(held, _tree(200.0), 0.25)
    assert _calls(held, _tree(200.0)) <= 4.0


def test_a_number_is_held_while_few_runs_are_observed():
    """Pattern: hardly any roots are admitted, so that estimates are noise."""
    held = demand.hold_calls_per_run(demand.CallsPerRun(), _tree(400.0), 0.0)
    few = _tree(9000.0, started=10.0)
    for step in range(1, 40):
        held = demand.hold_calls_per_run(held, few, step * 0.25)
    assert _calls(held, few) == pytest.approx(4.0)


async def test_runs_that_grow_longer_do_not_make_more_calls(fake_clock):
    """Pattern: the service that is called turns slow.

    Runs take ten times as long, and make the same two calls each.
    """
    monitor = _monitor()
    async with fakes.started(monitor):
        tell = monitor.mailbox.tell
        for length in [0.1] * 60 + [1.0] * 8:
            tell(messages.RunStarted(route="r", service="middle"))
            for _ in range(2):
                fake_clock.now += length / 2
                tell(messages.UpstreamCalled(route="c"))
            tell(messages.RunEnded(route="r", service="middle", seconds=length))
            await monitor.mailbox.ask(messages.ReadDemand())
        reported = await monitor.mailbox.ask(messages.ReadDemand())
    (route,) = reported.routes
    assert route.calls[0].count / route.started == pytest.approx(2.0, rel=0.1)


async def _urgency_of_call(monitor, route):
    return await monitor.mailbox.ask(messages.UpstreamCalled(route=route))


async def _run(monitor, route, urgency, *, calls=()):
    """Runs a request to its end, with the calls that it makes."""
    fields = {"route": route, "service": "middle", "urgency": urgency}
    monitor.mailbox.tell(messages.RunStarted(**fields))
    for called in calls:
        await _urgency_of_call(monitor, called)
    monitor.mailbox.tell(messages.RunEnded(seconds=0.1, **fields))


async def test_a_call_has_the_class_of_the_most_urgent_run_that_may_make_it(
    fake_clock,
):
    """Pattern: urgent and other roots on one service, whose calls look alike.

    Guards against calls of an urgent root that wait like those of others, and
    against calls that are urgent only because of runs that make no calls.
    """
    monitor = _monitor()
    async with fakes.started(monitor):
        assert await _urgency_of_call(monitor, "feed") is None
        for _ in range(8):
            fake_clock.now += 1.0
            await _run(
                monitor, "sync", model.Priority.BULK, calls=("feed", "feed")
            )
            await _run(monitor, "check", model.Priority.CRITICAL)
        for route, urgency in (
            ("sync", model.Priority.BULK),
            ("check", model.Priority.CRITICAL),
        ):
            monitor.mailbox.tell(
                messages.RunStarted(
                    route=route, service="middle", urgency=urgency
                )
            )
        # The run of "check" makes no calls.
        assert await _urgency_of_call(monitor, "feed") is model.Priority.BULK
        urgent = {
            "route": "sync",
            "service": "middle",
            "urgency": model.Priority.CRITICAL,
        }
        monitor.mailbox.tell(messages.RunStarted(**urgent))
        assert (
            await _urgency_of_call(monitor, "feed") is model.Priority.CRITICAL
        )
        monitor.mailbox.tell(messages.RunEnded(seconds=0.1, **urgent))
        assert await _urgency_of_call(monitor, "feed") is model.Priority.BULK


async def test_the_class_of_the_root_is_set_only_if_the_queue_uses_it():
    monitor = fakes.ScriptedController(lambda message: model.Priority.CRITICAL)
    async with fakes.started(monitor):
        for estimates, of_nested, of_root in (
            (False, None, None),
            (True, model.Priority.CRITICAL, model.Priority.BULK),
        ):
            tested = demand_filter.DemandFilter(
                monitor=monitor.mailbox,
                levels=_published(),
                table=_table(keyed=True),
                estimates_urgency=estimates,
            )
            nested = await tested.handle(_call(depth=1))
            root = await tested.handle(_call())
            assert nested.call.urgency is of_nested
            assert root.call.urgency is of_root


async def test_outcomes_of_nested_calls_are_reported_as_rates(fake_clock):
    """Pattern: a narrow service sheds; its callers report what they lose.

    Guards against a loss of capacity that shows only seconds later.
    """
    monitor = _monitor()

    async def report(completed, rejected):
        fake_clock.now += 0.5
        for _ in range(completed):
            fields = {"route": "feed", "service": "middle"}
            monitor.mailbox.tell(messages.RunStarted(**fields))
            monitor.mailbox.tell(
                messages.RunEnded(seconds=0.1, completed=True, **fields)
            )
        for _ in range(rejected):
            monitor.mailbox.tell(messages.CallRejected(service="narrow"))
        return await monitor.mailbox.ask(messages.ReadDemand())

    async with fakes.started(monitor):
        for _ in range(8):
            before = await report(100, 0)
        after = await report(100, 50)
        for _ in range(20):
            later = await report(0, 0)
    assert before.services[0].completions == pytest.approx(200.0, rel=0.01)
    assert not before.sheds
    (sheds,) = after.sheds
    assert sheds.service == "narrow"
    assert sheds.per_second == pytest.approx(50.0, rel=0.05)
    assert later.services[0].completions < 1.0
    assert not later.sheds
    (sheds,) = demand.add_up((after, before, after)).sheds
    assert sheds.per_second == pytest.approx(100.0, rel=0.05)


async def test_runs_that_the_upstream_refused_are_reported(fake_clock):
    """Guards against a cost of calls that is diluted by refused ones."""
    monitor = _monitor()
    fields = {"route": "feed", "service": "middle"}
    async with fakes.started(monitor):
        for refused in (True, False, False):
            monitor.mailbox.tell(messages.RunStarted(**fields))
            monitor.mailbox.tell(
                messages.RunEnded(seconds=0.1, refused=refused, **fields)
            )
        fake_clock.now += 0.01
        reported = await monitor.mailbox.ask(messages.ReadDemand())
    (route,) = reported.routes
    assert route.refused == pytest.approx(1.0, rel=0.01)
    assert route.ended == pytest.approx(3.0, rel=0.01)
    (both,) = demand.add_up((reported, reported)).routes
    assert both.refused == 2 * route.refused


@pytest.mark.parametrize("depth", [0, 1])
async def test_a_nested_call_that_no_upstream_takes_is_counted(depth):
    """A root that is refused has wasted nothing, so it is not counted."""
    monitor = fakes.ScriptedController(lambda message: None)
    # No upstream can be chosen.
    choices = fakes.ScriptedController(lambda message: None)
    async with fakes.started(monitor, choices):
        tested = routed_dispatch.RoutedDispatchFilter(
            node="vm",
            routing=choices.mailbox,
            links=choices.mailbox,
            local=None,
            event_log=fakes.event_log(),
            demand_monitor=monitor.mailbox,
        )
        outcome = await tested.handle(fakes.call(depth=depth))
    assert isinstance(outcome, model.Refuse)
    assert monitor.received == [messages.CallRejected(service="a")] * depth
