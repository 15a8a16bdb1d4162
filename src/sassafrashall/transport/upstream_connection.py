"""A connection to an upstream, for one exchange at a time."""

from __future__ import annotations

from collections.abc import Callable
import re

import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import logs
from sassafrashall import mailbox
from sassafrashall import messages
from sassafrashall import model
from sassafrashall.transport import http
from sassafrashall.transport import http1
from sassafrashall.transport import memory_budget
from sassafrashall.transport import sockets

HEAD_LIMIT = 64 * 1024  # bytes of a response's head
IDLE_MARGIN = 2.0  # seconds of the upstream's idle timeout that stay unused
DEFAULT_KEEP_ALIVE = 5.0  # seconds, if the upstream sends no Keep-Alive timeout
MAX_STRAY_ANSWERS = 4  # answers to other requests that are skipped
# Bytes of interim responses and answers to other requests before an answer.
MAX_SKIPPED_SIZE = 1024 * 1024
MAX_FAILED_IDS = 64  # error responses after which a connection is replaced
# Characters of an ID that are kept. Callers choose IDs, which may be as long as
# a head; one with the same beginning as another is sent on another connection.
MAX_FAILED_ID = 256

_TIMEOUT = re.compile(r"[0-9]{1,9}")  # seconds in a Keep-Alive header


class _Exchange:
    """A request on a connection, and what has arrived of its response."""

    def __init__(
        self,
        *,
        message: messages.UpstreamExchange,
        request: http.RawRequest,
        reply: mailbox.Reply,
    ) -> None:
        self.message = message
        self.request = request
        self.reply = reply
        self.head: http1.ResponseHead | None = None
        # Whether the response bears the ID of the request.
        self.identified = False
        self.parts: list[bytes] = []
        self.size = 0
        self.stray_count = 0
        self.skipped_size = 0
        self.skipping_stray = False
        # Whether the deadline has passed while bytes waited to be read.
        self.overdue = False
        self.uploaded = request.rest is None
        self.upload_scope: trio.CancelScope | None = None


