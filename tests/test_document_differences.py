"""Loads here: usual requests; a change of the configuration between two."""

from hypothesis import given
from hypothesis import strategies

from sassafrashall import configuration
from sassafrashall import model
from sassafrashall.decisions import document_differences
from tests import configurations

_DIGEST = "5e884898da28047151d0e56f8dc62927"


def _route(name, **changes):
    return configurations.route(name=name, prefix=f"/{name}", **changes)


def _compare(before, after):
    differences = document_differences.compare(
        configuration.Configuration(version=1, **before),
        configuration.Configuration(version=1, **after),
    )
    return [str(difference) for difference in differences]


def test_entries_and_values_that_differ_are_named():
    """Guards against a change that is sent without being seen."""
    targets = (
        configuration.Target(service="alpha", weight=90),
        configuration.Target(service="beta", weight=10),
    )
    changed = _route(
        "b",
        targets=targets,
        timeout_s=2.5,
        priority=model.Priority.CRITICAL,
        open=True,
    )
    assert _compare(
        {"routes": (_route("a"), _route("b"))},
        {
            "routes": (changed, _route("c")),
            "limits": configuration.Limits(body_bytes=5),
        },
    ) == [
        "routes.a: removed",
        "routes.b.targets: alpha (1) -> alpha (90), beta (10)",
        "routes.b.timeout_s: 1 -> 2.5",
        "routes.b.priority: normal -> critical",
        "routes.b.open: False -> True",
        "routes.c: added",
        "limits.body_bytes: 67108864 -> 5",
    ]


def test_keys_are_counted_and_their_digests_are_not_shown():
    """Guards against digests of keys in a terminal or a log."""
    before = configuration.Organisation(name="o", digests=(_DIGEST, "1"))
    after = configuration.Organisation(name="o", digests=(_DIGEST, "2", "3"))
    added = configuration.Organisation(name="p", digests=(_DIGEST,))
    lines = _compare(
        {"organisations": (before,)}, {"organisations": (after, added)}
    )
    assert lines == [
        "organisations.o.keys: 2 keys -> 3 keys, 1 of them kept",
        "organisations.p: added",
    ]


_ROUTES = strategies.lists(
    strategies.builds(
        _route,
        strategies.sampled_from("abc"),
        timeout_s=strategies.sampled_from([1.0, 1.0000001]),
        open=strategies.booleans(),
    ),
    unique_by=lambda route: route.name,
)


@given(_ROUTES, _ROUTES)
def test_there_is_no_difference_exactly_if_both_mean_the_same(before, after):
    """Guards against a difference that is missed, or found in the order."""
    differences = _compare({"routes": tuple(before)}, {"routes": tuple(after)})
    assert (differences == []) == (
        {route.name: route for route in before}
        == {route.name: route for route in after}
    )
