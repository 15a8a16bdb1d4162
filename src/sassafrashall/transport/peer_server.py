"""Serves the calls of other nodes, multiplexed on their connections."""

from __future__ import annotations

from collections.abc import Callable
import hmac

import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import fiber
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import model
from sassafrashall.decisions import memory_limits
from sassafrashall.transport import error_boundary
from sassafrashall.transport import frames
from sassafrashall.transport import listener
from sassafrashall.transport import memory_budget
from sassafrashall.transport import peer_connection
from sassafrashall.transport import sockets

PROCEED_TIMEOUT = 1.0  # seconds that a slot is reserved until `Proceed`
# Leaves descriptors for callers and the upstream; each node needs one.
CONNECTION_LIMIT = 400
# Seconds from the connect to the first frame, after which the place of a
# connection that has not authenticated itself is needed for others.
HELLO_TIMEOUT = 3.0

# Returns the keyed digest that authenticates the node of the named VM.
ComputeProof = Callable[[str], bytes]
# Runs an asynchronous function in a task of its own.
Spawn = Callable[..., None]


class _ServedCall:
    """A call on a connection, handled by a fiber."""

    def __init__(
        self, *, number: int, root_id: str, deadline: float, cost: int
    ) -> None:
        self.number = number
        self.cost = cost  # estimated bytes of memory
        self.root_id = root_id
        self.deadline = deadline
        self.fiber: fiber.Fiber | None = None
        # Whether the calling node still wants the call; None before the offer.
        self.proceed: mailbox.Reply | None = None
        self.proceed_deadline = 0.0
        self.request_body: peer_connection.IncomingBody | None = None
        self.response_body: peer_connection.OutgoingBody | None = None
        self.response_scope: trio.CancelScope | None = None

    def is_overdue(self, now: float) -> bool:
        """Whether the call, or the confirmation of its offer, is too late."""
        return self.deadline <= now or (
            self.proceed is not None
            and not self.proceed.done
            and self.proceed_deadline <= now
        )

    def cancel(self, reason: str) -> None:
        """Cancels the call, or the rest of its response."""
        if self.response_scope is not None:
            self.response_scope.cancel()
        elif self.fiber is not None:
            self.fiber.cancel(reason)


