"""What a routed node reads from the routes in force, apart from the filters."""

from __future__ import annotations

from sassafrashall import configuration
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.decisions import route_table
from sassafrashall.transport import http1


class RouteLookup:
    """Finds the route of a request that no filter has matched."""

    def __init__(
        self, *, table: mailbox.Published[route_table.RouteTable | None]
    ) -> None:
        """Creates the lookup.

        Args:
          table: The routes of the fleet configuration; None before the first.
        """
        self._table = table

    def route_name(self, request: model.Request) -> str:
        """Returns the name of the route of a request that may be a peer's."""
        route = self._find_route(request.headers, request.path)
        return route.name if route else ""

    def may_overlap(self, head: http1.RequestHead) -> bool:
        """Returns whether a request may run beside others of its connection.

        Requests behind a long response would wait for it past their deadlines,
        and be lost if it breaks off.
        """
        route = self._find_route(head.headers, head.target.partition("?")[0])
        return route is None or not route.streams

    def limits(self) -> configuration.Limits:
        """Returns the limits in force for callers."""
        table = self._table.value
        return table.document.limits if table else configuration.Limits()

    def _find_route(
        self, headers: model.Headers, path: str
    ) -> configuration.Route | None:
        table = self._table.value
        host = model.find_header(headers, "host")
        if table is None or host is None:
            return None
        return table.find_route(host.partition(":")[0].lower(), path)
