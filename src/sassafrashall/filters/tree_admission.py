"""Refuses root requests whose call tree a service further down can't carry."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.decisions import tree_admission


class TreeAdmissionFilter:
    """Applies the admission levels of the routes to root requests."""

    def __init__(
        self,
        *,
        levels: mailbox.Published[tree_admission.RouteLevels],
        counters: metrics.Metrics,
    ) -> None:
        """Creates the filter.

        Args:
          levels: The admission levels in force.
          counters: The metrics of this process.
        """
        self._levels = levels
        self._metrics = counters

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Passes the call on, or refuses it; nested calls always pass."""
        if call.depth:
            return model.Forward(call=call)
        level = tree_admission.level_of(
            self._levels.value, call.route, clock.monotonic()
        )
        if level is None or tree_admission.admits(
            level, call.priority, call.root_id
        ):
            return model.Forward(call=call)
        self._metrics.count("shed_early", priority=call.priority.name)
        return model.Refuse(
            code=exceptions.SHED,
            detail=(
                f"service {level.service}, which the request leads to, "
                f"has room for {level.level:.2f} priority classes"
            ),
            retry_after_s=tree_admission.retry_after(
                level, call.priority, call.root_id
            ),
        )
