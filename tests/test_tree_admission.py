from __future__ import annotations

import dataclasses

import pytest

from sassafrashall.decisions import call_trees
from sassafrashall.decisions import demand
from sassafrashall.decisions import measured_capacity
from sassafrashall.decisions import return_times
from sassafrashall.decisions import tree_admission

POLICY = tree_admission.NarrowestService(utilization=0.8)


def _run(route, service, *, runs, busy_s, calls=(), roots=demand.NO_ROOTS):
    return demand.RouteDemand(
        route=route,
        service=service,
        roots=roots,
        started=runs,
        ended=runs,
        busy_s=busy_s,
        calls=tuple(demand.Calls(route=name, count=n) for name, n in calls),
    )


def _deep_chain(view=(0.0, 0.0, 0.0), check=(0.0, 0.0, 0.0), slots=100):
    """A view calls a ledger twice, which calls four feeds at `narrow`.

    A tree holds 8 x 0.1 = 0.8 slots of `narrow` for a second; a check, itself a
    root at `narrow`, holds 1.5.
    """
    return demand.Demand(
        routes=(
            _run("view", "wide", runs=10, busy_s=20, calls=[("ledger", 20)]),
            demand.RouteDemand(route="view", roots=view),
            _run("ledger", "middle", runs=5, busy_s=2, calls=[("feed", 20)]),
            _run("feed", "narrow", runs=50, busy_s=5),
            _run("check", "narrow", runs=4, busy_s=6),
            demand.RouteDemand(route="check", roots=check),
        ),
        services=(
            demand.ServiceSlots(service="wide", slots=10_000),
            demand.ServiceSlots(service="middle", slots=10_000),
            demand.ServiceSlots(service="narrow", slots=slots),
        ),
    )


def _levels(demand_of_fleet, policy=POLICY):
    return {
        level.route: level
        for level in tree_admission.route_levels(policy, demand_of_fleet)
    }


def test_a_tree_costs_the_slot_seconds_of_all_calls_below_it():
    costs = call_trees.costs(_deep_chain())
    assert costs["view"] == pytest.approx(
        {"wide": 0.0, "middle": 0.8, "narrow": 0.8}
    )
    assert costs["check"] == pytest.approx({"narrow": 0.0})


def test_no_route_is_limited_while_the_narrow_service_has_room():
    assert not _levels(_deep_chain(view=(0, 0, 60.0), check=(0, 0, 20.0)))


def test_deep_narrow_service_in_a_burst_limits_the_trees_that_lead_to_it():
    """Pattern: deep narrow service in a burst.

    The trees need 160 slots of `narrow`, and 80 of its 100 may be filled. Its
    own roots are refused at its door, before any work is done for them.
    """
    levels = _levels(_deep_chain(view=(0, 0, 200.0), check=(0, 0, 400.0)))
    assert set(levels) == {"view"}
    assert levels["view"].level == pytest.approx(2.5)
    assert levels["view"].service == "narrow"


def test_a_more_urgent_class_is_admitted_whole_before_a_less_urgent_one():
    levels = _levels(_deep_chain(view=(75.0, 0, 50.0), check=(0, 0, 0)))
    # Class 0 takes 60 of 80 slots; 20 of the 40 for class 2 are left.
    assert levels["view"].level == pytest.approx(2.5)


def test_without_room_for_the_most_urgent_class_it_is_admitted_in_part():
    levels = _levels(_deep_chain(view=(200.0, 0, 50.0)))
    assert levels["view"].level == pytest.approx(0.5)


def test_the_baseline_lets_all_trees_in():
    """Each view would then fail at one of its calls, after seconds of work."""
    fleet = _deep_chain(view=(0, 0, 200.0), check=(0, 0, 400.0))
    assert not _levels(fleet, tree_admission.AdmitAll())


def test_routes_that_do_not_lead_to_the_narrow_service_are_not_limited():
    base = _deep_chain(view=(0, 0, 300.0))
    other = _run("other", "wide", runs=5, busy_s=1, roots=(0, 0, 100.0))
    merged = demand.add_up((base, demand.Demand(routes=(other,))))
    assert set(_levels(merged)) == {"view"}