class UpstreamConnection:
    """Owns a socket to an upstream; its task reads for as long as it is open.

    An answer to another request is skipped: an upstream may send a late one
    before the answer to the current request. It may also send an error response
    twice. The second one must not be taken for the response to a later request,
    since it may say that the request was not run. So a response without an ID
    counts only as the first on its connection, and no request is sent on a
    connection that has carried an error response to the same ID.
    """

    def __init__(
        self,
        *,
        stream: sockets.Stream,
        address: model.Address,
        on_idle: Callable[[UpstreamConnection], None],
        on_resend: Callable[[messages.UpstreamExchange, mailbox.Reply], None],
        log: connection_log.ConnectionLog,
        budget: memory_budget.MemoryBudget | None = None,
    ) -> None:
        """Takes over a socket.

        Args:
          stream: The socket.
          address: Where the upstream listens.
          on_idle: Called when another exchange may start.
          on_resend: Called with an exchange of which no byte could be sent,
            since the upstream had closed the idle connection.
          log: Records why the connection is closed.
          budget: Bounds the memory of the heads of responses; None for one of
            its own.
        """
        self._stream = stream
        self._address = address
        self._on_idle = on_idle
        self._on_resend = on_resend
        self._log = log
        self._parser = http1.ResponseParser(head_limit=HEAD_LIMIT)
        self._memory = (budget or memory_budget.MemoryBudget()).open(
            memory_budget.keep
        )
        self._head_cost = 0  # of the response in progress
        self._exchange: _Exchange | None = None
        self._nursery: trio.Nursery | None = None
        self._streamed_body: _ResponseBody | None = None
        self._streaming_ended = trio.Event()
        self._open = True
        self._reusable = True
        # A failed send takes the error of a reset, which then reads as an end.
        self._send_failed = False
        self._exchange_count = 0
        # IDs of the requests that got an error response.
        self._failed_ids: set[str] = set()
        self._idle_before_exchange = 0.0
        self._idle_since = clock.monotonic()
        self._expires_at = self._idle_since + DEFAULT_KEEP_ALIVE

    @property
    def address(self) -> model.Address:
        """Where the upstream listens."""
        return self._address

    @property
    def deadline(self) -> float:
        """Monotonic seconds of the exchange's deadline; infinite if idle."""
        if self._exchange is None:
            return float("inf")
        return self._exchange.message.deadline

    @property
    def is_intact(self) -> bool:
        """Whether the upstream has neither closed it nor sent stray bytes.

        The reading task may not have noticed that yet.
        """
        return self._open and self._stream.is_idle

    def is_usable(self, max_idle: float, now: float) -> bool:
        """Returns whether another exchange may start.

        Args:
          max_idle: Seconds without use up to which the connection is usable.
          now: Monotonic seconds.
        """
        return (
            self._open
            and self._reusable
            and self._exchange is None
            and now < self._expires_at
            and now - self._idle_since <= max_idle
        )

    def can_identify(self, is_answer: model.ResponseMatcher) -> bool:
        """Returns whether the response to a request can't be mistaken."""
        request_id = is_answer.request_id
        return request_id is not None and (
            request_id[:MAX_FAILED_ID] not in self._failed_ids
        )

    def start_exchange(
        self, message: messages.UpstreamExchange, reply: mailbox.Reply
    ) -> None:
        """Sends a request; `reply` gets the response or the failure."""
        started_at = clock.monotonic()
        try:
            request = message.encode(started_at)
        except exceptions.SendRefusedError as error:
            self._on_idle(self)
            reply.fail(error)
            return
        self._reusable = False
        self._exchange_count += 1
        self._idle_before_exchange = started_at - self._idle_since
        self._parser.without_body = request.method == "HEAD"
        exchange = self._exchange = _Exchange(
            message=message, request=request, reply=reply
        )
        reply.on_abandon(self._close_abandoned)
        try:
            head = _encode_head(request)
        except UnicodeEncodeError as error:
            # Headers of the system hold names from the configuration.
            self._fail_unsent(message, reply, str(error))
            return
        if request.rest is not None:
            assert self._nursery is not None
            self._nursery.start_soon(self._upload, exchange, head)
            return
        data = head + request.body
        try:
            sent = self._stream.send_nowait(data)
        except OSError as error:
            self._fail_unsent(message, reply, str(error))
            return
        if sent < len(data):
            assert self._nursery is not None
            exchange.uploaded = False
            self._nursery.start_soon(
                self._send_remaining, exchange, data[sent:]
            )

    async def run(
        self, message: messages.UpstreamExchange, reply: mailbox.Reply
    ) -> None:
        """Starts an exchange and reads until the connection ends."""
        detail = "the upstream closed the connection"
        reason = connection_log.Reason.PROCESS_END
        try:
            async with trio.open_nursery() as self._nursery:
                self.start_exchange(message, reply)
                try:
                    await self._read()
                    reason = connection_log.Reason.DISCONNECT
                finally:
                    # Other tasks run before the nursery has ended.
                    self._reusable = False
                self._nursery.cancel_scope.cancel()
        except* (OSError, trio.ClosedResourceError) as group:
            detail = str(group.exceptions[0]) or detail
            reason = connection_log.Reason.DISCONNECT
        except* exceptions.SassafrashallError as group:
            detail = str(group.exceptions[0])
            reason = connection_log.Reason.BAD_INPUT
        except* Exception:
            # An exception must not end the requests of other callers.
            logs.get().exception(
                "unhandled exception on a connection to an upstream"
            )
            detail = "a fault inside the system; its log says more"
            reason = connection_log.Reason.HANDLER_FAILED
        finally:
            self.close(reason)
            self._end_exchange(detail)
            self._parser.close()

    def _end_exchange(self, detail: str) -> None:
        """Fails the exchange in progress as the connection ends.

        An upstream that has closed an idle connection can't be told from one
        that reads the request and closes it then. So the request may have run,
        and only the calling node, which bounds retries, sends it again.
        """
        exchange, self._exchange = self._exchange, None
        if exchange is None or exchange.reply.abandoned:
            return
        exchange.reply.on_abandon(None)
        exchange.reply.fail(
            exceptions.ConnectionFailedError(detail, maybe_delivered=True)
        )

    async def _read(self) -> None:
        while True:
            data = await self._stream.receive(http.RECEIVE_SIZE)
            if self._exchange is None:
                # The upstream closed the idle connection or sent stray bytes.
                if data:
                    self.close(connection_log.Reason.BAD_INPUT)
                return
            size = len(data)
            if data:
                self._parser.feed(data)
            elif not self._send_failed:
                self._parser.feed_eof()
            # The parser has it; a long wait may follow.
            del data
            exchange = self._exchange
            if exchange.head is None:
                exchange.skipped_size += size
            while (event := self._parser.next_event()) is not None:
                self._on_event(event)
                if self._streamed_body is not None:
                    await self._streaming_ended.wait()
                    self._streamed_body = None
                    if not self._reusable:
                        return
                    self._on_idle(self)
            if not size or not self._open:
                return
            if exchange.head is None and (
                exchange.skipped_size > MAX_SKIPPED_SIZE
            ):
                raise _protocol_error("too many bytes before an answer")

    def _on_event(self, event: http1.Event) -> None:
        exchange = self._exchange
        if exchange is None:
            raise _protocol_error("bytes after an answer")
        match event:
            case http1.ResponseHead(cost=cost):
                self._memory.admit(cost)
                self._head_cost += cost
                self._on_head(exchange, event)
            case http1.BodyPart(data=data):
                if not exchange.skipping_stray:
                    exchange.parts.append(data)
                    exchange.size += len(data)
                    if exchange.size > http.BUFFERED_BODY_LIMIT:
                        self._start_streaming(exchange)
            case http1.MessageEnd():
                if exchange.skipping_stray:
                    exchange.skipping_stray = False
                else:
                    self._deliver_response(exchange)

    def _on_head(self, exchange: _Exchange, head: http1.ResponseHead) -> None:
        is_answer = exchange.message.is_answer
        if is_answer(head.status, head.headers):
            exchange.identified = is_answer.is_identified(head.headers)
            is_first = self._exchange_count == 1 and not exchange.stray_count
            if not exchange.identified and not is_first:
                raise _protocol_error("a response without a request ID")
            exchange.head = head
            return
        exchange.stray_count += 1
        exchange.skipping_stray = True
        if (
            exchange.stray_count > MAX_STRAY_ANSWERS
            or head.ends_with_connection
        ):
            raise _protocol_error("answers to other requests on the connection")

    def _deliver_response(self, exchange: _Exchange) -> None:
        """Handles a complete response."""
        head = exchange.head
        if head is None:
            raise _protocol_error("a body without a head")
        self._finish_exchange(exchange, head)
        # `reply.put` may start the next exchange before it returns.
        if self._reusable:
            self._on_idle(self)
        exchange.reply.put(
            model.Response(
                status=head.status,
                headers=head.headers,
                body=b"".join(exchange.parts),
            )
        )

    def _finish_exchange(
        self, exchange: _Exchange, head: http1.ResponseHead
    ) -> None:
        """Ends the exchange, and the connection unless it is reusable."""
        keep_alive_time = _keep_alive_time(head.headers)
        exchange.reply.on_abandon(None)
        # After an early response the upload ends, and so does the connection.
        if exchange.upload_scope is not None:
            exchange.upload_scope.cancel()
        self._exchange = None
        self._memory.release(self._head_cost)
        self._head_cost = 0
        self._idle_since = clock.monotonic()
        self._expires_at = self._idle_since + keep_alive_time
        request_id = exchange.message.is_answer.request_id
        if head.status >= 400 and request_id is not None:
            self._failed_ids.add(request_id[:MAX_FAILED_ID])
        self._reusable = (
            self._open
            and exchange.uploaded
            and exchange.identified
            and len(self._failed_ids) < MAX_FAILED_IDS
            and exchange.stray_count == 0
            and head.keep_alive
            and self._parser.at_boundary
        )
        if not self._reusable:
            self.close(
                connection_log.Reason.RETIRED
                if head.keep_alive
                else connection_log.Reason.ANNOUNCED
            )

    def _start_streaming(self, exchange: _Exchange) -> None:
        """Replies with the beginning of a body and a reader for the rest."""
        head = exchange.head
        if head is None:
            raise _protocol_error("a body without a head")
        self._streaming_ended = trio.Event()
        self._streamed_body = _ResponseBody(connection=self, exchange=exchange)
        body = b"".join(exchange.parts)
        exchange.parts.clear()
        exchange.reply.on_abandon(None)
        exchange.reply.put(
            model.Response(
                status=head.status,
                headers=head.headers,
                body=body,
                rest=self._streamed_body,
            )
        )
        # It would hold the response for as long as the rest is read.
        exchange.reply = mailbox.NO_REPLY

    def expire_exchange(self) -> None:
        """Fails the exchange at its deadline and closes the connection.

        If bytes wait in the socket, only the next call does so: an answer that
        arrived in time may not have been read yet by a loop that runs late.
        """
        exchange = self._exchange
        if exchange is not None and self._streamed_body is None:
            if (
                self._open
                and not exchange.overdue
                and self._stream.has_unread_bytes
            ):
                exchange.overdue = True
                return
            self._close_at_deadline(exchange)
            self._exchange = None
            exchange.reply.on_abandon(None)
            exchange.reply.fail(
                exceptions.ConnectionFailedError(
                    "no answer by the deadline",
                    maybe_delivered=True,
                    expired=True,
                )
            )
        elif exchange is not None:
            # The reader gets the error, if there still is one.
            self._close_at_deadline(exchange)
            self._exchange = None
            self._release_stream(exchange)

    def _fail_unsent(
        self,
        message: messages.UpstreamExchange,
        reply: mailbox.Reply,
        detail: str,
    ) -> None:
        """Fails or resends a request of which no byte could be sent."""
        self.close(connection_log.Reason.DISCONNECT)
        self._exchange = None
        reply.on_abandon(None)
        if self._exchange_count > 1:
            self._on_resend(message, reply)
        else:
            reply.fail(
                exceptions.ConnectionFailedError(detail, maybe_delivered=False)
            )

    def _fail_upload(self, detail: str) -> None:
        """Fails the exchange, whose caller broke the request off."""
        self.close(connection_log.Reason.ABANDONED)
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.reply.on_abandon(None)
            exchange.reply.fail(
                exceptions.ConnectionFailedError(
                    detail, maybe_delivered=True, by_caller=True
                )
            )
            if self._streamed_body is not None:
                self._release_stream(exchange)

    # --- sending of long requests --------------------------------------------

    async def _send_remaining(self, exchange: _Exchange, data: bytes) -> None:
        """Sends what the socket didn't take; the response may arrive before."""
        with trio.CancelScope() as exchange.upload_scope:
            try:
                await self._stream.send(data)
                exchange.uploaded = True
            except (OSError, trio.ClosedResourceError):
                # The reading task gets the response that was sent before the
                # upstream closed, or the end of the connection.
                self._send_failed = True

    async def _upload(self, exchange: _Exchange, data: bytes) -> None:
        """Sends `data`, which is the head, and then a long body.

        The response may arrive before its end.
        """
        request = exchange.request
        assert request.rest is not None
        length = model.find_header(request.headers, "content-length")
        encode = http1.encode_chunk if length is None else bytes
        if request.body:
            data += encode(request.body)
        with trio.CancelScope() as exchange.upload_scope:
            try:
                while data:
                    await self._stream.send(data)
                    part = await request.rest.read()
                    data = encode(part) if part else b""
                if length is None:
                    await self._stream.send(http1.LAST_CHUNK)
                exchange.uploaded = True
            except (OSError, trio.ClosedResourceError):
                self._send_failed = True
            except exceptions.SassafrashallError as error:
                if self._exchange is exchange:
                    self._fail_upload(str(error))

    # --- streaming of long responses -----------------------------------------

    async def next_event(self) -> http1.Event:
        """Returns the next event of a streamed response.

        Raises:
          ConnectionFailedError: The connection ended or sent invalid HTTP.
        """
        try:
            while True:
                event = self._parser.next_event()
                if event is not None:
                    return event
                data = await self._stream.receive(http.RECEIVE_SIZE)
                if data:
                    self._parser.feed(data)
                    continue
                if not self._send_failed:
                    self._parser.feed_eof()
                event = self._parser.next_event()
                if event is None:
                    raise OSError("the upstream closed the connection")
                return event
        except (
            OSError,
            trio.ClosedResourceError,
            exceptions.ProtocolError,
        ) as error:
            self.close(
                connection_log.Reason.BAD_INPUT
                if isinstance(error, exceptions.ProtocolError)
                else connection_log.Reason.DISCONNECT
            )
            raise exceptions.ConnectionFailedError(
                str(error), maybe_delivered=True
            ) from error

    def end_streaming(self, exchange: _Exchange, *, complete: bool) -> None:
        """Ends a streamed response, which is complete or abandoned."""
        if complete and exchange.head is not None:
            self._finish_exchange(exchange, exchange.head)
        else:
            self.close(connection_log.Reason.ABANDONED)
            self._exchange = None
            self._reusable = False
        self._release_stream(exchange, complete=complete)

    def _release_stream(
        self, exchange: _Exchange, *, complete: bool = False
    ) -> None:
        """Lets the reading task go on, and tells the sender of the message."""
        self._streaming_ended.set()
        if exchange.message.on_streamed is not None:
            exchange.message.on_streamed(complete)

    def close_broken(self) -> None:
        """Closes an idle connection that is not intact."""
        self.close(
            connection_log.Reason.DISCONNECT
            if self._stream.is_closed_by_peer
            else connection_log.Reason.BAD_INPUT
        )

    def close(
        self, reason: connection_log.Reason, *, delay: float = 0.0
    ) -> None:
        """Closes the socket, which also cancels a request at the upstream.

        Args:
          reason: Why, for the log; only the first call counts.
          delay: Seconds by which the check that led to it ran late.
        """
        if not self._open:
            return
        self._open = False
        self._stream.close()
        self._memory.close()
        exchange = self._exchange
        request_id = None
        idle = clock.monotonic() - self._idle_since
        if exchange is not None:
            request_id = exchange.message.is_answer.request_id
            idle = self._idle_before_exchange
        self._log.write(
            connection_log.Closure(
                reason=reason,
                unanswered=exchange is not None,
                request_id=request_id or "",
                idle_s=idle,
                delay_s=delay,
            )
        )

    def _close_abandoned(self) -> None:
        self.close(connection_log.Reason.ABANDONED)

    def _close_at_deadline(self, exchange: _Exchange) -> None:
        delay = clock.monotonic() - exchange.message.deadline
        self.close(connection_log.Reason.DEADLINE, delay=delay)


