"""Asks for a slot of the local upstream, for every chain that ends there."""

from __future__ import annotations

from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model

RETRY_AFTER = 1.0  # seconds; a queue that is full now has moved on by then


async def admit(
    admission: mailbox.Mailbox, call: model.Call
) -> messages.Admitted | model.Refuse:
    """Waits for a slot and returns it, or the refusal of the call."""
    admitted = await admission.ask(
        messages.Admit(
            call_id=call.call_id,
            organisation=call.organisation,
            priority=call.priority,
            nested=call.depth > 0,
            root_id=call.root_id,
            deadline=call.deadline,
        )
    )
    match admitted:
        case messages.Admitted():
            return admitted
        case messages.Shed(code=code, detail=detail, level=level):
            return model.Refuse(
                code=code,
                detail=detail,
                level=level,
                retries_left=call.retries,
                retry_after_s=RETRY_AFTER,
            )
        case _:
            raise TypeError(f"unknown answer {admitted!r}")