def _two_services_on_one_way(*, first_calls, rate, second_slots, other):
    """A view calls two services; another route calls one of them.

    Args:
      first_calls: Calls of ten views to the first service.
      rate: Views a second, of class 2.
      second_slots: Slots of the second service; the first one has 100.
      other: The service that the other route calls.
    """
    return demand.Demand(
        routes=(
            _run(
                "view",
                "wide",
                runs=10,
                busy_s=10,
                calls=[("first", first_calls), ("second", 10)],
                roots=(0, 0, rate),
            ),
            _run("first", "first", runs=10, busy_s=10),
            _run("second", "second", runs=10, busy_s=10),
            _run(
                "other",
                "wide",
                runs=10,
                busy_s=1,
                calls=[(other, 10)],
                roots=(0, 0, 10.0),
            ),
        ),
        services=(
            demand.ServiceSlots(service="first", slots=100),
            demand.ServiceSlots(service="second", slots=second_slots),
        ),
    )


# Guards against a division by the load of a class without trees, which ended
# the reply to each heartbeat with an error.
def test_a_service_may_be_overloaded_by_the_samples_of_closed_classes():
    fleet = _two_services_on_one_way(
        first_calls=20, rate=1e6, second_slots=100, other="second"
    )
    assert {name: level.level for name, level in _levels(fleet).items()} == {
        "view": pytest.approx(2.0, abs=1e-3),
        "other": pytest.approx(2.0, abs=1e-3),
    }


def test_a_service_is_not_limited_for_demand_that_another_one_keeps_out():
    """Of two overloaded services on one way, the narrower one limits."""
    fleet = _two_services_on_one_way(
        first_calls=10, rate=100.0, second_slots=25, other="first"
    )
    levels = _levels(fleet)
    assert levels["view"].level == pytest.approx(2.2)
    assert levels["view"].service == "second"
    assert "other" not in levels


def test_a_few_calls_that_may_be_of_other_runs_limit_nothing():
    fleet = demand.Demand(
        routes=(
            _run(
                "calendar",
                "wide",
                runs=10,
                busy_s=10,
                calls=[("feed", 2)],
                roots=(0, 0, 1000.0),
            ),
            _run("feed", "narrow", runs=50, busy_s=5),
        ),
        services=(demand.ServiceSlots(service="narrow", slots=1),),
    )
    assert not _levels(fleet)


def test_calls_in_a_circle_end():
    fleet = demand.Demand(
        routes=(
            _run(
                "a",
                "one",
                runs=10,
                busy_s=1,
                calls=[("a", 10)],
                roots=(0, 0, 1000.0),
            ),
        ),
        services=(demand.ServiceSlots(service="one", slots=1),),
    )
    assert call_trees.costs(fleet)["a"]["one"] == pytest.approx(0.8)
    assert _levels(fleet)["a"].level < 3


def test_a_service_without_upstreams_limits_nothing():
    """Its requests are refused as without an upstream, which is true."""
    fleet = demand.Demand(
        routes=(_run("a", "gone", runs=10, busy_s=1, roots=(0, 0, 100.0)),)
    )
    assert not _levels(fleet)


def test_the_baseline_limits_nothing():
    policy = tree_admission.AdmitAll()
    assert not _levels(_deep_chain(view=(0, 0, 900.0)), policy)


def test_admitted_fraction_follows_the_level():
    level = tree_admission.RouteLevel(route="view", level=1.25, service="s")
    ids = [f"request-{number}" for number in range(4000)]
    admitted = [
        sum(tree_admission.admits(level, priority, name) for name in ids)
        for priority in (0, 1, 2)
    ]
    assert admitted[0] == len(ids)
    assert admitted[1] == pytest.approx(0.25 * len(ids), rel=0.1)
    # A closed class is still sampled, so that its demand stays known.
    assert 0 < admitted[2] < 0.04 * len(ids)


