"""What a node believes of its upstream's runs, in every order of events."""

from __future__ import annotations

import dataclasses
import itertools

import pytest

from sassafrashall import model
from sassafrashall.decisions import upstream_runs

ADDRESS = model.Address(host="127.0.0.1", port=1)
READY, DRAINING = model.UpstreamState.READY, model.UpstreamState.DRAINING
START = 1_000_000  # milliseconds
INTERVAL = 1.5  # seconds between two heartbeats
TTL = 8.0  # seconds


def _heartbeat(sequence, state=READY, *, name="i-1", started_ms=START):
    return upstream_runs.Heartbeat(
        run=upstream_runs.Run(incarnation=name, started_ms=started_ms),
        sequence=sequence,
        upstream=model.Upstream(
            service="s",
            address=ADDRESS,
            slots=4,
            connection_limit=0,
            state=state,
            incarnation=name,
        ),
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SignOff:
    name: str
    at_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Restart:
    """The node restarts.

    Attributes:
      heard: Events that arrive before a control has told of the sign-off.
    """

    heard: int


class _Node:
    """The state of a node that restarts beside a control that does not."""

    def __init__(self):
        self.state = upstream_runs.State()
        self.now = 100.0
        self.told = None
        self.restored_after = None

    def play(self, event):
        self.now += 0.2
        match event:
            case upstream_runs.Heartbeat():
                self.state = upstream_runs.on_heartbeat(
                    self.state, event, self.now
                )
            case _SignOff(name=name, at_ms=at_ms):
                self.state = upstream_runs.on_sign_off(self.state, name, at_ms)
            case _Restart(heard=heard):
                self.state = upstream_runs.State()
                self.restored_after = heard
        if self.restored_after is not None:
            self.restored_after -= 1
            if self.restored_after < 0:
                self._restore()
        if self.state.sign_off is not None:
            self.told = self.state.sign_off

    def _restore(self):
        self.restored_after = None
        if self.told is not None and self.state.sign_off is None:
            self.state = upstream_runs.on_sign_off_restored(
                self.state, self.told
            )

    @property
    def has_contact(self):
        return self.restored_after is None

    def uses(self, run):
        """Returns whether requests are sent to a run."""
        return (
            self.state.upstream is not None
            and self.state.upstream.state is READY
            and self.state.run == run
        )

    def hear_regularly(self, name, started_ms, sequence, seconds):
        """Plays the heartbeats of a run; returns how long it was not used."""
        began = self.now
        run = upstream_runs.Run(incarnation=name, started_ms=started_ms)
        while self.now < began + seconds:
            self.play(_heartbeat(sequence, name=name, started_ms=started_ms))
            if self.uses(run):
                return self.now - began
            sequence += 1
            self.now += INTERVAL
        return float("inf")


FIRST = upstream_runs.Run(incarnation="i-1", started_ms=START)
LEAVES = {
    "draining": (_heartbeat(3, DRAINING),),
    "delete": (_SignOff(name="i-1", at_ms=START + 5000),),
    "both": (
        _heartbeat(3, DRAINING),
        _heartbeat(4, DRAINING),
        _SignOff(name="i-1", at_ms=START + 5000),
    ),
}
NEXT_RUNS = {
    "same id": ("i-1", START + 9000),
    "another id": ("i-2", START + 9000),
    "same id, clock set back": ("i-1", START - 60_000),
    "another id, clock set back": ("i-2", START - 60_000),
}
LATE = _heartbeat(2)


def _orders(leave):
    """Yields every order of a run's events with late ones and restarts.

    The events of the run keep their order; its second heartbeat may arrive
    late, once or twice, and the node restarts up to twice at any moment.
    """
    history = (_heartbeat(1), LATE, *LEAVES[leave])
    places = range(len(history) + 1)
    late_places = [p for p in places if p >= 2]
    for late in [
        *itertools.combinations(late_places, 1),
        *itertools.combinations(late_places, 2),
    ]:
        for restarts in [
            (),
            *itertools.combinations(places, 1),
            *itertools.combinations(places, 2),
        ]:
            for heard, late_first in itertools.product((0, 1), (False, True)):
                events = []
                for place in places:
                    extra = [LATE] * (place in late)
                    restart = [_Restart(heard=heard)] * (place in restarts)
                    events += (
                        [*extra, *restart] if late_first else [*restart, *extra]
                    )
                    events += history[place : place + 1]
                # Nothing of the run arrives once it has exited.
                yield events


@pytest.mark.parametrize("leave", LEAVES)
def test_a_sign_off_holds_in_every_order_of_events(leave):
    """Guards against late heartbeats that undo an acknowledged sign-off."""
    count = 0
    for events in _orders(leave):
        node = _Node()
        has_signed_off = False
        for event in events:
            node.play(event)
            has_signed_off |= event in LEAVES[leave]
            if has_signed_off and node.has_contact:
                assert not node.uses(FIRST), events
            # Without a restart it holds with no help from a control.
            if has_signed_off and not any(
                isinstance(e, _Restart) for e in events
            ):
                assert not node.uses(FIRST), events
        count += 1
    assert count > 100


@pytest.mark.parametrize("next_run", NEXT_RUNS)
@pytest.mark.parametrize("leave", LEAVES)
def test_the_next_run_is_used_in_every_order_of_events(leave, next_run):
    """Guards against a run that is never followed, and so gets no request."""
    name, started_ms = NEXT_RUNS[next_run]
    set_back = started_ms < START
    for events in _orders(leave):
        node = _Node()
        for event in events:
            node.play(event)
        # The first run has exited.
        node.now += 3.0
        node.state = upstream_runs.on_check(node.state, TTL, node.now)
        waited = node.hear_regularly(name, started_ms, 1, 60.0)
        if not set_back:
            assert waited < INTERVAL, events
        elif not any(isinstance(event, _Restart) for event in events):
            assert waited <= upstream_runs.SUCCESSION_TIME + 2 * INTERVAL
        else:
            # After a restart its start may not be known.
            assert waited <= upstream_runs.LONG_SUCCESSION_TIME + 2 * INTERVAL


@pytest.mark.parametrize("next_run", NEXT_RUNS)
@pytest.mark.parametrize("leave", LEAVES)
def test_the_next_run_signs_off_in_every_order_of_events(leave, next_run):
    """Guards against a second life whose `draining` is acknowledged only."""
    name, started_ms = NEXT_RUNS[next_run]
    run = upstream_runs.Run(incarnation=name, started_ms=started_ms)
    for events in _orders(leave):
        for signs_off in ("draining", "delete"):
            node = _Node()
            for event in events:
                node.play(event)
            node.hear_regularly(name, started_ms, 1, 60.0)
            assert node.uses(run)
            if signs_off == "draining":
                node.play(
                    _heartbeat(90, DRAINING, name=name, started_ms=started_ms)
                )
            else:
                node.play(_SignOff(name=name, at_ms=START + 90_000))
            assert not node.uses(run)
            # A late heartbeat of it, and one of the run before.
            for late in (
                _heartbeat(50, name=name, started_ms=started_ms),
                LATE,
                _heartbeat(51, name=name, started_ms=started_ms),
            ):
                node.play(late)
                assert not node.uses(run)
                assert not node.uses(FIRST)


@pytest.mark.parametrize("name", ["i-1", "i-0"])
def test_a_late_sign_off_of_the_run_before_is_undone_by_the_next_one(name):
    """A sign-off names no start, so it may end the next run under its id."""
    node = _Node()
    node.play(_heartbeat(1))
    node.play(_SignOff(name=name, at_ms=START + 1))
    if name != "i-1":
        # Another id: it can't be meant.
        assert node.uses(FIRST)
        return
    assert not node.uses(FIRST)
    waited = node.hear_regularly("i-1", START, 2, 60.0)
    assert 0 < waited - upstream_runs.LONG_SUCCESSION_TIME < 2 * INTERVAL


def test_late_heartbeats_in_a_burst_are_not_a_next_run():
    """A link that was cut delivers what it held back all at once."""
    node = _Node()
    node.play(_heartbeat(1, started_ms=START + 10))
    node.play(_SignOff(name="i-1", at_ms=START + 20))
    for sequence in range(1, 30):
        node.play(_heartbeat(sequence, started_ms=START))
        node.now -= 0.19
    assert node.state.upstream is None


def test_an_earlier_run_is_not_believed_while_the_next_one_is_heard():
    node = _Node()
    next_run = upstream_runs.Run(incarnation="i-2", started_ms=START + 10)
    for sequence in range(1, 60):
        node.play(_heartbeat(sequence, name="i-2", started_ms=START + 10))
        node.play(_heartbeat(sequence))
        node.now += INTERVAL
        assert node.uses(next_run)


def test_a_restored_sign_off_ends_an_earlier_run_that_was_believed():
    node = _Node()
    node.play(_heartbeat(7))
    node.state = upstream_runs.on_sign_off_restored(
        node.state,
        model.SignOff(incarnation="i-2", started_ms=START + 10, gone=True),
    )
    assert node.state.upstream is None
    node.play(_heartbeat(8))
    assert node.state.upstream is None


def test_a_restored_sign_off_of_an_earlier_run_changes_nothing():
    node = _Node()
    node.play(_heartbeat(7))
    for name in ("i-0", "i-1"):
        node.state = upstream_runs.on_sign_off_restored(
            node.state,
            model.SignOff(incarnation=name, started_ms=START - 10, gone=True),
        )
        assert node.uses(FIRST)


def test_silence_is_found_by_two_checks_in_a_row():
    node = _Node()
    node.play(_heartbeat(1))
    late = node.now + TTL + 0.1
    state = upstream_runs.on_check(node.state, TTL, late)
    assert state.upstream is not None
    assert upstream_runs.on_check(state, TTL, late).upstream is None
    # Heard again, it is used again.
    state = upstream_runs.on_heartbeat(state, _heartbeat(2), late)
    assert upstream_runs.on_check(state, TTL, late).upstream is not None


def test_the_sign_offs_that_are_kept_are_bounded():
    state = upstream_runs.State()
    for number in range(100):
        beat = _heartbeat(1, DRAINING, started_ms=START + number)
        state = upstream_runs.on_heartbeat(state, beat, float(number))
    assert len(state.ended) == upstream_runs.MAX_ENDED
    assert state.sign_off.started_ms == START + 99


def _started_node():
    """Returns the state of a node to which no control has told sign-offs."""
    return upstream_runs.State(sign_offs_known=False)


def _sign_off(*, name="i-1", started_ms=START, gone=True, ended_ms=0):
    return model.SignOff(
        incarnation=name, started_ms=started_ms, gone=gone, ended_ms=ended_ms
    )


def test_one_heartbeat_after_the_start_of_the_node_is_held_back():
    state = upstream_runs.on_heartbeat(_started_node(), _heartbeat(9), 100.0)
    assert state.upstream is None
    known = upstream_runs.on_sign_offs_known(state, ())
    assert known.upstream is not None and known.heard_at == 100.0
    left = upstream_runs.on_sign_offs_known(state, (_sign_off(),))
    assert left.upstream is None


def test_a_sign_off_that_is_not_the_latest_is_known_as_well():
    sign_offs = (_sign_off(), _sign_off(name="i-2", started_ms=START - 1))
    state = upstream_runs.on_sign_offs_known(_started_node(), sign_offs)
    state = upstream_runs.on_heartbeat(state, _heartbeat(9), 100.0)
    assert state.upstream is None


# Guards against a data centre that is cut off and leaves upstreams unused whose
# nodes have restarted, and against a burst of late heartbeats that is believed.
def test_without_a_control_heartbeats_are_believed_after_a_while():
    state, now = _started_node(), 100.0
    for sequence in range(7, 10):
        state = upstream_runs.on_heartbeat(state, _heartbeat(sequence), now)
    assert state.upstream is None
    for sequence in range(10, 15):
        now += INTERVAL
        state = upstream_runs.on_heartbeat(state, _heartbeat(sequence), now)
        is_due = now - 100.0 >= upstream_runs.SUCCESSION_TIME
        assert (state.upstream is not None) == is_due
    assert state.upstream is not None


def test_a_late_heartbeat_takes_no_place_of_a_later_run_that_is_held_back():
    state = _started_node()
    later = _heartbeat(1, name="i-2", started_ms=START + 1)
    state = upstream_runs.on_heartbeat(state, later, 100.0)
    state = upstream_runs.on_heartbeat(state, _heartbeat(9), 100.1)
    state = upstream_runs.on_sign_offs_known(state, (_sign_off(),))
    assert state.run == later.run and state.upstream is not None


def test_leaving_is_believed_without_a_control():
    state = upstream_runs.on_heartbeat(
        _started_node(), _heartbeat(9, DRAINING), 100.0
    )
    assert state.upstream is not None and state.upstream.state is DRAINING
    state = upstream_runs.on_heartbeat(state, _heartbeat(10), 100.1)
    assert state.upstream is not None and state.upstream.state is DRAINING


def test_sign_offs_are_merged_in_any_order():
    told = (
        _sign_off(gone=False),
        _sign_off(),
        _sign_off(name="i-2", started_ms=0, ended_ms=START),
        _sign_off(name="i-2", started_ms=0, ended_ms=START + 1),
    )
    expected = {told[1], told[3]}
    for order in itertools.permutations(told):
        merged = ()
        for sign_off in order:
            merged = upstream_runs.merge_sign_off(merged, sign_off)
        assert set(merged) == expected and len(merged) == 2


def test_the_sign_off_of_an_earlier_run_keeps_what_is_held_back():
    """Guards against a run that waits for its second heartbeat."""
    state = upstream_runs.on_heartbeat(
        _started_node(), _heartbeat(1, name="i-2", started_ms=START + 1), 100.0
    )
    state = upstream_runs.on_sign_off_restored(state, _sign_off())
    state = upstream_runs.on_sign_offs_known(state, (_sign_off(),))
    assert state.upstream is not None and state.run.incarnation == "i-2"
