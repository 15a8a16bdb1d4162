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
from sassafrashall.decisions import connection_lifetime
from sassafrashall.decisions import memory_limits
from sassafrashall.decisions import slow_readers
from sassafrashall.transport import codec
from sassafrashall.transport import http
from sassafrashall.transport import http1
from sassafrashall.transport import listener
from sassafrashall.transport import memory_budget
from sassafrashall.transport import sockets

LINGER_TIME = 1.0  # seconds to discard a body after an early response
REJECT_TIMEOUT = 1.0  # seconds to send the response to invalid input
SLOW_READER_TIMEOUT = 30.0  # seconds after which a blocked send is aborted
SWEEP_INTERVAL = 0.2  # seconds between checks for disconnects and timeouts
CONNECTION_LIMIT = 3000  # leaves descriptors for peers and the upstream
# Bytes of one read, at most, while the head of a request is awaited and while a
# request is in progress. What is read ahead can't be dropped.
HEAD_RECEIVE_SIZE = 16 * 1024
AHEAD_RECEIVE_SIZE = 4 * 1024
# Connections closed at once if a further one arrives at a full listener, and
# the seconds until more are closed. 640 a second are as many as an ordinary
# node serves requests.
ROOM = 64
ROOM_INTERVAL = 0.1
# Seconds for which a connection may send no whole head, at a full listener.
MIN_UNUSED_TIME = 1.0

Handler = Callable[[http.RawRequest], Awaitable[model.Response]]
LimitsSource = Callable[[], configuration.Limits]
# Runs an asynchronous function in a task of its own.
Spawn = Callable[..., None]


class _RequestBody:
    """The rest of a request's body, read from its connection on demand."""

    def __init__(
        self, *, connection: Connection, exchange: _Exchange, limit: int
    ) -> None:
        self._connection = connection
        self._exchange = exchange
        self._remaining_limit = limit
        self.ended = False
        # Cancels the read of the task that uploads the body.
        self._read_scope: trio.CancelScope | None = None
        self._read_ended = trio.Event()
        self._discarding = False

    async def read(self) -> bytes:
        """Returns the next bytes, or none at the end.

        Raises:
          ProtocolError: The body is too large or malformed.
          ConnectionFailedError: The caller disconnected, or the request has
            been answered.
        """
        if not self._discarding:
            self._read_ended = trio.Event()
            try:
                with trio.CancelScope() as self._read_scope:
                    return await self._read()
            finally:
                self._read_scope = None
                self._read_ended.set()
        raise exceptions.ConnectionFailedError(
            "the request has been answered", maybe_delivered=True
        )

    async def discard(self) -> None:
        """Reads up to the end, once the task that uploads the body has stopped.

        Two tasks must not wait for the same socket.

        Raises:
          ProtocolError: The body is too large or malformed.
          ConnectionFailedError: The caller disconnected.
        """
        self._discarding = True
        if self._read_scope is not None:
            self._read_scope.cancel()
            await self._read_ended.wait()
        while await self._read():
            pass

    async def _read(self) -> bytes:
        if self.ended:
            return b""
        try:
            event = await self._connection.next_event()
        except (OSError, trio.ClosedResourceError) as error:
            # An upload would take it for an error of its own connection.
            raise exceptions.ConnectionFailedError(
                str(error) or "the caller broke off", maybe_delivered=True
            ) from error
        match event:
            case http1.BodyPart(data=data):
                self._remaining_limit -= len(data)
                if self._remaining_limit < 0:
                    raise exceptions.ProtocolError(
                        exceptions.BODY_TOO_LARGE, "the body is too large"
                    )
                self._exchange.count_part(len(data))
                return data
            case http1.MessageEnd():
                self.ended = True
                return b""
            case _:
                raise exceptions.ConnectionFailedError(
                    "the caller broke off", maybe_delivered=True
                )

    async def close(self) -> None:
        """Does nothing; the connection discards what is unread."""