def test_returns_are_later_and_more_spread_the_less_is_admitted():
    ids = [f"request-{number}" for number in range(400)]

    def waits(level):
        held = tree_admission.RouteLevel(route="r", level=level, service="s")
        return [tree_admission.retry_after(held, 2, name) for name in ids]

    assert min(waits(2.8)) >= return_times.MIN_RETRY_AFTER
    assert max(waits(2.0)) <= return_times.MAX_RETRY_AFTER
    assert min(waits(2.3)) > max(waits(2.8))
    for level in (2.8, 2.3, 2.0):
        assert max(waits(level)) > 1.8 * min(waits(level))


def test_outdated_levels_limit_nothing():
    level = tree_admission.RouteLevel(route="r", level=0.5, service="s")
    known = tree_admission.RouteLevels(levels={"r": level}, received_at=10.0)
    assert tree_admission.level_of(known, "r", 12.0) == level
    assert tree_admission.level_of(known, "other", 12.0) is None
    late = 10.0 + tree_admission.LEVELS_TTL + 0.1
    assert tree_admission.level_of(known, "r", late) is None


def test_the_loads_of_the_limiting_services_are_described():
    fleet = _deep_chain(view=(0, 0, 200.0))
    assert tree_admission.describe_loads(fleet, {"narrow"}) == {
        "narrow": {
            "slots": 100,
            "busy": 0,
            "needed": 160.0,
            "view": (200.0, 0.8),
        }
    }


def _with_busy(fleet, busy):
    return dataclasses.replace(
        fleet,
        services=tuple(
            dataclasses.replace(service, busy=busy.get(service.service, 0))
            for service in fleet.services
        ),
    )


def _corrected(busy, seconds, corrections=None, limiting=frozenset({"narrow"})):
    corrections = corrections or {}
    fleet = _with_busy(_deep_chain(view=(0, 0, 200.0)), {"narrow": busy})
    for _ in range(int(seconds / 0.25)):
        corrections = tree_admission.correct(
            POLICY, corrections, fleet, limiting, 0.25
        )
    return corrections


def test_more_is_let_in_while_the_limiting_service_has_free_slots():
    """Pattern: costs that are taken for too high keep callers out for nothing.

    Few runs then correct the estimate, and nothing but the free slots shows it.
    """
    fleet = _deep_chain(view=(0, 0, 200.0))
    before = tree_admission.route_levels(POLICY, fleet)[0].level
    corrections = _corrected(busy=20, seconds=3)
    after = tree_admission.route_levels(POLICY, fleet, corrections)
    assert corrections["narrow"] > 2
    assert not after or after[0].level > before + 0.4
    assert _corrected(20, 60)["narrow"] <= tree_admission.MAX_CORRECTION


def test_a_correction_ends_while_the_service_is_full_or_limits_nothing():
    held = {"narrow": 3.0}
    assert _corrected(95, 1, held)["narrow"] < 2.5
    assert not _corrected(95, 10, held)
    assert not _corrected(20, 10, held, limiting=frozenset())
    # Between the two it stays.
    assert _corrected(75, 10, held) == held


def test_the_baseline_corrects_nothing():
    fleet = _deep_chain(view=(0, 0, 200.0))
    policy = tree_admission.AdmitAll()
    assert not tree_admission.correct(policy, {}, fleet, {"narrow"}, 1.0)


MEASURED = tree_admission.MeasuredCapacity(utilization=0.8)


def _with_outcomes(fleet, completions, sheds, busy=0):
    return dataclasses.replace(
        fleet,
        services=tuple(
            dataclasses.replace(service, completions=completions, busy=busy)
            if service.service == "narrow"
            else service
            for service in fleet.services
        ),
        sheds=(demand.Sheds(service="narrow", per_second=sheds),),
    )


