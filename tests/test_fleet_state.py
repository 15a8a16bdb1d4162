import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from sassafrashall import model
from sassafrashall import organisation_model
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state
from sassafrashall.transport import snapshots


def _create(state, name="a", change_id="c0", assignments=()):
    return fleet_state.apply(
        state,
        fleet_commands.CreateOrganisation(
            change_id=change_id,
            name=name,
            template="web-api",
            assignments=assignments,
        ),
    )


def _set(state, change_id, value="5", expect=0, name="a"):
    return fleet_state.apply(
        state,
        fleet_commands.SetParameters(
            change_id=change_id,
            name=name,
            assignments=(("rate", value),),
            expect_version=expect,
        ),
    )


def _claim(state, claim_id, fingerprint="f", key="k"):
    return fleet_state.apply(
        state,
        fleet_commands.ClaimRequest(
            claim_id=claim_id,
            organisation="a",
            idempotency_key=key,
            fingerprint=fingerprint,
        ),
    )


def test_of_two_changes_to_one_version_the_second_conflicts():
    state, _ = _create(fleet_state.FleetState())
    state, first = _set(state, "c1", expect=1)
    state, second = _set(state, "c2", value="6", expect=1)
    assert isinstance(first, fleet_commands.Accepted)
    assert second == fleet_commands.Conflict(
        version=2, detail="expected version 1"
    )
    assert state.organisations["a"].parameters.rate == 5


def test_a_change_sent_again_gets_its_first_result():
    state, _ = _create(fleet_state.FleetState())
    state, first = _set(state, "c1", value="5")
    state, _ = _set(state, "c2", value="6")
    again, second = _set(state, "c1", value="5")
    assert second == first
    assert again.organisations["a"].parameters.rate == 6


def test_a_rejected_change_sent_again_gets_its_first_result():
    state, _ = _create(fleet_state.FleetState())
    state, first = _set(state, "c1", expect=9)
    state, _ = _set(state, "c2")
    _, again = _set(state, "c1", expect=9)
    assert again == first


def test_all_invalid_values_are_reported_and_none_is_applied():
    state, _ = _create(fleet_state.FleetState())
    command = fleet_commands.SetParameters(
        change_id="c1",
        name="a",
        assignments=(("rate", "7"), ("burst", "x"), ("colour", "red")),
    )
    state, result = fleet_state.apply(state, command)
    assert isinstance(result, fleet_commands.Rejected)
    assert [f.key for f in result.findings] == ["burst", "colour"]
    assert state.organisations["a"].parameters.rate == 100


def test_a_withdrawn_key_cannot_be_issued_again():
    state, _ = _create(fleet_state.FleetState())
    issue = fleet_commands.IssueKey(
        change_id="i", organisation="a", key_id="k", digest="d"
    )
    state, _ = fleet_state.apply(state, issue)
    withdraw = fleet_commands.WithdrawKey(
        change_id="w", organisation="a", key_id="k"
    )
    state, _ = fleet_state.apply(state, withdraw)
    again = fleet_commands.IssueKey(
        change_id="i2", organisation="a", key_id="k2", digest="d"
    )
    _, result = fleet_state.apply(state, again)
    assert isinstance(result, fleet_commands.Rejected)


def test_the_first_claimant_wins_also_when_it_asks_again():
    state, first = _claim(fleet_state.FleetState(), "one")
    state, resend = _claim(state, "one")
    state, other = _claim(state, "two")
    state, misuse = _claim(state, "three", fingerprint="g")
    assert first == resend == fleet_commands.Granted()
    assert other == fleet_commands.Taken(same_request=True)
    assert misuse == fleet_commands.Taken(same_request=False)


def test_a_claim_can_be_released_only_by_its_holder():
    state, _ = _claim(fleet_state.FleetState(), "one")
    for claim_id, free in (("two", False), ("one", True)):
        release = fleet_commands.ReleaseClaim(
            claim_id=claim_id, organisation="a", idempotency_key="k"
        )
        state, _ = fleet_state.apply(state, release)
        _, result = _claim(state, "three")
        assert isinstance(result, fleet_commands.Granted) is free


