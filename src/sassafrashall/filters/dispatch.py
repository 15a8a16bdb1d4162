"""Dispatches a call to an upstream's node and retries where allowed."""

from __future__ import annotations

import uuid

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.decisions import retries
from sassafrashall.filters import chain


class DispatchFilter:
    """Dispatches calls to upstreams; the last filter of the entry chain."""

    def __init__(
        self,
        *,
        node: str,
        routing: mailbox.Mailbox,
        connections: mailbox.Mailbox,
        local: chain.Chain,
        event_log: events.EventLog,
    ) -> None:
        self._node = node
        self._routing = routing
        self._connections = connections
        self._local = local
        self._events = event_log

    async def handle(self, call: model.Call) -> model.Outcome:
        """Makes attempts until one succeeds or no retry is allowed."""
        self._routing.tell(messages.FirstAttempt())
        attempts = 0
        avoid: frozenset[str] = frozenset()
        may_have_run = False
        while True:
            attempts += 1
            choice = await self._routing.ask(
                messages.ChooseUpstream(service=call.service, avoid=avoid)
            )
            if choice is None:
                return reconcile_run_state(
                    no_upstream_refusal(call), may_have_run
                )
            outcome, kept_tokens = await self._attempt(call, choice)
            avoid |= {choice.vm}
            # Retry tokens sent along with an attempt come back with its
            # outcome, or are lost if the attempt gets no answer.
            call = frozen.replace(
                call, retries=kept_tokens + outcome.retries_left
            )
            refusal = retries.retryable_failure(outcome)
            if refusal is not None:
                may_have_run |= refusal.run is not model.RunState.NOT_RUN
                outcome = reconcile_run_state(outcome, may_have_run)
            if refusal is None or not await self._routing.ask(
                messages.MayRetry(call=call, refusal=refusal, attempts=attempts)
            ):
                return frozen.replace(outcome, retries_left=call.retries)
            call = frozen.replace(call, retries=max(0, call.retries - 1))
            self._events.record("call.retried", call.root_id, refusal.code)

    async def _attempt(
        self, call: model.Call, choice: messages.UpstreamChoice
    ) -> tuple[model.Outcome, int]:
        """Makes one attempt.

        Returns:
          The outcome, and the retry tokens that were not sent along.
        """
        sent_tokens = retries.retries_for_attempt(
            call.retries, is_root=not call.parent_id
        )
        attempt_result = messages.AttemptResult.INCONCLUSIVE
        level = -1
        try:
            outcome = await self._send(call, choice, sent_tokens)
            attempt_result = attempt_result_of(outcome)
            level = outcome.level
        finally:
            self._routing.tell(
                messages.AttemptEnded(
                    vm=choice.vm,
                    service=call.service,
                    result=attempt_result,
                    level=level,
                )
            )
        return outcome, call.retries - sent_tokens

    async def _send(
        self,
        call: model.Call,
        choice: messages.UpstreamChoice,
        sent_tokens: int,
    ) -> model.Outcome:
        ticket = call.issue_ticket(
            node=choice.vm,
            call_id=uuid.uuid4().hex[:16],
            retries=sent_tokens,
            now=clock.monotonic(),
        )
        if choice.vm == self._node:
            request = frozen.replace(
                call.request,
                source=model.Source.PEER,
                received_at=clock.monotonic(),
                timeout_ms=ticket.remaining_ms,
                ticket=ticket,
            )
            return await self._local.run(
                model.Call(request=request, root_id=call.root_id)
            )
        return await self._connections.ask(
            messages.Exchange(
                address=choice.address,
                request=call.request,
                ticket=ticket,
                deadline=call.deadline,
                to_upstream=False,
                confirm=not call.idempotent,
            )
        )


def reconcile_run_state(
    outcome: model.Outcome, may_have_run: bool
) -> model.Outcome:
    """Returns the outcome of a call with the run state of all its attempts.

    A refusal gets the run state `UNKNOWN` if any attempt may have run the
    request, even if the last attempt did not.
    """
    if may_have_run and isinstance(outcome, model.Refuse):
        return frozen.replace(outcome, run=model.RunState.UNKNOWN)
    return outcome


def no_upstream_refusal(call: model.Call) -> model.Refuse:
    """Returns the refusal of a call whose service has no usable upstream."""
    return model.Refuse(
        code=exceptions.NO_UPSTREAM,
        detail=f"no upstream of {call.service} can be reached now",
        retry_after_s=1.0,
        retries_left=call.retries,
    )


def attempt_result_of(outcome: model.Outcome) -> messages.AttemptResult:
    """Returns what the outcome says about the health of the upstream."""
    match outcome:
        case model.Answer(response=model.Response(status=502 | 503 | 504)):
            return messages.AttemptResult.ERROR
        case model.Refuse(code=exceptions.UPSTREAM_REFUSED):
            return messages.AttemptResult.ERROR
        case model.Answer():
            return messages.AttemptResult.ANSWERED
        case model.Refuse(
            code=exceptions.UPSTREAM_FAILED
            | exceptions.UPSTREAM_SILENT
            | exceptions.NO_UPSTREAM
            | exceptions.PEER_UNREACHABLE
            | exceptions.STOPPING
        ):
            return messages.AttemptResult.CONNECTION_FAILED
        case _:
            return messages.AttemptResult.INCONCLUSIVE
