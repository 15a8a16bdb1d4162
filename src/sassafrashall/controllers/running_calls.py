"""The calls that run on the local upstream, and the calls made below them."""

from __future__ import annotations

import dataclasses
from typing import Any

from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall import task


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Running:
    """A call on the local upstream.

    Attributes:
      retries: Tokens that nobody below has taken along.
      unanswered: Fingerprints of nested calls made and not answered well.
    """

    ticket: model.Ticket
    deadline: float
    retries: int
    unanswered: frozenset[str] = frozenset()


class RunningCalls(task.Controller):
    """Owns the retry budgets of the calls that run here.

    A ticket is good only while its call runs here. Tokens are moved, never
    copied: a nested call takes what is left and brings the rest back.
    """

    def __init__(self) -> None:
        super().__init__()
        self._running: dict[str, _Running] = {}

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.BeginCall(ticket=ticket, deadline=deadline):
                self._running[ticket.call_id] = _Running(
                    ticket=ticket, deadline=deadline, retries=ticket.retries
                )
                reply.put(None)
            case messages.EndCall(call_id=call_id):
                ended = self._running.pop(call_id, None)
                reply.put(ended.retries if ended else 0)
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
            # The upstream repeats a call itself; that is a retry like others.
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
