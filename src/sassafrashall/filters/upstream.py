"""The filters of a worker chain: check the ticket, get a slot, run the call."""

from __future__ import annotations

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.decisions import shedding
from sassafrashall.filters import slots


class TicketFilter:
    """Sets the context of a call that another node sent."""

    async def handle(self, call: model.Call) -> model.FilterResult:
        """Fills in the call from the verified ticket of the request."""
        ticket = call.request.ticket
        if ticket is None:
            return model.Refuse(
                code=exceptions.INVALID_TICKET,
                detail="a request from a peer needs a valid ticket",
            )
        return model.Forward(
            call=frozen.replace(
                call,
                root_id=ticket.root_id,
                call_id=ticket.call_id,
                service=ticket.service,
                organisation=ticket.organisation,
                priority=ticket.priority,
                idempotent=ticket.idempotent,
                retries=ticket.retries,
                depth=ticket.depth,
                urgency=ticket.urgency,
                due=call.request.received_at + ticket.due_ms / 1000
                if ticket.due_ms
                else 0.0,
            )
        )


class UpstreamFilter:
    """Runs calls on the local upstream; the last filter of the worker chain."""

    def __init__(
        self,
        *,
        node: str,
        admission: mailbox.Mailbox,
        admission_level: mailbox.Published[int],
        nested_admission_level: mailbox.Published[shedding.ObservedLevel],
        running: mailbox.Mailbox,
        connections: mailbox.Mailbox,
        event_log: events.EventLog,
    ) -> None:
        self._node = node
        self._admission = admission
        self._admission_level = admission_level
        self._nested_admission_level = nested_admission_level
        self._running = running
        self._connections = connections
        self._events = event_log

    async def handle(self, call: model.Call) -> model.Outcome:
        """Waits for a slot, then runs the call."""
        admitted = await slots.admit(self._admission, call)
        match admitted:
            case messages.Admitted(upstream=upstream):
                return await self._run_in_slot(call, upstream)
            case model.Refuse():
                return admitted

    async def _run_in_slot(
        self, call: model.Call, upstream: model.Upstream
    ) -> model.Outcome:
        started_at = clock.monotonic()
        latency, shed = -1.0, False
        try:
            if upstream.service != call.service:
                return model.Refuse(
                    code=exceptions.NO_UPSTREAM,
                    detail=f"{call.service} does not run here any more",
                    retries_left=call.retries,
                )
            outcome = await self._run_registered(call, upstream)
            shed = _is_shed(outcome)
            if isinstance(outcome, model.Answer) and not shed:
                latency = clock.monotonic() - started_at
        finally:
            self._admission.tell(
                messages.SlotReleased(latency=latency, shed=shed)
            )
        level = shedding.propagated_level(
            self._admission_level.value,
            self._nested_admission_level.value,
            clock.monotonic(),
        )
        return frozen.replace(outcome, level=level)

    async def _run_registered(
        self, call: model.Call, upstream: model.Upstream
    ) -> model.Outcome:
        """Runs the call, for which the upstream may make nested calls."""
        ticket = call.issue_ticket(
            node=self._node,
            call_id=call.call_id,
            retries=call.retries,
            now=clock.monotonic(),
        )
        await self._running.ask(
            messages.BeginCall(ticket=ticket, deadline=call.deadline)
        )
        if not call.idempotent:
            self._events.record("call.dispatched", call.root_id, call.call_id)
        retries_left = 0
        try:
            outcome = await self._connections.ask(
                messages.Exchange(
                    address=upstream.address,
                    request=call.request,
                    ticket=ticket,
                    deadline=call.deadline,
                    to_upstream=True,
                    confirm=not call.idempotent,
                )
            )
            retries_left = await self._running.ask(
                messages.EndCall(call_id=call.call_id)
            )
        finally:
            self._running.tell(messages.EndCall(call_id=call.call_id))
        return frozen.replace(outcome, retries_left=retries_left)


def _is_shed(outcome: model.Outcome) -> bool:
    match outcome:
        case model.Answer(response=response):
            return response.status in (429, 503)
        case _:
            return False
