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


def test_a_document_becomes_the_fleet_configuration():
    given = routed.document(version="r7", keys={"org": "secret"})
    given["routes"]["r-alpha"] |= {
        "service": None,
        "weighted_targets": [
            {"service": "alpha", "weight": 90},
            {"service": "beta", "weight": 10},
        ],
        "priority": 7,
        "timeout": "1500ms",
    }
    given["tenants"]["org"] |= {"rate_per_s": 39, "burst": 12, "priority": 0}
    found = _decode(given)
    assert found.version == 7
    assert found.keyed
    (route,) = found.routes
    assert route.targets == (
        configuration.Target(service="alpha", weight=90),
        configuration.Target(service="beta", weight=10),
    )
    assert route.timeout_s == 1.5
    assert route.priority is model.Priority.BULK
    assert found.limits.idle_timeout_s == 15.0
    (organisation,) = found.organisations
    assert organisation.digests == (identity.digest("secret"),)
    assert (organisation.rate, organisation.burst) == (39.0, 12)
    assert organisation.priority is model.Priority.CRITICAL


def test_no_key_is_needed_without_organisations():
    assert not _decode(routed.document()).keyed


def test_all_faults_are_reported_together(snapshot):
    given = routed.document(keys={"org": "secret"})
    given["version"] = "12"
    given["routes"]["r-alpha"] |= {
        "route_type": "sometimes",
        "timeout": "fast",
        "max_attempts": "2",
        "host": 5,
        "public": "yes",
    }
    given["routes"]["r-odd"] = []
    given["limits"]["idle_timeout"] = 3
    given["tenants"]["org"]["api_keys"] = [1]
    given["tenants"]["org"]["rate_per_s"] = -1
    with pytest.raises(exceptions.FindingsError) as error:
        _decode(given)
    assert [str(finding) for finding in error.value.findings] == snapshot


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"3", b'{"version": "r1"', b"\xff", b"[" * 5000]
)
def test_what_can_not_be_read_is_a_finding(body):
    with pytest.raises(exceptions.FindingsError):
        documents.decode(body)


@pytest.mark.parametrize(
    ("text", "number"),
    [("r12", 12), ("0", 0), ('"r3"', 3), ("12", None), ("r", None), (5, None)],
)
def test_versions(text, number):
    assert values.parse_version(text) == number
