"""Calls to other nodes, multiplexed on one connection to each node."""

from __future__ import annotations

import hashlib
from typing import Any

import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import metrics
from sassafrashall import model
from sassafrashall import task
from sassafrashall.transport import frames
from sassafrashall.transport import http
from sassafrashall.transport import peer_connection

# Seconds after the deadline of a streamed answer by which the other node, which
# ends it at the deadline, must have said so.
STREAM_MARGIN = 0.3


def hello_proof(vm: str, secret: bytes) -> bytes:
    """Returns the proof in a Hello frame that `vm` knows the fleet's secret.

    It is a keyed hash of the VM's name.
    """
    return hashlib.blake2b(vm.encode(), key=secret, digest_size=16).digest()


class _PendingCall:
    """A call without an outcome, or with an answer still being received.

    Attributes:
      message: The call.
      reply: Receives its outcome.
      may_have_run: Whether the other node may have dispatched it.
      upload: Sends the rest of a long request body.
      upload_scope: Cancels that upload.
      answer_body: Receives the rest of a long answer.
    """

    def __init__(
        self, *, message: messages.Exchange, reply: mailbox.Reply
    ) -> None:
        self.message = message
        self.reply = reply
        self.may_have_run = not message.confirm
        self.upload: peer_connection.OutgoingBody | None = None
        self.upload_scope: trio.CancelScope | None = None
        self.answer_body: peer_connection.IncomingBody | None = None

    @property
    def expires_at(self) -> float:
        """Monotonic seconds at which the call ends without the other node."""
        if self.answer_body is None:
            return self.message.deadline
        return self.message.deadline + STREAM_MARGIN


