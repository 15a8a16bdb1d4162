"""Tests of the parts of a soak: their checks, their draws, and a short run."""

from __future__ import annotations

from bench import crowd_forms
from bench.soak import checker
from bench.soak import faults
from bench.soak import model
from bench.soak import part_checks
from bench.soak import parts
from bench.soak import planner
from bench.soak import soak
import pytest

BOUNDS = model.Bounds()
CUT = faults.CutDataCentre(data_centre="dc-0", seconds=9.0)
ALL = int(part_checks.COLD_BOUND)  # requests that a cold upstream may get


def _began(fault, at, vm, number=1):
    return model.FaultBegan(number=number, at=at, vm=vm, fault=fault)


def _pause(vm, at=10.0, number=1):
    return _began(faults.Pause(vm=vm, seconds=1.0), at, vm, number)


def _evacuated(at=10.0):
    return model.Evacuated(
        data_centre="dc-0", at=at, vms=frozenset({"node-0", "node-3"})
    )


def _ends(at):
    return model.EvacuationEnds(data_centre="dc-0", at=at)


def _run(at, vm="node-0", body=b"", sent_at=0.0):
    """Returns what shows that an upstream ran a request."""
    fields = {"request_id": f"r{at}", "target": "/x", "body": body}
    return (
        model.Sent(
            **fields,
            at=sent_at or at,
            vm="node-1",
            use=1,
            rested=0.0,
            idempotent=True,
            size=0,
        ),
        model.Ran(**fields, at=at, vm=vm, sound=True),
    )


def _answers(count, status, vm="node-0", at=16.0):
    """Returns requests at a node, and answers with one status."""
    observations = []
    for number in range(count):
        sent = _run(at + 0.01 * number)[0]
        fields = vars(sent) | {"vm": vm}
        observations += [
            model.Sent(**fields),
            model.Answered(
                request_id=sent.request_id,
                at=sent.at,
                status=status,
                answered_id=sent.request_id,
                signature="",
                body=b"",
            ),
        ]
    return observations


def _arrivals(count, start=20.0, seconds=0.9, **fields):
    """Returns the arrivals of requests at a cold upstream over some time."""
    values = {"vm": "node-0", "told_at": 19.0, "is_assumed": False} | fields
    return [
        model.ColdArrival(at=start + seconds * number / count, **values)
        for number in range(count)
    ]


def _changed(took, at=10.0):
    return [
        model.Started(vm="control-0", at=0.0),
        model.Proposed(version=1, at=at, keys=frozenset()),
        model.Acknowledged(version=1, at=at + took),
    ]


def _full(vm, number=1, at=9.0):
    return _began(faults.RefuseWrites(vm=vm, seconds=3.0), at, vm, number)


def _rules(observations):
    judge = checker.Checker()
    for observation in observations:
        judge.add(observation)
    judge.judge_closed(1000.0)
    return [violation.rule for violation in judge.violations]


# A check that never fires lets the soak pass over the failure that it is for.
@pytest.mark.parametrize(
    ("rule", "observations"),
    [
        ("EVACUATION", [_evacuated(), *_run(15.1)]),
        ("EVACUATION", [_evacuated(), *_run(15.1, sent_at=14.0)]),
        # A control that is lost leaves a majority.
        ("EVACUATION", [_evacuated(), _pause("control-0"), *_run(15.1)]),
        # A node that wakes has to know.
        ("EVACUATION", [_evacuated(), _pause("node-0", 14.0), *_run(15.1)]),
        ("EVACUATION", [_evacuated(), *_answers(30, 503), _ends(18.0)]),
        ("COLD", _arrivals(ALL + 1)),
        ("COLD", _arrivals(3 * ALL, seconds=2.5)),
        ("COLD", _arrivals(ALL + 1, is_assumed=True)),
        ("COLD", [_pause("node-0", 19.0), *_arrivals(ALL + 1)]),
        # Read late, they may have been sent in two windows, not in three.
        (
            "COLD",
            [
                model.RanLate(at=20.2, seconds=0.2),
                *_arrivals(2 * ALL + 1, start=20.3),
            ],
        ),
        ("ACK", _changed(4.1)),
        ("ACK", [_full("control-0"), *_changed(4.1)]),
    ],
)
def test_a_broken_promise_is_found(rule, observations):
    assert _rules(observations) == [rule]


