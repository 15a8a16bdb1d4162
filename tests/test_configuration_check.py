import copy
import functools
import hashlib
import json

from bench import routed
from hypothesis import event
from hypothesis import given
from hypothesis import strategies
import pytest
import trio

from sassafrashall import cmdline
from sassafrashall import configuration
from sassafrashall import configuration_check
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall.decisions import fleet_commands
from sassafrashall.decisions import fleet_state
from sassafrashall.platform import documents
from sassafrashall.platform import operator_api
from sassafrashall.transport import http_server
from tests import fakes
from tests import loopback

NO_FLEET = "capacity not checked: this needs a fleet, see --against ADDRESS"


def _document(**changes):
    return routed.document(version="r2", keys={"org": "secret"}) | changes


def _write(path, document):
    path.write_text(json.dumps(document))
    return str(path)


def _check(*arguments):
    return cmdline.main(["configuration", "check", *arguments])


def test_a_document_without_findings_passes(tmp_path, capsys):
    path = _write(tmp_path / "new.json", _document())
    assert _check(path) == 0
    assert capsys.readouterr().out.splitlines() == [
        "errors: 0, warnings: 0",
        NO_FLEET,
    ]


def test_errors_are_named_with_their_location(tmp_path, capsys):
    """Guards against a document that is found faulty only at the control."""
    document = _document()
    document["routes"]["r-alpha"] |= {"max_attempts": "two", "timeout": "5"}
    assert _check(_write(tmp_path / "new.json", document)) == 1
    error = capsys.readouterr().err
    assert "error: configuration: routes.r-alpha.max_attempts:" in error
    assert "error: configuration: routes.r-alpha.timeout:" in error


def test_references_are_checked_as_at_the_control(tmp_path, capsys):
    document = _document()
    document["routes"]["r-alpha"]["service"] = "beta"
    assert _check(_write(tmp_path / "new.json", document)) == 1
    error = capsys.readouterr().err
    assert "error: configuration: routes.r-alpha.targets: unknown" in error
    assert "warning: configuration: services.alpha: no route" in error


def test_a_document_longer_than_a_control_reads_is_an_error():
    """Guards against a document that passes and then gets status 413."""
    body = json.dumps(_document()).encode()
    padding = b" " * (http_server.BODY_LIMIT - len(body))
    assert configuration_check.check_document(body + padding).errors == ()
    report = configuration_check.check_document(body + padding + b" ")
    assert len(report.errors) == 1


def test_a_name_that_occurs_twice_is_a_warning(tmp_path, capsys):
    """Guards against an entry that another of its name replaces unseen."""
    text = json.dumps(_document())
    text = text.replace('"alpha": {', '"alpha": {}, "alpha": {', 1)
    (tmp_path / "new.json").write_text(text)
    assert _check(str(tmp_path / "new.json")) == 1
    assert capsys.readouterr().err.splitlines() == [
        "errors: 0, warnings: 1",
        "warning: configuration: 'alpha' occurs more than once in an object; "
        "the last is used",
        NO_FLEET,
    ]


@pytest.mark.parametrize("is_before_the_noun", [True, False])
def test_json_names_findings_and_differences(
    tmp_path, capsys, is_before_the_noun
):
    """Guards against an --output that works on one side of the noun only."""
    old = _document(version="r1")
    new = _document(services=_document()["services"] | {"spare": {}})
    arguments = [
        "configuration",
        "check",
        _write(tmp_path / "new.json", new),
        "--against",
        _write(tmp_path / "old.json", old),
    ]
    output = ["--output", "json"]
    arguments = output + arguments if is_before_the_noun else arguments + output
    assert cmdline.main(arguments) == 1
    report = json.loads(capsys.readouterr().out)
    assert report["errors"] == []
    assert [w["key"] for w in report["warnings"]] == ["services.spare"]
    assert report["version_in_force"] == 1
    assert [d["key"] for d in report["differences"]] == [
        "version",
        "services.spare",
    ]


def test_an_unreadable_document_is_not_said_to_have_no_differences():
    """Guards against a comparison that seems to have been made."""
    in_force = configuration.Accepted(
        configuration=configuration.Configuration(version=1), text=b""
    )
    report = configuration_check.check_document(b"{", in_force)
    assert report.differences is None
    assert "differences" not in report.text()


