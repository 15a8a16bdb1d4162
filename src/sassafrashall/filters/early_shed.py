"""Refuses requests at the entry that their service would shed anyway."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.decisions import shedding

RETRY_AFTER = 1.0  # seconds


class EarlyShedFilter:
    """Applies the admission level that earlier outcomes reported."""

    def __init__(
        self,
        *,
        policy: shedding.Policy,
        routing: mailbox.Mailbox,
        levels: mailbox.Published[dict[str, shedding.ObservedLevel]],
        counters: metrics.Metrics,
    ) -> None:
        self._policy = policy
        self._routing = routing
        self._levels = levels
        self._metrics = counters

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Refuses the call if the admission level excludes it.

        Calls of one priority class may be admitted in part; the root id
        decides which, so that whole call trees are admitted or refused.
        """
        if not isinstance(self._policy, shedding.NoEarlyShed):
            self._routing.tell(
                messages.CallArrived(
                    service=call.service,
                    nested=bool(call.parent_id),
                    organisation=call.organisation,
                    priority=call.priority,
                )
            )
        level = self._levels.value.get(call.service)
        if (
            level is None
            or clock.monotonic() - level.observed_at > shedding.LEVEL_TTL
            or shedding.admits(
                self._policy,
                level,
                call.priority,
                call.organisation,
                call.root_id,
            )
        ):
            return model.Forward(call=call)
        self._metrics.count("shed_early", priority=call.priority.name)
        return model.Refuse(
            code=exceptions.SHED,
            detail=f"service {call.service} is overloaded",
            retry_after_s=RETRY_AFTER,
            retries_left=call.retries,
        )
