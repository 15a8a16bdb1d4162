"""Refuses at the door what the service would shed anyway."""

from __future__ import annotations

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.decisions import shedding

RETRY_AFTER = 1.0  # seconds


class EarlyShedFilter:
    """Applies the admission level that came back on earlier answers."""

    def __init__(
        self,
        *,
        law: shedding.Law,
        routing: mailbox.Mailbox,
        counters: metrics.Metrics,
    ) -> None:
        self._law = law
        self._routing = routing
        self._metrics = counters

    async def handle(self, call: model.Call) -> model.Result:
        """Refuses by class and root id."""
        if isinstance(self._law, shedding.NoEarlyShed):
            return model.Forward(call=call)
        level = await self._routing.ask(
            messages.ReadServiceLevel(service=call.service)
        )
        if shedding.admits(self._law, level, call.priority, call.root_id):
            return model.Forward(call=call)
        self._metrics.count("shed_early", priority=call.priority.name)
        return model.Refuse(
            code=exceptions.SHED,
            detail=f"service {call.service} is overloaded",
            retry_after_s=RETRY_AFTER,
            retries_left=call.retries,
        )
