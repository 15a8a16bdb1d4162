"""Counts root requests within quota, and calls of the local upstream."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.decisions import route_table
from sassafrashall.decisions import tree_admission


class DemandFilter:
    """Reports the calls that pass it, and sets the class of their root.

    It refuses none.

    It stands behind the filters that refuse root requests. A request that
    passes stands for those of its route and class that the admission level kept
    out.
    """

    def __init__(
        self,
        *,
        monitor: mailbox.Mailbox,
        levels: mailbox.Published[tree_admission.RouteLevels],
        table: mailbox.Published[route_table.RouteTable | None],
        estimates_urgency: bool = False,
    ) -> None:
        """Creates the filter.

        Args:
          monitor: Mailbox of the demand monitor.
          levels: The admission levels in force.
          table: The route table. Without keys in its document, roots can't be
            told from nested calls, and nothing is reported.
          estimates_urgency: Whether to set the class of the root. That of a
            nested call is estimated from the runs in progress.
        """
        self._estimates_urgency = estimates_urgency
        self._monitor = monitor
        self._levels = levels
        self._table = table

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Passes the call on."""
        table = self._table.value
        if table is None or not table.document.keyed:
            return model.Forward(call=call)
        if call.depth:
            called = messages.UpstreamCalled(route=call.route)
            if self._estimates_urgency:
                urgency = await self._monitor.ask(called)
                return model.Forward(call=frozen.replace(call, urgency=urgency))
            self._monitor.tell(called)
        else:
            weight = 1.0
            level = tree_admission.level_of(
                self._levels.value, call.route, clock.monotonic()
            )
            if level is not None:
                weight /= tree_admission.admitted_fraction(
                    level.level, call.priority
                )
            self._monitor.tell(
                messages.RootArrived(
                    route=call.route, priority=call.priority, weight=weight
                )
            )
            if self._estimates_urgency:
                call = frozen.replace(call, urgency=call.priority)
        return model.Forward(call=call)
