from sassafrashall import model
from sassafrashall.decisions import shedding

LAW = shedding.LevelShed()


def _overload(state, turns, shed):
    for turn in range(turns):
        for _ in range(100 - shed):
            state = shedding.on_dispatch(state, 0.0)
        for _ in range(shed):
            state = shedding.on_shed(state)
        state = shedding.update(state, 1.0 + turn)
    return state


def test_the_level_comes_down_with_what_is_shed_and_goes_up_again():
    state = _overload(shedding.LevelState(), 5, 30)
    low = state.level
    assert low < shedding.OPEN_LEVEL - 1
    for turn in range(100):
        state = shedding.update(state, 100.0 + turn)
    assert state.level == shedding.OPEN_LEVEL


def test_critical_work_passes_while_the_level_is_above_it():
    for root in range(100):
        assert shedding.admits(LAW, 1.0, model.Priority.CRITICAL, str(root))
        assert not shedding.admits(LAW, 1.0, model.Priority.BULK, str(root))


def test_one_tree_is_treated_alike_everywhere():
    passed = [
        root
        for root in range(2000)
        if shedding.admits(LAW, 1.25, model.Priority.NORMAL, f"r{root}")
    ]
    assert 400 < len(passed) < 600
    for root in passed:
        assert shedding.admits(LAW, 1.5, model.Priority.NORMAL, f"r{root}")