def test_differences_alone_are_no_findings(tmp_path, capsys):
    old = _write(tmp_path / "old.json", _document(version="r1"))
    new = _write(tmp_path / "new.json", _document())
    assert _check(new, "--against", old) == 0
    assert "difference: version: 1 -> 2" in capsys.readouterr().out


def test_a_version_that_is_not_above_the_one_in_force_is_an_error(
    tmp_path, capsys
):
    new = _document()
    old = _document(limits={})
    arguments = [
        _write(tmp_path / "new.json", new),
        "--against",
        _write(tmp_path / "old.json", old),
    ]
    assert _check(*arguments) == 1
    assert "version: must be above 2" in capsys.readouterr().err


@pytest.mark.parametrize("against", ["missing.json", "127.0.0.1:0"])
def test_what_cannot_be_compared_with_exits_with_2(tmp_path, capsys, against):
    path = _write(tmp_path / "new.json", _document())
    assert _check(path, "--against", against) == 2
    assert against in capsys.readouterr().err


def test_what_cannot_be_read_exits_with_2(tmp_path, capsys):
    """Guards against a check that did not run and passes as findings."""
    assert _check(str(tmp_path)) == 2
    path = _write(tmp_path / "new.json", _document())
    (tmp_path / "old.json").write_text("{}")
    assert _check(path, "--against", str(tmp_path / "old.json")) == 2
    address = str(loopback.free_address())
    assert _check(path, "--against", address) == 2
    assert address in capsys.readouterr().err


async def _check_against_control(handler, path):
    async with loopback.serve(handler) as (address, _):
        check = functools.partial(_check, path, "--against", str(address))
        return await trio.to_thread.run_sync(check)


async def _check_against_replica(replica, path):
    """Returns the exit status beside a control with this replica."""
    api = operator_api.OperatorApi(
        replica=replica.mailbox,
        view=mailbox.Published(initial=None),
        data_centres=frozenset(),
    )
    async with fakes.started(replica):
        return await _check_against_control(api.handle, path)


@pytest.mark.parametrize("text", [b"", json.dumps(_document(version="r1"))])
async def test_the_version_in_force_is_read_from_a_control(
    tmp_path, capsys, text
):
    """Guards against a comparison that fails at a fleet without a version."""
    text = text.encode() if isinstance(text, str) else text
    replica = fakes.ScriptedController(
        lambda message: fleet_commands.CurrentConfiguration(text=text)
    )
    path = _write(tmp_path / "new.json", _document())
    assert await _check_against_replica(replica, path) == 0
    assert replica.received == [
        messages.Submit(command=fleet_commands.ReadConfiguration())
    ]
    version = "r1" if text else "r0"
    assert f"from version {version}: " in capsys.readouterr().out


async def test_a_control_without_a_majority_exits_with_2(tmp_path, capsys):
    """Guards against a failed read that counts as "no version in force"."""

    def fail(message):
        raise exceptions.RpcError("no majority")

    replica = fakes.ScriptedController(fail)
    path = _write(tmp_path / "new.json", _document())
    assert await _check_against_replica(replica, path) == 2
    assert "answered with status 503: rpc_failed" in capsys.readouterr().err


async def test_a_control_that_does_not_answer_exits_with_2(
    tmp_path, capsys, monkeypatch
):
    """Guards against a check that hangs beside a control that hangs."""
    monkeypatch.setattr(configuration_check, "READ_TIMEOUT", 0.05)

    async def hang(raw):
        await trio.sleep_forever()

    path = _write(tmp_path / "new.json", _document())
    with trio.fail_after(10):
        assert await _check_against_control(hang, path) == 2
    assert "did not answer in time" in capsys.readouterr().err


def _paths(value, path=()):
    """Yields the path of each value within a JSON document."""
    if path:
        yield path
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, item in items:
            yield from _paths(item, (*path, key))