class _Exchange:
    """A request in progress, with the fiber and the task that respond to it."""

    def __init__(self, *, head: http1.RequestHead) -> None:
        self.head = head
        # Estimated bytes of memory until the end of the request.
        self.cost = head.cost
        # Whether the handler has got the request.
        self.handled = False
        # Estimated bytes of the part of the body that was read until then.
        self.buffered = 0
        self.fiber: fiber.Fiber | None = None
        # Cancels the task that sends what would block the fiber.
        self.send_scope: trio.CancelScope | None = None
        self._ended = False
        self._end_event: trio.Event | None = None

    def cancel(self) -> None:
        """Cancels the request, since nobody waits for its response."""
        if self.fiber is not None:
            self.fiber.cancel()
        if self.send_scope is not None:
            self.send_scope.cancel()

    def end(self) -> None:
        """Marks the end of the request, with or without a response."""
        self._ended = True
        if self._end_event is not None:
            self._end_event.set()

    def count_part(self, size: int) -> None:
        """Counts a part of the body of `size` bytes that was read."""
        if not self.handled:
            self.buffered += size + memory_limits.PART_COST

    async def wait_ended(self) -> None:
        """Waits until `end` is called."""
        if not self._ended:
            self._end_event = self._end_event or trio.Event()
            await self._end_event.wait()


