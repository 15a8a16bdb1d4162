import json

from bench import fleet
import pytest

from sassafrashall import cmdline
from tests import test_settings


def _write_settings(tmp_path):
    address = fleet.free_addresses(1)[0]
    path = tmp_path / "ctl.yaml"
    path.write_text(
        "controls:\n  - vm: c\n    data_centre: x\n"
        f"    address: {address}\noperator_secret: s\ntimeout_s: 0.5\n"
    )
    return str(path)


def test_templates_are_listed_without_settings(capsys):
    assert cmdline.main(["template", "list"]) == cmdline.EXIT_OK
    assert "research-allocation" in capsys.readouterr().out
    assert cmdline.main(["--output", "json", "template", "list"]) == 0
    assert len(json.loads(capsys.readouterr().out)) == 3


def test_an_unreachable_control_is_reported(tmp_path, capsys):
    arguments = ["--settings", _write_settings(tmp_path), "status"]
    assert cmdline.main(arguments) == cmdline.EXIT_UNREACHABLE
    assert "Nothing was changed" in capsys.readouterr().err


def test_an_unanswered_change_can_be_sent_again(tmp_path, capsys):
    arguments = [
        "--settings",
        _write_settings(tmp_path),
        "key",
        "withdraw",
        "o",
        "k",
    ]
    arguments += ["--change-id", "c7"]
    assert cmdline.main(arguments) == cmdline.EXIT_UNREACHABLE
    assert "--change-id c7" in capsys.readouterr().err


def test_an_unanswered_replacement_may_have_been_made(tmp_path, capsys):
    """Guards against "nothing was changed" of a change that may be made."""
    arguments = ["--settings", _write_settings(tmp_path), "replica", "replace"]
    assert cmdline.main([*arguments, "c", "d"]) == cmdline.EXIT_UNREACHABLE
    error = capsys.readouterr().err
    assert "Send the same command again" in error
    assert "Nothing was changed" not in error


def test_settings_check(tmp_path, capsys):
    good, bad = tmp_path / "good.yaml", tmp_path / "bad.yaml"
    good.write_text(test_settings.NODE)
    bad.write_text(test_settings.FAULTY)
    assert cmdline.main(["settings", "check", str(good)]) == 0
    assert cmdline.main(["settings", "check", str(bad)]) == 2
    assert capsys.readouterr().err.count("bad.yaml:") == 7


def test_faulty_assignments_are_named(tmp_path, capsys):
    arguments = [
        "--settings",
        _write_settings(tmp_path),
        "organisation",
        "set",
        "o",
    ]
    assert cmdline.main([*arguments, "rate", "burst"]) == cmdline.EXIT_INVALID
    assert capsys.readouterr().err.count("not PARAMETER=VALUE") == 2


@pytest.mark.parametrize("arguments", [[], ["nothing"], ["key", "issue"]])
def test_invalid_arguments_exit_with_2(arguments):
    with pytest.raises(SystemExit) as caught:
        cmdline.main(arguments)
    assert caught.value.code == 2
