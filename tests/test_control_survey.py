"""Load: sign-offs while controls restart, are cut off or elect a leader."""

import itertools

import pytest

from sassafrashall.decisions import control_survey

DOWN = control_survey.Answer(is_down=True)
SILENT = control_survey.Answer()


def _running(majority_age, steady_for=0.0):
    return control_survey.Answer(
        majority_age=majority_age, steady_for=steady_for
    )


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ((DOWN, DOWN, DOWN), True),
        # It may be the one that the next process of the node believes.
        ((DOWN, DOWN, SILENT), False),
        ((DOWN, DOWN, _running(0.1)), True),
        ((DOWN, _running(0.6), _running(0.1)), True),
        ((_running(5.0), SILENT, SILENT), False),
        ((DOWN, _running(0.1), _running(0.1)), False),
        ((DOWN, DOWN, _running(0.1), _running(0.1)), False),
        ((DOWN,), True),
        ((), False),
    ],
)
def test_a_majority_has_to_be_without_a_leader(answers, expected):
    assert control_survey.is_leaderless(answers) is expected


def test_some_majority_has_to_have_had_a_leader():
    answers = (SILENT, _running(0.1, 9.0), _running(0.1, 2.0))
    assert control_survey.steady_time(answers) == 2.0
    assert control_survey.steady_time((SILENT, DOWN, _running(0.1, 9.0))) == 0
    assert control_survey.steady_time(()) == 0


class _Control:
    """A control that restarts or loses its leader from time to time."""

    def __init__(self):
        self.contact = control_survey.started(0.0)
        self.is_down = False
        self.has_leader = True
        self.reachable = True

    def answer(self, now):
        if not self.reachable:
            return SILENT
        if self.is_down:
            return DOWN
        age = 0.1 if self.has_leader else 1.0
        self.contact = control_survey.on_age(
            self.contact, age, founds=False, now=now
        )
        steady_for = control_survey.steady_for(self.contact, now)
        return _running(age, steady_for)


@pytest.mark.parametrize("count", [1, 3, 4, 5])
def test_whoever_finds_a_leader_learns_when_others_found_none(count):
    """Guards against a time without a leader that no later majority tells.

    Each pattern lets some controls be down, without a leader or cut off for one
    node at 10 s, and others for the next process of that node at 12 s.
    """
    states = ("leader", "leaderless", "down", "silent")
    for before in itertools.product(states, repeat=count):
        controls = [_Control() for _ in before]
        for control, state in zip(controls, before, strict=True):
            control.answer(1.0)
            control.is_down = state == "down"
            control.has_leader = state != "leaderless"
            control.reachable = state != "silent"
        answers = [control.answer(10.0) for control in controls]
        if not control_survey.is_leaderless(answers):
            continue
        for control in controls:
            if control.is_down:
                control.contact = control_survey.started(10.5)
            control.is_down = False
            control.has_leader = True
        for heard in itertools.product((True, False), repeat=count):
            for control, reachable in zip(controls, heard, strict=True):
                control.reachable = reachable
            answers = [control.answer(12.0) for control in controls]
            assert control_survey.steady_time(answers) <= 2.0


def test_the_first_start_of_a_fleet_is_no_time_without_a_leader():
    """Guards against upstreams that wait after the first start."""
    contact = control_survey.started(0.0)
    contact = control_survey.on_age(contact, 1e6, founds=True, now=0.2)
    assert control_survey.steady_for(contact, 0.2) == 0
    contact = control_survey.on_age(contact, 0.1, founds=True, now=0.4)
    assert control_survey.steady_for(contact, 0.4) == 1e6
    contact = control_survey.on_age(contact, 0.7, founds=True, now=5.0)
    contact = control_survey.on_age(contact, 0.1, founds=True, now=6.0)
    assert control_survey.steady_for(contact, 6.0) == 1.0


def test_a_later_start_is_a_time_without_a_leader():
    contact = control_survey.started(3.0)
    contact = control_survey.on_age(contact, 1e6, founds=False, now=4.0)
    contact = control_survey.on_age(contact, 0.1, founds=False, now=5.0)
    assert control_survey.steady_for(contact, 6.0) == 2.0
