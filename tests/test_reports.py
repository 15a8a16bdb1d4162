import dataclasses

from sassafrashall import api
from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall import organisation_model
from sassafrashall import protocol
from sassafrashall import reports
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import replication
from sassafrashall.decisions import templates


def _member(name):
    return replication.Member(
        replica_id=f"id-{name}",
        vm=f"control-{name}",
        data_centre=name,
        address="127.0.0.1:1",
    )


def _control(name, *, role="follower", age=0.1, voter=True):
    return protocol.ControlRecord(
        vm=f"control-{name}",
        data_centre=name,
        replica_id=f"id-{name}",
        rpc_address="127.0.0.1:1",
        ops_address="127.0.0.1:2",
        role=role,
        term=3,
        applied=40,
        revision=7,
        majority_age=age,
        voter=voter,
    )


def _node(name, *, revision=7, lapsed=False, leaving=False, state="ready"):
    address = model.Address(host="127.0.0.1", port=1)
    return protocol.DirectoryEntry(
        record=model.NodeRecord(
            vm=f"node-{name}",
            data_centre=name,
            incarnation=1,
            counter=1,
            peer_address=address,
            ops_address=address,
            configuration_revision=revision,
            leaving=leaving,
            upstream=model.Upstream(
                service="balance",
                address=address,
                slots=50,
                connection_limit=400,
                state=model.UpstreamState(state),
            ),
        ),
        lapsed=lapsed,
    )


def _status(**fields):
    payroll = organisation_model.Organisation(
        name="payroll",
        template="research-allocation",
        parameters=templates.TEMPLATES["research-allocation"].defaults,
        keys=(
            organisation_model.Key(key_id="k1", digest="d1"),
            organisation_model.Key(key_id="k2", digest="d2", withdrawn=True),
        ),
        version=4,
        revision=7,
    )
    values = {
        "answered_by": "control-a",
        "revision": 7,
        "majority_age": 0.1,
        "leader": "id-a",
        "controls": (_control("a", role="leader"), _control("b")),
        "membership": replication.Membership(
            voters=(_member("a"), _member("b"))
        ),
        "nodes": (_node("a"), _node("b")),
        "organisations": (payroll,),
        "quotas": (
            protocol.OrganisationQuota(organisation="payroll", lent=9, dry=1),
        ),
        "claims": 2,
    }
    return protocol.StatusReply(**{**values, **fields})


def test_a_healthy_fleet(snapshot):
    assert reports.status_screen(_status()) == snapshot


def test_a_failing_fleet_comes_with_advice(snapshot):
    status = _status(
        majority_age=12.0,
        controls=(
            _control("a", role="candidate", age=12.0),
            _control("b", role="silent"),
            _control("c", role="follower", voter=False),
        ),
        membership=replication.Membership(
            voters=(_member("a"), _member("b")), learners=(_member("c"),)
        ),
        nodes=(
            _node("a", revision=6, state="warming"),
            _node("b", lapsed=True),
            dataclasses.replace(
                _node("c", leaving=True),
                load=model.NodeLoad(level=1.25, shed_per_second=12.5),
            ),
        ),
    )
    assert reports.status_screen(status) == snapshot


def test_an_organisation_and_where_it_is_in_force(snapshot):
    status = _status(nodes=(_node("a", revision=6), _node("b")))
    (shown,) = status.organisations
    rollout = api.rollout_of(status, shown.revision)
    assert reports.organisation(shown, rollout) == snapshot


def test_lists(snapshot):
    status = _status()
    shown = "\n\n".join(
        (
            reports.template_list(),
            reports.organisation_list(status),
            reports.key_list(status.organisations[0]),
            reports.route_list(status.organisations),
            reports.quota_table(status),
        )
    )
    assert shown == snapshot


def test_a_difference(snapshot):
    before = templates.TEMPLATES["web-api"].defaults
    after, _ = templates.apply_assignments(
        before, (("rate", "7"), ("bulk_routes", "/a, GET /b/c")), "x"
    )
    assert reports.difference(before, after) == snapshot
    assert reports.difference(before, before) == "Nothing would change."


def test_results(snapshot):
    finding = exceptions.Finding(source="command", key="rate", text="no number")
    results = (
        fleet_commands.Accepted(revision=3, version=2),
        fleet_commands.Conflict(version=5, detail="expected version 4"),
        fleet_commands.Rejected(findings=(finding,)),
    )
    assert "\n\n".join(reports.result(r) for r in results) == snapshot


def test_the_time_line(snapshot):
    shown = api.Timeline(
        events=(
            events.Event(
                time=clock.HybridTime(physical_ms=5, logical=1),
                process="node-a",
                kind="claim.granted",
                request="r",
                detail="c",
            ),
        ),
        unreachable=("node-b",),
    )
    assert reports.timeline(shown) == snapshot


def test_an_evacuation_is_shown_with_how_to_end_it():
    screen = reports.status_screen(_status(evacuated=("dc-a",)))
    assert "Evacuated: dc-a." in screen
    assert "DELETE /-/evacuation/dc-a" in screen
