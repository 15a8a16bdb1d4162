"""Automatic replacement of controls that lost their data folder."""

import dataclasses

from bench import routed
import trio

from sassafrashall.decisions import replacements
from sassafrashall.decisions import replication


def _member(replica_id, address):
    return replication.Member(
        replica_id=replica_id, vm=address, data_centre="d", address=address
    )


A, B, C = (_member(name, f"at-{name}") for name in "abc")


def _leader(learner, *, heard, match=5, joint=False):
    peers = tuple(
        (name, replication.Peer(next_index=6, match=match, heard_at=at))
        for name, at in heard.items()
    )
    return replication.State(
        replica_id="a",
        term=1,
        role=replication.Role.LEADER,
        entries=tuple(replication.Entry(index=n, term=1) for n in range(1, 6)),
        commit=5,
        membership=replication.Membership(
            voters=(A, B, C),
            outgoing=(A, B, C) if joint else (),
            learners=(learner,),
        ),
        peers=peers,
    )


def _find_replacement(state):
    pairs = replacements.find_replacements(state, 0.0, 100.0)
    assert len(pairs) <= 1
    return pairs[0] if pairs else None


def test_a_learner_replaces_the_voter_at_its_address():
    new = _member("new", C.address)
    state = _leader(new, heard={"b": 100.0, "c": 100.0, "new": 100.0})
    assert _find_replacement(state) == ("c", "new")


def test_a_learner_on_a_new_vm_replaces_only_a_silent_voter():
    new = _member("new", "at-new")
    alive = {"b": 100.0, "c": 99.0, "new": 100.0}
    assert _find_replacement(_leader(new, heard=alive)) is None
    assert _find_replacement(_leader(new, heard=alive | {"c": 97.0})) == (
        "c",
        "new",
    )


def test_no_voter_is_replaced_before_the_learner_has_caught_up():
    new = _member("new", C.address)
    heard = {"b": 100.0, "c": 90.0, "new": 100.0}
    assert _find_replacement(_leader(new, heard=heard, match=4)) is None
    assert _find_replacement(_leader(new, heard=heard | {"new": 98.0})) is None


def test_one_replacement_at_a_time():
    new = _member("new", C.address)
    heard = {"b": 100.0, "c": 90.0, "new": 100.0}
    assert _find_replacement(_leader(new, heard=heard, joint=True)) is None


def test_a_new_leader_waits_for_voters_to_answer():
    new = _member("new", "at-new")
    state = _leader(new, heard={"b": -1.0, "c": -1.0, "new": 100.0})
    assert not replacements.find_replacements(state, 99.0, 100.0)
    assert replacements.find_replacements(
        dataclasses.replace(state), 90.0, 100.0
    )


async def _wait_replaced(fleet):
    """Waits until the controls are the voters, in the view of each of them.

    A follower may still hold the membership before the last replacement, so
    the view of one of them alone doesn't show that another one may be lost.
    """
    with trio.fail_after(15):
        while True:
            states = [
                await control._read_founding_state()
                for control in fleet.controls
            ]
            present = {state.member.replica_id for state in states}
            if all(
                {m.replica_id for m in state.membership.voters} == present
                and not state.membership.outgoing
                for state in states
            ):
                return
            await trio.sleep(0.1)


async def _configure_until_accepted(fleet, version, match):
    document = routed.document(version=version, services=("alpha",))
    with trio.fail_after(15):
        while True:
            for control in range(len(fleet.operators)):
                try:
                    answer = await fleet.put_configuration(
                        document, match=match, at=control
                    )
                except Exception:
                    continue
                if answer.status == 200:
                    return
            await trio.sleep(0.1)


async def test_accepted_changes_survive_the_loss_of_every_folder_in_turn():
    """Guards against losing accepted changes with the original folders."""
    async with routed.running(
        routed.document(), services={"vm-a": "alpha"}, controls=3
    ) as fleet:
        await _configure_until_accepted(fleet, "r2", "r1")
        for control, version in ((0, 3), (1, 4), (2, 5)):
            await fleet.wipe_control(control, fleet.nursery)
            await _wait_replaced(fleet)
            await _configure_until_accepted(
                fleet, f"r{version}", f"r{version - 1}"
            )
        read = await routed.send(fleet.operators[0], "GET", "/-/configuration")
        assert b'"r5"' in read.body
