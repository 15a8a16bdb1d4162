"""Load: upstreams of one service that differ in speed, called by many nodes."""

from __future__ import annotations

import statistics
import time

import pytest

from sassafrashall import messages
from sassafrashall.decisions import completion
from sassafrashall.decisions import routing
from tests import routing_simulation as simulation


def _run_times(times, weight=12.0, seen_at=0.0):
    return {
        key: completion.Mean(value=s, weight=weight, seen_at=seen_at)
        for key, s in times.items()
    }


def test_upstreams_are_compared_by_route():
    """Guards against taking an upstream with long routes for a slow one."""
    times = completion.compare(
        _run_times(
            {
                ("u0", "root"): 0.16,
                ("u1", "root"): 0.16,
                ("u0", "nested"): 0.015,
                ("u2", "nested"): 0.015,
            }
        ),
        0.0,
    )
    assert set(times.by_upstream.values()) == {1.0}
    assert times.relative_time("u2", "root") == 1.0


def test_the_speed_on_one_route_counts_for_the_others():
    times = completion.compare(
        _run_times({("u0", "a"): 0.1, ("u1", "a"): 0.1, ("u2", "a"): 0.3}), 0.0
    )
    assert times.relative_time("u2", "b") == times.by_upstream["u2"] > 2.0


def test_one_call_does_not_make_an_upstream_slow():
    once = completion.update_mean(None, 0.3, 0.0)
    known = _run_times({("u0", "a"): 0.1, ("u1", "a"): 0.1})
    times = completion.compare({**known, ("u2", "a"): once}, 0.0)
    assert times.relative_time("u2", "a") < 1.6


def test_a_slow_moment_shows_after_a_few_calls_and_is_forgotten():
    """Guards against an upstream that is never called again."""
    known = _run_times({("u0", "a"): 0.1, ("u1", "a"): 0.1})
    slow = completion.Mean(value=0.1, weight=12.0, seen_at=0.0)
    for _ in range(4):
        slow = completion.update_mean(slow, 0.5, 0.1)
    times = completion.compare({**known, ("u2", "a"): slow}, 0.1)
    assert times.relative_time("u2", "a") > 1.6
    # Without calls, its weight decays and the estimate returns to the usual.
    later = 0.1 + 8 * completion.TIME_HALF_LIFE
    times = completion.compare({**known, ("u2", "a"): slow}, later)
    assert times.relative_time("u2", "a") == 1.0


def test_alike_upstreams_are_equal():
    assert completion.without_noise(1.1) == 1.0
    assert completion.without_noise(0.9) == 1.0
    assert completion.without_noise(2.0) == pytest.approx(2 / 1.15)
    assert completion.without_noise(0.5) == pytest.approx(0.575)


def test_an_old_load_counts_less_and_exposes_its_age():
    seen = completion.SeenLoad(load=1.0, seen_at=0.0)
    assert completion.believed_load(seen, 0.1, 0.5, 0.0) == (1.1, 0.0)
    load, spread = completion.believed_load(seen, 0.0, 0.5, 10.0)
    assert load == pytest.approx(0.5, abs=0.01)
    assert spread == pytest.approx(completion.LOAD_SPREAD, rel=0.01)
    assert seen.age(10.0) == 10.0


def test_upstreams_with_room_come_before_faster_ones_without():
    assert completion.expected_cost(0.5, 0.5) < completion.expected_cost(1, 0)
    assert completion.expected_cost(0.5, 1.0) > completion.expected_cost(1, 0.5)
    # Where none has room, the expected times are equal, not the queues.
    assert completion.expected_cost(0.5, 3.0) == completion.expected_cost(
        1, 1.5
    )


def test_the_run_time_of_a_node_is_relative_to_the_routes_that_it_ran():
    usual = {"root": 0.16, "nested": 0.015}
    runs = [("root", 10.0, 1.6), ("nested", 1000.0, 15.0), ("new", 5.0, 9.0)]
    relative_time = completion.relative_time_of_runs
    assert relative_time(runs, usual) == pytest.approx(1.0)
    slow = [(route, number, 2 * seconds) for route, number, seconds in runs]
    assert relative_time(slow, usual) == pytest.approx(2.0, rel=0.01)
    assert relative_time([("root", 1.0, 0.32)], usual) < 1.4
    assert relative_time([], usual) == 1.0


def test_what_the_controls_told_is_known_without_a_call():
    """Guards against speeds that are known the later the more nodes call."""
    told = {"u0": 1.5, "u1": 1.5, "u2": 0.6}
    times = completion.compare({}, 0.0, told)
    assert times.relative_time("u0", "a") == 1.0
    assert times.relative_time("u2", "a") == pytest.approx(0.46)
    # A slow moment shows in the own calls before the controls tell it.
    own = _run_times({("u0", "a"): 0.1, ("u1", "a"): 0.1, ("u2", "a"): 0.5})
    times = completion.compare(own, 0.0, told)
    assert times.relative_time("u2", "a") > 2.0


def _candidate(vm, data_centre="a", **values):
    return routing.Candidate(vm=vm, data_centre=data_centre, slots=10, **values)


def _choose(*candidates, draws=(0.0, 0.0)):
    policy = routing.ExpectedCompletion()
    return routing.choose_upstream(policy, candidates, "a", draws, 0.0).vm


def test_alike_upstreams_are_chosen_as_before():
    """Own VM while it has room, then own data centre, then a lower load."""
    own = _candidate("own", load=0.5, is_local=True)
    near = _candidate("near", load=0.3)
    far = _candidate("far", "b")
    assert _choose(far, near, own) == "own"
    busy = _candidate("own", load=0.7, is_local=True)
    assert _choose(far, near, busy) == "near"
    full = _candidate("near", load=0.95)
    assert _choose(far, full) == "far"
    assert _choose(_candidate("far", "b", load=0.9), full) == "near"


