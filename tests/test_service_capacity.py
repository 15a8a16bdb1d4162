"""Loads here: organisations that send at their full rate for long."""

from hypothesis import event
from hypothesis import given
from hypothesis import strategies
import pytest

from sassafrashall import configuration
from sassafrashall.decisions import demand
from sassafrashall.decisions import service_capacity
from tests import configurations


def _route(*targets, **changes):
    return configurations.route(
        targets=tuple(
            configuration.Target(service=service, weight=weight)
            for service, weight in targets or [("alpha", 1)]
        ),
        **changes,
    )


def _document(*routes, rates=(40.0,), **changes):
    fields = {
        "organisations": tuple(
            configuration.Organisation(
                name=f"o{index}", digests=(f"d{index}",), rate=rate, burst=1
            )
            for index, rate in enumerate(rates)
        ),
        "keyed": True,
    } | changes
    return configurations.document(*routes, **fields)


def _capacity(service="alpha", slots=10, run_s=0.25):
    """Returns the capacity of 40 runs a second."""
    return service_capacity.ServiceCapacity(
        service=service, upstreams=2, slots=slots, run_s=run_s
    )


def _review(document, *capacities, **fields):
    known = service_capacity.Known(services=capacities, **fields)
    return service_capacity.review(document, known)


def _keys(review):
    return [finding.key for finding in review.findings]


# Guards against a sum or a single rate over the capacity that goes unnoticed,
# and against a warning for one that just fits.
@pytest.mark.parametrize(
    ("rates", "keys"),
    [
        ((40.0,), []),
        ((20.0, 20.0), []),
        ((20.0, 20.5), ["services.alpha"]),
        ((40.5,), ["services.alpha", "organisations.o0.rate"]),
        ((1.0, 40.5), ["services.alpha", "organisations.o1.rate"]),
    ],
)
def test_rates_over_the_capacity_are_named(rates, keys):
    review = _review(_document(rates=rates), _capacity())
    assert _keys(review) == keys
    assert review.not_checked == ""


def test_a_finding_says_what_was_measured_and_assumed():
    """Guards against a finding that reads as if the mix were known."""
    review = _review(_document(rates=(30.0, 20.0, 0.0)), _capacity())
    (finding,) = review.findings
    assert finding.text == (
        "the rates of organisations, 50/s in sum, are over its capacity: "
        "alpha 40/s (upstreams: 2, slots: 10, 0.25 s a run); assumed, since "
        "the mix of routes is not known: all requests take a route that leads "
        "there, and a run takes the mean time of recent ones; calls between "
        "services are not counted; organisations without a rate, not counted: 1"
    )


def test_a_finding_says_which_part_of_a_route_was_assumed():
    route = _route(("alpha", 1), ("beta", 3))
    review = _review(
        _document(route, rates=(200.0,)),
        _capacity(),
        _capacity("beta", slots=1000),
    )
    assert _keys(review) == ["services.alpha", "organisations.o0.rate"]
    for finding in review.findings:
        assert "s a run), which gets up to 0.25 of a route" in finding.text


# Guards against a warning for a service that gets a small part of the requests,
# such as a new version.
@pytest.mark.parametrize(
    ("routes", "is_found"),
    [
        ([_route(("alpha", 1), ("beta", 9))], False),
        ([_route(("alpha", 6), ("beta", 4))], True),
        ([_route(("alpha", 3), ("beta", 4), ("alpha", 3))], True),
        ([_route(("alpha", 1), ("beta", 9)), _route(("alpha", 1))], True),
        ([_route(("alpha", 0), ("beta", 1))], False),
    ],
)
def test_only_the_part_of_the_requests_that_may_arrive_counts(routes, is_found):
    document = _document(*routes, rates=(80.0,))
    review = _review(document, _capacity(), _capacity("beta", slots=1000))
    keys = ["services.alpha", "organisations.o0.rate"]
    assert _keys(review) == (keys if is_found else [])


def test_what_draws_on_no_rate_is_not_counted():
    """Guards against a warning for requests that no rate limits."""
    without_keys = configuration.Organisation(name="o", digests=(), rate=99.0)
    documents = [
        _document(_route(open=True), rates=(99.0,)),
        _document(organisations=(without_keys,)),
        _document(rates=(0.0,)),
    ]
    for document in documents:
        review = _review(document, _capacity())
        assert review == service_capacity.Review()


def test_one_line_names_the_services_that_were_not_checked():
    """Guards against an unknown capacity that is taken for a sufficient one."""
    services = ["alpha", "idle", "gone"]
    document = _document(
        *(_route((name, 1), name=name) for name in services), rates=(99.0,)
    )
    review = _review(document, _capacity(), _capacity("idle", run_s=0.0))
    assert _keys(review) == ["services.alpha", "organisations.o0.rate"]
    assert review.not_checked == (
        "idle (too few recent runs to time them), gone (no ready upstream)"
    )


