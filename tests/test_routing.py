import dataclasses
import random

from sassafrashall.decisions import routing


def _candidates(*loads, data_centre="x"):
    return tuple(
        routing.Candidate(
            vm=f"{data_centre}{n}",
            data_centre=data_centre,
            slots=10,
            in_flight=load,
            ready_since=-100.0,
        )
        for n, load in enumerate(loads)
    )


def test_upstreams_in_the_same_data_centre_go_first():
    both = _candidates(9) + _candidates(0, data_centre="y")
    policy = routing.TwoChoices()
    assert (
        routing.choose_upstream(policy, both, "x", (0.9, 0.9), 0.0).vm == "x0"
    )
    assert (
        routing.choose_upstream(policy, both, "z", (0.9, 0.9), 0.0).vm == "y0"
    )
    assert routing.choose_upstream(policy, (), "x", (0.5, 0.5), 0.0) is None


def test_two_choices_take_the_less_loaded():
    chosen = routing.choose_upstream(
        routing.TwoChoices(), _candidates(5, 1), "x", (0.0, 0.0), 0.0
    )
    assert chosen.vm == "x1"


def test_a_new_upstream_gets_a_smaller_share():
    old, new = _candidates(2, 1)
    new = routing.Candidate(
        vm="new", data_centre="x", slots=10, in_flight=1, ready_since=0.0
    )
    policy = routing.TwoChoices()
    assert (
        routing.choose_upstream(policy, (old, new), "x", (0.0, 0.0), 0.0) is old
    )
    assert (
        routing.choose_upstream(policy, (old, new), "x", (0.0, 0.0), 50.0)
        is new
    )


def test_an_ejected_upstream_is_readmitted_by_a_probe():
    health = routing.Health()
    for _ in range(routing.FAILURES_TO_EJECT):
        health = routing.on_failure(health, 0.0)
    assert not routing.is_usable(health, 0.5)
    assert routing.is_usable(health, 1.5)
    assert not routing.is_usable(routing.start_probe(health), 1.5)
    longer = routing.on_failure(routing.start_probe(health), 1.5)
    assert longer.ejected_until == 3.5
    assert routing.on_answer(longer, False, (), 2.0) == routing.Health()


def _health_after_errors(count, peers):
    health = routing.Health()
    for _ in range(count):
        health = routing.on_answer(health, True, peers, 0.0)
    return health


def test_errors_of_all_upstreams_eject_none():
    same = _health_after_errors(20, ())
    assert routing.is_usable(_health_after_errors(20, (same, same)), 0.0)


def test_errors_of_a_single_upstream_eject_it():
    assert not routing.is_usable(
        _health_after_errors(8, (routing.Health(),)), 0.0
    )


def test_two_choices_spread_the_load_better_than_random():
    def spread(policy):
        draws = random.Random(1)
        loads = [0] * 10
        for _ in range(1000):
            chosen = routing.choose_upstream(
                policy,
                _candidates(*loads),
                "x",
                (draws.random(), draws.random()),
                0.0,
            )
            loads[int(chosen.vm[1:])] += 1
        return max(loads) - min(loads)

    assert spread(routing.TwoChoices()) < spread(routing.RandomChoice())


def _candidate(vm, data_centre, load=0.0, is_local=False, in_flight=0):
    return routing.Candidate(
        vm=vm,
        data_centre=data_centre,
        slots=10,
        load=load,
        is_local=is_local,
        in_flight=in_flight,
    )


def _least_loaded(*candidates, draw=0.0):
    chosen = routing.choose_upstream(
        routing.LeastLoaded(), candidates, "a", (draw, 0.0), 0.0
    )
    return chosen.vm


def test_least_loaded_prefers_the_same_vm_then_the_same_data_centre():
    far = _candidate("far", "b")
    near = _candidate("near", "a", load=0.3)
    own = _candidate("own", "a", load=0.5, is_local=True)
    assert _least_loaded(far, near, own) == "own"
    busy = _candidate("own", "a", load=0.7, is_local=True)
    assert _least_loaded(far, near, busy) == "near"


def test_least_loaded_leaves_the_data_centre_only_for_a_lower_load():
    near = _candidate("near", "a", load=0.95)
    assert _least_loaded(near, _candidate("far", "b", load=0.5)) == "far"
    assert _least_loaded(near, _candidate("far", "b", load=0.9)) == "near"


def test_least_loaded_counts_requests_in_flight():
    first = _candidate("first", "a", in_flight=5)
    second = _candidate("second", "a", in_flight=1)
    assert _least_loaded(first, second) == "second"


def _estimate(seconds, seen_at=10.0):
    return routing.LatencyEstimate(seconds=seconds, seen_at=seen_at)


def test_slowness_is_relative_to_the_median_of_all_upstreams():
    slow = _estimate(0.5)
    peers = (slow, _estimate(0.1), _estimate(0.1))
    assert routing.slowness(slow, peers, 10.0) == 5.0
    assert routing.slowness(peers[1], peers, 10.0) == 1.0
    # Where all are slow, none is slower.
    assert routing.slowness(slow, (slow, slow), 10.0) == 1.0


def test_a_slow_upstream_without_recent_answers_is_tried_again():
    slow = _estimate(0.5)
    peers = (slow, _estimate(0.1), _estimate(0.1))
    assert routing.slowness(slow, peers, 13.0) == 1.0


def test_least_loaded_avoids_a_slow_upstream_on_the_same_vm():
    own = dataclasses.replace(
        _candidate("own", "a", load=0.1, is_local=True), slowness=5.0
    )
    near = _candidate("near", "a", load=0.4)
    assert _least_loaded(own, near) == "near"
    unequal = dataclasses.replace(own, slowness=2.0)
    assert _least_loaded(unequal, near) == "own"


# Guards against an upstream that stays shut out, and requests that end as 500:
# after 1,000 failures in a row the ejection time was too large for a float.
def test_an_upstream_that_fails_all_the_time_is_ejected_for_16_s_at_most():
    health, now = routing.Health(), 0.0
    for _ in range(3000):
        health = routing.on_failure(health, now)
        assert health.ejected_until <= now + 16.0
        now += 1.0
    assert health.ejected_until == now - 1.0 + 16.0
