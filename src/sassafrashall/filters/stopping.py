"""Refuses calls that a stopping process may not be able to finish."""

from __future__ import annotations

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import model

NEVER_STOPS = float("inf")  # the end of a process that is not stopping
ALREADY_STOPPED = float("-inf")  # the end of one that passes on no more calls
# Seconds. The other nodes can run the request at once.
RETRY_AFTER = 0.1


class StoppingFilter:
    """Passes on only calls whose deadline is before the end of the process."""

    def __init__(self, *, process_end: mailbox.Published[float]) -> None:
        """Creates the filter.

        Args:
          process_end: Monotonic seconds at which the calls in progress end.
        """
        self._process_end = process_end

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Passes the call on, or refuses it."""
        if call.deadline <= self._process_end.value:
            return model.Forward(call=call)
        return model.Refuse(
            code=exceptions.STOPPING,
            detail="the node is stopping",
            retry_after_s=RETRY_AFTER,
        )
