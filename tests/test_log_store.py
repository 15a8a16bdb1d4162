import msgspec
import pytest

from sassafrashall.decisions import replication
from sassafrashall.storage import log_store
from tests import raft_simulation


def _entries(first, count, term=1):
    return tuple(
        replication.Entry(index=i, term=term, command=b"c%d" % i)
        for i in range(first, first + count)
    )


def _founded_store(folder):
    store = log_store.LogStore(folder=str(folder))
    contents = store.open()
    membership = replication.Membership(voters=(raft_simulation.member("a"),))
    snapshot = replication.Snapshot(membership=membership)
    store.persist((replication.SaveSnapshot(snapshot=snapshot, reset=True),))
    return store, contents


def _reopen(store, folder):
    store.close()
    reopened = log_store.LogStore(folder=str(folder))
    contents = reopened.open()
    reopened.close()
    return contents


def test_persisted_state_is_restored_after_reopening(tmp_path):
    store, first = _founded_store(tmp_path)
    store.persist(
        (
            replication.SaveVote(term=3, voted_for="b"),
            replication.Append(entries=_entries(1, 5)),
        )
    )
    store.persist((replication.Append(entries=_entries(4, 1, term=2)),))
    contents = _reopen(store, tmp_path)
    assert contents.replica_id == first.replica_id and contents.founded
    assert (contents.term, contents.voted_for) == (3, "b")
    assert [e.index for e in contents.entries] == [1, 2, 3, 4]
    assert contents.entries[-1].term == 2


def test_a_membership_of_an_earlier_build_is_read():
    """Guards against a field that stored memberships lack."""
    stored = msgspec.msgpack.encode(
        {"voters": [], "outgoing": [], "learners": []}
    )
    membership = msgspec.msgpack.decode(stored, type=replication.Membership)
    assert membership == replication.Membership()


def test_a_snapshot_replaces_the_entries_that_it_covers(tmp_path):
    store, _ = _founded_store(tmp_path)
    store.persist((replication.Append(entries=_entries(1, 5)),))
    snapshot = replication.Snapshot(index=3, term=1, state=b"s")
    store.persist((replication.SaveSnapshot(snapshot=snapshot, reset=False),))
    contents = _reopen(store, tmp_path)
    assert contents.snapshot == snapshot
    assert [e.index for e in contents.entries] == [4, 5]


@pytest.mark.parametrize("damage", ["head", "body", "empty"])
def test_a_damaged_file_is_replaced_by_a_new_replica(tmp_path, damage):
    store, first = _founded_store(tmp_path)
    store.persist((replication.Append(entries=_entries(1, 500)),))
    store.close()
    path = tmp_path / log_store.FILE_NAME
    data = bytearray(path.read_bytes())
    match damage:
        case "head":
            data[:100] = b"\0" * 100
        case "body":
            data[4096:] = bytes(b ^ 0xFF for b in data[4096:])
        case "empty":
            data = bytearray()
    path.write_bytes(data)
    reopened = log_store.LogStore(folder=str(tmp_path))
    contents = reopened.open()
    reopened.close()
    assert contents.replica_id != first.replica_id
    assert not contents.founded and contents.entries == ()


def test_two_processes_cannot_share_a_folder(tmp_path):
    store, _ = _founded_store(tmp_path)
    with pytest.raises(log_store.StorageError):
        log_store.LogStore(folder=str(tmp_path)).open()
    store.close()
