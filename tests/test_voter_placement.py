"""How many controls vote, and where, so that the tolerated losses are borne."""

from __future__ import annotations

import itertools

from bench import routed
import hypothesis
from hypothesis import strategies
import pytest
import trio

from sassafrashall import exceptions
from sassafrashall import settings
from sassafrashall import settings_file
from sassafrashall.decisions import replacements
from sassafrashall.decisions import replication
from sassafrashall.decisions import voter_placement
from tests import raft_simulation

CATCH_UP = 4.0  # seconds until a VM that is back no longer counts as lost
MEMBER = raft_simulation.member


def _requirements(vms=1, data_centres=0, regions=0, **region_by_data_centre):
    return voter_placement.Requirements(
        losses=voter_placement.Losses(
            vms=vms, data_centres=data_centres, regions=regions
        ),
        region_by_data_centre=tuple(region_by_data_centre.items()),
    )


def _choose(voters, candidates, requirements, leader=""):
    chosen = voter_placement.choose_voters(
        tuple(MEMBER(name) for name in voters.split()),
        tuple(MEMBER(name) for name in candidates.split()),
        requirements,
        leader=leader,
    )
    return " ".join(sorted(member.replica_id for member in chosen))


# Guards against a fleet that ends with two lost disks: only the three founders
# voted, whatever the settings said.
@pytest.mark.parametrize(
    ("voters", "candidates", "requirements", "expected"),
    [
        ("a1 b1 c1", "d1 e1", _requirements(2), "a1 b1 c1 d1 e1"),
        ("a1 b1 c1", "d1 e1", _requirements(1), "a1 b1 c1"),
        ("a1 b1 c1", "d1", _requirements(2), "a1 b1 c1"),
        # A data centre must not hold half of the voters.
        ("a1 a2 b1", "c1", _requirements(1, 1), "a1 b1 c1"),
        ("a1 b1 c1", "a2 b2", _requirements(2, 1), "a1 a2 b1 b2 c1"),
        ("a1 b1 c1", "d1 e1", _requirements(1, 2), "a1 b1 c1 d1 e1"),
        # A region must not either: b and c are one.
        (
            "a1 b1 c1",
            "d1",
            _requirements(1, 1, 1, a="r1", b="r2", c="r2", d="r3"),
            "a1 b1 d1",
        ),
        # Two data centres can't both be dispensable.
        ("a1 b1", "a2", _requirements(1, 1), "a1 a2 b1"),
        # More voters than needed delay changes.
        ("a1 b1 c1 d1 e1", "", _requirements(1, 1), "a1 b1 c1"),
        # As long as the losses exceed what can be borne, each copy counts.
        ("a1 b1 c1 d1", "", _requirements(2, 1), "a1 b1 c1 d1"),
        ("a1 b1", "", _requirements(1, 1), "a1 b1"),
        ("a1", "", _requirements(2, 1), "a1"),
    ],
)
def test_voters_follow_from_the_tolerated_losses(
    voters, candidates, requirements, expected
):
    assert _choose(voters, candidates, requirements) == expected


def test_the_leader_is_kept():
    requirements = _requirements(1, 1)
    assert _choose("a1 a2 b1", "c1", requirements, "a2") == "a2 b1 c1"


_NAMES = strategies.lists(
    strategies.sampled_from([f"{dc}{n}" for dc in "abcd" for n in (1, 2)]),
    min_size=1,
    max_size=7,
    unique=True,
)


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300, database=None
)
@hypothesis.given(
    _NAMES,
    strategies.integers(1, 7),
    strategies.tuples(*[strategies.integers(0, 2)] * 3),
    strategies.tuples(*[strategies.sampled_from(["r1", "r2", "r3"])] * 4),
)
def test_no_other_voters_would_tolerate_more(names, count, losses, regions):
    """Compares with all sets of voters, and applies the choice twice."""
    requirements = _requirements(
        *losses, **dict(zip("abcd", regions, strict=True))
    )
    members = tuple(MEMBER(name) for name in names)
    voters, candidates = members[:count], members[count:]

    def rank(chosen):
        tolerated = voter_placement.tolerated_losses(chosen, requirements)
        return tolerated.vms, tolerated.data_centres

    chosen = voter_placement.choose_voters(voters, candidates, requirements)
    assert rank(chosen) == max(
        rank(subset)
        for size in range(1, len(members) + 1)
        for subset in itertools.combinations(members, size)
    )
    rest = tuple(m for m in members if m not in chosen)
    again = voter_placement.choose_voters(chosen, rest, requirements)
    assert set(again) == set(chosen)


