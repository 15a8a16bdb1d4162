"""Signals that arrive while a process starts, runs or stops."""

import signal

import pytest
import trio

from sassafrashall import daemon
from sassafrashall import logs


class _Process:
    """Stops slowly, while more signals arrive."""

    def __init__(self):
        self.closes = 0
        self.closed = False

    async def start(self, nursery):
        nursery.start_soon(trio.sleep_forever)
        signal.raise_signal(signal.SIGHUP)
        signal.raise_signal(signal.SIGTERM)

    async def close(self):
        self.closes += 1
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            signal.raise_signal(number)
            await trio.sleep(0.05)
        self.closed = True


@pytest.fixture
def raised_again():
    """Signals that the process left to trio, which raises them once more."""
    received = []
    numbers = (signal.SIGTERM, signal.SIGHUP, signal.SIGINT)
    previous = {
        number: signal.signal(number, lambda n, _: received.append(n))
        for number in numbers
    }
    yield received
    for number, handler in previous.items():
        signal.signal(number, handler)


# Guards against a second signal that kills a stopping process.
async def test_signals_during_a_stop_neither_cut_nor_repeat_it(
    monkeypatch, raised_again
):
    process = _Process()
    monkeypatch.setattr(daemon, "_create_process", lambda settings: process)
    monkeypatch.setattr(daemon.gc, "freeze", lambda: None)
    monkeypatch.setattr(daemon.gc, "set_threshold", lambda *_: None)
    with trio.fail_after(2):
        await daemon._run_process(None)
    assert process.closed and process.closes == 1
    assert not raised_again


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