class _ServedConnection:
    """An accepted connection."""

    def __init__(
        self,
        *,
        stream: sockets.Stream,
        handler: error_boundary.Handler,
        compute_proof: ComputeProof,
        spawn: Spawn,
        log: connection_log.ConnectionLog,
        budget: memory_budget.MemoryBudget,
    ) -> None:
        self._connection = peer_connection.PeerConnection(
            stream=stream,
            on_frame=self._on_frame,
            frame_limit=frames.UNAUTHENTICATED_LIMIT,
        )
        self._memory = budget.open(memory_budget.keep)
        self._opened_at = clock.monotonic()
        self._log = log
        self._handler = handler
        self._compute_proof = compute_proof
        self._spawn = spawn
        self._authenticated = False
        self._calls: dict[int, _ServedCall] = {}

    @property
    def busy(self) -> bool:
        """Whether a call is in progress, or its answer is not sent yet."""
        return bool(self._calls) or self._connection.unsent > 0

    async def expire_calls(self, now: float) -> None:
        """Cancels calls past their deadline, and offers not confirmed in time.

        The calling node ends an expired call at the same time by its own
        clock, so no frame is sent.
        """
        silent = not self._authenticated and (
            now - self._opened_at > HELLO_TIMEOUT
        )
        if not silent and not any(
            call.is_overdue(now) for call in self._calls.values()
        ):
            return
        await self._connection.read_arrived()
        if not self._authenticated:
            self._connection.close(connection_log.Reason.HEAD_TIMEOUT)
            return
        for call in tuple(self._calls.values()):
            if call.deadline <= now:
                call.cancel("the deadline has passed")
            elif call.proceed is not None and call.proceed_deadline <= now:
                call.proceed.put(False)

    async def finish(self) -> None:
        """Handles the frames that have arrived, and sends what waits."""
        self._connection.read_ready()
        await self._connection.flush()

    def close(self) -> None:
        """Ends the connection, and the calls on it."""
        self._connection.close(connection_log.Reason.STOP)

    async def serve(self) -> None:
        """Runs until the connection ends; its calls end with it."""
        try:
            await self._connection.run()
        finally:
            calls = tuple(self._calls.values())
            self._memory.close()
            self._log.write(
                connection_log.Closure(
                    reason=self._connection.end_reason,
                    unanswered=bool(calls),
                    request_id=calls[0].root_id if calls else "",
                )
            )
            for call in calls:
                call.cancel("the connection to the calling node has ended")

    def _on_frame(self, frame: frames.Frame) -> None:
        match frame:
            case frames.OpenCall() if self._authenticated:
                self._start_call(frame)
            case frames.Hello(vm=vm, proof=given):
                self._authenticated = hmac.compare_digest(
                    given, self._compute_proof(vm)
                )
                if self._authenticated:
                    self._connection.allow_long_frames()
            case frames.Proceed(call=number):
                call = self._calls.get(number)
                if call is not None and call.proceed is not None:
                    call.proceed.put(True)
            case frames.BodyPart(call=number, data=data):
                call = self._calls.get(number)
                if call is not None and call.request_body is not None:
                    call.request_body.append(data)
            case frames.Credit(call=number, count=count):
                call = self._calls.get(number)
                if call is not None and call.response_body is not None:
                    call.response_body.add_credit(count)
            case frames.CancelCall(call=number):
                if number in self._calls:
                    self._calls[number].cancel(
                        "the calling node cancelled the call"
                    )
            case _:
                raise exceptions.ProtocolError(
                    exceptions.BAD_REQUEST, "unexpected frame"
                )

    def _start_call(self, frame: frames.OpenCall) -> None:
        if frame.call in self._calls:
            raise exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "the number of a call in progress"
            )
        if self._connection.is_congested:
            refusal = model.Refuse(
                code=exceptions.PEER_UNREACHABLE,
                detail="the connection to the calling node is congested",
            )
            self._connection.send(_encode_refusal(frame.call, refusal))
            return
        cost = _cost_of(frame)
        try:
            self._memory.admit(cost)
        except exceptions.ProtocolError as error:
            # A code that nodes of earlier builds know.
            refusal = model.Refuse(
                code=exceptions.PEER_UNREACHABLE, detail=str(error)
            )
            self._connection.send(_encode_refusal(frame.call, refusal))
            return
        call = _ServedCall(
            number=frame.call,
            root_id=frame.root_id,
            deadline=clock.monotonic() + frame.remaining_ms / 1000,
            cost=cost,
        )
        self._calls[frame.call] = call
        if frame.more:
            call.request_body = peer_connection.IncomingBody(
                connection=self._connection, call=frame.call
            )
        call.fiber = fiber.Fiber(
            coroutine=self._run_call(frame, call),
            on_end=lambda: self._on_fiber_end(call),
        )
        call.fiber.start()

    def _on_fiber_end(self, call: _ServedCall) -> None:
        if call.response_body is None:
            self._end_call(call)

    def _end_call(self, call: _ServedCall) -> None:
        if self._calls.pop(call.number, None) is not None:
            self._memory.release(call.cost)

    async def _run_call(
        self, frame: frames.OpenCall, call: _ServedCall
    ) -> None:
        async def confirm() -> bool:
            call.proceed = mailbox.Reply()
            call.proceed_deadline = clock.monotonic() + PROCEED_TIMEOUT
            self._connection.send(frames.Offer(call=frame.call))
            return await call.proceed.wait()

        try:
            request = _decode_request(
                frame, call.request_body, confirm if frame.confirm else None
            )
        except exceptions.ProtocolError as error:
            outcome: model.Outcome = model.Refuse(
                code=exceptions.INTERNAL, detail=str(error)
            )
        else:
            outcome = await error_boundary.call_handler(self._handler, request)
        match outcome:
            case model.Answer(response=response):
                self._connection.send(_encode_answer(frame.call, outcome))
                if response.rest is not None:
                    body = call.response_body = peer_connection.OutgoingBody(
                        connection=self._connection, call=frame.call
                    )
                    scope = call.response_scope = trio.CancelScope()
                    self._spawn(
                        self._send_rest, call, body, response.rest, scope
                    )
            case model.Refuse():
                self._connection.send(_encode_refusal(frame.call, outcome))

    async def _send_rest(
        self,
        call: _ServedCall,
        body: peer_connection.OutgoingBody,
        rest: model.BodyReader,
        scope: trio.CancelScope,
    ) -> None:
        try:
            with scope:
                await body.send(rest)
        except exceptions.ConnectionFailedError:
            self._connection.send(frames.CancelCall(call=call.number))
        except Exception:
            # An exception must not end the calls of other nodes.
            logs.get().exception("unhandled exception while sending a response")
            self._connection.send(frames.CancelCall(call=call.number))
        finally:
            self._end_call(call)
            with trio.CancelScope(shield=True):
                await rest.close()
        if scope.cancelled_caught:
            # Keeps the calling node from taking a part for the whole response.
            self._connection.send(frames.CancelCall(call=call.number))


