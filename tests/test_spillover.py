"""Load: demand that varies between data centres at different times."""

from __future__ import annotations

import dataclasses
import math
import statistics

import msgspec
import pytest

from sassafrashall import model
from sassafrashall import protocol
from sassafrashall import settings
from sassafrashall import settings_checks
from sassafrashall.decisions import spillover
from tests import routing_simulation as simulation

DATA_CENTRES = "abc"


def _room(data_centre, load, *, service="s", slots=48, run_s=0.1):
    return spillover.Room(
        service=service,
        data_centre=data_centre,
        slots=slots,
        load=load,
        run_s=run_s,
    )


def _situation(*rooms, **values):
    known = {
        "here": "a",
        "service": "s",
        "summary": spillover.summarize(rooms, 0.0),
        "open_to": frozenset("bc"),
        "crossing_cost_s": 0.005,
    }
    return spillover.Situation(**{**known, **values})


def _updated(situation, before=spillover.NO_SHARES, count=8):
    shares = before
    for number in range(count):
        shares = spillover.update(shares, situation, 0.25 * number)
    return shares


def test_calls_stay_while_there_is_room_here():
    shares = _updated(_situation(_room("a", 0.85), _room("b", 0.1)))
    assert shares.total == 0.0
    assert shares.pick(0.0) is None


def test_shares_grow_smoothly_and_in_proportion_to_the_room():
    situation = _situation(_room("a", 1.25), _room("b", 0.2), _room("c", 0.5))
    first = _updated(situation, count=1)
    later = _updated(situation)
    assert 0.0 < first.total < later.total < 0.3
    accept_load = spillover.accept_load(1.25)
    assert later.by_data_centre["b"] == pytest.approx(
        later.by_data_centre["c"] * (accept_load - 0.2) / (accept_load - 0.5),
        rel=0.01,
    )


def test_full_data_centres_get_and_swap_nothing():
    """Guards against two data centres that send each other their load."""
    loads = {"a": 1.3, "b": 1.2, "c": 1.2}
    rooms = [_room(name, load) for name, load in loads.items()]
    for here in loads:
        situation = _situation(
            *rooms, here=here, open_to=frozenset(loads) - {here}
        )
        shares = _updated(situation)
        assert shares.total == 0.0 and not shares.limits


def test_what_two_send_to_a_third_fits_into_its_room():
    rooms = [_room("a", 1.25), _room("b", 1.25), _room("c", 0.4)]
    sent = 0.0
    for here in "ab":
        situation = _situation(
            *rooms, here=here, open_to=frozenset("abc") - {here}
        )
        shares = _updated(situation)
        sent += shares.limits["c"] * 1.25 * 48
    assert sent <= (spillover.accept_load(1.25) - 0.4) * 48 * 1.001


def test_a_sender_is_always_fuller_than_what_it_sends_to():
    """Guards against two data centres that each count as room for the other."""
    for hundredths in range(90, 800):
        load = hundredths / 100
        assert spillover.accept_load(load) < load


def test_short_calls_leave_only_if_they_wait_long():
    """Guards against crossings that cost more time than they save."""
    for run_s, leave in ((0.1, True), (0.001, False)):
        situation = _situation(
            _room("a", 1.2, run_s=run_s), _room("b", 0.2, run_s=run_s)
        )
        assert bool(_updated(situation).total) == leave


def test_a_higher_cost_keeps_more_calls_here():
    rooms = (_room("a", 1.2), _room("b", 0.2))
    totals = [
        _updated(_situation(*rooms, crossing_cost_s=cost)).total
        for cost in (0.0, 0.01, 0.1)
    ]
    assert totals[0] > totals[1] > totals[2] == 0.0


def test_shares_come_back_when_there_is_room_again():
    before = _updated(_situation(_room("a", 1.25), _room("b", 0.2)))
    calm = _situation(_room("a", 0.5), _room("b", 0.2))
    once = spillover.update(before, calm, before.updated_at + 0.25)
    assert 0.0 < once.total < before.total
    shares = once
    for _ in range(12):
        shares = spillover.update(shares, calm, shares.updated_at + 0.25)
        calm = dataclasses.replace(
            calm,
            summary=dataclasses.replace(
                calm.summary, received_at=shares.updated_at
            ),
        )
    assert shares.total == 0.0


def test_shares_come_back_at_once_from_a_closed_data_centre():
    """An evacuated, drained or unreachable one is not open."""
    rooms = (_room("a", 1.25), _room("b", 0.2))
    before = _updated(_situation(*rooms))
    closed = _situation(*rooms, open_to=frozenset("c"))
    after = spillover.update(before, closed, before.updated_at + 0.01)
    assert after.total == 0.0
    assert before.without("b").total == 0.0


