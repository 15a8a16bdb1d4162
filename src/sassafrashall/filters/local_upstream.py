"""Runs calls on the upstream beside a node of a routed fleet."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import functools
from typing import Protocol

import trio

from sassafrashall import clock
from sassafrashall import exceptions
from sassafrashall import frozen
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall.decisions import entry_feedback
from sassafrashall.filters import slots
from sassafrashall.transport import http

# A non-idempotent request is not sent on a connection that has been idle for
# longer, since the upstream may be about to close it.
NON_IDEMPOTENT_MAX_IDLE = 1.0  # seconds
_NO_FEEDBACK = entry_feedback.NoFeedback()
# Statuses by which an upstream says that it, or a call that it made, failed.
_ERROR_STATUSES = (500, 504)
_SHED_STATUSES = (429, 503)  # by which an upstream refuses for lack of capacity


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
                failed = response.status in _ERROR_STATUSES
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
        slot = _Slot(
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
            if upstream.service != call.service:
                return model.Refuse(
                    code=exceptions.NO_UPSTREAM,
                    detail=f"{call.service} does not run here any more",
                )
            confirm = call.request.confirm
            if confirm is not None and not await confirm():
                return model.Refuse(
                    code=exceptions.PEER_UNREACHABLE,
                    detail="the calling node did not confirm the request",
                )
            block = self._check_before_send()
            if block:
                return model.Refuse(code=exceptions.NO_UPSTREAM, detail=block)
            outcome = await self._send_before_deadline(call, upstream, slot)
        finally:
            if not slot.held_by_answer:
                slot.release()
        return frozen.replace(
            outcome,
            level=self._admission_level.value,
            load=self._upstream_load.value,
        )

    async def _send_before_deadline(
        self, call: model.Call, upstream: model.Upstream, slot: _Slot
    ) -> model.Outcome:
        if call.deadline <= clock.monotonic():
            return model.Refuse(
                code=exceptions.DEADLINE_EXCEEDED,
                detail="no time is left to run it",
            )
        try:
            return await self._send_to_upstream(call, upstream, slot)
        except exceptions.ConnectionFailedError as error:
            if error.maybe_delivered:
                slot.record_failure(timed_out=error.expired)
            elif isinstance(error.__cause__, OSError):
                slot.record_refused_connection()
            return _refusal_for_error(error)

    async def _send_to_upstream(
        self, call: model.Call, upstream: model.Upstream, slot: _Slot
    ) -> model.Outcome:
        encode = functools.partial(self._dialect.encode, call, upstream)
        # A request that was lost on an idle connection may have arrived, so
        # none is sent twice to a cold upstream.
        may_reuse = call.idempotent and not slot.cold
        response = await self._pool.ask(
            messages.UpstreamExchange(
                address=upstream.address,
                encode=functools.partial(slot.encode_and_record, encode)
                if slot.counted
                else encode,
                is_answer=self._dialect.response_matcher(call.request),
                max_idle=messages.NO_IDLE_LIMIT
                if may_reuse
                else NON_IDEMPOTENT_MAX_IDLE,
                may_resend=may_reuse and call.request.rest is None,
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
                body = _StreamedAnswer(rest=rest, deadline=call.deadline)
                return frozen.replace(
                    outcome, response=frozen.replace(answer, rest=body)
                )
        self._upstream_seconds.observe(slot.record_status(response.status))
        if response.status in _ERROR_STATUSES and not self._upstream_may_call():
            slot.record_failure(timed_out=response.status == 504)
        if response.rest is not None:
            # Nobody reads the rest of a refusal's body.
            await response.rest.close()
        return outcome


class _Slot:
    """A slot of the upstream; only the first release has an effect."""

    def __init__(
        self,
        *,
        admission: mailbox.Mailbox,
        demand_monitor: mailbox.Mailbox,
        route: str,
        service: str,
        counted: bool,
        cold: bool,
        streams: bool,
        urgency: model.Priority,
        nested: bool,
    ) -> None:
        """Takes over a slot.

        Args:
          admission: Mailbox of the task that owns the upstream's slots.
          demand_monitor: Mailbox of the task that counts runs.
          route: Name of the request's route.
          service: Service of the upstream.
          counted: Whether sends have to be told to `admission`.
          cold: Whether the upstream was cold when the slot was granted.
          streams: Whether the request has a body that is sent in parts.
          urgency: Class of the root of the call tree.
          nested: Whether an upstream made the call.
        """
        self.counted = counted
        self.cold = cold
        self._streams = streams
        self._sent_count = 0
        self._sending = False
        self._refused = False
        self._admission = admission
        self._demand_monitor = demand_monitor
        self._route = route
        self._service = service
        self._started_at = clock.monotonic()
        self._urgency = urgency
        self._nested = nested
        demand_monitor.tell(
            messages.RunStarted(route=route, service=service, urgency=urgency)
        )
        self._latency = -1.0
        self._shed = False
        self._completed = False
        self._failed = False
        self._timed_out = False
        self._released = False
        # Status of the streamed answer; 0 while there is none.
        self._streamed_status = 0
        # Whether the slot is in use until the upstream has streamed its answer.
        self.held_by_answer = False

    def encode_and_record(
        self, encode: Callable[[float], http.RawRequest], now: float
    ) -> http.RawRequest:
        """Encodes the request, which is sent now."""
        self._sending = True
        if not self._streams:
            self._tell_sent(now)
        return encode(now)

    def _tell_sent(self, now: float) -> None:
        message = messages.RequestSent(
            sent_at=now, is_repeated=self._sent_count > 0
        )
        self._sent_count += 1
        self.tell(message)

    def tell(self, message: messages.RequestSent | messages.ColdTold) -> None:
        """Tells the controller that owns the slots, unless it has ended."""
        with contextlib.suppress(exceptions.MailboxClosedError):
            self._admission.tell(message)

    def record_refused_connection(self) -> None:
        """Records that the upstream's address accepted no connection."""
        self._refused = True

    def record_status(self, status: int) -> float:
        """Records the status of the answer and returns its latency.

        The latency is in seconds; that of a request that the upstream shed
        is not reported on release.
        """
        latency = clock.monotonic() - self._started_at
        self._shed = status in _SHED_STATUSES
        if not self._shed:
            self._latency = latency
            self._completed = True
        return latency

    def hold_for_answer(self, status: int) -> None:
        """Keeps the slot until the upstream has streamed its answer."""
        self.held_by_answer = True
        self._streamed_status = status

    def release_streamed(self, complete: bool) -> None:
        """Frees the slot at the end of a streamed answer.

        Its time depends on the caller as well, so that it is no latency.
        """
        self._completed = complete and self._streamed_status not in (
            *_ERROR_STATUSES,
            *_SHED_STATUSES,
        )
        self.release()

    def record_failure(self, *, timed_out: bool) -> None:
        """Records that the upstream failed the request by itself."""
        self._failed = True
        self._timed_out = timed_out

    def release(self) -> None:
        """Frees the slot and reports how the upstream answered."""
        if not self._released:
            self._released = True
            if self._sending and not self._sent_count:
                # A body that is sent in parts may have arrived until now.
                self._tell_sent(clock.monotonic())
            run_time = clock.monotonic() - self._started_at
            message = messages.SlotReleased(
                latency=self._latency,
                shed=self._shed,
                failed=self._failed,
                timed_out=self._timed_out,
                run_time=run_time,
                unsent=self.counted and not self._sending,
                refused=self._refused,
            )
            try:
                self._admission.tell(message)
                self._demand_monitor.tell(
                    messages.RunEnded(
                        route=self._route,
                        service=self._service,
                        seconds=run_time,
                        urgency=self._urgency,
                        completed=self._nested
                        and self._completed
                        and not self._failed,
                        refused=self._shed
                        or (self._failed and not self._timed_out),
                    )
                )
            except exceptions.MailboxClosedError:
                # A slot may outlive the controller when the process stops.
                pass