def test_a_claim_is_kept_for_one_rotation():
    state, _ = _claim(fleet_state.FleetState(), "one")
    state, _ = fleet_state.apply(state, fleet_commands.RotateClaims())
    assert isinstance(_claim(state, "two")[1], fleet_commands.Taken)
    state, _ = fleet_state.apply(state, fleet_commands.RotateClaims())
    assert isinstance(_claim(state, "two")[1], fleet_commands.Granted)


def test_a_snapshot_restores_the_whole_state():
    state, _ = _create(fleet_state.FleetState())
    state, _ = _claim(state, "one")
    state, _ = _set(state, "c1", expect=7)
    copy = snapshots.decode(snapshots.encode(state))
    assert copy == state


def test_configuration_never_reverts():
    state, _ = _create(fleet_state.FleetState())
    old = fleet_state.changed_since(state, 0)
    state, _ = _set(state, "c1")
    new = fleet_state.changed_since(state, 0)
    configuration = fleet_state.merge_configuration(
        organisation_model.Configuration(), state.revision, new, frozenset()
    )
    again = fleet_state.merge_configuration(
        configuration, 1, old, frozenset({"d"})
    )
    assert again.revision == 2
    assert again.organisations["a"].parameters.rate == 5
    assert again.withdrawn == {"d"}


class OperatorsMachine(stateful.RuleBasedStateMachine):
    """Compares concurrent and repeated changes with a simple model."""

    def __init__(self):
        super().__init__()
        self.state, _ = _create(fleet_state.FleetState())
        self.version = 1
        self.rate = 100.0
        self.answers = {}

    @stateful.rule(
        change=st.integers(0, 30),
        rate=st.integers(1, 50),
        behind=st.integers(0, 2),
        blind=st.booleans(),
    )
    def change(self, change, rate, behind, blind):
        expect = 0 if blind else max(1, self.version - behind)
        self.state, result = _set(
            self.state, f"x{change}", value=str(rate), expect=expect
        )
        if change in self.answers:
            assert result == self.answers[change]
            return
        self.answers[change] = result
        if blind or expect == self.version:
            self.version += 1
            self.rate = float(rate)
            assert result.version == self.version
        else:
            assert result.version == self.version
            assert isinstance(result, fleet_commands.Conflict)

    @stateful.rule()
    def snapshot(self):
        self.state = snapshots.decode(snapshots.encode(self.state))

    @stateful.invariant()
    def holds_the_last_accepted_change(self):
        organisation = self.state.organisations["a"]
        assert organisation.version == self.version
        assert organisation.parameters.rate == self.rate


OperatorsMachine.TestCase.settings = hypothesis.settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    phases=(hypothesis.Phase.generate,),
)
TestOperatorsMachine = OperatorsMachine.TestCase


def test_sign_offs_are_kept_for_one_rotation_and_in_snapshots():
    sign_off = model.SignOff(incarnation="i", started_ms=1, gone=True)
    record = fleet_commands.RecordSignOff(vm="vm", sign_off=sign_off)
    read = fleet_commands.ReadSignOffs(vms=("vm", "vm-2"))
    rotate = fleet_commands.RotateClaims()
    state = fleet_state.FleetState()
    for command in (record, rotate):
        state, _ = fleet_state.apply(state, command)
        state = snapshots.decode(snapshots.encode(state))
        _, result = fleet_state.apply(state, read)
        assert result.by_vm == {"vm": (sign_off,), "vm-2": ()}
        assert state.revision == 0
    later = model.SignOff(incarnation="i", started_ms=2, gone=True)
    again = fleet_commands.RecordSignOff(vm="vm", sign_off=later)
    state, _ = fleet_state.apply(state, again)
    assert state.sign_offs_of("vm") == (sign_off, later)
    for _ in range(2):
        state, _ = fleet_state.apply(state, rotate)
    assert not state.sign_offs_of("vm")
    assert not state.sign_offs and not state.old_sign_offs
