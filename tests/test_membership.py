import dataclasses

from sassafrashall import model
from sassafrashall.decisions import membership

ADDRESS = model.Address(host="127.0.0.1", port=1)
RECORD = model.NodeRecord(
    vm="a",
    data_centre="x",
    incarnation=1,
    counter=1,
    peer_address=ADDRESS,
    ops_address=ADDRESS,
)


def _newer(**changes):
    return dataclasses.replace(RECORD, **changes)


def test_newer_wins_in_any_order():
    records = [RECORD, _newer(counter=2), _newer(incarnation=2, counter=1)]
    for order in (records, records[::-1]):
        directory = membership.Directory()
        for record in order:
            directory = membership.merge(directory, record, 0.0, 1.0)
        assert membership.live(directory) == (records[2],)


def test_a_silent_node_lapses_and_comes_back():
    directory = membership.merge(membership.Directory(), RECORD, 0.0, 0.0)
    directory = membership.lapse(directory, 2.9)
    assert membership.live(directory)
    directory = membership.lapse(directory, 3.0)
    assert not membership.live(directory)
    assert membership.changed_since(directory, 1)[0].lapsed
    directory = membership.merge(directory, RECORD, 0.0, 4.0)
    assert membership.live(directory)


def test_old_news_does_not_revive():
    directory = membership.merge(membership.Directory(), RECORD, 0.0, 0.0)
    directory = membership.lapse(directory, 3.0)
    directory = membership.merge(directory, RECORD, 5.0, 4.0)
    assert not membership.live(directory)
    assert not membership.live(
        membership.merge(membership.Directory(), RECORD, 5.0, 4.0)
    )


def test_signs_of_life_make_no_new_version():
    directory = membership.merge(membership.Directory(), RECORD, 0.0, 0.0)
    again = membership.merge(directory, RECORD, 0.0, 1.0)
    assert again.version == directory.version
    assert membership.changed_since(again, again.version) == ()


def test_lapsed_nodes_are_forgotten_in_the_end():
    directory = membership.merge(membership.Directory(), RECORD, 0.0, 0.0)
    directory = membership.lapse(directory, 3.0)
    directory = membership.lapse(directory, membership.TOMBSTONE_TTL)
    assert not directory.entries