def test_kept_voters_keep_their_position():
    """Their share of each quota goes by it."""
    membership = replication.Membership(
        voters=(MEMBER("c1"), MEMBER("a1"), MEMBER("b1")),
        learners=(MEMBER("d1"), MEMBER("e1")),
    )
    changed = replication.change_voters(
        membership, tuple(MEMBER(n) for n in ("b1", "c1", "d1"))
    )
    assert [m.replica_id for m in changed.voters] == ["c1", "d1", "b1"]
    assert changed.outgoing == membership.voters
    assert {m.replica_id for m in changed.learners} == {"a1", "e1"}


def test_voters_are_added_once_learners_have_caught_up():
    def membership_with(match, heard_at):
        peers = tuple(
            (
                name,
                replication.Peer(next_index=6, match=match, heard_at=heard_at),
            )
            for name in ("b1", "c1", "d1", "e1")
        )
        state = replication.State(
            replica_id="a1",
            term=1,
            role=replication.Role.LEADER,
            entries=tuple(
                replication.Entry(index=n, term=1) for n in range(1, 6)
            ),
            commit=5,
            membership=replication.Membership(
                voters=tuple(MEMBER(n) for n in ("a1", "b1", "c1")),
                learners=tuple(MEMBER(n) for n in ("d1", "e1")),
            ),
            peers=peers,
        )
        return replacements.next_membership(
            state, _requirements(2, 1), 0.0, 100.0
        )

    assert membership_with(5, 100.0) is not None
    assert membership_with(4, 100.0) is None
    silent = 100.0 - replacements.LEARNER_TIMEOUT - 0.1
    assert membership_with(5, silent) is None


# --- simulated fleets --------------------------------------------------------


class _Machines:
    """VMs that run a control, lose their disk, or are cut off."""

    def __init__(self, seed, names, requirements, loss=0.0):
        self.requirements = requirements
        self.cluster = raft_simulation.Cluster(seed, names[:3], loss=loss)
        self.replica_of = {}
        for name in names:
            if name not in self.cluster.replicas:
                self.cluster.add(name)
            self.replica_of[name] = name
        self._generation = itertools.count(1)

    def run(self, seconds):
        end = self.cluster.now + seconds
        while self.cluster.now < end:
            self.cluster.run(0.3)
            self.cluster.place_voters(self.requirements)

    def lose_disks(self, vms):
        """Crashes VMs; their replicas never come back."""
        for vm in vms:
            del self.cluster.replicas[self.replica_of[vm]]

    def start_empty(self, vms):
        for vm in vms:
            self.replica_of[vm] = f"{vm}.{next(self._generation)}"
            self.cluster.add(self.replica_of[vm])

    def run_until_placed(self):
        """Returns whether the voters tolerate the losses within a minute."""
        end = self.cluster.now + 60.0
        while self.cluster.now < end:
            self.run(0.3)
            leader = self.cluster.leader()
            if leader is None:
                continue
            membership = leader.state.membership
            alive = tuple(
                voter
                for voter in membership.voters
                if voter.replica_id in self.cluster.replicas
            )
            if (
                alive == membership.voters
                and not membership.outgoing
                and voter_placement.tolerated_losses(alive, self.requirements)
                == self.requirements.losses
            ):
                return True
        return False

    def commit(self, command):
        end = self.cluster.now + 8.0
        while self.cluster.now < end:
            if self.cluster.commit(command, seconds=0.3):
                return True
            self.cluster.place_voters(self.requirements)
        return False


_FLEETS = pytest.mark.parametrize(
    ("names", "requirements"),
    [
        (["a1", "b1", "c1", "d1", "e1"], _requirements(2, 1)),
        (["a1", "b1", "c1", "a2", "b2"], _requirements(2, 1)),
        (["a1", "b1", "c1", "d1"], _requirements(1, 1)),
        (["a1", "a2", "b1", "c1", "d1", "e1", "f1", "g1"], _requirements(3)),
    ],
)


