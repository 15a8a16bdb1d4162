"""Takes a token from the organisation's fleet-wide quota."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model


class QuotaFilter:
    """Refuses calls over the rate of their organisation.

    A nested call takes no token, since its root call has taken one.
    """

    def __init__(self, *, quota: mailbox.Mailbox) -> None:
        self._quota = quota

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Takes one token, unless the call is nested or not metered."""
        if call.parent_id or not call.metered:
            return model.Forward(call=call)
        answer = await self._quota.ask(
            messages.TakeToken(
                organisation=call.organisation, deadline=call.deadline
            )
        )
        match answer:
            case messages.TokenGranted():
                return model.Forward(call=call)
            case _ if clock.monotonic() >= call.deadline:
                return model.Refuse(
                    code=exceptions.DEADLINE_EXCEEDED,
                    detail="the deadline passed before there was a token",
                )
            case messages.TokenRefused(unreachable=True):
                return model.Refuse(
                    code=exceptions.NO_QUOTA_OWNER,
                    detail="no control that owns the quota can be reached",
                    retry_after_s=1.0,
                )
            case messages.TokenRefused(wait=wait):
                return model.Refuse(
                    code=exceptions.OVER_RATE,
                    detail=f"{call.organisation} is over its rate",
                    retry_after_s=max(wait, 0.001),
                )
            case _:
                raise TypeError(f"unknown answer {answer!r}")
