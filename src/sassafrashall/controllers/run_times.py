"""A control's record of how long the services' runs take, for operators."""

from __future__ import annotations

from typing import Any

from sassafrashall import clock
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import protocol
from sassafrashall import task
from sassafrashall.decisions import demand as demand_decisions
from sassafrashall.decisions import service_capacity

# Seconds between two searches for the reports of nodes that are gone.
FORGET_INTERVAL = 1.0


class RunTimes(task.Controller):
    """Owns what nodes reported of their runs, here and to other controls.

    It is told the heartbeats and the gossip that its control receives.
    """

    def __init__(self) -> None:
        super().__init__()
        self._demand = demand_decisions.FleetDemand()
        self._forgot_at = float("-inf")  # monotonic seconds

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        now = clock.monotonic()
        match message:
            case protocol.Heartbeat(record=record):
                self._demand = demand_decisions.on_heartbeat(
                    self._demand, record.vm, message.demand, now
                )
            case protocol.Gossip(control=control):
                self._demand = demand_decisions.on_gossip(
                    self._demand, control.rpc_address, message.demand, now
                )
            case messages.ReadRunTimes():
                fleet = demand_decisions.demand_of_fleet(self._demand, now)
                reply.put(service_capacity.run_times(fleet))
        if now - self._forgot_at >= FORGET_INTERVAL:
            self._forgot_at = now
            self._demand = demand_decisions.forget_outdated(self._demand, now)