def _admitted_calls(policy, roots, capacity, seconds):
    """Plays a control and a narrow service that refuses calls over `capacity`.

    Returns the calls of admitted trees, by step of 0.25 s. What the control
    knows of the outcomes is 0.75 s old.
    """
    fleet = _deep_chain(view=(0, roots, 0))
    corrections, levels, calls, spells = {}, (), [], {}
    for step in range(int(seconds / 0.25)):
        level = next((lv.level for lv in levels if lv.route == "view"), 3.0)
        calls.append(8 * roots * tree_admission.admitted_fraction(level, 1))
        arrived = calls[step - 3] if step >= 3 else 0.0
        completed = min(arrived, capacity)
        # Each completed call holds a slot for 0.1 s.
        known = _with_outcomes(
            fleet, completed, arrived - completed, int(0.1 * completed)
        )
        spells = measured_capacity.update_spells(
            spells,
            corrections,
            tree_admission.refusing_services(policy, known),
            0.25,
        )
        limiting = {lv.service for lv in levels}
        corrections = tree_admission.correct(
            policy, corrections, known, limiting, 0.25, spells
        )
        levels = tree_admission.route_levels(policy, known, corrections, spells)
    return calls


def test_a_service_that_sheds_is_given_what_it_completes():
    """Pattern: one kind of upstream sheds half of its calls.

    Guards against trees that are admitted by announced slots: each makes eight
    calls, and nearly all of them fail if half of the calls do.
    """
    calls = _admitted_calls(MEASURED, roots=200.0, capacity=400.0, seconds=20)
    # From 1.25 s after its first refusals are known, it is given little more
    # than it completes, and never much less.
    assert max(calls[8:]) < 1.15 * 400.0
    assert min(calls) >= 0.99 * 400.0
    baseline = _admitted_calls(POLICY, roots=200.0, capacity=400.0, seconds=20)
    assert min(baseline) >= 0.99 * 800.0


def test_a_service_that_no_longer_sheds_is_given_its_slots_again():
    held = {"narrow": 0.4}
    fleet = _with_outcomes(_deep_chain(view=(0, 200.0, 0)), 300.0, 0.0, busy=30)
    for limiting, seconds in (({"narrow"}, 10), (frozenset(), 4)):
        corrections = held
        for _ in range(4 * seconds):
            corrections = tree_admission.correct(
                MEASURED, corrections, fleet, limiting, 0.25
            )
        assert corrections.get("narrow", 1.0) >= 1.0


def test_a_few_refused_calls_lower_nothing():
    fleet = _with_outcomes(_deep_chain(view=(0, 200.0, 0)), 800.0, 4.0, busy=75)
    assert not tree_admission.correct(MEASURED, {}, fleet, {"narrow"}, 1.0)


def test_refusals_that_do_not_end_leave_a_part_of_the_slots():
    """Pattern: an upstream sheds half of its calls whatever the load.

    Guards against a service that is given less and less, and in the end
    nothing.
    """
    corrections = {}
    for step in range(80):
        calls = 800.0 * max(0.25, 0.9**step)
        fleet = _with_outcomes(
            _deep_chain(view=(0, 200.0, 0)), calls / 2, calls / 2
        )
        corrections = tree_admission.correct(
            MEASURED, corrections, fleet, {"narrow"}, 0.25
        )
    assert corrections == {"narrow": measured_capacity.MIN_CORRECTION}


def test_the_runs_of_urgent_roots_do_not_count_as_cost_of_calls():
    """Guards against a floor above what the service completes.

    A check, a root at the narrow service, holds a slot for 15 times as long as
    a call.
    """
    fleet = _with_outcomes(
        _deep_chain(view=(0, 200.0, 0), check=(2.0, 0, 0)), 200.0, 600.0
    )
    corrections = {}
    for _ in range(16):
        corrections = tree_admission.correct(
            MEASURED, corrections, fleet, {"narrow"}, 0.25
        )
    assert corrections["narrow"] == pytest.approx(0.25)


