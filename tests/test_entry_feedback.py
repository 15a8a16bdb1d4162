from __future__ import annotations

import heapq
import random

import pytest

from sassafrashall.decisions import entry_feedback

OUTCOME_AFTER = 0.25  # seconds from the start of a root


def _play_burst(upstreams, *, feedback=True, seed=1):
    """Plays 280 roots a second, 2.5 times as many from 2 s on.

    Calls to a narrow service are refused if more than 320 roots a second run,
    on average over 0.25 s, for which calls wait in its queue. A root makes
    eight of them, and fails if one of them is refused.

    Returns:
      For each root that ran, when it started, and whether it failed.
    """
    draw = random.Random(seed)
    states = [entry_feedback.RouteState()] * upstreams
    ends, runs = [], []
    recent = []
    at, number = 0.0, 0
    while at < 6.0:
        at += draw.expovariate(280.0 * (2.5 if at >= 2.0 else 1.0))
        number += 1
        while ends and ends[0][0] <= at:
            ended_at, upstream, failed = heapq.heappop(ends)
            states[upstream] = entry_feedback.on_outcome(
                states[upstream], failed=failed, now=ended_at
            )
        upstream = draw.randrange(upstreams)
        if feedback and not entry_feedback.admits(
            states[upstream], f"root-{number}", at
        ):
            continue
        recent = [other for other in recent if other > at - 0.25] + [at]
        served = min(1.0, 320.0 / (len(recent) / 0.25))
        failed = draw.random() > served**8
        heapq.heappush(ends, (at + OUTCOME_AFTER, upstream, failed))
        runs.append((at, failed))
    return runs


def _rate(runs, begin, end):
    return sum(begin <= at < end for at, _ in runs) / (end - begin)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_most_of_a_burst_is_refused_after_half_a_second(seed):
    """Pattern: a burst of 2.5 on trees that lead to a narrow service.

    Guards against trees that are admitted and fail until the levels of the
    controls arrive. The nodes that decide are those beside the 23 upstreams of
    the first service, so that the number of entry nodes makes no difference.
    """
    runs = _play_burst(23, seed=seed)
    assert _rate(runs, 1.0, 2.0) > 0.85 * 280.0
    # 0.25 s pass until the first outcome.
    assert _rate(runs, 2.5, 3.0) < 1.4 * 320.0
    assert _rate(runs, 3.0, 6.0) < 1.25 * 320.0
    assert _rate(runs, 3.0, 6.0) > 0.8 * 320.0
    succeeded = [run for run in runs if run[0] >= 2.5 and not run[1]]
    baseline = [
        run
        for run in _play_burst(23, feedback=False, seed=seed)
        if run[0] >= 2.5 and not run[1]
    ]
    assert len(succeeded) > 10 * len(baseline)


def test_one_failure_among_few_roots_refuses_hardly_any():
    state = entry_feedback.RouteState()
    for second in range(20):
        state = entry_feedback.on_outcome(
            state, failed=second == 10, now=float(second)
        )
        assert entry_feedback.admitted_fraction(state, float(second)) > 0.85
    assert entry_feedback.admitted_fraction(state, 20.0) == 1.0


def test_failures_that_do_not_end_leave_a_part_of_the_roots():
    """Pattern: an upstream fails its requests whatever the load."""
    state = entry_feedback.RouteState()
    for step in range(1000):
        state = entry_feedback.on_outcome(state, failed=True, now=0.01 * step)
    assert state.fraction == entry_feedback.MIN_FRACTION
    admitted = sum(
        entry_feedback.admits(state, f"root-{number}", 10.0)
        for number in range(1000)
    )
    assert 350 < admitted < 450
    # Without outcomes, such as after the end of all traffic, it recovers.
    assert entry_feedback.admitted_fraction(state, 14.0) == 1.0


def test_few_failures_refuse_nothing():
    state = entry_feedback.RouteState()
    for step in range(400):
        state = entry_feedback.on_outcome(
            state, failed=step % 100 == 50, now=0.01 * step
        )
    assert state.fraction > 0.95


def test_a_failure_after_a_quiet_time_restores_no_old_cut():
    """Pattern: few roots, long after a burst.

    Guards against a cut that has recovered and is applied again whole.
    """
    state = entry_feedback.RouteState()
    for step in range(200):
        state = entry_feedback.on_outcome(state, failed=True, now=0.01 * step)
    assert state.fraction == entry_feedback.MIN_FRACTION
    before = entry_feedback.admitted_fraction(state, 20.0)
    assert before == 1.0
    state = entry_feedback.on_outcome(state, failed=True, now=20.0)
    assert entry_feedback.admitted_fraction(state, 20.0) > 0.85
    # A part of the recovery counts as well.
    state = entry_feedback.RouteState(fraction=0.5, updated_at=0.0)
    recovered = entry_feedback.admitted_fraction(state, 1.0)
    state = entry_feedback.on_outcome(state, failed=True, now=1.0)
    assert 0.85 * recovered < state.fraction < recovered
