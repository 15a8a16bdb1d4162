"""Requests a slot of the local upstream for the filters that send to it."""

from __future__ import annotations

from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model

RETRY_AFTER = 1.0  # seconds; a full queue has advanced by then


async def admit(
    admission: mailbox.Mailbox, call: model.Call
) -> messages.Admitted | model.Refuse:
    """Waits for a slot.

    Returns:
      The upstream to use, or a refusal if the call was shed.
    """
    result = await admission.ask(
        messages.Admit(
            call_id=call.call_id,
            organisation=call.organisation,
            priority=call.priority,
            nested=call.depth > 0,
            root_id=call.root_id,
            deadline=call.deadline,
            may_wait=call.request.may_wait,
            urgency=call.urgency,
            due=call.due,
        )
    )
    match result:
        case messages.Admitted():
            return result
        case messages.Shed(code=code, detail=detail, level=level):
            return model.Refuse(
                code=code,
                detail=detail,
                level=level,
                retries_left=call.retries,
                retry_after_s=RETRY_AFTER,
            )
        case _:
            raise TypeError(f"unknown answer {result!r}")