# A check that fires without cause would be relaxed, or ignored.
@pytest.mark.parametrize(
    "observations",
    [
        [_evacuated(), *_run(14.9)],
        [_evacuated(), *_run(15.1, vm="node-1")],
        [_evacuated(), _ends(15.1), *_run(15.2)],
        # A long body may arrive long after its request was sent.
        [_evacuated(), *_run(15.1, body=b"x" * 2000)],
        # Without contact to a majority of the controls, nodes don't learn it.
        [
            _evacuated(),
            _pause("control-0"),
            _pause("control-1", number=2),
            *_run(15.1),
        ],
        [_evacuated(), _began(CUT, 11.0, "node-0"), *_run(15.1)],
        # A link held the request after it was sent.
        [
            _evacuated(),
            _began(
                faults.DisturbLink(
                    vm="node-0", how=faults.Silence(), seconds=3.0
                ),
                14.0,
                "node-0",
            ),
            *_run(15.1),
        ],
        [_evacuated(), *_answers(10, 503), _ends(18.0)],
        [_evacuated(), *_answers(30, 503, vm="node-1"), _ends(18.0)],
        [
            _evacuated(),
            _pause("control-0"),
            *_answers(30, 503),
            _ends(18.0),
        ],
        _arrivals(ALL),
        _arrivals(ALL + 1, seconds=1.5),
        [*_arrivals(ALL), *_arrivals(ALL, vm="node-1")],
        [*_arrivals(ALL), *_arrivals(ALL, told_at=20.5)],
        [model.RanLate(at=20.2, seconds=0.2), *_arrivals(ALL + 1)],
        # They were sent before the heartbeat was acknowledged.
        [
            model.RanLate(at=20.0, seconds=0.3),
            *_arrivals(3 * ALL, seconds=0.2, told_at=19.95),
        ],
        [_pause("node-0", 19.0), *_arrivals(ALL + 1, is_assumed=True)],
        _changed(3.9),
        [
            _full("control-0"),
            _full("control-1", number=2),
            *_changed(4.1),
        ],
        [_pause("control-0", 9.0), *_changed(4.1)],
        [model.Started(vm="control-1", at=8.0), *_changed(4.1)],
    ],
)
def test_what_no_promise_forbids_is_allowed(observations):
    assert _rules(observations) == []


# Guards against a cut of a data centre that hides what nodes elsewhere break.
def test_nodes_outside_of_a_data_centre_stay_in_touch():
    judge = checker.Checker()
    judge.add(_began(CUT, 1.0, "control-0"))
    history = judge.parts.history
    assert history.is_in_touch("node-1", 5.0, 5.1)
    assert not history.is_in_touch("node-0", 5.0, 5.1)
    assert not history.is_in_touch("node-1", 3.0, 3.1)


def _plan(seed, **fields):
    return planner.make_plan(seed=seed, nodes=4, seconds=20.0, **fields)


# Guards against a part that changes what older seeds replay.
@pytest.mark.parametrize("part", parts.PARTS)
def test_a_part_adds_its_own_faults_only(part):
    for seed in range(10):
        before = _plan(seed, wide=True)
        plan = _plan(seed, wide=True, parts=(part,))
        added = [timed for timed in plan.faults if timed not in before.faults]
        assert added
        assert set(before.faults) < set(plan.faults)
        calm = _plan(seed, wide=True, parts=(part,), calm=True)
        assert set(calm.faults) == set(added)
        assert plan == _plan(seed, wide=True, parts=(part,))
        assert plan.final == before.final
        both = _plan(seed, wide=True, parts=("cold", part))
        assert set(plan.faults) <= set(both.faults)


def test_the_parts_draw_each_of_their_faults():
    planned = [
        timed.fault
        for seed in range(20)
        for timed in _plan(seed, parts=parts.PARTS, calm=True).faults
    ]
    assert {type(fault) for fault in planned} == {
        faults.Evacuate,
        faults.TurnCold,
        faults.RestartUpstream,
        faults.OddHeads,
        faults.FillDisk,
        faults.Spoil,
        faults.CutDataCentre,
    }
    forms = {f.form for f in planned if isinstance(f, faults.OddHeads)}
    assert forms == set(crowd_forms.CALLERS_FORMS)


# A data centre is evacuated while upstreams become cold or shed half of their
# calls, a disk is full, and odd heads arrive; in the second run, a data centre
# is cut off and processes are killed, paused and stopped as well.
@pytest.mark.parametrize(("seed", "calm"), [(301, True), (302, False)])
async def test_a_short_soak_of_all_parts_breaks_no_promise(
    seed, calm, tmp_path
):
    plan = planner.make_plan(
        seed=seed, nodes=4, seconds=12.0, parts=parts.PARTS, calm=calm
    )
    result = await soak.Soak(plan=plan, folder=tmp_path).run()
    assert not result.violations
    assert result.counts["200"] > 100
    assert result.counts["Evacuated"]
    assert result.counts["ColdArrival"]
