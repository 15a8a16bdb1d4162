"""The bound of a cold upstream, with load patterns and without a network."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from sassafrashall.decisions import cold_rate

BOUND = cold_rate.bound_for(rate=4.8, cold_start_s=6.0, overage=1.5, slack=8)
COUNT = 15
RUN = ("i-1", 1000)
START = 100.0


def _apply(state, now, *events):
    for event in events:
        state = cold_rate.on_event(state, event, now)
    return state


def _heartbeat(at, remaining, run=RUN, sequence=1, **fields):
    return cold_rate.Heartbeat(
        run=run,
        sequence=sequence,
        cold_remaining_s=remaining,
        heard_at=at,
        **fields,
    )


def _started(remaining=5.0):
    """Returns the state of a node that has run for a while."""
    state = _apply(
        cold_rate.State(), START - 10, cold_rate.Configured(bound=BOUND)
    )
    return _apply(state, START, _heartbeat(START, remaining))


def _send(state, now):
    """Returns the state after a request, and whether it was sent."""
    if not cold_rate.may_send(state, now):
        return state, False
    sent = cold_rate.Sent(sent_at=now)
    return _apply(state, now, cold_rate.Granted(), sent), True


@pytest.mark.parametrize(
    ("rate", "cold_start", "overage", "slack", "count"),
    [
        (4.8, 6.0, 1.5, 8, 15),
        (4.8, 6.0, 0.0, 0, 4),
        (4.8, 6.0, 0.0, 8, 12),
        (0.2, 6.0, 1.5, 0, 1),
        (0.0, 6.0, 1.5, 8, None),
        (4.8, 0.0, 1.5, 8, None),
    ],
)
def test_the_bound_follows_from_the_configuration(
    rate, cold_start, overage, slack, count
):
    bound = cold_rate.bound_for(
        rate=rate, cold_start_s=cold_start, overage=overage, slack=slack
    )
    assert (bound and bound.count) == count


# Guards against requests that are refused where no bound is configured.
def test_without_a_bound_everything_is_sent():
    state = cold_rate.State()
    for _ in range(1000):
        state, sent = _send(state, START)
        assert sent
    assert cold_rate.used_fraction(state, START) == 0.0
    assert cold_rate.usable_slots(state, 27, 0.04, START) == 27


# Load: a burst of 200 a second on an upstream that has just started.
def test_a_burst_gets_no_more_than_the_bound_in_any_second():
    state, sends = _started(), []
    for step in range(600):
        now = START + step / 200
        state, sent = _send(state, now)
        if sent:
            sends.append(now)
    for at in sends:
        assert sum(at <= other < at + 1.0 for other in sends) <= COUNT
    assert len(sends) == 3 * COUNT


# Load: a warm upstream at 200 a second becomes cold again. Guards against a
# full second's worth on top of what was sent while it was warm.
def test_sends_before_it_became_cold_count():
    state = _started(remaining=0.0)
    for step in range(200):
        now = START + step / 200
        state, sent = _send(state, now)
        assert sent
    state = _apply(state, now, _heartbeat(now, 4.0, sequence=2))
    assert not cold_rate.may_send(state, now + 1.0)
    assert cold_rate.may_send(state, now + cold_rate.WINDOW)


# Guards against requests that are granted over several seconds, wait for a
# connection, and then are sent together.
def test_granted_requests_count_until_they_are_sent():
    state = _started()
    for _ in range(COUNT):
        assert cold_rate.may_send(state, START)
        state = _apply(state, START, cold_rate.Granted())
    later = START + 3.0
    assert not cold_rate.may_send(state, later)
    state = _apply(state, later, cold_rate.Unsent())
    assert cold_rate.may_send(state, later)


# Load: calls of many nodes at random times, of which some wait before they are
# sent and some are cancelled. The upstream is cold all the time, also while 400
# arrivals at 5 a second take longer than a minute.
@hypothesis.example(seed=42567, rate=5.0, longest_wait=0.0)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    rate=strategies.floats(5.0, 400.0),
    longest_wait=strategies.floats(0.0, 2.0),
)
def test_the_bound_holds_for_any_arrivals(seed, rate, longest_wait):
    draw = random.Random(seed)
    state, waiting, sends = _started(remaining=3600.0), [], []
    now = START
    for _ in range(400):
        now += draw.expovariate(rate)
        for due in sorted(w for w in waiting if w <= now):
            waiting.remove(due)
            if draw.random() < 0.1:
                state = _apply(state, due, cold_rate.Unsent())
            else:
                state = _apply(state, due, cold_rate.Sent(sent_at=due))
                sends.append(due)
        if cold_rate.may_send(state, now):
            state = _apply(state, now, cold_rate.Granted())
            waiting.append(now + draw.uniform(0.0, longest_wait))
    for at in sends:
        assert sum(at <= other < at + 1.0 for other in sends) <= COUNT


def test_a_request_sent_again_counts_twice():
    state = _apply(_started(), START, cold_rate.Granted(), cold_rate.Granted())
    state = _apply(state, START, cold_rate.Sent(sent_at=START))
    again = cold_rate.Sent(sent_at=START, is_repeated=True)
    state = _apply(state, START, again)
    assert state.pending == 1
    assert len(state.sends) == 2


# Guards against a node that restarts and doesn't know what the process before
# it has sent within the last second.
def test_a_node_that_starts_sends_nothing_for_one_window():
    state = _apply(cold_rate.State(), START, cold_rate.Configured(bound=BOUND))
    state = _apply(state, START, _heartbeat(START, 5.0))
    assert not cold_rate.may_send(state, START + 1.0)
    assert cold_rate.used_fraction(state, START + 1.0) == 1.0
    assert cold_rate.may_send(state, START + cold_rate.WINDOW)


def test_it_is_cold_until_the_first_heartbeat():
    state = _apply(
        cold_rate.State(), START - 9, cold_rate.Configured(bound=BOUND)
    )
    assert cold_rate.is_cold(state, START)
    state = _apply(state, START, _heartbeat(START, 0.0))
    assert not cold_rate.is_cold(state, START)


def test_a_heartbeat_tells_when_it_is_cold_again():
    state = _started(remaining=0.0)
    assert not cold_rate.is_cold(state, START + 1)
    state = _apply(state, START + 2, _heartbeat(START + 2, 3.0, sequence=2))
    assert cold_rate.is_cold(state, START + 4)
    assert not cold_rate.is_cold(state, START + 6)


# Guards against an upstream that restarts under the same id.
def test_the_same_id_with_a_later_start_is_a_new_run():
    state = _started(remaining=0.0)
    state = _apply(state, START, cold_rate.Doubted(heartbeats=2))
    new = _heartbeat(START + 1, None, run=("i-1", 2000))
    state = _apply(state, START + 1, new)
    assert cold_rate.is_cold(state, START + 6)
    assert not cold_rate.is_cold(state, START + 8)


def test_a_heartbeat_that_tells_nothing_keeps_what_was_told():
    state = _started(remaining=4.0)
    state = _apply(state, START + 1, _heartbeat(START + 1, None, sequence=2))
    assert cold_rate.is_cold(state, START + 3)
    assert not cold_rate.is_cold(state, START + 5)


# Guards against a late heartbeat of the run that has ended, which would make a
# restarted upstream count as warm.
def test_after_a_refused_connection_two_heartbeats_of_the_run_are_needed():
    state = _apply(_started(0.0), START, cold_rate.Doubted(heartbeats=2))
    state = _apply(state, START + 1, _heartbeat(START + 1, 0.0, sequence=2))
    assert cold_rate.is_cold(state, START + 1)
    state = _apply(state, START + 2, _heartbeat(START + 2, 0.0, sequence=3))
    assert not cold_rate.is_cold(state, START + 2)


def test_a_run_that_is_not_believed_yet_makes_the_upstream_cold():
    other = _heartbeat(START + 1, 0.0, run=("i-2", 900), is_doubtful=True)
    state = _apply(_started(0.0), START + 1, other)
    assert cold_rate.is_cold(state, START + 1)
    state = _apply(state, START + 2, _heartbeat(START + 2, 0.0, sequence=2))
    assert not cold_rate.is_cold(state, START + 2)


def test_a_response_can_only_extend_the_time():
    state = _apply(
        _started(5.0), START, cold_rate.Responded(cold_remaining_s=1.0)
    )
    assert cold_rate.is_cold(state, START + 4)
    state = _apply(state, START, cold_rate.Responded(cold_remaining_s=9.0))
    assert cold_rate.is_cold(state, START + 8)


def test_usable_slots_follow_the_rate_while_it_is_cold():
    state = _started()
    assert cold_rate.usable_slots(state, 27, 0.0, START) == 1
    assert cold_rate.usable_slots(state, 27, 1.0, START) == 4
    assert cold_rate.usable_slots(state, 3, 1.0, START) == 3
    assert cold_rate.usable_slots(state, 27, 1.0, START + 6) == 27


# Guards against a higher bound under which sends that were dropped would count.
def test_a_higher_bound_waits_until_all_sends_are_known():
    state = _started()
    for _ in range(COUNT):
        state, sent = _send(state, START)
        assert sent
    higher = cold_rate.bound_for(
        rate=20.0, cold_start_s=6.0, overage=1.5, slack=8
    )
    state = _apply(state, START, cold_rate.Configured(bound=higher))
    assert not cold_rate.may_send(state, START + 1.0)
    assert cold_rate.may_send(state, START + cold_rate.WINDOW)
