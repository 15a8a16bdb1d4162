import dataclasses

import pytest

from sassafrashall.decisions import consensus
from sassafrashall.decisions import leadership
from sassafrashall.decisions import replacements
from sassafrashall.decisions import replication
from tests import raft_simulation


def test_a_leader_is_elected_and_commits():
    cluster = raft_simulation.Cluster(seed=1)
    cluster.run(3.0)
    assert cluster.leader() is not None
    assert cluster.commit(b"one")
    cluster.run(1.0)
    for replica in cluster.replicas.values():
        assert b"one" in [entry.command for entry in replica.applied]


def test_leader_without_majority_steps_down_and_commits_nothing():
    cluster = raft_simulation.Cluster(seed=2)
    cluster.run(3.0)
    old = cluster.leader()
    cluster.isolate(old.name)
    cluster.process_event(old.name, replication.Propose(commands=(b"lost",)))
    cluster.run(3.0)
    assert old.state.role is not replication.Role.LEADER
    assert cluster.commit(b"kept")
    cluster.heal()
    cluster.run(3.0)
    commands = [entry.command for entry in old.applied]
    assert b"kept" in commands and b"lost" not in commands


def test_a_replica_back_from_a_partition_does_not_depose_the_leader():
    cluster = raft_simulation.Cluster(seed=3)
    cluster.run(3.0)
    leader = cluster.leader()
    other = next(n for n in cluster.replicas if n != leader.name)
    cluster.isolate(other)
    cluster.run(30.0)
    term = leader.state.term
    cluster.heal()
    cluster.run(3.0)
    assert cluster.leader() is leader
    assert leader.state.term == term


def test_a_second_replica_may_fail_right_after_a_replacement():
    cluster = raft_simulation.Cluster(seed=4)
    cluster.run(3.0)
    for number in range(20):
        assert cluster.commit(b"before-%d" % number)
    lost = next(n for n in cluster.replicas if n != cluster.leader().name)
    cluster.replicas[lost].crash()
    cluster.add("d")
    assert cluster.replace(lost, "d")
    second = next(
        n
        for n, r in cluster.replicas.items()
        if r.state and n not in (lost, "d")
    )
    cluster.replicas[second].crash()
    assert cluster.commit(b"after", seconds=10.0)
    cluster.check_nothing_lost()


def _lose_a_replica(cluster: raft_simulation.Cluster) -> str:
    """Crashes one of the replicas and starts an empty one, named d."""
    lost = cluster.random.choice(list(cluster.replicas))
    cluster.replicas[lost].crash()
    cluster.add("d")
    return lost


@pytest.mark.parametrize("seed", range(40))
def test_the_leader_may_fail_once_a_replacement_is_finished(seed):
    """Guards against replacements that are reported before the last commit.

    Until then the lost replica counts among the outgoing voters.
    """
    cluster = raft_simulation.Cluster(seed, loss=0.1)
    cluster.run(3.0)
    assert cluster.commit(b"before", seconds=10.0)
    lost = _lose_a_replica(cluster)
    assert cluster.replace(lost, "d", seconds=30.0)
    leader = cluster.leader()
    leader.crash()
    cluster.network = [
        (due, message)
        for due, message in cluster.network
        if message.sender != leader.name
    ]
    assert cluster.commit(b"after", seconds=30.0)
    cluster.check_nothing_lost()


@pytest.mark.parametrize("seed", range(40))
def test_a_half_done_replacement_is_finished_by_the_next_leader(seed):
    """Guards against a lost replica that stays an outgoing voter."""
    cluster = raft_simulation.Cluster(seed, loss=0.1)
    cluster.run(3.0)
    lost = _lose_a_replica(cluster)
    while not (cluster.leader() and cluster.leader().state.membership.outgoing):
        cluster.replace(lost, "d", seconds=raft_simulation.TICK_INTERVAL)
    cluster.run(cluster.random.random() * 0.5)
    first = cluster.leader()
    if first is not None:
        first.crash()
        cluster.run(2.0)
        first.start(cluster.now)
    is_committed = any(
        entry.membership is not None and entry.membership.outgoing
        for entry in cluster.committed.values()
    )
    cluster.loss = 0.0
    cluster.run(5.0)
    if not is_committed:
        assert cluster.replace(lost, "d")
    progress = replacements.progress(cluster.leader().state, lost, "d")
    assert progress == replacements.Finished()


