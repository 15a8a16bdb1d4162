"""The bound of a cold upstream that is announced with its heartbeat."""

from sassafrashall import clock
from sassafrashall import mailbox
from sassafrashall.decisions import cold_rate
from tests import fakes

COUNT = 15  # 4.8 x 1.5 + 8 = 15.2


def _count_grants(gate, now):
    granted = 0
    while granted < 2 * COUNT and gate.may_send(now):
        gate.on_granted(now)
        granted += 1
    return granted


# Guards against a burst at an upstream that has just started: its state and its
# heartbeat are passed on by two tasks, and the state came first.
def test_a_published_heartbeat_bounds_the_first_request():
    heartbeat = mailbox.Published(initial=fakes.cold_heartbeat(1))
    gate = fakes.cold_gate(heartbeat)
    now = clock.monotonic() + cold_rate.WINDOW
    gate.apply_heartbeat(now)
    assert not gate.is_cold(now)
    heartbeat.publish(
        fakes.cold_heartbeat(1, run=("i2", 2), cold_remaining_s=60.0)
    )
    assert _count_grants(gate, now) == COUNT


# Guards against a heartbeat that counts as two after a doubt.
def test_each_heartbeat_is_applied_once():
    heartbeat = mailbox.Published(initial=fakes.cold_heartbeat(1))
    gate = fakes.cold_gate(heartbeat)
    now = clock.monotonic() + cold_rate.WINDOW
    gate.apply_heartbeat(now)
    gate.on_event(cold_rate.Doubted(heartbeats=2), now)
    heartbeat.publish(fakes.cold_heartbeat(2))
    for _ in range(3):
        assert gate.may_send(now)
        gate.apply_heartbeat(now)
        assert gate.is_cold(now)
    heartbeat.publish(fakes.cold_heartbeat(3))
    assert gate.may_send(now)
    assert not gate.is_cold(now)
