import collections
import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from sassafrashall import configuration
from sassafrashall import mailbox
from sassafrashall.decisions import route_table
from sassafrashall.filters import route_match
from tests import fakes


def _route(name, prefix, host="h.example"):
    return configuration.Route(
        name=name,
        host=host,
        prefix=prefix,
        idempotent=True,
        targets=(configuration.Target(service="s", weight=1),),
        timeout_s=1.0,
        attempts=1,
    )


def test_the_longest_prefix_wins_in_any_order():
    routes = (_route("a", "/"), _route("c", "/x/y/"), _route("b", "/x/"))
    table = route_table.compile_table(
        configuration.Configuration(version=1, routes=routes)
    )
    names = [
        table.find_route("h.example", path).name
        for path in ("/", "/x", "/x/", "/x/y", "/x/y/z")
    ]
    assert names == ["a", "a", "b", "b", "c"]
    assert table.find_route("other.example", "/x/") is None


WEIGHTS = strategies.lists(
    strategies.integers(0, 100), min_size=2, max_size=5
).filter(lambda weights: sum(weights) > 0)
POSITIONS = strategies.floats(0, 1, exclude_max=True)
WEIGHT_OFF = 0.1  # by which a share may miss its weight in steady state


def _targets(weights):
    return tuple(
        configuration.Target(service=str(n), weight=w)
        for n, w in enumerate(weights)
    )


def _send(targets, position, count):
    sent = collections.Counter()
    for _ in range(count):
        service, position = route_table.choose_target(targets, position)
        sent[service] += 1
    return sent, position


@settings(max_examples=1000, derandomize=True, database=None)
@given(WEIGHTS, strategies.integers(1, 300), POSITIONS)
def test_requests_follow_the_weights(weights, count, position):
    targets = _targets(weights)
    sent, _ = _send(targets, position, count)
    for target in targets:
        expected = count * target.weight / sum(weights)
        assert abs(sent[target.service] - expected) <= len(targets)
        assert target.weight or not sent[target.service]


# Guards against a route that sends all requests to one service after a change,
# until the counts made under other weights have been caught up with.
@settings(max_examples=200, derandomize=True, database=None)
@given(WEIGHTS, WEIGHTS, strategies.integers(0, 5000), POSITIONS)
def test_shares_hold_right_after_a_change(before, after, count, position):
    _, position = _send(_targets(before), position, count)
    targets = _targets(after)
    sent, _ = _send(targets, position, 20)
    for target in targets:
        expected = 20 * target.weight / sum(after)
        assert abs(sent[target.service] - expected) <= len(targets)


def _filter(weights):
    table = mailbox.Published(initial=None)
    route_match_filter = route_match.RouteMatchFilter(table=table)

    def configure(version, weights):
        route = dataclasses.replace(_route("r", "/"), targets=_targets(weights))
        table.publish(
            route_table.compile_table(
                configuration.Configuration(version=version, routes=(route,))
            )
        )

    configure(1, weights)
    return route_match_filter, configure


async def _service(route_match_filter):
    call = fakes.call(request=fakes.request(host="h.example", target="/x"))
    return (await route_match_filter.handle(call)).call.service


async def test_shares_hold_at_a_node_right_after_a_change_of_weights():
    route_match_filter, configure = _filter((90, 10))
    for _ in range(800):
        await _service(route_match_filter)
    configure(2, (50, 50))
    sent = collections.Counter()
    for _ in range(40):
        sent[await _service(route_match_filter)] += 1
    assert abs(sent["0"] / 40 - 0.5) <= WEIGHT_OFF


async def test_shares_hold_in_a_storm_of_changes():
    """A change that leaves the weights alone must not begin them anew."""
    route_match_filter, configure = _filter((1, 3))
    sent = collections.Counter()
    for version in range(2, 602):
        configure(version, (1, 3))
        sent[await _service(route_match_filter)] += 1
    assert abs(sent["0"] / 600 - 0.25) <= WEIGHT_OFF


@pytest.mark.parametrize("requests_each", [1, 2, 3])
async def test_shares_hold_with_few_requests_at_each_of_many_nodes(
    requests_each,
):
    """Each node's first request must not go to the heaviest service."""
    sent = collections.Counter()
    nodes = 300
    for seed in range(nodes):
        route_match_filter, _ = _filter((9, 1, 2))
        route_match_filter._random.seed(seed)
        for _ in range(requests_each):
            sent[await _service(route_match_filter)] += 1
    for service, weight in (("0", 9), ("1", 1), ("2", 2)):
        share = sent[service] / (nodes * requests_each)
        assert abs(share - weight / 12) <= WEIGHT_OFF