@pytest.mark.parametrize("seed", range(12))
@_FLEETS
def test_nothing_is_lost_with_as_many_disks_as_are_tolerated(
    seed, names, requirements
):
    """Disks are lost at once, again and again, beside cuts of single VMs."""
    machines = _Machines(seed, names, requirements)
    cluster = machines.cluster
    machines.run(CATCH_UP)
    for step in range(5):
        assert machines.commit(b"before-%d" % step)
        vms = cluster.random.sample(names, requirements.losses.vms)
        machines.lose_disks(vms)
        machines.run(cluster.random.random() * 4.0)
        machines.start_empty(vms)
        assert machines.commit(b"after-%d" % step)
        machines.run(CATCH_UP)
        cut = cluster.random.choice(names)
        cluster.isolate(machines.replica_of[cut])
        assert machines.commit(b"cut-%d" % step)
        cluster.heal()
        machines.run(CATCH_UP)
    cluster.check_nothing_lost()


@pytest.mark.parametrize("seed", range(12))
@_FLEETS
def test_lossy_links_delay_the_replacement_of_lost_disks_and_lose_nothing(
    seed, names, requirements
):
    machines = _Machines(seed, names, requirements, loss=0.02)
    cluster = machines.cluster
    for step in range(5):
        assert machines.run_until_placed()
        assert machines.commit(b"before-%d" % step)
        vms = cluster.random.sample(names, requirements.losses.vms)
        machines.lose_disks(vms)
        machines.run(cluster.random.random() * 4.0)
        machines.start_empty(vms)
        machines.run(cluster.random.random() * 4.0)
    assert machines.run_until_placed()
    assert machines.commit(b"end")
    cluster.check_nothing_lost()


def test_a_cut_off_voter_is_not_counted_out_without_a_replacement():
    machines = _Machines(1, ["a1", "b1", "c1"], _requirements(1, 1))
    machines.run(4.0)
    machines.cluster.isolate("c1")
    machines.run(6.0)
    leader = machines.cluster.leader()
    assert {m.replica_id for m in leader.state.membership.voters} == {
        "a1",
        "b1",
        "c1",
    }


# --- real controls -----------------------------------------------------------


# Guards against the end of a fleet whose other controls never voted.
async def test_two_of_five_controls_may_lose_their_folders_at_once():
    async with routed.running(
        routed.document(),
        services={"vm-a": "alpha"},
        controls=5,
        losses=voter_placement.Losses(vms=2, data_centres=0),
    ) as fleet:
        with trio.fail_after(15):
            while True:
                states = [
                    await control._read_founding_state()
                    for control in fleet.controls
                ]
                if all(
                    len(s.membership.voters) == 5 and not s.membership.outgoing
                    for s in states
                ):
                    break
                await trio.sleep(0.1)
        for control in fleet.controls[:2]:
            await control.close()
        for index in (0, 1):
            await fleet.start_empty_control(index, fleet.nursery)
        with trio.fail_after(15):
            while (
                await fleet.put_configuration(
                    routed.document(version="r2"), match="r1", at=4
                )
            ).status != 200:
                await trio.sleep(0.2)
            for operators in fleet.operators:
                while True:
                    read = await routed.send(
                        operators, "GET", "/-/configuration"
                    )
                    if b'"r2"' in read.body:
                        break
                    await trio.sleep(0.1)


def _control_settings(routed_lines):
    return settings_file.parse(
        f"""\
role: control
vm: c-1
data_centre: a
fleet_secret: a-secret-of-the-fleet
operator_secret: a-secret-of-operators
data_folder: /tmp
seeds: ["10.0.0.1:7000"]
listen: {{rpc: 10.0.0.1:7000, ops: 10.0.0.1:7001}}
routed:
{routed_lines}
""",
        "test",
        settings.Daemon,
    )


def test_the_settings_say_what_may_be_lost():
    daemon = _control_settings(
        "  losses: {vms: 2, data_centres: 1, regions: 0}\n  regions: {a: r}"
    )
    assert daemon.routed.voter_requirements() == _requirements(2, 1, a="r")


def test_losses_below_zero_are_findings():
    with pytest.raises(exceptions.FindingsError) as caught:
        _control_settings("  losses: {vms: -1, data_centres: -1}")
    assert [f.key for f in caught.value.findings] == [
        "routed.losses.vms",
        "routed.losses.data_centres",
    ]
