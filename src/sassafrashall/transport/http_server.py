"""An HTTP/1.1 server on trio sockets, built on h11, that buffers bodies."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import math

import h11
import trio

from sassafrashall import clock
from sassafrashall import connection_log
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import codec
from sassafrashall.transport import http
from sassafrashall.transport import listener
from sassafrashall.transport import memory_budget

HEAD_LIMIT = 16 * 1024  # bytes
BODY_LIMIT = 1024 * 1024  # bytes
# Bytes of one read, at most. All connections may read before those over the
# bound of memory end.
RECEIVE_SIZE = 16 * 1024
# Bytes of memory for each byte that is buffered: the parts of a body are held
# beside the whole when they are joined, and the parser copies them.
BUFFER_COST = 2
IDLE_TIMEOUT = 75.0  # seconds until the next request begins
REQUEST_TIMEOUT = 10.0  # seconds to receive a whole request
SEND_TIMEOUT = 30.0  # seconds to send a response
# Seconds to receive a whole request, or to send a response, once the server
# stops.
STOP_GRACE = 1.0

Handler = Callable[[http.RawRequest], Awaitable[model.Response]]


class _Body:
    """The part of a body that has arrived, in blocks of about one size.

    Many buffers that grow beside each other would fragment the heap.
    """

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._tail = bytearray()
        self.size = 0

    def append(self, data: bytes) -> None:
        """Appends bytes."""
        self.size += len(data)
        self._tail += data
        if len(self._tail) >= RECEIVE_SIZE:
            self._blocks.append(bytes(self._tail))
            self._tail.clear()

    def join(self) -> bytes:
        """Returns the whole body."""
        return b"".join((*self._blocks, self._tail))


class ServerConnection:
    """Serves the requests of one accepted connection, one at a time."""

    def __init__(
        self,
        *,
        stream: trio.SocketStream,
        handler: Handler,
        source: model.Source,
        log: connection_log.ConnectionLog,
        budget: memory_budget.MemoryBudget,
        body_limit: int,
    ) -> None:
        self._stream = stream
        self._memory = budget.open(self._try_remove)
        self._body_limit = body_limit
        self._queued = 0  # bytes read that the parser has not got yet
        self._fed = 0  # bytes that the parser got of the current request
        self._handling = False
        self._log = log
        self._handler = handler
        self._source = source
        self._protocol = _new_protocol()
        self._body = _Body()
        self._chunk_sender, self._chunk_receiver = trio.open_memory_channel[
            bytes
        ](4)
        self._scope = trio.CancelScope()
        self._request_scope = trio.CancelScope()
        # Ends the wait for the next bytes.
        self._wait_scope = trio.CancelScope()
        # When the wait for a request or for the rest of it ends, in the time
        # of trio.
        self._receive_deadline = math.inf
        # Ends the sending of a response.
        self._send_scope = trio.CancelScope()
        # Whether a request is in progress or bytes of one have been read.
        self._busy = False
        self._stopping = False
        self._closing = False
        self._is_head_request = False
        self._send_lock = trio.Lock()
        self._active_at = clock.monotonic()
        # Why this side closes the connection; None while it does not.
        self._close_reason: connection_log.Reason | None = None
        self._close_delay = 0.0
        # Whether a request has no complete response yet.
        self._unanswered = False

    async def serve(self) -> None:
        """Serves requests until the peer disconnects or `stop` ends it."""
        reason = connection_log.Reason.PROCESS_END
        try:
            async with self._stream:
                await self._run()
            reason = self._close_reason or connection_log.Reason.DISCONNECT
        except Exception:
            reason = connection_log.Reason.HANDLER_FAILED
            raise
        finally:
            self._memory.close()
            self._drop_input()
            self._log.write(
                connection_log.Closure(
                    reason=reason,
                    unanswered=self._unanswered,
                    idle_s=clock.monotonic() - self._active_at,
                    delay_s=self._close_delay,
                )
            )

    async def _run(self) -> None:
        """Reads and serves requests until either of the two ends."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read)
                try:
                    await self._serve_requests()
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    pass
                nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Closes the connection once it is idle.

        A request that has begun to arrive is served first, if the rest of it
        arrives within `STOP_GRACE`. So is one whose response is being sent, if
        the peer takes the rest of it within `STOP_GRACE`.
        """
        self._stopping = True
        if self._is_idle:
            # It may be closing for another reason.
            self._close_reason = (
                self._close_reason or connection_log.Reason.STOP
            )
            # Also ends the read, so that no request is read and then dropped.
            self._scope.cancel()
        else:
            self._limit_receive_time(STOP_GRACE)
            self._send_scope.deadline = min(
                self._send_scope.deadline, trio.current_time() + STOP_GRACE
            )

    @property
    def _is_idle(self) -> bool:
        """Whether no request is in progress and no byte of one has arrived."""
        return not self._busy and not http.is_readable(self._stream)

    @property
    def _has_queued_input(self) -> bool:
        """Whether bytes have been read that the parser has not got yet."""
        queue = self._chunk_receiver.statistics()
        return bool(queue.current_buffer_used or queue.tasks_waiting_send)

    def _limit_receive_time(self, seconds: float) -> None:
        """Ends the wait for a whole request after `seconds` at the latest."""
        self._receive_deadline = min(
            self._receive_deadline, trio.current_time() + seconds
        )
        self._wait_scope.deadline = self._receive_deadline

    def _drop_input(self) -> None:
        """Releases what has arrived.

        The traces of exceptions refer to the connection in a circle, which only
        the garbage collector frees.
        """
        self._body = _Body()
        self._protocol = _new_protocol()
        self._chunk_receiver.close()

    def _count_input(self) -> None:
        self._memory.hold_input(BUFFER_COST * (self._queued + self._fed))

    def _try_remove(self) -> bool:
        """Closes the connection for lack of memory; see `MemoryBudget.open`."""
        if self._handling:
            return False
        self._close_reason = connection_log.Reason.MEMORY
        self._scope.cancel()
        # Its tasks end later.
        self._body = _Body()
        return True

    def expire(self) -> None:
        """Closes the connection after its next response."""
        self._closing = True

    async def _read(self) -> None:
        """Reads continuously, so that a disconnect cancels the request."""
        async with self._chunk_sender:
            while True:
                try:
                    data = await self._receive()
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    data = b""
                if not data:
                    self._request_scope.cancel()
                    return
                self._busy = True
                self._queued += len(data)
                self._count_input()
                await self._chunk_sender.send(data)

    async def _receive(self) -> bytes:
        if self._source is not model.Source.PEER:
            return await self._stream.receive_some(RECEIVE_SIZE)
        while True:
            with trio.move_on_after(http.PROGRESS_INTERVAL):
                return await self._stream.receive_some(RECEIVE_SIZE)
            await self._send_progress()

    async def _send_progress(self) -> None:
        """Sends 102 (Processing) to a peer while its request is in progress.

        Without it, a peer can't distinguish a slow request from a connection
        that a firewall or NAT in between has dropped silently.
        """
        if not self._busy:
            return
        async with self._send_lock:
            if self._protocol.our_state is h11.SEND_RESPONSE:
                await self._stream.send_all(self._encode_informational(102))

    def _encode_informational(self, status: int) -> bytes:
        event = h11.InformationalResponse(status_code=status, headers=[])
        return self._protocol.send(event) or b""

    async def _serve_requests(self) -> None:
        while not (self._stopping and self._is_idle):
            with trio.CancelScope() as self._request_scope:
                if not await self._serve_one():
                    return
            if self._request_scope.cancelled_caught:
                return
        self._close_reason = connection_log.Reason.STOP

    async def _serve_one(self) -> bool:
        """Serves one request and returns whether the connection stays open."""
        try:
            request = await self._receive_request()
        except h11.RemoteProtocolError as error:
            self._close_reason = connection_log.Reason.BAD_INPUT
            too_large = error.error_status_hint == 431
            code = (
                exceptions.HEAD_TOO_LARGE
                if too_large
                else exceptions.BAD_REQUEST
            )
            await self._reject_input(code, str(error))
            return False
        except exceptions.ProtocolError as error:
            self._close_reason = connection_log.Reason.BAD_INPUT
            await self._reject_input(error.code, str(error))
            return False
        if request is None:
            return False
        self._handling = True
        response = await self._handler(request)
        self._handling = False
        del request
        if not await self._send_response(response):
            self._close_reason = connection_log.Reason.INCOMPLETE
            return False
        if self._protocol.our_state is h11.MUST_CLOSE:
            self._close_reason = connection_log.Reason.ANNOUNCED
            return False
        try:
            self._protocol.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        unparsed, _ = self._protocol.trailing_data
        self._fed = len(unparsed)
        self._count_input()
        self._busy = bool(unparsed) or self._has_queued_input
        return True

    async def _receive_request(self) -> http.RawRequest | None:
        """Returns the next request; None on a disconnect or timeout."""
        if not self._busy:
            self._receive_deadline = trio.current_time() + IDLE_TIMEOUT
            if not await self._feed_protocol():
                self._close_reason = connection_log.Reason.IDLE_TIMEOUT
                return None
            self._active_at = clock.monotonic()
        self._receive_deadline = trio.current_time() + REQUEST_TIMEOUT
        if self._stopping:
            self._limit_receive_time(STOP_GRACE)
        head: h11.Request | None = None
        received_at = 0.0
        self._body = _Body()
        while True:
            event = self._protocol.next_event()
            match event:
                case h11.Request():
                    self._unanswered = True
                    self._is_head_request = event.method == b"HEAD"
                    _check_head(event)
                    head = event
                    received_at = clock.monotonic()
                case h11.Data():
                    self._body.append(event.data)
                    if self._body.size > self._body_limit:
                        raise exceptions.ProtocolError(
                            exceptions.BODY_TOO_LARGE,
                            f"body exceeds {self._body_limit} bytes",
                        )
                case h11.EndOfMessage():
                    assert head is not None
                    body, self._body = self._body.join(), _Body()
                    return self._build_request(head, body, received_at)
                case h11.ConnectionClosed():
                    return None
                case _:
                    if not await self._feed_protocol():
                        self._close_reason = connection_log.Reason.HEAD_TIMEOUT
                        return None

    async def _feed_protocol(self) -> bool:
        """Passes the next bytes to the parser.

        Returns:
          Whether any arrived until the deadline.
        """
        with trio.CancelScope(
            deadline=self._receive_deadline
        ) as self._wait_scope:
            if self._protocol.they_are_waiting_for_100_continue:
                async with self._send_lock:
                    await self._stream.send_all(self._encode_informational(100))
            self._protocol.receive_data(await self._receive_chunk())
            return True
        # The loop may run long after the deadline, and the bytes may have been
        # in time.
        if not self._has_queued_input and not http.is_readable(self._stream):
            self._close_delay = trio.current_time() - self._receive_deadline
            return False
        self._protocol.receive_data(await self._receive_chunk())
        return True

    async def _receive_chunk(self) -> bytes:
        """Returns the next bytes; none at the end of the stream."""
        try:
            data = await self._chunk_receiver.receive()
            self._queued -= len(data)
            self._fed += len(data)
            return data
        except trio.EndOfChannel:
            return b""

    def _build_request(
        self, head: h11.Request, body: bytes, received_at: float
    ) -> http.RawRequest:
        return http.RawRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=http.decode_headers(head.headers),
            body=body,
            source=self._source,
            received_at=received_at,
        )

    async def _reject_input(self, code: str, detail: str) -> None:
        """Responds to invalid input, with `Connection: close`."""
        refusal = model.Refuse(code=code, detail=detail)
        response = codec.encode_refusal(refusal)
        closing_headers = (*response.headers, ("connection", "close"))
        if self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._send_response(
                dataclasses.replace(response, headers=closing_headers)
            )

    async def _send_response(self, response: model.Response) -> bool:
        """Sends a response and returns whether it was sent in time."""
        headers = list(http.end_to_end_headers(response.headers))
        headers.extend(self._length_headers(response))
        closes = (
            self._stopping
            or self._closing
            or model.find_header(response.headers, "connection") == "close"
        )
        if closes:
            headers.append(("connection", "close"))
        timeout = STOP_GRACE if self._stopping else SEND_TIMEOUT
        with trio.move_on_after(timeout) as self._send_scope:
            async with self._send_lock:
                await self._stream.send_all(self._encode(response, headers))
            self._unanswered = False
            self._active_at = clock.monotonic()
            return True
        return False

    def _length_headers(self, response: model.Response) -> model.Headers:
        """Returns the Content-Length header, if the status allows a body."""
        if response.status in (204, 304):
            return ()
        length = str(len(response.body))
        if self._is_head_request:
            # The upstream sends the length that the body would have for GET.
            length = (
                model.find_header(response.headers, "content-length") or length
            )
        return (("content-length", length),)

    def _encode(
        self, response: model.Response, headers: list[tuple[str, str]]
    ) -> bytes:
        send = self._protocol.send
        head = h11.Response(status_code=response.status, headers=headers)
        data = send(head) or b""
        if response.body and not self._is_head_request:
            data += send(h11.Data(data=response.body)) or b""
        return data + (send(h11.EndOfMessage()) or b"")


def _new_protocol() -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)


def _check_head(head: h11.Request) -> None:
    """Limits a head that arrived in one piece, whose size h11 does not check.

    Raises:
      ProtocolError: The head is too large.
    """
    size = len(head.target) + sum(
        len(name) + len(value) for name, value in head.headers
    )
    if size > HEAD_LIMIT:
        raise exceptions.ProtocolError(
            exceptions.HEAD_TOO_LARGE, f"head exceeds {HEAD_LIMIT} bytes"
        )


class Server(listener.Listener[ServerConnection]):
    """Serves requests whose bodies are buffered whole."""

    _expected_errors = (OSError, h11.ProtocolError)

    def __init__(
        self,
        *,
        address: model.Address,
        handler: Handler,
        source: model.Source,
        connection_limit: int = 4096,
        log: connection_log.ConnectionLog | None = None,
        budget: memory_budget.MemoryBudget | None = None,
        body_limit: int = BODY_LIMIT,
    ) -> None:
        """Creates the server.

        Args:
          address: Where to listen.
          handler: Handles each request.
          source: Who sends the requests.
          connection_limit: Maximum number of connections.
          log: Records why connections were closed.
          budget: Bounds the memory of what is received; None for one of its
            own.
          body_limit: Maximum length of a body in bytes.
        """
        super().__init__(address=address, connection_limit=connection_limit)
        self._log = log or connection_log.ConnectionLog(place=source.value)
        self._handler = handler
        self._source = source
        self._budget = budget or memory_budget.MemoryBudget()
        self._body_limit = body_limit

    def _new_connection(self, stream: trio.SocketStream) -> ServerConnection:
        return ServerConnection(
            stream=stream,
            handler=self._handler,
            source=self._source,
            log=self._log,
            budget=self._budget,
            body_limit=self._body_limit,
        )
