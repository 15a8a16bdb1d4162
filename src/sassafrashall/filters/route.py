"""Finds the service of a request by the first segment of its path."""

from __future__ import annotations

import math

from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import model


class RouteFilter:
    """Refuses requests for a service that the node has never seen."""

    def __init__(self, *, view: mailbox.Published[model.NodeView]) -> None:
        self._view = view

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Sets the service, or refuses the request."""
        view = self._view.value
        if math.isinf(view.fresh_at):
            return model.Refuse(
                code=exceptions.NO_UPSTREAM,
                detail="the node has just started and knows no service yet",
                retry_after_s=1.0,
            )
        path = call.request.path
        service = path.split("/", 2)[1] if path.startswith("/") else ""
        if service not in view.services:
            return model.Refuse(
                code=exceptions.UNKNOWN_ROUTE,
                detail=f"no service {service!r} is known",
            )
        return model.Forward(call=frozen.replace(call, service=service))
