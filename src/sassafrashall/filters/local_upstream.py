"""Runs calls on the upstream beside a node of a routed fleet."""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import Protocol

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.decisions import entry_feedback
from sassafrashall.decisions import routing
from sassafrashall.filters import slots
from sassafrashall.filters import upstream_slot
from sassafrashall.transport import http

# A non-idempotent request is not sent on a connection that has been idle for
# longer, since the upstream may be about to close it.
NON_IDEMPOTENT_MAX_IDLE = 1.0  # seconds
_NO_FEEDBACK = entry_feedback.NoFeedback()


class Dialect(Protocol):
    """Encodes requests for an upstream and interprets its responses."""

    def encode(
        self, call: model.Call, upstream: model.Upstream, now: float
    ) -> http.RawRequest:
        """Returns the request to send to the upstream.

        Args:
          call: The call that the upstream is to run.
          upstream: Where the request goes.
          now: Monotonic seconds.
        """
        ...

    def response_matcher(self, request: model.Request) -> model.ResponseMatcher:
        """Returns what tells the response to `request` from others."""
        ...

    def decode(self, response: model.Response) -> model.Outcome:
        """Returns the outcome that a response of the upstream stands for."""
        ...

    def cold_remaining(self, response: model.Response) -> float | None:
        """Returns the seconds for which a response says that it stays cold."""
        ...