def test_an_emptied_disk_does_not_vote_as_before():
    """An emptied replica must not form a majority with a stale one.

    Together they would elect a leader without the accepted entry.
    """
    cluster = raft_simulation.Cluster(seed=5)
    cluster.run(3.0)
    stale = next(n for n in cluster.replicas if n != cluster.leader().name)
    cluster.replicas[stale].crash()
    assert cluster.commit(b"accepted")
    holders = [n for n in cluster.replicas if n != stale]
    for name in holders:
        cluster.replicas[name].crash()
    # One of the two holders returns with an empty folder, and so with a new
    # replica id. The stale replica returns with its disk.
    cluster.add("new")
    cluster.replicas[stale].start(cluster.now)
    cluster.run(10.0)
    assert cluster.leader() is None
    cluster.replicas[holders[0]].start(cluster.now)
    cluster.run(5.0)
    cluster.check_nothing_lost()


def test_a_replica_behind_the_compacted_log_gets_a_snapshot():
    cluster = raft_simulation.Cluster(seed=6)
    cluster.run(3.0)
    away = next(n for n in cluster.replicas if n != cluster.leader().name)
    cluster.isolate(away)
    for number in range(30):
        assert cluster.commit(b"c-%d" % number)
    for name in cluster.replicas:
        if name != away:
            cluster.compact(name)
    cluster.heal()
    cluster.run(5.0)
    leader = cluster.leader()
    assert cluster.replicas[away].applied == leader.applied


def test_another_replica_leads_after_the_leader_is_replaced():
    cluster = raft_simulation.Cluster(seed=7)
    cluster.run(3.0)
    old = cluster.leader().name
    cluster.add("d")
    assert cluster.replace(old, "d")
    cluster.run(3.0)
    assert cluster.commit(b"x")
    assert cluster.leader().name != old


def test_committed_entries_survive_a_restart_of_all_replicas():
    cluster = raft_simulation.Cluster(seed=8)
    cluster.run(3.0)
    for number in range(10):
        assert cluster.commit(b"c-%d" % number)
    for replica in cluster.replicas.values():
        replica.crash()
    for replica in cluster.replicas.values():
        replica.start(cluster.now)
    cluster.run(5.0)
    cluster.check_nothing_lost()


def _inject_fault(
    cluster: raft_simulation.Cluster, unused_names: list[str]
) -> None:
    names = list(cluster.replicas)
    name = cluster.random.choice(names)
    replica = cluster.replicas[name]
    match cluster.random.randrange(8):
        case 0 | 1:
            replica.crash()
        case 2 | 3:
            for other in cluster.replicas.values():
                if other.state is None:
                    other.start(cluster.now)
        case 4:
            cluster.isolate(name)
        case 5:
            other = cluster.random.choice(names)
            cluster.blocked_links.add((name, other))
        case 6:
            cluster.paused = {name} if not cluster.paused else set()
        case 7:
            cluster.heal()
            cluster.compact(name)
    if unused_names and cluster.random.random() < 0.03:
        leader = cluster.leader()
        if leader is not None:
            new = unused_names.pop()
            cluster.add(new)
            cluster.replace(cluster.random.choice(names), new, seconds=4.0)


