from sassafrashall import configuration
from sassafrashall.decisions import document_checks
from tests import configurations


def _finding_keys(document):
    return [finding.key for finding in document_checks.check(document)]


def test_a_valid_document_has_no_findings():
    assert _finding_keys(configurations.document(configurations.route())) == []


def test_every_fault_is_reported_with_its_key():
    unknown = (configuration.Target(service="beta", weight=1),)
    assert _finding_keys(
        configurations.document(
            configurations.route(prefix="a/"),
            configurations.route(name="r2", targets=unknown),
            configurations.route(name="r3", attempts=0),
            configurations.route(name="r4", host=""),
            version=0,
        )
    ) == [
        "version",
        "routes.r.prefix",
        "routes.r2.targets",
        "routes.r3.attempts",
        "routes.r3",
        "routes.r4.host",
    ]


def test_a_key_belongs_to_one_organisation_only():
    organisations = tuple(
        configuration.Organisation(name=name, digests=("d",))
        for name in ("a", "b")
    )
    assert _finding_keys(
        configurations.document(organisations=organisations)
    ) == ["organisations.b.keys"]
