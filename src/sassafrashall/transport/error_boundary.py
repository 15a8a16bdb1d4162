"""Calls a request handler and turns its exceptions into refusals."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import model

Handler = Callable[[model.Request], Awaitable[model.Outcome]]


async def call_handler(
    handler: Handler, request: model.Request
) -> model.Outcome:
    """Returns the handler's outcome, or a refusal if it raises."""
    try:
        return await handler(request)
    except exceptions.MailboxClosedError:
        return model.Refuse(
            code=exceptions.STOPPING,
            detail="the node is stopping",
            run=model.RunState.UNKNOWN,
        )
    except Exception:
        # An exception must not end the requests of other callers.
        logs.get().exception("unhandled exception in the filter chain")
        return model.Refuse(
            code=exceptions.INTERNAL,
            detail="a fault inside the system; its log says more",
            run=model.RunState.UNKNOWN,
        )