@pytest.mark.parametrize("seed", range(60))
def test_history_under_random_faults(seed):
    """Checks that replicas agree, lose no accepted entry and recover."""
    cluster = raft_simulation.Cluster(
        seed, "abcde" if seed % 3 == 0 else "abc", loss=0.05
    )
    unused_names = ["x", "y", "z"]
    for number in range(40):
        cluster.crash_before_sync = 0.002 if seed % 2 else 0.0
        _inject_fault(cluster, unused_names)
        cluster.commit(b"c-%d" % number, seconds=1.0)
    cluster.crash_before_sync = 0.0
    cluster.paused = set()
    cluster.heal()
    for replica in cluster.replicas.values():
        if replica.state is None:
            replica.start(cluster.now)
    cluster.loss = 0.0
    cluster.run(15.0)
    assert cluster.commit(b"end", seconds=10.0)
    cluster.check_nothing_lost()


def test_quorum_of_a_joint_membership_needs_both_sides():
    membership = replication.Membership(
        voters=tuple(raft_simulation.member(n) for n in "abd"),
        outgoing=tuple(raft_simulation.member(n) for n in "abc"),
    )
    assert membership.has_quorum(frozenset("ab"))
    assert not membership.has_quorum(frozenset("ad"))
    assert not membership.has_quorum(frozenset("ac"))


def test_a_second_membership_change_waits_for_the_first():
    cluster = raft_simulation.Cluster(seed=9)
    cluster.run(3.0)
    leader = cluster.leader()
    changed = replication.add_learner(
        leader.state.membership, raft_simulation.member("d")
    )
    cluster.process_event(
        leader.name, replication.ProposeMembership(membership=changed)
    )
    assert not leadership.can_change_membership(leader.state)


def test_a_delayed_answer_does_not_confirm_leadership():
    """Guards against answers that waited while the leader was paused.

    They would confirm its leadership although another may lead by now.
    """
    cluster = raft_simulation.Cluster(seed=11)
    cluster.run(3.0)
    leader = cluster.leader()
    state = leader.state
    other = next(n for n in cluster.replicas if n != leader.name)
    reply = replication.AppendReply(
        sender=other,
        receiver=leader.name,
        term=state.term,
        success=True,
        match=state.commit,
    )
    old_sent_at, now = cluster.now, cluster.now + 30.0
    for sent_at, is_confirmed in ((old_sent_at, False), (now - 0.1, True)):
        answered, _ = consensus.step(
            state, replication.Received(message=reply, sent_at=sent_at), now
        )
        ticked, _ = consensus.step(answered, replication.Tick(jitter=0.5), now)
        confirmed_at = consensus.leadership_confirmed_at(ticked, now)
        assert (confirmed_at >= now - 0.5) is is_confirmed


def test_leadership_is_unconfirmed_before_an_entry_of_its_term():
    cluster = raft_simulation.Cluster(seed=12)
    cluster.run(3.0)
    state = cluster.leader().state
    assert consensus.leadership_confirmed_at(state, cluster.now) > 0
    later_term = dataclasses.replace(state, term=state.term + 1)
    assert consensus.leadership_confirmed_at(later_term, cluster.now) == float(
        "-inf"
    )


# Guards against followers of a leader in the minority that look fresh until it
# steps down, which is up to 0.8 s, and for as long again after that.
def test_followers_are_as_stale_as_their_leader():
    cluster = raft_simulation.Cluster(1, "abcde")
    cluster.run(3.0)
    leader = cluster.leader()
    follower = next(n for n in cluster.replicas if n != leader.name)
    minority = {leader.name, follower}
    for inside in minority:
        for outside in set(cluster.replicas) - minority:
            cluster.blocked_links |= {(inside, outside), (outside, inside)}
    cut_at = cluster.now
    for _ in range(40):
        cluster.step()
        for name in minority:
            age = consensus.majority_age(
                cluster.replicas[name].state, cluster.now
            )
            assert age >= cluster.now - cut_at
    assert cluster.replicas[leader.name].state.role is not (
        replication.Role.LEADER
    )