class LocalUpstreamFilter:
    """Runs calls on the local upstream; the last filter of the worker chain.

    Cancelling a call closes its connection, which cancels the request at the
    upstream. The connection pool does the same at the deadline.
    """

    def __init__(
        self,
        *,
        admission: mailbox.Mailbox,
        admission_level: mailbox.Published[int],
        upstream_load: mailbox.Published[int],
        pool: mailbox.Mailbox,
        dialect: Dialect,
        counters: metrics.Metrics,
        demand_monitor: mailbox.Mailbox,
        upstream_may_call: Callable[[], bool],
        route_name: Callable[[model.Request], str],
        check_before_send: Callable[[], str] = lambda: "",
        feedback_policy: entry_feedback.Policy = _NO_FEEDBACK,
    ) -> None:
        """Creates the filter.

        Args:
          admission: Mailbox of the task that owns the upstream's slots.
          admission_level: Reported with each outcome.
          upstream_load: Reported with each outcome.
          pool: Mailbox of the connection pool.
          dialect: Encodes for the upstream.
          counters: The metrics of this process.
          demand_monitor: Mailbox of the task that counts runs.
          upstream_may_call: Returns whether the upstream may make calls of its
            own, one of which may be why it answers with an error.
          route_name: Returns the name of a request's route, or an empty text.
          check_before_send: Returns why the upstream gets no request any more;
            empty if it does.
          feedback_policy: Whether roots are refused while others fail below.
        """
        self._check_before_send = check_before_send
        self._metrics = counters
        self._feedback_policy = feedback_policy
        self._feedback: dict[str, entry_feedback.RouteState] = {}
        self._demand_monitor = demand_monitor
        self._upstream_may_call = upstream_may_call
        self._route_name = route_name
        self._upstream_seconds = counters.bound_histogram("upstream_seconds")
        self._admission = admission
        self._admission_level = admission_level
        self._upstream_load = upstream_load
        self._pool = pool
        self._dialect = dialect

    async def handle(self, call: model.Call) -> model.Outcome:
        """Waits for a slot, then runs the call."""
        if not self._may_enter(call):
            self._metrics.count("shed_by_feedback", priority=call.priority.name)
            return model.Refuse(
                code=exceptions.SHED,
                detail="requests of this route fail at a service further down",
                retry_after_s=slots.RETRY_AFTER,
                load=self._upstream_load.value,
            )
        admitted = await slots.admit(self._admission, call)
        match admitted:
            case messages.Admitted():
                outcome = await self._run_in_slot(call, admitted)
                self._record_outcome(call, outcome)
                return outcome
            case model.Refuse():
                return frozen.replace(admitted, load=self._upstream_load.value)

    def _may_enter(self, call: model.Call) -> bool:
        if call.depth or not self._feedback:
            return True
        state = self._feedback.get(self._route_name(call.request))
        return state is None or entry_feedback.admits(
            state, call.root_id, clock.monotonic()
        )

    def _record_outcome(self, call: model.Call, outcome: model.Outcome) -> None:
        """Records how a root ended, if its calls can be why it failed."""
        if (
            call.depth
            or not self._upstream_may_call()
            or isinstance(self._feedback_policy, entry_feedback.NoFeedback)
        ):
            return
        match outcome:
            case model.Answer(response=response):
                failed = response.status in upstream_slot.ERROR_STATUSES
            case model.Refuse(
                code=exceptions.DEADLINE_EXCEEDED, run=model.RunState.UNKNOWN
            ):
                failed = True
            case _:
                return
        route = self._route_name(call.request)
        if not route:
            return
        self._feedback[route] = entry_feedback.on_outcome(
            self._feedback.get(route, entry_feedback.RouteState()),
            failed=failed,
            now=clock.monotonic(),
        )

    async def _run_in_slot(
        self, call: model.Call, admitted: messages.Admitted
    ) -> model.Outcome:
        upstream = admitted.upstream
        slot = upstream_slot.Slot(
            admission=self._admission,
            demand_monitor=self._demand_monitor,
            route=self._route_name(call.request),
            service=call.service,
            counted=admitted.counted,
            cold=admitted.cold,
            streams=call.request.rest is not None,
            urgency=call.priority if call.urgency is None else call.urgency,
            nested=call.depth > 0,
        )
        try:
            outcome = await self._find_refusal(call, upstream)
            if outcome is None:
                outcome = await self._send_before_deadline(call, upstream, slot)
        finally:
            if not slot.held_by_answer:
                slot.release()
        return frozen.replace(
            outcome,
            level=self._admission_level.value,
            load=max(outcome.load, self._upstream_load.value),
        )

    async def _find_refusal(
        self, call: model.Call, upstream: model.Upstream
    ) -> model.Outcome | None:
        """Returns why a call with a slot is not sent; None if it is.

        Each of these refusals gets a load. Without one, the calling node would
        take it for a failure of the way there.
        """
        if upstream.service != call.service:
            return _blocked_refusal(
                f"{call.service} does not run here any more"
            )
        confirm = call.request.confirm
        if confirm is not None and not await confirm():
            return model.Refuse(
                code=exceptions.PEER_UNREACHABLE,
                detail="the calling node did not confirm the request",
                retry_after_s=slots.RETRY_AFTER,
            )
        block = self._check_before_send()
        return _blocked_refusal(block) if block else None

    async def _send_before_deadline(
        self,
        call: model.Call,
        upstream: model.Upstream,
        slot: upstream_slot.Slot,
    ) -> model.Outcome:
        if call.deadline <= clock.monotonic():
            return model.Refuse(
                code=exceptions.DEADLINE_EXCEEDED,
                detail="no time is left to run it",
            )
        try:
            return await self._send_to_upstream(call, upstream, slot)
        except exceptions.SendRefusedError as error:
            return _blocked_refusal(
                str(error),
                run=model.RunState.UNKNOWN
                if error.maybe_delivered
                else model.RunState.NOT_RUN,
            )
        except exceptions.ConnectionFailedError as error:
            if error.by_caller:
                # The upstream did not fail, so that its breaker gets no result.
                pass
            elif error.maybe_delivered:
                slot.record_failure(timed_out=error.expired)
            elif isinstance(error.__cause__, OSError):
                slot.record_refused_connection()
            return _refusal_for_error(error)

    async def _send_to_upstream(
        self,
        call: model.Call,
        upstream: model.Upstream,
        slot: upstream_slot.Slot,
    ) -> model.Outcome:
        encode = functools.partial(self._dialect.encode, call, upstream)
        # A request that was lost on an idle connection may have arrived, so
        # none is sent twice to a cold upstream.
        may_reuse = call.idempotent and not slot.cold
        response = await self._pool.ask(
            messages.UpstreamExchange(
                address=upstream.address,
                encode=functools.partial(self._encode, slot, encode),
                is_answer=self._dialect.response_matcher(call.request),
                max_idle=messages.NO_IDLE_LIMIT
                if may_reuse
                else NON_IDEMPOTENT_MAX_IDLE,
                deadline=call.deadline,
                on_streamed=slot.release_streamed,
            )
        )
        if slot.counted:
            remaining = self._dialect.cold_remaining(response)
            if remaining is not None:
                slot.tell(messages.ColdTold(remaining_s=remaining))
        outcome = self._dialect.decode(response)
        match outcome:
            case model.Answer(response=model.Response(rest=rest) as answer) if (
                rest is not None
            ):
                slot.hold_for_answer(response.status)
                body = upstream_slot.StreamedAnswer(
                    rest=rest, deadline=call.deadline
                )
                return frozen.replace(
                    outcome, response=frozen.replace(answer, rest=body)
                )
        self._upstream_seconds.observe(slot.record_status(response.status))
        if (
            response.status in upstream_slot.ERROR_STATUSES
            and not self._upstream_may_call()
        ):
            slot.record_failure(timed_out=response.status == 504)
        if response.rest is not None:
            # Nobody reads the rest of a refusal's body.
            await response.rest.close()
        return outcome

    def _encode(
        self,
        slot: upstream_slot.Slot,
        encode: Callable[[float], http.RawRequest],
        now: float,
    ) -> http.RawRequest:
        """Encodes a request, which the pool sends next.

        It may have waited for a connection since the last check, or the process
        may have stood still.

        Raises:
          SendRefusedError: The upstream gets no request any more.
        """
        block = self._check_before_send()
        if block:
            raise exceptions.SendRefusedError(
                block, maybe_delivered=slot.is_sending
            )
        return slot.encode_and_record(encode, now)


def _blocked_refusal(
    detail: str, *, run: model.RunState = model.RunState.NOT_RUN
) -> model.Refuse:
    """Returns the refusal of an upstream that gets no requests."""
    return model.Refuse(
        code=exceptions.NO_UPSTREAM,
        detail=detail,
        run=run,
        retry_after_s=slots.RETRY_AFTER,
        load=routing.BLOCKED_LOAD,
    )


def _refusal_for_error(error: exceptions.ConnectionFailedError) -> model.Refuse:
    code = exceptions.UPSTREAM_FAILED
    if error.by_caller:
        code = exceptions.BAD_REQUEST
    elif error.expired:
        code = exceptions.DEADLINE_EXCEEDED
    elif error.unresponsive:
        code = exceptions.UPSTREAM_SILENT
    return model.Refuse(
        code=code,
        detail=str(error) if error.by_caller else f"the upstream: {error}",
        run=model.RunState.UNKNOWN
        if error.maybe_delivered
        else model.RunState.NOT_RUN,
    )
