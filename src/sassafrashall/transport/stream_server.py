"""An HTTP/1.1 server that streams long request and response bodies."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from sassafrashall import clock
from sassafrashall import configuration
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import fiber
from sassafrashall import logs
from sassafrashall import model
from sassafrashall.decisions import arrivals
from sassafrashall.decisions import connection_lifetime
from sassafrashall.decisions import pipelining
from sassafrashall.decisions import slow_readers
from sassafrashall.transport import codec
from sassafrashall.transport import http
from sassafrashall.transport import http1
from sassafrashall.transport import listener
from sassafrashall.transport import memory_budget
from sassafrashall.transport import pipeline
from sassafrashall.transport import request_body
from sassafrashall.transport import responses
from sassafrashall.transport import sockets

# Seconds to discard what follows a response that closes the connection: the
# rest of a body, or further requests.
LINGER_TIME = 1.0
REJECT_TIMEOUT = 1.0  # seconds to send the response to invalid input
SWEEP_INTERVAL = 0.2  # seconds between checks for disconnects and timeouts
CONNECTION_LIMIT = 3000  # leaves descriptors for peers and the upstream
# Bytes of one read, at most, while the head of a request is awaited; on a
# connection with pipelining, or while a request is in progress, the smaller
# size bounds what is read ahead, which can't be dropped.
HEAD_RECEIVE_SIZE = 16 * 1024
HEAD_READ_SIZE = 4 * 1024
# Connections closed at once if a further one arrives at a full listener, and
# the seconds until more are closed. 640 a second are as many as an ordinary
# node serves requests.
ROOM = 64
ROOM_INTERVAL = 0.1
# Seconds for which a connection may send no whole head, at a full listener.
MIN_UNUSED_TIME = 1.0

Handler = Callable[[http.RawRequest], Awaitable[model.Response]]
LimitsSource = Callable[[], configuration.Limits]
MayOverlap = Callable[[http1.RequestHead], bool]
# Runs an asynchronous function in a task of its own.
Spawn = Callable[..., None]


class Connection:
    """An accepted connection.

    Its task also reads while requests are in progress, so that it detects a
    disconnect at once. A fiber handles a request with a short body, up to
    `http.BUFFERED_BODY_LIMIT`. The task itself handles one with a long body and
    reads the rest on demand; the server then checks for a disconnect from time
    to time. Responses are sent in the order of the requests.
    """

    def __init__(
        self,
        *,
        stream: sockets.Stream,
        handler: Handler,
        source: model.Source,
        limits: LimitsSource,
        spawn: Spawn,
        log: connection_log.ConnectionLog,
        request_id_header: str,
        requests: pipeline.Pipeline,
        budget: memory_budget.MemoryBudget,
        may_overlap: MayOverlap,
    ) -> None:
        self._stream = stream
        self._memory = budget.open(self._try_remove)
        self._log = log
        self._request_id_header = request_id_header
        self._handler = handler
        self._source = source
        self._limits = limits
        self._spawn = spawn
        self._parser = http1.RequestParser(head_limit=limits().head_bytes)
        self._scope = trio.CancelScope()
        # Seconds, as in force when the last response was sent.
        self._idle_timeout = limits().idle_timeout_s
        self._activity: connection_lifetime.Activity = connection_lifetime.Idle(
            since=clock.monotonic(), timeout=self._idle_timeout
        )
        self._pipeline = requests
        self._may_overlap = may_overlap
        # When the bytes of the last read had arrived, in monotonic seconds.
        self._arrived_at = 0.0
        # The body that is being read. It refers to this connection, so that it
        # is dropped with its request.
        self._body: request_body.RequestBody | None = None
        # Of bytes that wait in the socket until a request may start.
        self._arrivals: arrivals.Marks = ()
        # Raised once the requests before the invalid input are taken.
        self._input_error: exceptions.ProtocolError | None = None
        # Whether a request has been started on this connection.
        self._has_served = False
        self.opened_at = clock.monotonic()
        # Whether all input received so far is handled, so that the task waits
        # for more.
        self._awaits_input = True
        self._expiring = False
        self._stopping = False
        self._closing = False
        # Why this side closes the connection; None while it does not.
        self._close_reason: connection_log.Reason | None = None
        self._close_delay = 0.0
        self._close_idle_time = 0.0
        # The request that ended without a complete response.
        self._unanswered: pipeline.Exchange | None = None

    async def serve(self) -> None:
        """Runs until either side closes the connection."""
        reason = connection_log.Reason.PROCESS_END
        try:
            with self._scope:
                await self._serve_requests()
            reason = self._close_reason or connection_log.Reason.DISCONNECT
            if reason in (
                connection_log.Reason.ANNOUNCED,
                connection_log.Reason.BAD_INPUT,
                connection_log.Reason.BODY_TIMEOUT,
            ) or (
                # Refused with a response, in contrast to a removal.
                reason is connection_log.Reason.MEMORY
                and not self._scope.cancel_called
            ):
                await self._discard_unread_input()
        except (OSError, trio.ClosedResourceError):
            reason = self._close_reason or connection_log.Reason.DISCONNECT
        finally:
            unanswered = self._unanswered or self._pipeline.first
            self._closing = True
            self._body = None
            for exchange in self._pipeline.clear():
                exchange.cancel()
                self._discard_response(exchange)
            self._stream.close()
            self._parser.close()
            # Its traceback refers to this connection.
            self._input_error = None
            self._memory.close()
            self._log_closure(reason, unanswered)

    async def _discard_unread_input(self) -> None:
        """Discards what follows a response that closed the connection.

        A close with unread bytes would reset the connection, so that callers
        that pipeline might lose the last responses.
        """
        if self._pipeline.depth == 1:
            return
        self._parser.close()
        # What follows is not kept.
        self._memory.close()
        with trio.move_on_after(LINGER_TIME):
            self._stream.end_sending()
            while await self._stream.receive(http.RECEIVE_SIZE):
                pass

    def _log_closure(
        self,
        reason: connection_log.Reason,
        unanswered: pipeline.Exchange | None,
    ) -> None:
        request_id = None
        if unanswered is not None:
            request_id = model.find_header(
                unanswered.head.headers, self._request_id_header
            )
        self._log.write(
            connection_log.Closure(
                reason=reason,
                unanswered=unanswered is not None,
                request_id=request_id or "",
                idle_s=self._close_idle_time,
                delay_s=self._close_delay,
            )
        )

    def expire(self) -> None:
        """Closes the connection after its next response."""
        self._expiring = True

    def stop(self) -> None:
        """Closes the connection once it is idle."""
        self._expiring = self._stopping = True
        self._close_if_stopped(0.0)

    def _close_if_stopped(self, delay: float) -> None:
        match connection_lifetime.on_stop(self._activity, clock.monotonic()):
            case connection_lifetime.CloseIdle(idle=idle):
                self._close_unless_input(
                    connection_log.Reason.STOP, idle, delay
                )

    def check_liveness(
        self, now: float, limits: configuration.Limits, delay: float
    ) -> None:
        """Closes the connection after a disconnect or a timeout.

        Args:
          now: Monotonic seconds.
          limits: The limits in force.
          delay: Seconds by which this check runs late.
        """
        if self._pipeline.first is not None:
            if self._awaits_input:
                self._check_body(now, limits)
                return
            self._note_unread(now)
            if self._is_disconnected():
                self._close(connection_log.Reason.DISCONNECT)
            return
        if self._stopping:
            # A response may have kept the connection, and input that began no
            # request may have delayed the stop.
            self._close_if_stopped(delay)
        action = connection_lifetime.on_check(
            self._activity,
            now,
            limits.idle_timeout_s,
            limits.head_timeout_s,
        )
        match action:
            case connection_lifetime.CloseIdle(idle=idle):
                self._close_unless_input(
                    connection_log.Reason.IDLE_TIMEOUT, idle, delay
                )
            case connection_lifetime.CloseIncompleteHead(idle=idle):
                self._close_unless_input(
                    connection_log.Reason.HEAD_TIMEOUT, idle, delay
                )

    def _check_body(self, now: float, limits: configuration.Limits) -> None:
        """Ends a request whose body has stopped arriving.

        It is refused if it has not run. Otherwise the handler gets an error
        from its next read of the body, and its response is the last one.
        """
        action = connection_lifetime.on_check(
            self._activity, now, limits.idle_timeout_s, limits.head_timeout_s
        )
        match action:
            case connection_lifetime.EndIncompleteBody(idle=idle) if (
                self._body is not None and self._stream.is_idle
            ):
                self._close_idle_time = idle
                self._body.end_stalled()

    def _note_unread(self, now: float) -> None:
        """Notes the arrival of bytes that wait until a request may start."""
        if self._pipeline.depth > 1:
            self._arrivals = arrivals.on_check(
                self._arrivals, self._stream.unread_bytes, now
            )

    def _is_disconnected(self) -> bool:
        if self._pipeline.depth == 1 or self._pipeline.is_reading_body:
            return self._stream.is_closed_by_peer
        # Requests that wait unread hide the end behind them.
        return self._stream.has_peer_ended

    @property
    def held(self) -> int:
        """Bytes in memory that wait for the caller to take its answer."""
        if not self._stream.unsent:
            return 0
        return (
            self._stream.unsent
            + http.STREAM_WINDOW
            + self._pipeline.waiting_bytes
        )

    def stalled_for(self, now: float) -> float:
        """Returns the seconds since the caller took a byte of its answer."""
        return now - self._stream.progress_at

    def close_stalled(self) -> None:
        """Closes the connection, whose caller does not take its answer."""
        self._close(connection_log.Reason.STALLED)

    @property
    def awaits_first_request(self) -> bool:
        """Whether no request has come on this connection."""
        return not self._has_served

    def close_unused(self) -> None:
        """Closes the connection in favour of one that has just arrived."""
        self._close(connection_log.Reason.FULL)

    def _try_remove(self) -> bool:
        """Closes the connection for lack of memory; see `MemoryBudget.open`."""
        if self._pipeline.has_forwarded:
            return False
        self._close(connection_log.Reason.MEMORY)
        self._parser.close()
        return True

    def _close_unless_input(
        self, reason: connection_log.Reason, idle: float, delay: float
    ) -> None:
        """Closes the connection, or serves the input that has arrived."""
        if self._awaits_input and self._stream.is_idle:
            self._close_idle_time = idle
            self._close_delay = delay
            self._close(reason)

    def _close(self, reason: connection_log.Reason) -> None:
        """Closes the connection; no request starts on it any more.

        A cancelled task that was already scheduled runs on until its next
        checkpoint, and would start a request that is cancelled then.
        """
        self._closing = True
        self._close_reason = self._close_reason or reason
        self._scope.cancel()

    async def next_event(self) -> http1.Event | None:
        """Waits for the next event; returns None after a disconnect.

        Raises:
          ProtocolError: The caller sent invalid HTTP.
        """
        while True:
            event = self._next_parsed()
            if event is not None:
                _count_event(self._memory, self._parser, event)
                return event
            if self._input_error is not None:
                raise self._input_error
            _count_input(self._memory, self._parser, self._pipeline.last)
            data = await self._receive()
            if not data or self._closing:
                return None
            self._arrived_at = clock.monotonic()
            if self._arrivals:
                self._arrivals, self._arrived_at = arrivals.on_read(
                    self._arrivals, len(data), self._arrived_at
                )
            if not self._pipeline.is_reading_body:
                # These bytes belong to a request that may have to wait for
                # others. Nothing more is read until then.
                if self._pipeline.first is not None:
                    self._memory.hold_input(self._parser.held + len(data))
                await self._wait_for_turn(overlaps=True)
                if self._closing:
                    return None
            self._parse(data)

    async def _receive(self) -> bytes:
        """Waits for the next bytes; none at the end of the stream."""
        reads_body = self._pipeline.is_reading_body
        if reads_body:
            self._activity = connection_lifetime.ReceivingBody(
                since=clock.monotonic()
            )
        self._awaits_input = True
        try:
            return await self._stream.receive(self._read_size())
        finally:
            self._awaits_input = False
            if reads_body:
                self._activity = connection_lifetime.Serving()

    def _read_size(self) -> int:
        """Returns how many bytes may be read at once."""
        if self._pipeline.is_reading_body:
            return http.RECEIVE_SIZE
        if self._pipeline.depth == 1 and self._pipeline.first is None:
            return HEAD_RECEIVE_SIZE
        return HEAD_READ_SIZE

    def _next_parsed(self) -> http1.Event | None:
        """Returns the next event; None if there is none yet."""
        try:
            return self._parser.next_event()
        except exceptions.ProtocolError as error:
            self._keep_error(error)
        # Events of valid requests before the invalid bytes.
        return self._parser.next_event()

    def _keep_error(self, error: exceptions.ProtocolError) -> None:
        """Keeps an error until the valid requests before it are served."""
        if self._pipeline.depth == 1:
            raise error
        self._input_error = error

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed(data)
        except exceptions.ProtocolError as error:
            self._keep_error(error)
        if (
            isinstance(self._activity, connection_lifetime.Idle)
            and self._parser.head_incomplete
        ):
            self._activity = connection_lifetime.ReceivingHead(
                since=clock.monotonic()
            )

    async def _wait_for_turn(self, *, overlaps: bool) -> None:
        """Waits until a request may start, or the connection closes.

        Args:
          overlaps: Whether the request may run beside others.
        """
        while not self._closing and not self._pipeline.may_start(
            overlaps=overlaps, expiring=self._expiring
        ):
            await self._pipeline.wait_for_change()

    async def _serve_requests(self) -> None:
        while not self._closing:
            try:
                head = await self.next_event()
                if not isinstance(head, http1.RequestHead):
                    return
                overlaps = pipelining.may_overlap(
                    head.method,
                    head.length,
                    expects=model.find_header(head.headers, "expect")
                    is not None,
                ) and self._may_overlap(head)
                await self._wait_for_turn(overlaps=overlaps)
                if self._closing:
                    return
                await self._start_request(head, overlaps)
            except exceptions.ProtocolError as error:
                await self._reject_input(error)
                return
            except exceptions.ConnectionFailedError:
                return

    async def _start_request(
        self, head: http1.RequestHead, overlaps: bool
    ) -> None:
        """Starts a request, and completes it as well if its body is long."""
        body_limit = self._limits().body_bytes
        if head.length is not None and head.length > body_limit:
            raise exceptions.ProtocolError(
                exceptions.BODY_TOO_LARGE, "the body is too large"
            )
        exchange = pipeline.Exchange(head=head, overlaps=overlaps)
        self._pipeline.add(exchange)
        self._has_served = True
        self._activity = connection_lifetime.Serving()
        received_at = clock.monotonic()
        if self._pipeline.depth > 1:
            # The time that a request waits for others counts, read or unread.
            received_at = self._arrived_at
        if model.find_header(head.headers, "expect") is not None:
            await self._stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        rest = request_body.RequestBody(
            next_event=self.next_event,
            on_part=exchange.count_part,
            limit=body_limit,
        )
        self._body = rest
        try:
            body = await http.read_buffered_part(rest.read)
        except exceptions.ConnectionFailedError as error:
            if not rest.stalled:
                raise
            raise exceptions.ProtocolError(
                exceptions.BODY_STALLED, str(error)
            ) from error
        if rest.ended:
            self._body = None
        _count_body(self._memory, self._parser, exchange, body)
        if self._closing:
            # Removed for lack of memory while the body was counted.
            return
        exchange.forwarded = True
        request = http.RawRequest(
            method=head.method,
            target=head.target,
            headers=head.headers,
            body=body,
            source=self._source,
            received_at=received_at,
            rest=None if rest.ended else rest,
        )
        if rest.ended:
            exchange.fiber = fiber.Fiber(
                coroutine=self._respond(exchange, request),
                on_end=lambda: self._on_fiber_end(exchange),
            )
            exchange.fiber.start()
            return
        response = await self._handler(request)
        closes = self._must_close(exchange) or not rest.ended
        complete = await responses.send(
            self._stream, *self._encode_start(exchange, response, closes)
        )
        if not rest.ended:
            await self._discard_rest(rest)
        self._body = None
        self._end_exchange(exchange, _close_reason_after(complete, closes))

    async def _respond(
        self, exchange: pipeline.Exchange, request: http.RawRequest
    ) -> None:
        """Handles a request in a fiber."""
        exchange.response = await self._handler(request)
        exchange.streams = exchange.response.rest is not None

    def _on_fiber_end(self, exchange: pipeline.Exchange) -> None:
        exchange.handled = True
        self._send_ready()

    def _send_ready(self) -> None:
        """Sends the responses whose turn it is."""
        try:
            while self._send_first():
                pass
        except Exception:
            # An exception must not reach the code that delivered the reply.
            logs.get().exception("unhandled exception while sending a response")
            exchange = self._pipeline.first
            if exchange is not None:
                self._discard_response(exchange)
                self._end_exchange(exchange, connection_log.Reason.INCOMPLETE)

    def _discard_response(self, exchange: pipeline.Exchange) -> None:
        """Closes the body of a response that is not sent."""
        if exchange.response is not None and exchange.response.rest is not None:
            self._spawn(responses.discard, exchange.response.rest)

    def _send_first(self) -> bool:
        """Sends the first response if it is ready; a task sends what blocks.

        A fiber that failed or was cancelled has left no response, so that the
        connection closes.

        Returns:
          Whether it has been sent to its end.
        """
        exchange = self._pipeline.first
        if exchange is None or not exchange.is_ready or self._closing:
            return False
        response = exchange.response
        if response is None:
            self._end_exchange(exchange, connection_log.Reason.HANDLER_FAILED)
            return False
        closes = self._must_close(exchange)
        data, rest, chunked = self._encode_start(exchange, response, closes)
        # What has been encoded is not held twice.
        exchange.response = response = None
        if rest is None:
            try:
                sent = self._stream.send_nowait(data)
            except OSError:
                self._end_exchange(exchange, connection_log.Reason.DISCONNECT)
                return False
            if sent == len(data):
                self._end_exchange(exchange, _close_reason_after(True, closes))
                return True
            data = data[sent:]
        exchange.send_scope = trio.CancelScope()
        self._spawn(self._send_in_task, exchange, data, rest, chunked, closes)
        return False

    async def _send_in_task(
        self,
        exchange: pipeline.Exchange,
        data: bytes,
        rest: model.BodyReader | None,
        chunked: bool,
        closes: bool,
    ) -> None:
        """Sends a response, or what is left of it; see `responses.send`."""
        complete = False
        assert exchange.send_scope is not None
        try:
            with exchange.send_scope:
                complete = await responses.send(
                    self._stream, data, rest, chunked
                )
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:
            # An exception must not end the connections of other callers.
            logs.get().exception("unhandled exception while sending a response")
        finally:
            self._end_exchange(exchange, _close_reason_after(complete, closes))
            self._send_ready()

    def _must_close(self, exchange: pipeline.Exchange) -> bool:
        """Returns whether the connection closes after a response.

        Requests behind it that have been forwarded are answered first.
        """
        return exchange is self._pipeline.last and (
            self._expiring or not exchange.head.keep_alive
        )

    def _end_exchange(
        self,
        exchange: pipeline.Exchange,
        close_reason: connection_log.Reason | None,
    ) -> None:
        """Ends an exchange, and closes the connection if a reason is given."""
        if self._pipeline.first is not exchange:
            return
        self._pipeline.remove_first()
        self._memory.release(exchange.cost)
        if not self._awaits_input:
            self._note_unread(clock.monotonic())
        if self._pipeline.first is None:
            self._activity = self._activity_between_requests()
        if close_reason is not None:
            if close_reason is not connection_log.Reason.ANNOUNCED:
                self._unanswered = exchange
            self._close(close_reason)
        self._pipeline.notify()

    def _activity_between_requests(self) -> connection_lifetime.Activity:
        now = clock.monotonic()
        if self._parser.head_incomplete:
            return connection_lifetime.ReceivingHead(since=now)
        return connection_lifetime.Idle(since=now, timeout=self._idle_timeout)

    def _encode_start(
        self,
        exchange: pipeline.Exchange,
        response: model.Response,
        closes: bool,
    ) -> tuple[bytes, model.BodyReader | None, bool]:
        """Encodes the start of a response; see `responses`."""
        if closes:
            self._pipeline.close_announced = True
        self._idle_timeout = self._limits().idle_timeout_s
        return responses.encode_start(
            exchange.head.method,
            response,
            closes=closes,
            idle_timeout=self._idle_timeout,
        )

    async def _reject_input(self, error: exceptions.ProtocolError) -> None:
        """Responds to invalid input, after the responses in progress."""
        while not (
            self._pipeline.first is None or self._pipeline.is_reading_body
        ):
            await self._pipeline.wait_for_change()
        if self._closing:
            return
        self._close_reason = _reason_of(error)
        response = codec.encode_refusal(
            model.Refuse(
                code=error.code,
                detail=str(error),
                retry_after_s=_retry_after(error),
            )
        )
        head = http1.encode_response_head(
            response.status, response.headers, len(response.body), True
        )
        with trio.move_on_after(REJECT_TIMEOUT):
            await self._stream.send(head + response.body)
            # The request has been answered, so it doesn't count as cut off.
            self._pipeline.clear()

    async def _discard_rest(self, rest: request_body.RequestBody) -> None:
        """Discards the rest of a body, so that the caller gets the response.

        A close with unread bytes would reset the connection.
        """
        with trio.move_on_after(LINGER_TIME):
            try:
                await rest.discard()
            except exceptions.SassafrashallError:
                return


def _count_event(
    account: memory_budget.Account,
    parser: http1.RequestParser,
    event: http1.Event,
) -> None:
    """Counts a head that is taken, and the input that is left.

    Raises:
      ProtocolError: There is no memory for the request.
    """
    if type(event) is http1.RequestHead:
        account.hold_input(parser.held)
        account.admit(event.cost)


def _count_input(
    account: memory_budget.Account,
    parser: http1.RequestParser,
    exchange: pipeline.Exchange | None,
) -> None:
    """Counts the input that waits for more, with the body of `exchange`."""
    held = parser.held
    if exchange is not None and not exchange.forwarded:
        held += exchange.buffered
    account.hold_input(held)


def _count_body(
    account: memory_budget.Account,
    parser: http1.RequestParser,
    exchange: pipeline.Exchange,
    body: bytes,
) -> None:
    """Counts the body of a request that is handled now.

    Raises:
      ProtocolError: There is no memory for the request.
    """
    if body:
        exchange.buffered = 0
        account.hold_input(parser.held)
        account.admit(len(body))
        exchange.cost += len(body)


def _reason_of(error: exceptions.ProtocolError) -> connection_log.Reason:
    """Returns why a connection is closed after an error in its input."""
    if error.code == exceptions.MEMORY_SHORT:
        return connection_log.Reason.MEMORY
    if error.code == exceptions.BODY_STALLED:
        return connection_log.Reason.BODY_TIMEOUT
    return connection_log.Reason.BAD_INPUT


def _retry_after(error: exceptions.ProtocolError) -> float:
    """Returns the seconds until a refused request may be tried again."""
    return 1.0 if error.code == exceptions.MEMORY_SHORT else 0.0


def _close_reason_after(
    complete: bool, closes: bool
) -> connection_log.Reason | None:
    """Returns why a connection is closed after a response, if it is.

    Args:
      complete: Whether the response was sent to its end.
      closes: Whether the response announced that the connection closes.
    """
    if not complete:
        return connection_log.Reason.INCOMPLETE
    return connection_log.Reason.ANNOUNCED if closes else None


class Server(listener.Listener[Connection]):
    """Serves requests and streams their long bodies."""

    def __init__(
        self,
        *,
        address: model.Address,
        handler: Handler,
        source: model.Source,
        limits: LimitsSource,
        log: connection_log.ConnectionLog | None = None,
        request_id_header: str = "",
        pipeline_depth: int = 1,
        budget: memory_budget.MemoryBudget | None = None,
        may_overlap: MayOverlap = lambda head: True,
    ) -> None:
        """Creates the server.

        Args:
          address: Where to listen.
          handler: Handles each request.
          source: Who sends the requests.
          limits: Returns the limits in force.
          log: Records why connections were closed.
          request_id_header: Lower-case name of the header that identifies a
            request in the log.
          pipeline_depth: Requests of one connection that may run at the same
            time.
          budget: Bounds the memory of what is received; None for one of its
            own.
          may_overlap: Returns whether a request, if its method and body allow
            it, may run beside others of its connection.
        """
        super().__init__(address=address, connection_limit=CONNECTION_LIMIT)
        self._log = log or connection_log.ConnectionLog(place=source.value)
        self._request_id_header = request_id_header
        self._handler = handler
        self._source = source
        self._limits = limits
        self._pipeline_depth = pipeline_depth
        self._may_overlap = may_overlap
        self._overlap = pipeline.Overlap()
        self._budget = budget or memory_budget.MemoryBudget()
        self._made_room_at = 0.0

    @property
    def overlapping(self) -> int:
        """Number of requests that run behind another of their connection."""
        return self._overlap.count

    async def start(self, nursery: trio.Nursery) -> None:
        """Binds the address and serves in `nursery`."""
        await super().start(nursery)
        nursery.start_soon(self._sweep)

    def _new_connection(self, stream: trio.SocketStream) -> Connection:
        assert self._nursery is not None
        return Connection(
            stream=sockets.Stream(stream=stream),
            handler=self._handler,
            source=self._source,
            limits=self._limits,
            spawn=self._nursery.start_soon,
            log=self._log,
            request_id_header=self._request_id_header,
            requests=pipeline.Pipeline(
                depth=self._pipeline_depth, overlap=self._overlap
            ),
            budget=self._budget,
            may_overlap=self._may_overlap,
        )

    def _make_room(self) -> None:
        """Closes connections without a request, those longest open first."""
        now = clock.monotonic()
        if now - self._made_room_at < ROOM_INTERVAL:
            return
        self._made_room_at = now
        unused = [
            connection
            for connection in self._connections
            if connection.awaits_first_request
            and now - connection.opened_at >= MIN_UNUSED_TIME
        ]
        unused.sort(key=lambda connection: connection.opened_at)
        for connection in unused[:ROOM]:
            connection.close_unused()

    async def _sweep(self) -> None:
        """Checks all connections from time to time."""
        while True:
            due = clock.monotonic() + SWEEP_INTERVAL
            await trio.sleep(SWEEP_INTERVAL)
            # In a method of its own: a variable of this task would hold the
            # last connection, and its answer, up to the next check.
            self._check_connections(max(0.0, clock.monotonic() - due))

    def _check_connections(self, delay: float) -> None:
        """Closes connections after a disconnect or a timeout, or that stall.

        Args:
          delay: Seconds by which this check runs late.
        """
        now = clock.monotonic()
        limits = self._limits()
        connections = list(self._connections)
        for connection in connections:
            connection.check_liveness(now, limits, delay)
        cut = slow_readers.choose_cut(
            (
                slow_readers.Reader(
                    number=number,
                    held=held,
                    # A late loop has sent nothing meanwhile.
                    stalled=connection.stalled_for(now) - delay,
                )
                for number, connection in enumerate(connections)
                if (held := connection.held)
            ),
            self._budget.answer_limit,
        )
        for number in cut:
            connections[number].close_stalled()