def test_a_node_that_reports_no_completions_lowers_nothing():
    """Guards against a service cut to a quarter by reports of older builds.

    A fleet is upgraded node by node; older builds don't report completions.
    """
    new = _with_outcomes(_deep_chain(view=(0, 200.0, 0)), 300.0, 100.0, busy=75)
    old = demand.Demand(
        services=(demand.ServiceSlots(service="narrow", slots=100, busy=75),)
    )
    spells = {"narrow": measured_capacity.Spell(refusing_s=2.0)}
    for fleet in (
        demand.add_up((new, old)),
        demand.add_up((old, new)),
        demand.add_up((old, demand.Demand(sheds=new.sheds))),
    ):
        assert not tree_admission.correct(
            MEASURED, {}, fleet, {"narrow"}, 1.0, spells
        )
    fleet = demand.add_up((new, new))
    lowered = tree_admission.correct(
        MEASURED, {}, fleet, {"narrow"}, 1.0, spells
    )
    assert lowered["narrow"] < 1.0


def _without_upstreams(fleet, name, sheds):
    return dataclasses.replace(
        fleet,
        services=tuple(s for s in fleet.services if s.service != name),
        sheds=(demand.Sheds(service=name, per_second=sheds),),
    )


def test_a_service_that_lost_all_upstreams_limits_the_trees_to_it():
    """Pattern: the upstreams of the narrow service are lost in a burst.

    Guards against trees that are all admitted, and fail, because a service
    without upstreams is in no node's report.
    """
    fleet = _without_upstreams(
        _deep_chain(view=(10.0, 20.0, 0), check=(5.0, 0, 0)), "narrow", 200.0
    )
    levels = _levels(fleet, MEASURED)
    assert set(levels) == {"view"}
    assert levels["view"].level == 0.0
    assert levels["view"].service == "narrow"
    assert (
        tree_admission.describe_loads(fleet, {"narrow"})["narrow"]["slots"] == 0
    )
    # The baseline goes by the reported slots.
    assert not _levels(fleet, POLICY)


def test_a_service_whose_upstreams_return_gets_its_slots_at_once():
    """Guards against a factor from the outage that holds callers off."""
    fleet = _deep_chain(view=(0, 20.0, 0))
    corrections = {}
    for _ in range(20):
        corrections = tree_admission.correct(
            MEASURED,
            corrections,
            _without_upstreams(fleet, "narrow", 160.0),
            {"narrow"},
            0.25,
        )
    assert not tree_admission.route_levels(MEASURED, fleet, corrections)


def test_a_service_that_was_given_less_recovers_within_three_seconds():
    """Pattern: upstreams that shed calls for a while, and then no more.

    Guards against callers that are held off for 20 s after the shedding.
    """
    fleet = _with_outcomes(_deep_chain(view=(0, 200.0, 0)), 300.0, 0.0, busy=30)
    corrections = {"narrow": measured_capacity.MIN_CORRECTION}
    spells = {"narrow": measured_capacity.Spell(refusing_s=2.0)}
    factors = []
    for _ in range(14):
        spells = measured_capacity.update_spells(
            spells, corrections, frozenset(), 0.25
        )
        corrections = tree_admission.correct(
            MEASURED, corrections, fleet, {"narrow"}, 0.25, spells
        )
        factors.append(corrections.get("narrow", 1.0))
    # The first steps are slow, in case the refusals depend on the load.
    assert factors[5] < 1.25 * measured_capacity.MIN_CORRECTION
    assert factors[11] >= 1.0


def test_one_refused_call_of_few_lowers_hardly_anything():
    """Pattern: one call a second, of which one is refused now and then."""
    fleet = _with_outcomes(_deep_chain(view=(0, 1.0, 0)), 7.0, 1.4, busy=1)
    corrections = tree_admission.correct(
        MEASURED, {}, fleet, {"narrow"}, 0.25, {}
    )
    assert corrections.get("narrow", 1.0) > 0.95
    levels = tree_admission.route_levels(MEASURED, fleet, corrections)
    assert not levels or levels[0].level > 1.9


def _shedding_fleet():
    """Half of the calls of two kinds of trees are shed at `narrow`."""
    fleet = _with_outcomes(
        _deep_chain(view=(0, 90.0, 0)), 300.0, 300.0, busy=10
    )
    single = _run("single", "wide", runs=10, busy_s=1, calls=[("feed", 10)])
    roots = demand.RouteDemand(route="single", roots=(20.0, 0, 0))
    return demand.add_up((fleet, demand.Demand(routes=(single, roots))))


