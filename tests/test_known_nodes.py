"""Loads here: any; a node turns from one control to another one."""

from sassafrashall.decisions import known_nodes
from tests import fakes


def _records(*vms):
    return {vm: fakes.node_record(vm=vm) for vm in vms}


def _merge(held, unlisted, *told, is_complete=False, now=0.0):
    """Returns the VMs that are known, and those that are unlisted."""
    records, unlisted = known_nodes.merge(
        _records(*held),
        unlisted,
        [(fakes.node_record(vm=vm), has_lapsed) for vm, has_lapsed in told],
        is_complete=is_complete,
        now=now,
    )
    return set(records), unlisted


def test_changes_are_added_and_lapsed_nodes_removed():
    known, _ = _merge({"a", "b"}, {}, ("b", True), ("c", False))
    assert known == {"a", "c"}


def test_a_list_that_lacks_a_node_does_not_remove_it_at_once():
    """Guards against a node without peers once its control has restarted."""
    known, unlisted = _merge({"a", "b"}, {}, ("a", False), is_complete=True)
    assert known == {"a", "b"}
    assert unlisted == {"b": known_nodes.UNLISTED_TTL}
    known, unlisted = _merge({"a", "b"}, unlisted, is_complete=True, now=1.0)
    assert unlisted["b"] == known_nodes.UNLISTED_TTL
    late = known_nodes.UNLISTED_TTL + 0.1
    known, _ = _merge({"a", "b"}, {"b": known_nodes.UNLISTED_TTL}, now=late)
    assert known == {"a"}


def test_an_unlisted_node_that_is_told_again_stays():
    known, unlisted = _merge({"a"}, {"a": 1.0}, ("a", False), now=0.5)
    assert known == {"a"}
    assert unlisted == {}
