"""Tests of the daemon's start and stop."""

import signal

import pytest
import trio

from sassafrashall import daemon
from sassafrashall import logs

SETTINGS = """
role: control
vm: control-a
data_centre: a
fleet_secret: a-secret-for-the-tests
operator_secret: a-secret-of-operators
data_folder: /nonexistent
listen: {rpc: "127.0.0.1:7100", ops: "127.0.0.1:7101"}
controls: [{vm: control-a, data_centre: a, address: "127.0.0.1:7100"}]
"""


@pytest.fixture(autouse=True)
def _restored_handler():
    handler = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, handler)


# A SIGHUP while a process started, or after it had stopped, killed it.
def test_sighup_is_ignored_around_the_event_loop(tmp_path, monkeypatch):
    settings = tmp_path / "settings.yaml"
    settings.write_text(SETTINGS, encoding="utf-8")
    handlers = []
    monkeypatch.setattr(logs, "configure", lambda *_: None)
    monkeypatch.setattr(
        trio,
        "run",
        lambda *_: handlers.append(signal.getsignal(signal.SIGHUP)),
    )
    assert daemon.main(["--settings", str(settings)]) == 0
    handlers.append(signal.getsignal(signal.SIGHUP))
    assert handlers == [signal.SIG_IGN, signal.SIG_IGN]