class _ResponseBody:
    """The rest of a long response, read from its connection on demand.

    The response refers to it, and its exchange to the response, so that it
    lets go of the exchange at the end.
    """

    def __init__(
        self, *, connection: UpstreamConnection, exchange: _Exchange
    ) -> None:
        self._connection = connection
        self._exchange: _Exchange | None = exchange

    async def read(self) -> bytes:
        """Returns the next bytes, or none at the end.

        Raises:
          ConnectionFailedError: The response can't be completed.
        """
        if self._exchange is None:
            return b""
        match await self._connection.next_event():
            case http1.BodyPart(data=data):
                return data
            case http1.MessageEnd():
                self._end(complete=True)
                return b""
            case _:
                raise exceptions.ConnectionFailedError(
                    "another answer in place of a body", maybe_delivered=True
                )

    async def close(self) -> None:
        """Abandons the rest; does nothing after the end."""
        self._end(complete=False)

    def _end(self, *, complete: bool) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._connection.end_streaming(exchange, complete=complete)


def _encode_head(request: http.RawRequest) -> bytes:
    """Returns the head of a request.

    Raises:
      UnicodeEncodeError: A header has a character that HTTP can't carry.
    """
    headers = request.headers
    length: int | None = len(request.body)
    if request.rest is not None:
        value = model.find_header(headers, "content-length")
        length = None if value is None else int(value)
        headers = tuple(h for h in headers if h[0] != "content-length")
    return http1.encode_request_head(
        request.method, request.target, headers, length
    )


def _protocol_error(detail: str) -> exceptions.ProtocolError:
    return exceptions.ProtocolError(exceptions.UPSTREAM_FAILED, detail)


def _keep_alive_time(headers: model.Headers) -> float:
    """Returns the seconds for which the connection may stay idle."""
    value = model.find_header(headers, "keep-alive")
    if value is None:
        return DEFAULT_KEEP_ALIVE
    for part in value.split(","):
        name, _, seconds = part.strip().partition("=")
        if name.lower() == "timeout" and _TIMEOUT.fullmatch(seconds):
            return max(0.0, int(seconds) - IDLE_MARGIN)
    return DEFAULT_KEEP_ALIVE
