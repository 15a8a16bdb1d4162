"""Matches a request to a route of the fleet configuration."""

from __future__ import annotations

import random

from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.decisions import route_table

RETRY_AFTER = 0.5  # seconds; a node gets its configuration within this time


class RouteMatchFilter:
    """Sets the service, deadline, attempts and priority from the route."""

    def __init__(
        self, *, table: mailbox.Published[route_table.RouteTable | None]
    ) -> None:
        self._table = table
        self._random = random.Random()
        # By route; see `route_table.choose_target`. They outlive changes, so
        # that a storm of these does not begin each route anew.
        self._positions: dict[str, float] = {}

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Applies the route whose prefix of the path is the longest."""
        table = self._table.value
        if table is None:
            return model.Refuse(
                code=exceptions.NO_CONFIGURATION,
                detail="the node has just started and knows no route yet",
                retry_after_s=RETRY_AFTER,
            )
        request = call.request
        route = table.find_route(request.host, request.path)
        if route is None:
            return model.Refuse(
                code=exceptions.UNKNOWN_ROUTE,
                detail="no route covers this host and path",
            )
        service = route.targets[0].service
        if len(route.targets) > 1:
            position = self._positions.get(route.name)
            if position is None:
                position = self._random.random()
            service, self._positions[route.name] = route_table.choose_target(
                route.targets, position
            )
        return model.Forward(
            call=frozen.replace(
                call,
                service=service,
                idempotent=route.idempotent,
                priority=route.priority,
                attempts=route.attempts,
                retries=route.attempts - 1,
                deadline=request.received_at + route.timeout_s,
                metered=not route.open,
                route=route.name,
                due=request.received_at + route.target_latency_s
                if route.target_latency_s
                else 0.0,
            )
        )