def test_a_service_that_was_left_out_is_not_said_to_have_no_upstream():
    review = _review(_document(), is_complete=False)
    assert review.not_checked == "alpha (the control told of other services)"


def test_a_long_list_of_services_is_cut():
    """Guards against a line that grows with the document."""
    names = [f"s{index}" for index in range(100)]
    document = _document(*(_route((name, 1)) for name in names))
    assert _review(document).not_checked.endswith(", and 92 more")


def test_without_a_fleet_the_reason_is_one_line():
    review = service_capacity.review(
        _document(), service_capacity.Unknown(reason="no\n answer")
    )
    assert review == service_capacity.Review(not_checked="no answer")


# Binary fractions, so that sums and products are exact.
_RATES = strategies.integers(0, 64).map(lambda rate: rate / 4)
_NAMES = strategies.sampled_from(["alpha", "beta", "gamma"])
_TARGETS = strategies.sampled_from([1, 2, 4]).flatmap(
    lambda count: strategies.lists(_NAMES, min_size=count, max_size=count)
)


@given(
    strategies.lists(
        strategies.tuples(_TARGETS, strategies.booleans()),
        min_size=1,
        max_size=4,
    ),
    strategies.lists(_RATES, max_size=4),
    strategies.dictionaries(
        _NAMES,
        strategies.tuples(
            strategies.integers(1, 8), strategies.sampled_from([0, 0.5, 2])
        ),
    ),
)
def test_findings_are_exactly_the_services_that_a_mix_could_fill(
    routes, rates, fleet
):
    """Guards against a finding without an example, and the reverse.

    A service is found if and only if the organisations could keep more slots
    busy than it has, by sending all requests to one of the routes.
    """
    document = _document(
        *(
            _route(*((service, 1) for service in services), open=is_open)
            for services, is_open in routes
        ),
        rates=rates,
    )
    capacities = [
        _capacity(name, slots=slots, run_s=run_s)
        for name, (slots, run_s) in fleet.items()
    ]
    review = _review(document, *capacities)
    reached = {
        name: max(
            services.count(name) / len(services)
            for services, is_open in routes
            if name in services and not is_open
        )
        for name in {n for s, is_open in routes for n in s if not is_open}
    }
    is_known = {name: fleet.get(name, (0, 0))[1] > 0 for name in reached}

    def fills(name, rate):
        slots, run_s = fleet[name]
        return rate * reached[name] * run_s > slots

    found = {f"services.{n}" for n in reached if is_known[n]}
    found = {key for key in found if fills(key[len("services.") :], sum(rates))}
    found |= {
        f"organisations.o{index}.rate"
        for index, rate in enumerate(rates)
        if any(is_known[name] and fills(name, rate) for name in reached)
    }
    event(f"found: {bool(found)}")
    assert sorted(_keys(review)) == sorted(found)
    is_unknown = not all(is_known.values()) and any(rates)
    assert bool(review.not_checked) == is_unknown


@given(
    strategies.lists(strategies.tuples(_NAMES, strategies.integers(1, 9))),
    strategies.dictionaries(_NAMES, strategies.floats(0.001, 10.0)),
)
def test_every_announced_slot_counts_once(upstreams, run_s):
    known = service_capacity.add_up(upstreams, run_s)
    assert known.is_complete
    assert sum(c.slots for c in known.services) == sum(s for _, s in upstreams)
    assert sum(c.upstreams for c in known.services) == len(upstreams)
    assert all(c.run_s == run_s.get(c.service, 0.0) for c in known.services)


def test_the_number_of_services_is_bounded():
    """Guards against an answer that grows with what upstreams announce."""
    limit = service_capacity.MAX_SERVICES
    upstreams = [(f"s{index:05}", 1) for index in range(limit + 1)]
    known = service_capacity.add_up(upstreams, {})
    assert len(known.services) == limit
    assert not known.is_complete


def test_run_times_are_the_mean_over_the_routes_of_a_service():
    """Guards against a time that one run of a rare route decides."""
    rows = [("r1", "alpha", 30.0, 3.0), ("r2", "alpha", 10.0, 5.0)]
    rows += [("r1", "beta", 9.0, 9.0), ("r3", "", 0.0, 0.0)]
    times = service_capacity.run_times(
        demand.Demand(
            routes=tuple(
                demand.RouteDemand(
                    route=route, service=service, ended=ended, busy_s=busy_s
                )
                for route, service, ended, busy_s in rows
            )
        )
    )
    assert times == {"alpha": 0.2}
