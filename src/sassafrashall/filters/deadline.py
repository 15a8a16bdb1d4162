"""Sets the deadline of a call and refuses a call that is past it."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import model


class DeadlineFilter:
    """Applies the earlier of the caller's deadline and the call's own one.

    A caller that sends no timeout gets the default timeout. A call has a
    deadline of its own if it is nested or if its route sets one.
    """

    def __init__(self, *, default_timeout_ms: int) -> None:
        self._default_timeout_ms = default_timeout_ms

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Sets the deadline, or refuses the call if it has passed."""
        request = call.request
        timeout_ms = request.timeout_ms
        if timeout_ms is None:
            timeout_ms = self._default_timeout_ms
        deadline = request.received_at + timeout_ms / 1000
        if call.deadline:
            deadline = min(deadline, call.deadline)
        if deadline <= clock.monotonic():
            return model.Refuse(
                code=exceptions.DEADLINE_EXCEEDED,
                detail="the deadline has passed",
            )
        return model.Forward(call=frozen.replace(call, deadline=deadline))
