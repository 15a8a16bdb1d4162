"""What a control knows of run times, from its own nodes and from gossip."""

import pytest

from sassafrashall import clock
from sassafrashall import messages
from sassafrashall import protocol
from sassafrashall.controllers import run_times
from sassafrashall.decisions import demand
from tests import fakes


def _demand(ended, busy_s):
    route = demand.RouteDemand(
        route="r", service="alpha", ended=ended, busy_s=busy_s
    )
    return demand.Demand(routes=(route,))


def _heartbeat(vm, reported):
    return protocol.Heartbeat(
        record=fakes.node_record(vm=vm),
        directory_source="",
        directory_version=0,
        withdrawn_count=0,
        demand=reported,
    )


def _gossip(address, reported):
    record = protocol.ControlRecord(
        vm=address,
        data_centre="x",
        replica_id=address,
        rpc_address=address,
        ops_address=address,
        role="follower",
        term=1,
        applied=1,
        revision=1,
        majority_age=0.0,
        voter=True,
    )
    return protocol.Gossip(
        control=record, entries=(), alive=(), withdrawn=(), demand=reported
    )


async def test_nodes_of_this_and_other_controls_count_once():
    """Guards against run times of the nodes of one control only."""
    controller = run_times.RunTimes()
    async with fakes.started(controller):
        for _ in range(2):
            controller.mailbox.tell(_heartbeat("vm-a", _demand(20.0, 2.0)))
            controller.mailbox.tell(_heartbeat("vm-b", None))
            controller.mailbox.tell(_gossip("control-b", _demand(20.0, 6.0)))
        times = await controller.mailbox.ask(messages.ReadRunTimes())
    assert times == {"alpha": pytest.approx(0.2)}


async def test_reports_of_nodes_that_are_gone_are_dropped(monkeypatch):
    """Guards against the times of a load that ended, and against a leak."""
    now = clock.monotonic()
    monkeypatch.setattr(clock, "monotonic", lambda: now)
    controller = run_times.RunTimes()
    async with fakes.started(controller):
        controller.mailbox.tell(_heartbeat("vm-a", _demand(20.0, 2.0)))
        controller.mailbox.tell(_gossip("control-b", _demand(20.0, 6.0)))
        now += demand.CONTROL_TTL
        controller.mailbox.tell(_heartbeat("vm-b", None))
        assert controller._demand == demand.FleetDemand()
        assert await controller.mailbox.ask(messages.ReadRunTimes()) == {}
