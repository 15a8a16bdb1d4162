"""The calls running on the local upstream, and their nested calls."""

from __future__ import annotations

import dataclasses
from typing import Any

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import task


@dataclasses.dataclass(frozen=True, kw_only=True)
class _RunningCall:
    """A call on the local upstream.

    Attributes:
      ticket: The context that came with the call.
      deadline: Monotonic seconds.
      retries: Retry tokens that no nested call holds now.
      unanswered: Fingerprints of nested calls made and not yet successful.
    """

    ticket: model.Ticket
    deadline: float
    retries: int
    unanswered: frozenset[str] = frozenset()


class RunningCalls(task.Controller):
    """Owns the retry budgets of the calls that run here.

    A ticket is valid only while its call runs here. Tokens are moved, never
    copied: a nested call gets all that are left, and the unused ones return
    when it ends.
    """

    def __init__(self) -> None:
        super().__init__()
        self._running: dict[str, _RunningCall] = {}

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.BeginCall(ticket=ticket, deadline=deadline):
                self._running[ticket.call_id] = _RunningCall(
                    ticket=ticket, deadline=deadline, retries=ticket.retries
                )
                reply.put(None)
            case messages.EndCall(call_id=call_id):
                call = self._running.pop(call_id, None)
                reply.put(call.retries if call else 0)
            case messages.BeginNested():
                reply.put(self._begin_nested(message))
            case messages.EndNested():
                self._end_nested(message)

    def _begin_nested(
        self, message: messages.BeginNested
    ) -> messages.NestedBegun | model.Refuse:
        parent = self._running.get(message.parent_id)
        if parent is None:
            return model.Refuse(
                code=exceptions.INVALID_TICKET,
                detail="the call that this ticket belongs to does not run here",
            )
        retries = parent.retries
        if message.fingerprint in parent.unanswered:
            # The upstream repeats a nested call, which counts as a retry.
            if retries == 0:
                return model.Refuse(
                    code=exceptions.RETRIES_EXHAUSTED,
                    detail="the retry budget of the call tree is used up",
                )
            retries -= 1
        self._running[message.parent_id] = dataclasses.replace(
            parent,
            retries=0,
            unanswered=parent.unanswered | {message.fingerprint},
        )
        return messages.NestedBegun(
            ticket=parent.ticket, deadline=parent.deadline, retries=retries
        )

    def _end_nested(self, message: messages.EndNested) -> None:
        parent = self._running.get(message.parent_id)
        if parent is None:
            return
        unanswered = parent.unanswered
        if message.succeeded:
            unanswered = unanswered - {message.fingerprint}
        self._running[message.parent_id] = dataclasses.replace(
            parent,
            retries=parent.retries + message.retries,
            unanswered=unanswered,
        )
