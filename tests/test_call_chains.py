"""Load: repeats of requests whose runs make calls to further services."""

import pytest

from sassafrashall.decisions import call_chains
from sassafrashall.decisions import demand


def _route(name, *calls, started=100.0, per_run=1.0):
    return demand.RouteDemand(
        route=f"r-{name}",
        service=name,
        started=started,
        ended=started,
        calls=tuple(
            demand.Calls(route=f"r-{call}", count=per_run * started)
            for call in calls
        ),
    )


def _lengths(*routes):
    return call_chains.lengths(demand.Demand(routes=routes))


def test_the_length_counts_services_above_and_below():
    found = _lengths(
        _route("a", "b"),
        _route("b", "c", "d"),
        _route("c"),
        _route("d", "e"),
        _route("e"),
        _route("alone"),
    )
    assert found == {"a": 4, "b": 4, "c": 3, "d": 4, "e": 4, "alone": 1}


def test_services_that_call_each_other_are_a_long_chain():
    assert min(_lengths(_route("a", "b"), _route("b", "a")).values()) >= 9


def test_a_service_that_was_hardly_observed_is_not_known():
    found = _lengths(_route("a", "b"), _route("b", started=2.0))
    assert found == {"a": 2}
    # It may call others.
    assert _lengths(_route("a", "b")) == {"a": 2}


def test_calls_of_other_runs_make_no_chain():
    assert _lengths(_route("a", "b", per_run=0.1), _route("b")) == {
        "a": 1,
        "b": 1,
    }


@pytest.mark.parametrize(("elapsed", "length"), [(60.0, 3), (130.0, 1)])
def test_a_chain_counts_while_its_runs_fail_before_they_make_calls(
    elapsed, length
):
    """Guards against repeats that are made since no calls are seen."""
    held = call_chains.hold({}, {"a": 3}, 0.0)
    held = call_chains.hold(held, {"a": 1}, elapsed)
    assert held["a"].length == length