def test_an_outdated_summary_gives_no_shares():
    rooms = (_room("a", 1.25), _room("b", 0.2))
    before = _updated(_situation(*rooms))
    late = spillover.SUMMARY_TTL + 0.1
    assert spillover.update(before, _situation(*rooms), late).total == 0.0


def test_calls_of_a_run_do_not_go_back_where_the_run_came_from():
    """Guards against trees that cross in both directions.

    Roots (0.2 s) go from b to a. Their calls (0.02 s) must not go back to b.
    """
    roots = (
        _room("a", 0.5, service="roots", run_s=0.2),
        _room("b", 1.3, service="roots", run_s=0.2),
    )
    calls = (_room("a", 2.5, run_s=0.02), _room("b", 0.2, run_s=0.02))
    assert _updated(_situation(*calls)).total > 0.0
    assert _updated(_situation(*roots, *calls)).total == 0.0
    # The roots themselves still leave.
    sender = _situation(
        *roots,
        *calls,
        here="b",
        service="roots",
        open_to=frozenset("a"),
    )
    assert _updated(sender).total > 0.0


def test_large_calls_stay():
    shares = spillover.Shares(
        by_data_centre={"b": 1.0}, savings={"b": 0.02}, updated_at=0.0
    )
    assert spillover.pays(shares, "b", 0.005, 10_000)
    assert not spillover.pays(shares, "b", 0.005, 1_000_000)


def test_failures_in_a_row_block_a_data_centre():
    reach = spillover.Reach()
    for _ in range(spillover.FAILURES_TO_BLOCK):
        assert reach.blocked_until < 1.0
        reach = spillover.on_attempt(
            reach, failed=True, round_trip=-1.0, now=1.0
        )
    assert reach.blocked_until == 1.0 + spillover.BLOCK_TIME
    answered = spillover.on_attempt(
        spillover.Reach(failures=2), failed=False, round_trip=0.002, now=1.0
    )
    assert answered == spillover.Reach(round_trip=0.002)


def test_calls_leave_after_a_refusal_only_within_the_limits():
    shares = spillover.Shares(limits={"b": 0.1}, updated_at=0.0)
    flow = spillover.Flow()
    left = 0
    for number in range(200):
        flow = spillover.on_call(flow, shares, number / 100)
        if flow.best_credit() == "b":
            flow = spillover.on_sent(flow, "b")
            left += 1
    assert 15 <= left <= 20
    closed = spillover.on_call(flow, spillover.NO_SHARES, 2.0)
    assert closed.best_credit() is None


def test_messages_of_an_older_build_are_read():
    load = msgspec.msgpack.encode({"level": 3.0, "shed_per_second": 0.0})
    decoded = msgspec.msgpack.decode(load, type=model.NodeLoad)
    assert (decoded.load, decoded.relative_time) == (-1, 1.0)
    defaults = protocol.HeartbeatReply(
        directory_source="",
        directory_version=0,
        complete=False,
        entries=(),
        revision=0,
        organisations=(),
        withdrawn=(),
        majority_age=0.0,
    )
    assert defaults.rooms == () and defaults.relative_times == {}


def test_a_negative_crossing_cost_is_a_finding():
    findings = settings_checks.check_policy(
        settings.Policy(crossing_cost_ms=-1)
    )
    assert [key for key, _ in findings] == ["policy.crossing_cost_ms"]
    policy = settings.Policy(routing="expected-completion", crossing_cost_ms=7)
    assert policy.routing_policy().crossing_cost_s == 0.007


def _play(
    monkeypatch,
    rate,
    *,
    policy="expected-completion",
    seconds=10.0,
    upstreams=6,
    slots=8,
    work=0.164,
    change=None,
):
    """Plays calls in three data centres; `rate` is relative to capacity."""
    fleet = simulation.Fleet(
        upstreams=[
            simulation.Upstream(
                vm=f"{name}{index}", data_centre=name, slots=slots
            )
            for name in DATA_CENTRES
            for index in range(upstreams)
        ],
        nodes={
            f"node-{name}{index}": name
            for name in DATA_CENTRES
            for index in range(10)
        },
        monkeypatch=monkeypatch,
        policy=policy,
        work=work,
    )
    capacity = upstreams * slots / work
    for name in DATA_CENTRES:
        fleet.arrivals(
            lambda now, name=name: capacity * rate(name, now),
            seconds,
            [vm for vm, where in fleet.data_centres.items() if where == name],
        )
    if change is not None:
        change(fleet)
    return fleet.play()


def _waves(name, now):
    phase = DATA_CENTRES.index(name) / 3
    return 0.75 * (1 + 0.55 * math.sin(2 * math.pi * (now / 8 + phase)))


def _burst_at_a(name, now):
    return 1.3 if name == "a" and 3.0 <= now < 7.0 else 0.5