class _Link:
    """The connection to one node, and the calls on it; a task owns it."""

    def __init__(
        self, *, links: PeerLinks, address: model.Address, vm: str
    ) -> None:
        self._links = links
        self._address = address
        self._vm = vm
        self._connection: peer_connection.PeerConnection | None = None
        self._calls: dict[int, _PendingCall] = {}
        self._unopened: list[_PendingCall] = []
        self._last_number = 0
        self._nursery: trio.Nursery | None = None

    @property
    def may_start_calls(self) -> bool:
        """Whether the connection is open, or about to be opened."""
        return self._connection is None or not (
            self._connection.ended or self._connection.is_closed_by_peer
        )

    async def run(self) -> None:
        """Connects, and performs calls until the connection ends."""
        failure = "the link was closed before there was a connection"
        try:
            self._connection = await peer_connection.PeerConnection.open(
                self._address, on_frame=self._on_frame
            )
        except exceptions.ConnectionFailedError as error:
            failure = str(error)
            return
        finally:
            if self._connection is None:
                self._links.on_ended(self._address, self)
                for call in self._unopened:
                    call.reply.put(
                        _refusal(exceptions.PEER_UNREACHABLE, failure, False)
                    )
        self._connection.send(
            frames.Hello(
                vm=self._vm, proof=hello_proof(self._vm, self._links.secret)
            )
        )
        try:
            async with trio.open_nursery() as self._nursery:
                for call in self._unopened:
                    self._open_call(call)
                self._unopened.clear()
                await self._connection.run()
                self._nursery.cancel_scope.cancel()
        finally:
            self._links.on_ended(self._address, self)
            self._log_closure()
            self._fail_calls()

    def start_call(self, call: _PendingCall) -> None:
        """Starts a call, now or once the connection is established."""
        if self._connection is None:
            self._unopened.append(call)
        else:
            self._open_call(call)

    def _open_call(self, call: _PendingCall) -> None:
        if call.reply.abandoned or call.reply.done:
            return
        assert self._connection is not None
        if self._connection.is_congested:
            call.reply.put(
                _refusal(
                    exceptions.PEER_UNREACHABLE,
                    "the connection to the node is congested",
                    False,
                )
            )
            return
        self._last_number += 1
        number = self._last_number
        message = call.message
        request = message.request
        ticket = message.ticket
        time_left = message.deadline - clock.monotonic()
        self._calls[number] = call
        call.reply.on_abandon(lambda: self._cancel_call(number))
        self._connection.send(
            frames.OpenCall(
                call=number,
                call_id=ticket.call_id,
                root_id=ticket.root_id,
                service=ticket.service,
                organisation=ticket.organisation,
                caller=request.caller,
                priority=int(ticket.priority),
                remaining_ms=max(0, int(time_left * 1000)),
                depth=ticket.depth,
                idempotent=ticket.idempotent,
                confirm=message.confirm,
                method=request.method,
                target=request.target,
                headers=frames.encode_context(request, ticket),
                body=request.body,
                more=request.rest is not None,
            )
        )

    async def _upload(
        self,
        number: int,
        call: _PendingCall,
        rest: model.BodyReader,
        scope: trio.CancelScope,
    ) -> None:
        assert call.upload is not None
        with scope:
            await trio.lowlevel.checkpoint_if_cancelled()
            try:
                await call.upload.send(rest)
            except (
                OSError,
                trio.ClosedResourceError,
                exceptions.SassafrashallError,
            ) as error:
                self._cancel_call(number)
                call.reply.on_abandon(None)
                call.reply.put(
                    _refusal(exceptions.BAD_REQUEST, str(error), True)
                )

    async def expire_calls(self, now: float) -> None:
        """Ends the calls whose deadline has passed before an answer came."""
        for call in self._unopened:
            if call.message.deadline <= now:
                call.reply.put(_deadline_exceeded(False))
        if self._connection is None or not self._overdue_calls(now):
            return
        await self._connection.read_arrived()
        for number, call in self._overdue_calls(now):
            if number in self._calls:
                self._cancel_call(number)
                call.reply.on_abandon(None)
                if call.answer_body is not None:
                    call.answer_body.fail("the other node sent no more of it")
                else:
                    call.reply.put(_deadline_exceeded(call.may_have_run))

    def _overdue_calls(self, now: float) -> list[tuple[int, _PendingCall]]:
        return [
            (number, call)
            for number, call in self._calls.items()
            if call.expires_at <= now
        ]

    def _cancel_call(self, number: int) -> None:
        call = self._calls.pop(number, None)
        if call is None:
            return
        if call.upload_scope is not None:
            call.upload_scope.cancel()
        if self._connection is not None and not self._connection.ended:
            self._connection.send(frames.CancelCall(call=number))

    def _on_frame(self, frame: frames.Frame) -> None:
        if isinstance(frame, frames.CONNECTION_FRAMES):
            return
        call = self._calls.get(frame.call)
        if call is None:
            return
        match frame:
            case frames.AnswerCall():
                self._on_answer(frame, call)
            case frames.RefuseCall():
                self._end_call(frame.call, call)
                if call.answer_body is not None:
                    call.answer_body.fail("the other node refused the rest")
                call.reply.put(frames.decode_refusal(frame))
            case frames.Offer():
                self._confirm_call(frame.call, call)
            case frames.BodyPart(data=data):
                if call.answer_body is not None:
                    call.answer_body.append(data)
                    if not data:
                        self._end_call(frame.call, call)
            case frames.Credit(count=count):
                if call.upload is not None:
                    call.upload.add_credit(count)
            case frames.CancelCall():
                self._end_call(frame.call, call)
                if call.answer_body is not None:
                    call.answer_body.fail("the upstream broke its answer off")

    def _confirm_call(self, number: int, call: _PendingCall) -> None:
        """Confirms an offered call, so that the other node dispatches it."""
        assert self._connection is not None and self._nursery is not None
        call.may_have_run = True
        self._connection.send(frames.Proceed(call=number))
        rest = call.message.request.rest
        if rest is not None:
            call.upload = peer_connection.OutgoingBody(
                connection=self._connection, call=number
            )
            scope = call.upload_scope = trio.CancelScope()
            self._nursery.start_soon(self._upload, number, call, rest, scope)

    def _on_answer(self, frame: frames.AnswerCall, call: _PendingCall) -> None:
        if call.answer_body is not None:
            raise exceptions.ProtocolError(
                exceptions.BAD_REQUEST, "a second answer to a call"
            )
        if frame.status not in http.FINAL_STATUSES:
            # A node of an earlier build passes on what its upstream sent.
            self._cancel_call(frame.call)
            call.reply.on_abandon(None)
            call.reply.put(
                model.Refuse(
                    code=exceptions.UPSTREAM_FAILED,
                    detail=f"the upstream: {frame.status} is no status",
                    run=model.RunState.UNKNOWN,
                    level=frame.level,
                    load=frame.load,
                )
            )
            return
        rest = None
        if frame.more:
            assert self._connection is not None
            rest = call.answer_body = peer_connection.IncomingBody(
                connection=self._connection, call=frame.call
            )
        else:
            self._end_call(frame.call, call)
        call.reply.on_abandon(None)
        call.reply.put(
            model.Answer(
                response=model.Response(
                    status=frame.status,
                    headers=frame.headers,
                    body=frame.body,
                    rest=rest,
                ),
                level=frame.level,
                load=frame.load,
            )
        )

    def _end_call(self, number: int, call: _PendingCall) -> None:
        self._calls.pop(number, None)
        call.reply.on_abandon(None)
        if call.upload_scope is not None:
            call.upload_scope.cancel()

    def _log_closure(self) -> None:
        assert self._connection is not None
        calls = tuple(self._calls.values())
        self._links.log.write(
            connection_log.Closure(
                reason=self._connection.end_reason,
                unanswered=bool(calls),
                request_id=calls[0].message.ticket.root_id if calls else "",
            )
        )

    def _fail_calls(self) -> None:
        calls, self._calls = self._calls, {}
        for call in calls.values():
            call.reply.on_abandon(None)
            if call.answer_body is not None:
                call.answer_body.fail("the connection to the node broke")
                continue
            code = (
                exceptions.UPSTREAM_FAILED
                if call.may_have_run
                else exceptions.PEER_UNREACHABLE
            )
            call.reply.put(
                _refusal(
                    code, "the connection to the node broke", call.may_have_run
                )
            )


