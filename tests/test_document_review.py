"""Loads here: usual requests by host, path and key, without overload."""

from hypothesis import given
from hypothesis import strategies
import pytest

from sassafrashall import configuration
from sassafrashall.decisions import document_checks
from sassafrashall.decisions import document_review
from sassafrashall.decisions import route_table
from tests import configurations


def _organisation(**changes):
    fields = {"name": "o", "digests": ("d",)} | changes
    return configuration.Organisation(**fields)


def _warning_keys(document):
    return [finding.key for finding in document_review.review(document)]


def test_a_document_without_contradictions_has_no_warnings():
    """Guards against warnings that operators learn to ignore."""
    document = configurations.document(
        configurations.route(),
        configurations.route(name="longer", prefix="/a/b"),
        configurations.route(name="elsewhere", host="other.example"),
        configurations.route(
            name="no-target", prefix="/c", target_latency_s=0.0
        ),
        organisations=(
            _organisation(rate=10.0, burst=1),
            _organisation(name="unlimited"),
        ),
    )
    assert document_review.review(document) == ()


# Each case guards against an entry that the control accepts and that no
# request of the usual load ever reaches.
@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"host": "H.example"}, "routes.second"),
        ({"host": "i.example:8080"}, "routes.second.host"),
        ({"host": "i.example "}, "routes.second.host"),
        ({"prefix": "/a/b?c"}, "routes.second.prefix"),
        ({"prefix": "/a/b#c"}, "routes.second.prefix"),
        ({"prefix": "/a b"}, "routes.second.prefix"),
        ({"prefix": "/\u00e4"}, "routes.second.prefix"),
    ],
)
def test_a_route_that_never_matches_is_named(changes, key):
    document = configurations.document(
        configurations.route(), configurations.route(name="second", **changes)
    )
    assert document_checks.check(document) == ()
    assert _warning_keys(document) == [key]


def test_parts_of_weight_0_and_unused_services_are_named():
    """Guards against a part that is thought to share the load."""
    targets = (
        configuration.Target(service="alpha", weight=1),
        configuration.Target(service="beta", weight=0),
    )
    services = tuple(
        configuration.Service(name=name) for name in ("alpha", "beta", "gamma")
    )
    document = configurations.document(
        configurations.route(targets=targets), services=services
    )
    assert _warning_keys(document) == ["routes.r.targets", "services.gamma"]


# Each case guards against a limit that makes another one useless. The first
# of the times of a pair is the last without a warning.
@pytest.mark.parametrize(
    ("timeout", "attempts", "keys"),
    [
        (1.0, 2, []),
        (0.99, 2, ["routes.r.attempts"]),
        (0.5, 1, []),
        (0.49, 1, ["routes.r.timeout"]),
        (0.49, 2, ["routes.r.timeout"]),
    ],
)
def test_contradicting_times_are_named(timeout, attempts, keys):
    route = configurations.route(timeout_s=timeout, attempts=attempts)
    assert _warning_keys(configurations.document(route)) == keys


def test_a_cold_start_without_a_rate_is_named():
    """Guards against cold upstreams that are thought to be protected."""
    service = configuration.Service(name="alpha", cold_start_s=3.0)
    assert _warning_keys(configurations.document(services=(service,))) == [
        "services.alpha.cold_rate"
    ]


# Each case guards against an organisation that is limited otherwise than its
# entry seems to say.
@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"rate": 10.0}, "organisations.o.burst"),
        ({"burst": 10}, "organisations.o.burst"),
        ({"digests": ()}, "organisations.o.keys"),
        ({"digests": ("d", "d")}, "organisations.o.keys"),
    ],
)
def test_contradicting_organisations_are_named(changes, key):
    organisation = _organisation(**changes)
    document = configurations.document(organisations=(organisation,))
    assert document_checks.check(document) == ()
    assert _warning_keys(document) == [key]


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["h", "H", "i", "hh"]),
            strategies.text("ab/", max_size=3),
        ),
        unique=True,
        max_size=8,
    )
)
def test_routes_are_named_exactly_if_the_node_never_finds_them(matches):
    """Guards against a review that decides otherwise than the nodes.

    A route is found at some path if and only if it is found at its own prefix.
    """
    document = configurations.document(
        *(
            configurations.route(name=f"r{index}", host=host, prefix=f"/{path}")
            for index, (host, path) in enumerate(matches)
        )
    )
    table = route_table.compile_table(document)
    assert _warning_keys(document) == [
        f"routes.{route.name}"
        for route in document.routes
        if table.find_route(route.host.lower(), route.prefix) is not route
    ]