def test_a_much_faster_upstream_is_preferred_to_the_one_on_this_vm():
    own = _candidate("own", is_local=True)
    alike = _candidate("near", relative_time=0.9)
    fast = _candidate("fast", relative_time=0.5)
    assert _choose(alike, own) == "own"
    assert _choose(fast, own) == "fast"
    full = _candidate("fast", relative_time=0.5, load=1.0)
    assert _choose(full, own) == "own"


def test_a_call_does_not_move_on_from_a_full_upstream_to_a_hanging_one():
    policy = routing.ExpectedCompletion()
    full = _candidate("full", load=1.2)
    hanging = _candidate("hanging", relative_time=10.0)
    alike = _candidate("alike")
    assert routing.may_wait(policy, full, (full, hanging), 0)
    assert not routing.may_wait(policy, full, (full, alike), 0)
    assert routing.may_wait(policy, full, (full, alike), 2)


def _narrow(monkeypatch, policy, utilization, nodes, speeds):
    slots, work = 27, 0.04
    upstreams = [
        simulation.Upstream(
            vm=f"u{index}",
            data_centre="a",
            slots=slots,
            speed=lambda now, speed=speed: speed,
        )
        for index, speed in enumerate(speeds)
    ]
    callers = {f"n{index}": "a" for index in range(nodes)}
    fleet = simulation.Fleet(
        upstreams=upstreams,
        nodes=callers,
        monkeypatch=monkeypatch,
        policy=policy,
        work=work,
    )
    rate = utilization * sum(speeds) * slots / work
    fleet.arrivals(lambda now: rate, 4.0, list(callers))
    return fleet.play()


# At 1,000 nodes each calls an upstream every other second, and has no load of
# it that is younger. More calls then find it full, and move on.
@pytest.mark.parametrize(
    ("nodes", "sends"), [(63, 1.05), (300, 1.05), (1000, 1.1)]
)
def test_calls_of_many_nodes_to_four_unequal_upstreams_are_faster(
    monkeypatch, nodes, sends
):
    """Pattern: 63 to 1,000 nodes and 4 upstreams of speeds 0.7, 0.7, 1, 1.6."""
    speeds = (0.7, 0.7, 1.0, 1.6)
    before = _narrow(monkeypatch, "first-free", 0.6, nodes, speeds)
    after = _narrow(monkeypatch, "expected-completion", 0.6, nodes, speeds)
    means = [statistics.mean(f.seconds(1.0)) for f in (before, after)]
    assert means[1] < 0.95 * means[0]
    # A herd would be refused at the fast upstream and move on.
    assert after.sent < sends * len(after.ended)


def test_a_busy_fast_upstream_draws_no_herd(monkeypatch):
    speeds = (0.7, 0.7, 1.0, 1.6)
    fleet = _narrow(monkeypatch, "expected-completion", 0.85, 300, speeds)
    assert fleet.sent < 1.4 * len(fleet.ended)
    assert fleet.busiest_to_mean() < 1.15
    assert fleet.refused == 0


def test_equal_upstreams_are_used_alike(monkeypatch):
    fleet = _narrow(monkeypatch, "expected-completion", 0.6, 63, (1.0,) * 4)
    assert fleet.busiest_to_mean() < 1.2


def test_a_moment_of_slowness_is_avoided_and_forgotten(monkeypatch):
    """Pattern: one of six upstreams is five times slower for three seconds."""
    upstreams = [
        simulation.Upstream(vm=f"u{index}", data_centre="a")
        for index in range(5)
    ]
    upstreams.append(
        simulation.Upstream(
            vm="slow",
            data_centre="a",
            speed=lambda now: 0.2 if 3.0 <= now < 6.0 else 1.0,
        )
    )
    nodes = {f"n{index}": "a" for index in range(20)}
    fleet = simulation.Fleet(
        upstreams=upstreams, nodes=nodes, monkeypatch=monkeypatch
    )
    door = fleet.doors["slow"]
    arrivals = []

    def sample():
        arrivals.append(door.arrivals)
        if fleet.now < 40.0:
            fleet.schedule(fleet.now + 1.0, sample)

    fleet.schedule(0.0, sample)
    fleet.arrivals(lambda now: 0.5 * 6 * 8 / 0.09, 40.0, list(nodes))
    fleet.play()
    before = arrivals[3] - arrivals[1]
    during = arrivals[6] - arrivals[4]
    afterwards = arrivals[40] - arrivals[38]
    assert during < 0.5 * before
    assert afterwards > 0.6 * before


def test_a_choice_among_many_upstreams_costs_little_time(monkeypatch):
    """Guards against a slower choice than with the policy before."""
    seconds = {}
    for policy in ("first-free", "expected-completion"):
        fleet = simulation.Fleet(
            upstreams=[
                simulation.Upstream(
                    vm=f"u{index}", data_centre="abc"[index % 3]
                )
                for index in range(80)
            ],
            nodes={"n": "a"},
            monkeypatch=monkeypatch,
            policy=policy,
        )
        fleet.arrivals(lambda now: 1000.0, 1.0, ["n"])
        fleet.play()
        message = messages.ChooseUpstream(
            service=simulation.SERVICE,
            avoid=frozenset(),
            route=simulation.ROUTE,
        )
        controller = fleet.controllers["n"]
        best = 1.0
        for _ in range(5):
            started = time.process_time()
            for _ in range(20):
                controller._handle(message, simulation._Reply())
            best = min(best, time.process_time() - started)
        seconds[policy] = best
    assert seconds["expected-completion"] < 1.3 * seconds["first-free"]