@pytest.mark.parametrize("upstreams", [1, 6])
def test_waves_out_of_phase_are_shared_with_fewer_crossings(
    monkeypatch, upstreams
):
    """Pattern: load waves of 0.55 around 0.75, shifted by a third of a period.

    Guards against both long waits and needless traffic.
    """
    slots = 48 // upstreams if upstreams > 1 else 27
    options = {"upstreams": upstreams, "slots": slots}
    before = _play(monkeypatch, _waves, policy="first-free", **options)
    after = _play(monkeypatch, _waves, **options)
    assert after.refused == 0
    means = [statistics.mean(f.seconds(1.0)) for f in (before, after)]
    assert means[1] < 1.15 * means[0]
    crossings = [sum(f.crossings().values()) for f in (before, after)]
    assert crossings[1] < 0.75 * crossings[0]


def test_a_full_data_centre_uses_the_room_of_two_others(monkeypatch):
    fleet = _play(monkeypatch, _burst_at_a)
    assert fleet.refused == 0
    burst = fleet.seconds(3.0, 7.0)
    # A run takes 164 ms; without the others, calls would wait 250 ms.
    assert statistics.mean(burst) < 1.2 * fleet.work
    crossings = fleet.crossings()
    assert crossings["a", "b"] > 100 and crossings["a", "c"] > 100
    others = sum(n for pair, n in crossings.items() if pair[0] != "a")
    assert others < 0.05 * sum(crossings.values())


def test_traffic_comes_back_when_room_returns(monkeypatch):
    fleet = _play(monkeypatch, _burst_at_a)
    assert fleet.crossing_share("a", 4.0, 7.0) > 0.15
    assert fleet.crossing_share("a", 9.0, 10.0) < 0.05


def test_a_burst_of_short_calls_is_taken_up_by_the_others(monkeypatch):
    """Pattern: calls of 15 ms, where waiting calls exceed the slots ten times.

    Guards against taking what waits for lasting demand.
    """
    fleet = _play(
        monkeypatch,
        lambda name, now: 1.5 if name == "a" and now >= 2.0 else 0.4,
        work=0.015,
        seconds=4.0,
    )
    assert fleet.refused == 0
    assert statistics.mean(fleet.seconds(2.5)) < 2.0 * fleet.work


def test_full_data_centres_do_not_swap_load(monkeypatch):
    """Pattern: all data centres are offered 1.15 times their capacity."""
    fleet = _play(monkeypatch, lambda name, now: 1.15)
    crossings = fleet.crossings(2.0)
    assert sum(crossings.values()) < 0.01 * len(fleet.ended)
    before = _play(monkeypatch, lambda name, now: 1.15, policy="first-free")
    assert fleet.refused < 1.05 * before.refused


def test_a_partition_ends_crossings_at_once_and_they_return(monkeypatch):
    """Pattern: c is cut off from 5 to 8 s while calls of a go to b and c."""

    def cut(fleet):
        fleet.schedule(5.0, lambda: fleet.cut_off.update(c=5.0))
        fleet.schedule(8.0, fleet.cut_off.clear)

    fleet = _play(
        monkeypatch,
        lambda name, now: 1.15 if name == "a" and now >= 2.0 else 0.4,
        seconds=14.0,
        change=cut,
    )

    def sent(start, end):
        return sum(
            1
            for at, here, there in fleet.attempts
            if (here, there) == ("a", "c") and start <= at < end
        )

    assert sent(4.0, 5.0) > 10
    # Each of the 16 nodes of a notices it by its own failures; one call more
    # each finds out that c is still cut off.
    assert fleet.unreachable <= 16 * (spillover.FAILURES_TO_BLOCK + 1)
    assert sent(6.0, 8.0) < 0.5 * sent(4.0, 6.0)
    assert sent(12.0, 14.0) > 0.5 * sent(3.0, 5.0)
    assert fleet.refused == 0


def test_an_evacuated_data_centre_gets_nothing_at_once(monkeypatch):
    """Pattern: b leaves the view at 5 s while calls of a go to b and c."""

    def evacuate(fleet):
        def remove():
            view = fleet.view.value
            fleet.view.publish(
                dataclasses.replace(
                    view,
                    records={
                        vm: record
                        for vm, record in view.records.items()
                        if record.data_centre != "b"
                    },
                )
            )

        fleet.schedule(5.0, remove)

    fleet = _play(
        monkeypatch,
        lambda name, now: 1.1 if name == "a" else 0.4,
        seconds=8.0,
        change=evacuate,
    )
    late = [there for at, _, there in fleet.attempts if at > 5.0]
    assert late and "b" not in late
    # Callers in b are served by the others.
    assert any(here == "b" and at > 6.0 for at, _, here, _ in fleet.ended)
