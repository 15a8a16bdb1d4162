"""Load: upstreams that fail part of their calls, flap or recover.

An upstream that fails at once has a low load. Chosen by load or time alone, it
draws calls from those that work.
"""

from __future__ import annotations

import pytest

from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.decisions import completion
from sassafrashall.filters import routed_dispatch
from tests import routing_simulation as simulation


def _means(*values):
    return {
        f"u{index}": completion.Mean(value=value, weight=30.0, seen_at=0.0)
        for index, value in enumerate(values)
    }


def test_an_upstream_that_fails_more_than_its_peers_costs_more():
    costs = completion.failure_costs(_means(0.0, 0.0, 0.3), 0.0)
    assert set(costs) == {"u2"}
    assert 1.5 < costs["u2"] <= completion.FULL_COST


def test_no_upstream_is_avoided_if_all_fail_alike():
    """Guards against a panic when a service further down fails."""
    assert not completion.failure_costs(_means(0.9, 0.95, 0.9, 0.85), 0.0)
    assert not completion.failure_costs(_means(1.0), 0.0)
    assert not completion.failure_costs(_means(0.0, 0.0), 0.0)


def test_a_single_failure_says_little_and_is_forgotten():
    once = {
        **_means(0.0, 0.0),
        "new": completion.update_mean(None, 1.0, 0.0),
    }
    assert completion.failure_costs(once, 0.0).get("new", 1.0) < 2.0
    assert not completion.failure_costs(
        _means(0.0, 0.0, 0.3), 8 * completion.TIME_HALF_LIFE
    )


def _answer(status):
    response = model.Response(status=status, headers=(), body=b"")
    return model.Answer(response=response, load=100)


def _refusal(code, run=model.RunState.UNKNOWN):
    return model.Refuse(code=code, detail="", run=run)


def test_only_results_of_the_upstream_count_as_failures():
    """Guards against taking a full or evacuated upstream for a failing one."""
    is_failure = routed_dispatch._is_failure
    assert is_failure(_answer(200)) is False
    assert is_failure(_answer(404)) is False
    assert is_failure(_answer(500)) is True
    assert is_failure(_refusal(exceptions.UPSTREAM_FAILED)) is True
    not_run = model.RunState.NOT_RUN
    assert is_failure(_refusal(exceptions.UPSTREAM_REFUSED, not_run)) is True
    assert is_failure(_refusal(exceptions.SHED, not_run)) is None
    assert is_failure(_refusal(exceptions.NO_UPSTREAM, not_run)) is None


def test_failures_and_waits_are_no_run_times():
    """Guards against taking an upstream that fails at once for a fast one."""
    shows = routed_dispatch._shows_run_time
    assert shows(_answer(200))
    assert not shows(_answer(500))
    response = _answer(200).response
    assert not shows(model.Answer(response=response, load=1200))
    assert shows(_refusal(exceptions.DEADLINE_EXCEEDED))
    not_run = model.RunState.NOT_RUN
    assert not shows(_refusal(exceptions.DEADLINE_EXCEEDED, not_run))


def _play(monkeypatch, failing, policy="expected-completion", seconds=12.0):
    """Plays six upstreams, of which the first ones fail as told."""
    fleet = simulation.Fleet(
        upstreams=[
            simulation.Upstream(
                vm=f"u{index}",
                data_centre="a",
                failing=failing.get(index, lambda now: 0.0),
            )
            for index in range(6)
        ],
        nodes={f"n{index}": "a" for index in range(20)},
        monkeypatch=monkeypatch,
        policy=policy,
    )
    rate = 0.5 * 6 * 8 / fleet.work
    nodes = [vm for vm in fleet.data_centres if vm.startswith("n")]
    fleet.arrivals(lambda now: rate, seconds, nodes)
    return fleet.play()


@pytest.mark.parametrize("fraction", [0.3, 0.6, 1.0])
def test_an_upstream_that_fails_part_of_its_calls_gets_few(
    monkeypatch, fraction
):
    failing = {0: lambda now: fraction}
    before = _play(monkeypatch, failing, "first-free")
    after = _play(monkeypatch, failing)
    counts = [
        sum(1 for at, _ in fleet.failures if at > 2.0)
        for fleet in (before, after)
    ]
    assert counts[1] < 0.35 * counts[0]


def test_an_upstream_that_recovers_is_used_again(monkeypatch):
    """Pattern: half of the calls of one upstream fail from 2 to 6 s."""
    fleet = _play(
        monkeypatch,
        {0: lambda now: 0.5 if 2.0 <= now < 6.0 else 0.0},
        seconds=40.0,
    )
    ends = [door.busy_seconds for door in fleet.doors.values()]
    assert ends[0] > 0.5 * max(ends)


def test_no_upstream_is_avoided_if_all_fail_part_of_their_calls(monkeypatch):
    fleet = _play(monkeypatch, {i: lambda now: 0.5 for i in range(6)})
    assert fleet.busiest_to_mean() < 1.25
    assert not fleet.refused


def test_an_upstream_that_flaps_fails_fewer_calls(monkeypatch):
    """Pattern: one upstream fails all its calls for half of each second."""
    failing = {0: lambda now: float(now % 1.0 < 0.5)}
    before = _play(monkeypatch, failing, "first-free")
    after = _play(monkeypatch, failing)
    assert len(after.failures) < 0.6 * len(before.failures)
