from __future__ import annotations

import random

import pytest

from sassafrashall.decisions import breaker

POLICY = breaker.ConsecutiveFailures()


def _after(results, state=breaker.CLOSED, now=0.0, policy=POLICY):
    for failed in results:
        state = breaker.on_result(policy, state, failed=failed, now=now)
    return state


def test_an_upstream_that_fails_all_is_left_out_after_a_few_requests():
    """Pattern: one upstream takes requests and answers none of them."""
    count = 0
    state = breaker.CLOSED
    while state.is_closed:
        count += 1
        state = _after([True], state)
    assert count == POLICY.count
    assert not breaker.may_send(state, 0.5)


def test_an_upstream_that_fails_half_stays_in():
    """Pattern: all upstreams of a service fail half of what they are sent.

    Left out one after the other, they would serve nothing. The other half of
    the requests is served.
    """
    draw = random.Random(1)
    state = breaker.CLOSED
    for _ in range(10_000):
        state = _after([draw.random() < 0.55], state)
        assert state.is_closed


def test_one_probe_at_a_time_decides_whether_it_closes():
    state = _after([True] * POLICY.count)
    assert breaker.may_send(state, 1.0)
    state = breaker.on_sent(state)
    assert not breaker.may_send(state, 1.0)
    reopened = _after([True], state, now=1.0)
    assert reopened.open_until == pytest.approx(1.0 + 2 * POLICY.open_time)
    assert _after([False], state, now=1.0) == breaker.CLOSED


def test_a_probe_that_is_abandoned_makes_room_for_the_next():
    state = breaker.on_sent(_after([True] * POLICY.count))
    assert breaker.may_send(breaker.on_no_result(state), 1.0)


def test_the_time_until_a_probe_is_bounded():
    state = _after([True] * POLICY.count)
    for _ in range(20):
        now = state.open_until
        state = _after([True], breaker.on_sent(state), now=now)
        assert state.open_until - now <= POLICY.max_open_time


def test_late_failures_do_not_lengthen_the_time_until_a_probe():
    state = _after([True] * POLICY.count)
    assert _after([True] * 5, state, now=0.9) == state


def test_a_deadline_that_left_no_time_is_no_failure():
    """Pattern: callers in a burst send what has waited for most of its time."""
    kwargs = {"timed_out": True, "usual_time": 0.1}
    assert not breaker.is_failure(POLICY, run_time=0.15, **kwargs)
    assert breaker.is_failure(POLICY, run_time=0.3, **kwargs)
    kwargs["timed_out"] = False
    assert breaker.is_failure(POLICY, run_time=0.01, **kwargs)


def test_the_baseline_never_opens():
    policy = breaker.NoBreaker()
    assert _after([True] * 100, policy=policy).is_closed
    assert not breaker.is_failure(
        policy, timed_out=False, run_time=1.0, usual_time=0.1
    )