class _StreamedAnswer:
    """The rest of a streamed answer, up to the deadline."""

    def __init__(self, *, rest: model.BodyReader, deadline: float) -> None:
        self._rest = rest
        self._deadline = deadline
        self._ended = False

    async def read(self) -> bytes:
        """Returns the next bytes, or none at the end.

        Raises:
          ConnectionFailedError: The upstream broke off or the deadline passed.
        """
        if self._ended:
            return b""
        remaining = max(0.0, self._deadline - clock.monotonic())
        with trio.move_on_after(remaining):
            data = await self._rest.read()
            self._ended = not data
            return data
        raise exceptions.ConnectionFailedError(
            "the deadline passed in the middle of the answer",
            maybe_delivered=True,
        )

    async def close(self) -> None:
        """Discards the rest."""
        if not self._ended:
            self._ended = True
            await self._rest.close()


def _refusal_for_error(error: exceptions.ConnectionFailedError) -> model.Refuse:
    code = exceptions.UPSTREAM_FAILED
    if error.expired:
        code = exceptions.DEADLINE_EXCEEDED
    elif error.unresponsive:
        code = exceptions.UPSTREAM_SILENT
    return model.Refuse(
        code=code,
        detail=f"the upstream: {error}",
        run=model.RunState.UNKNOWN
        if error.maybe_delivered
        else model.RunState.NOT_RUN,
    )