def _deadline_exceeded(may_have_run: bool) -> model.Refuse:
    return _refusal(
        exceptions.DEADLINE_EXCEEDED,
        "the deadline passed before the answer was there",
        may_have_run,
    )


def _refusal(code: str, detail: str, may_have_run: bool) -> model.Refuse:
    return model.Refuse(
        code=code,
        detail=detail,
        run=model.RunState.UNKNOWN if may_have_run else model.RunState.NOT_RUN,
    )


class PeerLinks(task.Controller):
    """Owns one link to each node that is called, opened on demand."""

    def __init__(
        self, *, vm: str, secret: bytes, counters: metrics.Metrics
    ) -> None:
        super().__init__()
        self._vm = vm
        self._secret = secret
        self._metrics = counters
        self._log = connection_log.ConnectionLog(
            place="links", counters=counters
        )
        self._links: dict[model.Address, _Link] = {}

    @property
    def secret(self) -> bytes:
        """The fleet's secret."""
        return self._secret

    @property
    def log(self) -> connection_log.ConnectionLog:
        """The log of connections that end."""
        return self._log

    async def _setup(self) -> None:
        self._spawn(self._expire_calls)

    async def _expire_calls(self) -> None:
        while True:
            await trio.sleep(peer_connection.EXPIRY_INTERVAL)
            now = clock.monotonic()
            for link in tuple(self._links.values()):
                await link.expire_calls(now)

    def _handle(self, message: Any, reply: mailbox.Reply) -> None:
        match message:
            case messages.Exchange(address=address):
                link = self._links.get(address)
                if link is None or not link.may_start_calls:
                    link = _Link(links=self, address=address, vm=self._vm)
                    self._links[address] = link
                    self._metrics.count("peer_connections_opened")
                    self._spawn(link.run)
                link.start_call(_PendingCall(message=message, reply=reply))

    def on_ended(self, address: model.Address, link: _Link) -> None:
        """Removes a link whose connection has ended."""
        if self._links.get(address) is link:
            del self._links[address]
