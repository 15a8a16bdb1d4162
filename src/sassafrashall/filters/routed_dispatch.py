"""Dispatches a call of a routed fleet and retries where allowed."""

from __future__ import annotations

import itertools
import uuid

from sassafrashall import clock
from sassafrashall import events
from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.decisions import retries
from sassafrashall.decisions import return_times
from sassafrashall.decisions import routing
from sassafrashall.filters import chain
from sassafrashall.filters import dispatch
from sassafrashall.transport import memory_budget
from sassafrashall.transport import resendable_body

# Refusals that say that a service has less capacity than it is asked for.
_CAPACITY_CODES = (
    exceptions.SHED,
    exceptions.NO_UPSTREAM,
    exceptions.DEADLINE_EXCEEDED,
    exceptions.RETRIES_EXHAUSTED,
    exceptions.UPSTREAM_REFUSED,
)
# Bytes assumed for the part of a response that is streamed. It is at least that
# of a response that is too long to be held, and makes such calls stay near.
STREAMED_SIZE = 1024 * 1024


class RoutedDispatchFilter:
    """Dispatches calls to upstreams; the last filter of the entry chain."""

    def __init__(
        self,
        *,
        node: str,
        routing: mailbox.Mailbox,
        links: mailbox.Mailbox,
        local: chain.Chain,
        event_log: events.EventLog,
        demand_monitor: mailbox.Mailbox,
        spreads_returns: bool = False,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        """Creates the filter.

        Args:
          node: VM of this node.
          routing: Mailbox of the task that chooses upstreams.
          links: Mailbox of the task that sends calls to other nodes.
          local: The chain that runs calls on the local upstream.
          event_log: Records retries.
          demand_monitor: Mailbox of the task that counts rejected calls.
          spreads_returns: Whether each refused request gets its own time to
            return, by the load of the service.
          budget: Bounds the memory of bodies that are kept for another attempt;
            None for one of its own.
        """
        self._retained_bodies = (budget or memory_budget.MemoryBudget()).open(
            memory_budget.keep
        )
        self._spreads_returns = spreads_returns
        self._demand_monitor = demand_monitor
        self._node = node
        self._routing = routing
        self._links = links
        self._local = local
        self._events = event_log
        # A prefix and a counter make call ids cheaper than a random number
        # for each call.
        self._call_id_prefix = uuid.uuid4().hex[:8]
        self._call_numbers = itertools.count()

    async def handle(self, call: model.Call) -> model.Outcome:
        """Makes attempts until one succeeds or no retry is allowed."""
        outcome = await self._dispatch(call)
        match outcome:
            case model.Refuse(run=model.RunState.NOT_RUN, code=code) if (
                call.depth and code in _CAPACITY_CODES
            ):
                self._demand_monitor.tell(
                    messages.CallRejected(service=call.service)
                )
            case model.Refuse(
                run=model.RunState.NOT_RUN, code=code, load=load
            ) if self._spreads_returns and code in _CAPACITY_CODES:
                fraction = return_times.fraction_served(
                    load, routing.LOAD_SCALE
                )
                return frozen.replace(
                    outcome,
                    retry_after_s=return_times.retry_after(
                        fraction, call.root_id
                    ),
                )
        return outcome

    async def _dispatch(self, call: model.Call) -> model.Outcome:
        self._routing.tell(messages.FirstAttempt(service=call.service))
        if call.request.rest is None:
            return await self._make_attempts(call, None)
        body = resendable_body.ResendableBody(
            source=call.request.rest, account=self._retained_bodies
        )
        try:
            return await self._make_attempts(call, body)
        finally:
            body.close()

    async def _make_attempts(
        self, call: model.Call, body: resendable_body.ResendableBody | None
    ) -> model.Outcome:
        """Makes attempts.

        Args:
          call: The call.
          body: The part of its body that is not in the request.
        """
        attempts = 0
        avoid: frozenset[str] = frozenset()
        may_have_run = False
        if body is not None:
            call = _with_rest(call, body.start_attempt())
        while True:
            attempts += 1
            choice = await self._routing.ask(
                messages.ChooseUpstream(
                    service=call.service,
                    avoid=avoid,
                    route=call.route,
                    size=len(call.request.body),
                )
            )
            if choice is None:
                return dispatch.reconcile_run_state(
                    dispatch.no_upstream_refusal(call), may_have_run
                )
            outcome = await self._attempt(call, choice)
            if isinstance(outcome, model.Answer):
                # An upstream's answer is final, whatever its status. If the
                # upstream did not run the request, its node has turned the
                # answer into a refusal.
                return outcome
            avoid |= {choice.vm}
            may_have_run |= outcome.run is not model.RunState.NOT_RUN
            if body is not None:
                if not body.is_whole:
                    return dispatch.reconcile_run_state(outcome, may_have_run)
                # Started now: the upload that is being cancelled may receive a
                # part that is too much to be kept for an attempt after this.
                call = _with_rest(call, body.start_attempt())
            if not await self._routing.ask(
                messages.MayRetry(call=call, refusal=outcome, attempts=attempts)
            ):
                return dispatch.reconcile_run_state(outcome, may_have_run)
            if not retries.refused_before_upstream(outcome):
                call = frozen.replace(call, retries=call.retries - 1)
            self._events.record("call.retried", call.root_id, outcome.code)

    async def _attempt(
        self, call: model.Call, choice: messages.UpstreamChoice
    ) -> model.Outcome:
        attempt_result = messages.AttemptResult.INCONCLUSIVE
        level = load = -1
        latency = run_time = round_trip = -1.0
        size = 0
        failed = None
        started_at = clock.monotonic()
        try:
            outcome = await self._send(call, choice)
            elapsed = clock.monotonic() - started_at
            if isinstance(outcome, model.Answer):
                latency = elapsed
                size = len(outcome.response.body)
                if outcome.response.rest is not None:
                    size += STREAMED_SIZE
            elif outcome.code == exceptions.SHED and not choice.may_wait:
                round_trip = elapsed
            failed = _is_failure(outcome)
            if _shows_run_time(outcome):
                run_time = elapsed
            attempt_result = dispatch.attempt_result_of(outcome)
            level, load = outcome.level, outcome.load
        finally:
            self._routing.tell(
                messages.AttemptEnded(
                    vm=choice.vm,
                    service=call.service,
                    result=attempt_result,
                    level=level,
                    load=load,
                    latency=latency,
                    route=call.route,
                    run_time=run_time,
                    failed=failed,
                    round_trip=round_trip,
                    size=size,
                )
            )
        return outcome

    async def _send(
        self, call: model.Call, choice: messages.UpstreamChoice
    ) -> model.Outcome:
        ticket = call.issue_ticket(
            node=choice.vm,
            call_id=f"{self._call_id_prefix}{next(self._call_numbers):x}",
            retries=0,
            now=clock.monotonic(),
        )
        if choice.vm == self._node:
            request = frozen.replace(
                call.request,
                may_wait=choice.may_wait,
                source=model.Source.PEER,
                received_at=clock.monotonic(),
                timeout_ms=ticket.remaining_ms,
                ticket=ticket,
            )
            # The admission queue and the connection pool end the call at its
            # deadline.
            return await self._local.run(
                model.Call(request=request, root_id=call.root_id)
            )
        return await self._links.ask(
            messages.Exchange(
                address=choice.address,
                request=call.request
                if choice.may_wait
                else frozen.replace(call.request, may_wait=False),
                ticket=ticket,
                deadline=call.deadline,
                to_upstream=False,
                confirm=not call.idempotent or call.request.rest is not None,
            )
        )


def _is_failure(outcome: model.Outcome) -> bool | None:
    """Returns whether an upstream failed the call; None if it is not known.

    A refusal by the upstream costs a retry, and one before the request was
    sent to it doesn't tell.
    """
    match outcome:
        case model.Answer(response=response):
            return response.status >= 500
        case model.Refuse(code=exceptions.UPSTREAM_REFUSED):
            return True
        case model.Refuse(run=model.RunState.NOT_RUN):
            return None
        case model.Refuse(
            code=exceptions.UPSTREAM_FAILED
            | exceptions.UPSTREAM_SILENT
            | exceptions.DEADLINE_EXCEEDED
        ):
            return True
        case _:
            return None


def _shows_run_time(outcome: model.Outcome) -> bool:
    """Returns whether the time until the outcome is that of a run.

    An upstream that fails requests at once must not seem to be fast, and one
    that doesn't answer before the deadline took that long at least. A load of
    1 or more means that the call may have waited for a slot.
    """
    match outcome:
        case model.Answer(response=response):
            return response.status < 400 and outcome.load < routing.LOAD_SCALE
        case model.Refuse():
            return (
                outcome.code == exceptions.DEADLINE_EXCEEDED
                and outcome.run is not model.RunState.NOT_RUN
            )


def _with_rest(call: model.Call, rest: model.BodyReader) -> model.Call:
    """Returns the call with another reader of the rest of its body."""
    return frozen.replace(call, request=frozen.replace(call.request, rest=rest))