class Connection:
    """An accepted connection.

    Its task also reads while a request is in progress, so that it detects a
    disconnect at once. A fiber handles a request with a short body, up to
    `http.BUFFERED_BODY_LIMIT`. The task itself handles one with a long body and
    reads the rest on demand; the server then checks for a disconnect from time
    to time.
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
        budget: memory_budget.MemoryBudget,
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
        self._exchange: _Exchange | None = None
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
        self._unanswered: _Exchange | None = None

    async def serve(self) -> None:
        """Runs until either side closes the connection."""
        reason = connection_log.Reason.PROCESS_END
        try:
            with self._scope:
                await self._serve_requests()
            reason = self._close_reason or connection_log.Reason.DISCONNECT
        except (OSError, trio.ClosedResourceError):
            reason = self._close_reason or connection_log.Reason.DISCONNECT
        finally:
            unanswered = self._exchange or self._unanswered
            if self._exchange is not None:
                self._exchange.cancel()
            self._stream.close()
            self._parser.close()
            self._memory.close()
            self._log_closure(reason, unanswered)

    def _log_closure(
        self, reason: connection_log.Reason, unanswered: _Exchange | None
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
        if self._exchange is not None:
            if not self._awaits_input and self._stream.is_closed_by_peer:
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

    @property
    def held(self) -> int:
        """Bytes in memory that wait for the caller to take its answer."""
        if not self._stream.unsent:
            return 0
        return self._stream.unsent + http.STREAM_WINDOW

    def stalled_for(self, now: float) -> float:
        """Returns the seconds since the caller took a byte of its answer."""
        return now - self._stream.progress_at

    def close_stalled(self) -> None:
        """Closes the connection, whose caller does not take its answer."""
        self._close(connection_log.Reason.STALLED)

    @property
    def awaits_first_request(self) -> bool:
        """Whether no request has come on this connection."""
        return not self._has_served and self._exchange is None

    def close_unused(self) -> None:
        """Closes the connection in favour of one that has just arrived."""
        self._closing = True
        self._close(connection_log.Reason.FULL)

    def _try_remove(self) -> bool:
        """Closes the connection for lack of memory; see `MemoryBudget.open`."""
        if self._exchange is not None and self._exchange.handled:
            return False
        self._closing = True
        self._close(connection_log.Reason.MEMORY)
        self._parser.close()
        return True

    def _close_unless_input(
        self, reason: connection_log.Reason, idle: float, delay: float
    ) -> None:
        """Closes the connection, or serves the input that has arrived.

        A cancelled task runs on until its next checkpoint. If it was already
        scheduled, it would read a request, dispatch it, and be cancelled then.
        """
        if self._awaits_input and self._stream.is_idle:
            self._closing = True
            self._close_idle_time = idle
            self._close_delay = delay
            self._close(reason)

    def _close(self, reason: connection_log.Reason) -> None:
        self._close_reason = self._close_reason or reason
        self._scope.cancel()

    async def next_event(self) -> http1.Event | None:
        """Waits for the next event; returns None after a disconnect.

        Raises:
          ProtocolError: The caller sent invalid HTTP.
        """
        while True:
            event = self._parser.next_event()
            if event is not None:
                _count_event(self._memory, self._parser, event)
                return event
            _count_input(self._memory, self._parser, self._exchange)
            self._awaits_input = True
            try:
                data = await self._stream.receive(_receive_size(self._exchange))
            finally:
                self._awaits_input = False
            if not data or self._closing:
                return None
            if self._exchange is not None and self._exchange.fiber is not None:
                # These bytes belong to a pipelined request, which waits for the
                # end of this one. Nothing more is read until then.
                await self._exchange.wait_ended()
            self._parser.feed(data)
            if (
                isinstance(self._activity, connection_lifetime.Idle)
                and self._parser.head_incomplete
            ):
                self._activity = connection_lifetime.ReceivingHead(
                    since=clock.monotonic()
                )

    async def _serve_requests(self) -> None:
        while not self._closing:
            try:
                head = await self.next_event()
                if self._exchange is not None and head is not None:
                    await self._exchange.wait_ended()
                if self._closing or not isinstance(head, http1.RequestHead):
                    return
                await self._start_request(head)
            except exceptions.ProtocolError as error:
                self._close_reason = _reason_of(error)
                await self._reject_input(error)
                return
            except exceptions.ConnectionFailedError:
                return

    async def _start_request(self, head: http1.RequestHead) -> None:
        """Starts a request, and completes it as well if its body is long."""
        body_limit = self._limits().body_bytes
        if head.length is not None and head.length > body_limit:
            raise exceptions.ProtocolError(
                exceptions.BODY_TOO_LARGE, "the body is too large"
            )
        exchange = self._exchange = _Exchange(head=head)
        self._has_served = True
        self._activity = connection_lifetime.Serving()
        received_at = clock.monotonic()
        if model.find_header(head.headers, "expect") is not None:
            await self._stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        rest = _RequestBody(
            connection=self, exchange=exchange, limit=body_limit
        )
        body = await http.read_buffered_part(rest)
        _count_body(self._memory, self._parser, exchange, body)
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
        complete = await self._send_body(
            *self._encode_start(exchange, response, closes)
        )
        if not rest.ended:
            await self._discard_rest(rest)
        self._end_exchange(exchange, _close_reason_after(complete, closes))

    async def _respond(
        self, exchange: _Exchange, request: http.RawRequest
    ) -> None:
        """Handles a request in a fiber; a task sends what would block."""
        response = await self._handler(request)
        closes = self._must_close(exchange)
        data, rest, chunked = self._encode_start(exchange, response, closes)
        # What has been encoded is not held twice.
        del response
        if rest is not None:
            exchange.send_scope = trio.CancelScope()
            self._spawn(
                self._send_in_task, exchange, data, rest, chunked, closes
            )
            return
        try:
            sent = self._stream.send_nowait(data)
        except OSError:
            self._end_exchange(exchange, connection_log.Reason.DISCONNECT)
            return
        if sent < len(data):
            exchange.send_scope = trio.CancelScope()
            self._spawn(
                self._send_in_task, exchange, data[sent:], None, False, closes
            )
            return
        self._end_exchange(exchange, _close_reason_after(True, closes))

    async def _send_in_task(
        self,
        exchange: _Exchange,
        data: bytes,
        rest: model.BodyReader | None,
        chunked: bool,
        closes: bool,
    ) -> None:
        """Sends a response, or what is left of it; see `_send_body`."""
        complete = False
        assert exchange.send_scope is not None
        try:
            with exchange.send_scope:
                complete = await self._send_body(data, rest, chunked)
        except (OSError, trio.ClosedResourceError):
            pass
        except Exception:
            # An exception must not end the connections of other callers.
            logs.get().exception("unhandled exception while sending a response")
        finally:
            self._end_exchange(exchange, _close_reason_after(complete, closes))

    def _on_fiber_end(self, exchange: _Exchange) -> None:
        """Ends an exchange whose fiber failed or was cancelled."""
        if exchange.send_scope is None:
            self._end_exchange(exchange, connection_log.Reason.HANDLER_FAILED)

    def _must_close(self, exchange: _Exchange) -> bool:
        return self._expiring or not exchange.head.keep_alive

    def _end_exchange(
        self, exchange: _Exchange, close_reason: connection_log.Reason | None
    ) -> None:
        """Ends an exchange, and closes the connection if a reason is given."""
        if self._exchange is not exchange:
            return
        self._exchange = None
        self._memory.release(exchange.cost)
        self._activity = self._activity_between_requests()
        if close_reason is not None:
            if close_reason is not connection_log.Reason.ANNOUNCED:
                self._unanswered = exchange
            self._closing = True
            self._close(close_reason)
        exchange.end()

    def _activity_between_requests(self) -> connection_lifetime.Activity:
        now = clock.monotonic()
        if self._parser.head_incomplete:
            return connection_lifetime.ReceivingHead(since=now)
        return connection_lifetime.Idle(since=now, timeout=self._idle_timeout)

    def _encode_response(
        self, exchange: _Exchange, response: model.Response, closes: bool
    ) -> bytes:
        """Encodes a response whose body is complete or must not be sent."""
        head_only = exchange.head.method == "HEAD"
        length = len(response.body)
        if head_only:
            length = _content_length(response.headers) or 0
        head = self._encode_head(response, length, closes)
        if head_only or response.status in (204, 304):
            return head
        return head + response.body

    def _encode_head(
        self, response: model.Response, length: int | None, closes: bool
    ) -> bytes:
        headers = response.headers
        self._idle_timeout = self._limits().idle_timeout_s
        timeout = connection_lifetime.announced_timeout(self._idle_timeout)
        if timeout and not closes:
            headers = (*headers, ("keep-alive", f"timeout={timeout}"))
        return http1.encode_response_head(
            response.status, headers, length, closes
        )

    def _encode_start(
        self, exchange: _Exchange, response: model.Response, closes: bool
    ) -> tuple[bytes, model.BodyReader | None, bool]:
        """Encodes a response up to the end of the body that has arrived.

        Returns:
          The bytes, the rest of the body, and whether that is sent in chunks.
        """
        bodiless = response.status in (204, 304)
        if response.rest is None or bodiless or exchange.head.method == "HEAD":
            data = self._encode_response(exchange, response, closes)
            return data, None, False
        length = _content_length(response.headers)
        head = self._encode_head(response, length, closes)
        encode = _body_encoder(length is None)
        body = encode(response.body) if response.body else b""
        return head + body, response.rest, length is None

    async def _send_body(
        self, data: bytes, rest: model.BodyReader | None, chunked: bool
    ) -> bool:
        """Sends `data` and the rest of a body.

        Returns whether all of it was sent.
        """
        encode = _body_encoder(chunked)
        try:
            while data:
                with trio.fail_after(SLOW_READER_TIMEOUT):
                    await self._stream.send(data)
                data = b""
                if rest is not None and (chunk := await rest.read()):
                    data, chunk = encode(chunk), b""
        except (exceptions.ConnectionFailedError, trio.TooSlowError):
            # The connection closes before the end of the body, which shows
            # the caller that the response is incomplete.
            return False
        finally:
            if rest is not None:
                with trio.CancelScope(shield=True):
                    await rest.close()
        if chunked:
            await self._stream.send(http1.LAST_CHUNK)
        return True

    async def _reject_input(self, error: exceptions.ProtocolError) -> None:
        """Responds to invalid input, after the response in progress."""
        if self._exchange is not None and self._exchange.fiber is not None:
            await self._exchange.wait_ended()
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
            self._exchange = None

    async def _discard_rest(self, rest: _RequestBody) -> None:
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
    exchange: _Exchange | None,
) -> None:
    """Counts the input that waits for more."""
    held = parser.held
    if exchange is not None and not exchange.handled:
        held += exchange.buffered
    account.hold_input(held)


def _count_body(
    account: memory_budget.Account,
    parser: http1.RequestParser,
    exchange: _Exchange,
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
    exchange.handled = True


def _receive_size(exchange: _Exchange | None) -> int:
    """Returns how many bytes may be read at once."""
    if exchange is None:
        return HEAD_RECEIVE_SIZE
    if exchange.fiber is not None:
        return AHEAD_RECEIVE_SIZE
    return http.RECEIVE_SIZE


def _reason_of(error: exceptions.ProtocolError) -> connection_log.Reason:
    """Returns why a connection is closed after an error in its input."""
    if error.code == exceptions.MEMORY_SHORT:
        return connection_log.Reason.MEMORY
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


def _body_encoder(chunked: bool) -> Callable[[bytes], bytes]:
    return http1.encode_chunk if chunked else bytes


def _content_length(headers: model.Headers) -> int | None:
    value = model.find_header(headers, "content-length")
    return int(value) if value is not None else None


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
        budget: memory_budget.MemoryBudget | None = None,
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
          budget: Bounds the memory of what is received; None for one of its
            own.
        """
        super().__init__(address=address, connection_limit=CONNECTION_LIMIT)
        self._log = log or connection_log.ConnectionLog(place=source.value)
        self._request_id_header = request_id_header
        self._handler = handler
        self._source = source
        self._limits = limits
        self._budget = budget or memory_budget.MemoryBudget()
        self._made_room_at = 0.0

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
            budget=self._budget,
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
            slow_readers.Reader(
                number=number,
                held=held,
                # A late loop has sent nothing meanwhile.
                stalled=connection.stalled_for(now) - delay,
            )
            for number, connection in enumerate(connections)
            if (held := connection.held)
        )
        for number in cut:
            connections[number].close_stalled()