def _decode_request(
    frame: frames.OpenCall,
    rest: model.BodyReader | None,
    confirm: model.ConfirmCallback | None,
) -> model.Request:
    """Returns the request of a call.

    Raises:
      ProtocolError: A field has a value that this version does not know.
    """
    try:
        priority = model.Priority(frame.priority)
    except ValueError as error:
        raise exceptions.ProtocolError(
            exceptions.BAD_REQUEST, str(error)
        ) from error
    now = clock.monotonic()
    context = frames.decode_context(frame.headers)
    return model.Request(
        method=frame.method,
        target=frame.target,
        headers=context.headers,
        may_wait=context.may_wait,
        body=frame.body,
        source=model.Source.PEER,
        received_at=now,
        timeout_ms=frame.remaining_ms,
        caller=frame.caller,
        rest=rest,
        confirm=confirm,
        ticket=model.Ticket(
            organisation=frame.organisation,
            root_id=frame.root_id,
            call_id=frame.call_id,
            node="",
            service=frame.service,
            priority=priority,
            remaining_ms=frame.remaining_ms,
            retries=0,
            depth=frame.depth,
            idempotent=frame.idempotent,
            urgency=context.urgency,
            due_ms=context.due_ms,
        ),
    )


def _cost_of(frame: frames.OpenCall) -> int:
    """Returns the estimated bytes of memory of a call."""
    size = len(frame.body) + sum(len(n) + len(v) for n, v in frame.headers)
    return memory_limits.head_cost(len(frame.headers), size)


def _encode_refusal(number: int, refusal: model.Refuse) -> frames.RefuseCall:
    return frames.RefuseCall(
        call=number,
        code=refusal.code,
        detail=refusal.detail,
        run=refusal.run,
        retry_after_s=refusal.retry_after_s,
        level=refusal.level,
        load=refusal.load,
    )


def _encode_answer(number: int, answer: model.Answer) -> frames.AnswerCall:
    response = answer.response
    return frames.AnswerCall(
        call=number,
        status=response.status,
        headers=response.headers,
        body=response.body,
        more=response.rest is not None,
        level=answer.level,
        load=answer.load,
    )


class PeerServer:
    """Accepts the connections of other nodes."""

    def __init__(
        self,
        *,
        address: model.Address,
        handler: error_boundary.Handler,
        compute_proof: ComputeProof,
        log: connection_log.ConnectionLog,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        self._budget = budget or memory_budget.MemoryBudget()
        self._acceptor = listener.Acceptor(
            address=address, on_accept=self._on_accept
        )
        self._log = log
        self._handler = handler
        self._compute_proof = compute_proof
        self._connections: set[_ServedConnection] = set()
        self._nursery: trio.Nursery | None = None

    @property
    def busy(self) -> bool:
        """Whether a call is in progress, or its answer is not sent yet."""
        return any(connection.busy for connection in self._connections)

    async def start(self, nursery: trio.Nursery) -> None:
        """Binds the address and serves in `nursery`."""
        self._nursery = nursery
        await self._acceptor.start(nursery)
        nursery.start_soon(self._expire_calls)

    async def _expire_calls(self) -> None:
        while True:
            await trio.sleep(peer_connection.EXPIRY_INTERVAL)
            now = clock.monotonic()
            for connection in tuple(self._connections):
                await connection.expire_calls(now)

    def _on_accept(self, accepted: trio.SocketStream) -> None:
        if len(self._connections) >= CONNECTION_LIMIT:
            accepted.socket.close()
            return
        stream = sockets.Stream(stream=accepted)
        stream.enable_keepalive()
        assert self._nursery is not None
        connection = _ServedConnection(
            stream=stream,
            handler=self._handler,
            compute_proof=self._compute_proof,
            spawn=self._nursery.start_soon,
            log=self._log,
            budget=self._budget,
        )
        # `close` must find it also before its task has run for the first time.
        self._connections.add(connection)
        self._nursery.start_soon(self._serve, connection)

    async def _serve(self, connection: _ServedConnection) -> None:
        try:
            await connection.serve()
        finally:
            self._connections.discard(connection)

    async def close(self) -> None:
        """Stops accepting and closes the connections; cuts calls in progress.

        Calls that have arrived by then still reach the handler, and answers
        that wait are sent. A cancellation ends the wait for that.
        """
        self._acceptor.close()
        connections = tuple(self._connections)
        try:
            async with trio.open_nursery() as nursery:
                for connection in connections:
                    nursery.start_soon(connection.finish)
        finally:
            for connection in connections:
                connection.close()
