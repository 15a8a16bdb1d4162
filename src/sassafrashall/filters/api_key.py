"""Authenticates a request of a routed fleet by its API key."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.decisions import route_table
from sassafrashall.filters import identity

RETRY_AFTER = 0.5  # seconds; a reachable control answers within this time


class ApiKeyFilter:
    """Sets the organisation of a request by its key, or refuses the request.

    Unknown keys are refused, and so are keys that may have been withdrawn.
    """

    def __init__(
        self,
        *,
        table: mailbox.Published[route_table.RouteTable | None],
        view: mailbox.Published[model.NodeView],
        lease: float | None,
    ) -> None:
        """Creates the filter.

        Args:
          table: The route table of the configuration in force.
          view: What the node knows of the fleet.
          lease: Seconds for which a key may be accepted after the controls
            last confirmed that the configuration is current; None for any
            time.
        """
        self._table = table
        self._view = view
        self._lease = lease

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Authenticates every request, also later ones on a connection."""
        table = self._table.value
        assert table is not None  # RouteMatchFilter found the route in it.
        if not table.document.keyed:
            return model.Forward(call=frozen.replace(call, metered=False))
        if not call.metered:
            # A call without a key on an open route comes from an upstream, so
            # it counts as a nested call.
            depth = 0 if call.request.key else 1
            return model.Forward(call=frozen.replace(call, depth=depth))
        if self._lease is not None:
            age = clock.monotonic() - self._view.value.fresh_at
            if age > self._lease:
                return model.Refuse(
                    code=exceptions.STALE_CONFIGURATION,
                    detail=(
                        "whether the key is still valid can't be confirmed: "
                        f"no proof of the configuration for {age:.1f} s"
                    ),
                    retry_after_s=RETRY_AFTER,
                )
        organisation = table.organisations_by_digest.get(
            identity.digest(call.request.key)
        )
        if organisation is None:
            return model.Refuse(
                code=exceptions.UNKNOWN_KEY,
                detail="the key is unknown or withdrawn",
            )
        return model.Forward(
            call=frozen.replace(
                call,
                organisation=organisation.name,
                priority=call.priority
                if organisation.priority is None
                else organisation.priority,
                metered=organisation.rate > 0,
            )
        )