def test_trees_are_let_in_by_their_chance_at_a_service_that_sheds():
    """Pattern: upstreams shed half of their calls while their slots are free.

    Guards against trees of one call that are refused together with those of
    eight, of which one in 200 succeeds.
    """
    levels = _levels(_shedding_fleet(), MEASURED)
    assert levels["view"].level == pytest.approx(1.0, abs=0.02)
    assert levels["view"].service == "narrow"
    assert "single" not in levels or levels["single"].level > 0.95
    assert not _levels(_shedding_fleet(), POLICY)


def test_a_service_that_sheds_at_any_load_is_not_lowered_further():
    """Pattern: shedding that goes on although less is sent.

    Guards against a service that is given less and less for refusals that fewer
    calls don't avoid.
    """
    fleet = _with_outcomes(
        _deep_chain(view=(0, 200.0, 0)), 300.0, 60.0, busy=30
    )
    corrections, spells, lowest = {}, {}, 1.0
    for _ in range(60):
        refusing = tree_admission.refusing_services(MEASURED, fleet)
        assert refusing == {"narrow"}
        spells = measured_capacity.update_spells(
            spells, corrections, refusing, 0.25
        )
        corrections = tree_admission.correct(
            MEASURED, corrections, fleet, {"narrow"}, 0.25, spells
        )
        lowest = min(lowest, corrections.get("narrow", 1.0))
    assert lowest < 0.6
    # No more than its slots, since it still refuses calls.
    assert corrections.get("narrow", 1.0) == 1.0


def test_refused_calls_do_not_make_the_others_seem_cheap():
    """Pattern: upstreams shed half of their calls at once.

    Guards against twice as many trees, since a refused call holds its slot for
    a moment.
    """
    fleet = _deep_chain(view=(0, 200.0, 0))
    shedding = dataclasses.replace(
        fleet,
        routes=tuple(
            dataclasses.replace(route, ended=100.0, refused=50.0)
            if route.route == "feed"
            else route
            for route in fleet.routes
        ),
    )
    expected = _levels(fleet, MEASURED)["view"].level
    assert _levels(shedding, MEASURED)["view"].level == pytest.approx(expected)
    assert "view" not in _levels(shedding, POLICY)


@pytest.mark.parametrize(
    ("check", "level"),
    [
        # Class 0 takes 60 of 100 slots; trees need 80 and get 40.
        ((40.0, 0, 0), 1.5),
        # It takes all: few trees are let in, and no root of class 0 is lost.
        ((80.0, 0, 0), 1.0),
        # Within the fifth that is kept for them, roots change nothing.
        ((10.0, 0, 0), None),
        # Roots of the trees' own class are refused at the door.
        ((0, 40.0, 0), None),
    ],
)
def test_trees_leave_room_for_more_urgent_roots(check, level):
    """Pattern: urgent roots that go directly to the narrow service."""
    fleet = _deep_chain(view=(0, 100.0, 0), check=check)
    levels = _levels(fleet, MEASURED)
    if level is None:
        assert not levels
    else:
        assert levels["view"].level == pytest.approx(level)
    assert "check" not in levels
    # The baseline keeps a fixed part.
    assert not _levels(fleet, POLICY)


def test_roots_that_another_service_keeps_out_need_no_room():
    """Guards against trees that are refused for roots that never arrive."""
    fleet = _deep_chain(view=(0, 100.0, 0), check=(80.0, 0, 0))
    deep = _run("deep", "tiny", runs=10, busy_s=10)
    limited = dataclasses.replace(
        fleet,
        routes=(
            *(
                dataclasses.replace(
                    route, calls=(demand.Calls(route="deep", count=4.0),)
                )
                if route.route == "check" and route.service
                else route
                for route in fleet.routes
            ),
            deep,
        ),
        services=(
            *fleet.services,
            demand.ServiceSlots(service="tiny", slots=10),
        ),
    )
    levels = _levels(limited, MEASURED)
    # A tenth of the checks is let in, which need 12 slots.
    assert levels["check"].level == pytest.approx(0.1)
    assert "view" not in levels