_WHOLE = _document(tenants={"a": {"api_keys": ["k"], "rate_per_s": 3}})
_WHOLE["tenants"]["b"] = {"api_keys": ["l"], "burst": 2, "priority": 0}
_WHOLE["routes"]["weighted"] = _WHOLE["routes"]["r-alpha"] | {
    "path_prefix": "/w",
    "weighted_targets": [
        {"service": "alpha", "weight": 1},
        {"service": "alpha", "weight": 0},
    ],
}
_VALUES = strategies.sampled_from(
    [None, True, 0, -1, 1, 2.5, 2**60, "", "0s", "1s", "beta", "/", "/w"]
    + ["r0", "r1", "r2", "r3", "alpha.example", "download", [], ["k"], {}]
)
_USUAL_MUTATIONS = strategies.sampled_from(
    [
        (("version",), "r3"),
        (("routes", "r-alpha", "timeout"), "100ms"),
        (("routes", "r-alpha", "max_attempts"), 9),
        (("routes", "r-alpha", "host"), "ALPHA.example:80"),
        (("routes", "weighted", "path_prefix"), "/%?"),
        (("services", "spare"), {"cold_start": "3s"}),
        (("limits",), None),
        (("tenants", "a", "api_keys"), ["k", "k"]),
        (("tenants", "b", "burst"), 0.5),
    ]
)
_ODD_MUTATIONS = strategies.tuples(
    strategies.sampled_from(list(_paths(_WHOLE))), _VALUES
)
# Values of the right type that only the checks of the whole document reject.
_FAULTY_MUTATIONS = strategies.sampled_from(
    [
        (("version",), "r0"),
        (("version",), "r1"),
        (("routes", "r-alpha", "service"), "beta"),
        (("routes", "r-alpha", "max_attempts"), 0),
        (("routes", "weighted", "path_prefix"), "/"),
        (("routes", "weighted", "weighted_targets", 1, "weight"), -1),
        (("services",), {}),
        (("tenants", "b", "api_keys"), ["k"]),
    ]
)
# A third of the documents has only usual values, so that enough are accepted.
_MUTATIONS = (
    strategies.lists(_USUAL_MUTATIONS, max_size=4)
    | strategies.lists(_USUAL_MUTATIONS | _FAULTY_MUTATIONS, max_size=3)
    | strategies.lists(_USUAL_MUTATIONS | _ODD_MUTATIONS, max_size=3)
)


def _mutate(mutations):
    document = copy.deepcopy(_WHOLE)
    for path, value in mutations:
        parent = document
        try:
            for key in path[:-1]:
                parent = parent[key]
            parent[path[-1]] = copy.deepcopy(value)
        except (TypeError, KeyError, IndexError):
            continue
    return document


def _send(state, body):
    """Returns the state and whether a control accepts the document."""
    try:
        decoded = documents.decode(body)
    except exceptions.FindingsError:
        return state, False
    current = state.accepted.configuration.version if state.accepted else 0
    state, result = fleet_state.apply(
        state,
        fleet_commands.ReplaceConfiguration(
            expect_version=current,
            document=decoded,
            digest=hashlib.sha256(body).hexdigest(),
            text=body,
        ),
    )
    return state, isinstance(result, fleet_commands.Accepted)


@given(
    strategies.sampled_from([None, "r1", "r2"]),
    _MUTATIONS,
)
def test_the_check_passes_exactly_what_a_control_accepts(version, mutations):
    """Guards against a check that decides otherwise than the control."""
    state = fleet_state.FleetState()
    in_force = configuration.Accepted(
        configuration=configuration.Configuration(version=0), text=b""
    )
    if version is not None:
        text = json.dumps(_WHOLE | {"version": version}).encode()
        state, is_accepted = _send(state, text)
        assert is_accepted
        in_force = state.accepted
    body = json.dumps(_mutate(mutations)).encode()
    report = configuration_check.check_document(body, in_force)
    _, is_accepted = _send(state, body)
    event(f"accepted: {is_accepted}")
    assert (report.errors == ()) == is_accepted


@given(strategies.binary(max_size=64) | strategies.text(max_size=64))
def test_any_input_gets_a_report(body):
    """Guards against a check that ends with a traceback."""
    body = body.encode(errors="replace") if isinstance(body, str) else body
    report = configuration_check.check_document(body)
    assert report.errors
    assert report.text()
