import json

from bench import routed
import pytest

from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.filters import identity
from sassafrashall.platform import documents
from sassafrashall.platform import values


def _decode(document):
    return documents.decode(json.dumps(document).encode())


def test_a_document_is_decoded_into_the_fleet_configuration():
    document = routed.document(version="r7", keys={"org": "secret"})
    document["routes"]["r-alpha"] |= {
        "service": None,
        "weighted_targets": [
            {"service": "alpha", "weight": 90},
            {"service": "beta", "weight": 10},
        ],
        "priority": 7,
        "timeout": "1500ms",
    }
    document["tenants"]["org"] |= {"rate_per_s": 39, "burst": 12, "priority": 0}
    decoded = _decode(document)
    assert decoded.version == 7
    assert decoded.keyed
    (route,) = decoded.routes
    assert route.targets == (
        configuration.Target(service="alpha", weight=90),
        configuration.Target(service="beta", weight=10),
    )
    assert route.timeout_s == 1.5
    assert route.priority is model.Priority.BULK
    assert decoded.limits.idle_timeout_s == 15.0
    (organisation,) = decoded.organisations
    assert organisation.digests == (identity.digest("secret"),)
    assert (organisation.rate, organisation.burst) == (39.0, 12)
    assert organisation.priority is model.Priority.CRITICAL


# Guards against a configuration that is rejected as a whole, so that nothing is
# served, since one of its routes is a download.
@pytest.mark.parametrize(
    ("route_type", "idempotent", "streams"),
    [
        ("idempotent", True, False),
        ("non_idempotent", False, False),
        ("download", True, True),
    ],
)
def test_each_route_type_is_decoded(route_type, idempotent, streams):
    document = routed.document()
    document["routes"]["r-alpha"]["route_type"] = route_type
    (route,) = _decode(document).routes
    assert route.idempotent is idempotent
    assert route.streams is streams


def test_no_key_is_needed_without_organisations():
    assert not _decode(routed.document()).keyed


def test_all_faults_are_reported_together(snapshot):
    document = routed.document(keys={"org": "secret"})
    document["version"] = "12"
    document["routes"]["r-alpha"] |= {
        "route_type": "sometimes",
        "timeout": "fast",
        "max_attempts": "2",
        "host": 5,
        "public": "yes",
    }
    document["routes"]["r-odd"] = []
    document["limits"]["idle_timeout"] = 3
    document["tenants"]["org"]["api_keys"] = [1]
    document["tenants"]["org"]["rate_per_s"] = -1
    with pytest.raises(exceptions.FindingsError) as error:
        _decode(document)
    assert [str(finding) for finding in error.value.findings] == snapshot


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"3", b'{"version": "r1"', b"\xff", b"[" * 5000]
)
def test_a_body_that_is_not_a_json_object_is_a_finding(body):
    with pytest.raises(exceptions.FindingsError):
        documents.decode(body)


@pytest.mark.parametrize(
    ("text", "version"),
    [("r12", 12), ("0", 0), ('"r3"', 3), ("12", None), ("r", None), (5, None)],
)
def test_versions_are_parsed(text, version):
    assert values.parse_version(text) == version


# Guards against a configuration that is refused, or a bound that is missed, for
# how the absence of a bound is written.
@pytest.mark.parametrize(
    ("fields", "cold_start", "rate"),
    [
        ({"cold_start": "6s", "cold_per_s": 4.8}, 6.0, 4.8),
        ({"cold_start": "600ms", "cold_per_s": 4}, 0.6, 4.0),
        ({}, 0.0, 0.0),
        ({"cold_start": "0s", "cold_per_s": 0}, 0.0, 0.0),
        ({"cold_start": 0, "cold_per_s": None}, 0.0, 0.0),
    ],
)
def test_the_bound_of_a_cold_upstream_is_decoded(fields, cold_start, rate):
    document = routed.document()
    document["services"]["alpha"] |= fields
    (service,) = _decode(document).services
    assert service.cold_start_s == cold_start
    assert service.cold_rate == rate


def test_a_bound_that_is_no_time_or_number_is_a_finding():
    document = routed.document()
    document["services"]["alpha"] |= {"cold_start": "6", "cold_per_s": -1}
    with pytest.raises(exceptions.FindingsError) as error:
        _decode(document)
    assert [finding.key for finding in error.value.findings] == [
        "services.alpha.cold_start",
        "services.alpha.cold_per_s",
    ]
