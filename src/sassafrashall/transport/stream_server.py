"""Serves HTTP/1.1 with bodies that are passed on as they arrive."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from sassafrashall import clock
from sassafrashall import configuration
from sassafrashall import exceptions
from sassafrashall import model
from sassafrashall.transport import codec
from sassafrashall.transport import http
from sassafrashall.transport import http1
from sassafrashall.transport import listener
from sassafrashall.transport import sockets

LINGER_TIME = 1.0  # seconds for the rest of a body after an early answer
SLOW_READER_TIMEOUT = 30.0  # seconds without progress of a caller that reads
SWEEP_INTERVAL = 0.2  # seconds between looks for callers that have left
CONNECTION_LIMIT = 3000  # a node's descriptors, less peers and upstream

Handler = Callable[[http.RawRequest], Awaitable[model.Response]]
LimitsSource = Callable[[], configuration.Limits]


class _RequestBody:
    """The rest of a request's body, read from its connection."""

    def __init__(self, *, connection: Connection, limit: int) -> None:
        self._connection = connection
        self._left = limit
        self.ended = False

    async def read(self) -> bytes:
        """Returns the next bytes, or none at the end."""
        if self.ended:
            return b""
        match await self._connection.next_event():
            case http1.BodyPart(data=data):
                self._left -= len(data)
                if self._left < 0:
                    raise exceptions.ProtocolError(
                        exceptions.BODY_TOO_LARGE, "the body is too large"
                    )
                return data
            case http1.MessageEnd():
                self.ended = True
                return b""
            case _:
                raise exceptions.ConnectionFailedError(
                    "the caller broke off", committed=True
                )

    async def close(self) -> None:
        """Leaves the rest unread."""


class Connection:
    """One accepted connection; one task reads and answers its requests.

    While a request is in progress nobody reads, so the server looks now and
    then whether the caller has left: a task that reads all along would cost
    each request a turn of the scheduler.
    """

    def __init__(
        self,
        *,
        stream: sockets.Stream,
        handler: Handler,
        source: model.Source,
        limits: configuration.Limits,
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._source = source
        self._limits = limits
        self._parser = http1.RequestParser(head_limit=limits.head_bytes)
        self._scope = trio.CancelScope()
        self._active_at = clock.monotonic()
        self._busy = False
        self._expiring = False

    async def serve(self) -> None:
        """Runs until either side ends the connection."""
        try:
            with self._scope:
                await self._answer_requests()
        except (OSError, trio.ClosedResourceError):
            pass
        finally:
            self._stream.close()

    def expire(self) -> None:
        """Lets the connection end with its next response."""
        self._expiring = True

    def stop(self) -> None:
        """Ends the connection once it is idle."""
        self._expiring = True
        if not self._busy and not self._parser.partial:
            self._scope.cancel()

    def check(self, now: float) -> None:
        """Ends the connection if its caller has left or takes too long."""
        if self._busy:
            if self._stream.has_ended:
                self._scope.cancel()
            return
        limit = self._limits.idle_timeout_s
        if self._parser.partial:
            limit = self._limits.head_timeout_s
        if now - self._active_at > limit:
            self._scope.cancel()

    async def next_event(self) -> http1.Event | None:
        """Waits for the next event; None once no more can come.

        Raises:
          ProtocolError: The caller sent something that is not HTTP.
        """
        while True:
            event = self._parser.next_event()
            if event is not None:
                return event
            begun = self._parser.partial
            data = await self._stream.receive(http.RECEIVE_SIZE)
            if not data:
                return None
            if not begun:
                self._active_at = clock.monotonic()
            self._parser.feed(data)

    async def _answer_requests(self) -> None:
        while True:
            try:
                head = await self.next_event()
                if not isinstance(head, http1.RequestHead):
                    return
                self._busy = True
                if not await self._answer(head):
                    return
                self._busy = False
                self._active_at = clock.monotonic()
            except exceptions.ProtocolError as fault:
                await self._refuse(fault)
                return
            except exceptions.ConnectionFailedError:
                return

    async def _answer(self, head: http1.RequestHead) -> bool:
        """Answers one request and returns whether the connection goes on."""
        if head.length is not None and head.length > self._limits.body_bytes:
            raise exceptions.ProtocolError(
                exceptions.BODY_TOO_LARGE, "the body is too large"
            )
        received_at = clock.monotonic()
        if model.find_header(head.headers, "expect") is not None:
            await self._stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        rest = _RequestBody(connection=self, limit=self._limits.body_bytes)
        body = await http.read_beginning(rest)
        response = await self._handler(
            http.RawRequest(
                method=head.method,
                target=head.target,
                headers=head.headers,
                body=body,
                source=self._source,
                received_at=received_at,
                rest=None if rest.ended else rest,
            )
        )
        closes = self._expiring or not head.keep_alive or not rest.ended
        whole = await self._send(response, closes, head.method == "HEAD")
        if not rest.ended:
            await self._linger(rest)
        return whole and not closes

    async def _send(
        self, response: model.Response, closes: bool, head_only: bool
    ) -> bool:
        """Sends a response and returns whether it is whole."""
        headers = response.headers
        length: int | None = len(response.body)
        if response.rest is not None or head_only:
            told = model.find_header(headers, "content-length")
            length = int(told) if told is not None else None
            if head_only and length is None:
                length = 0
        head = http1.encode_response(response.status, headers, length, closes)
        if head_only or response.status in (204, 304):
            await self._stream.send(head)
            return True
        if response.rest is None:
            await self._stream.send(head + response.body)
            return True
        return await self._send_parts(head, response, length is None)

    async def _send_parts(
        self, head: bytes, response: model.Response, chunked: bool
    ) -> bool:
        encode = http1.encode_chunk if chunked else bytes
        rest = response.rest
        assert rest is not None
        data = head + (encode(response.body) if response.body else b"")
        try:
            while data:
                with trio.fail_after(SLOW_READER_TIMEOUT):
                    await self._stream.send(data)
                part = await rest.read()
                data = encode(part) if part else b""
        except (exceptions.ConnectionFailedError, trio.TooSlowError):
            # The connection ends without the end of the body, which tells
            # the caller that the answer is not whole.
            return False
        finally:
            await rest.close()
        if chunked:
            await self._stream.send(http1.LAST_CHUNK)
        return True

    async def _refuse(self, fault: exceptions.ProtocolError) -> None:
        """Answers input that could not be read; the connection ends."""
        response = codec.problem(
            model.Refuse(code=fault.code, detail=str(fault))
        )
        await self._send(response, True, False)

    async def _linger(self, rest: _RequestBody) -> None:
        """Reads what the caller still sends, so that the answer reaches it."""
        with trio.move_on_after(LINGER_TIME):
            try:
                while await rest.read():
                    pass
            except exceptions.SassafrashallError:
                return


class Server(listener.Listener[Connection]):
    """Serves requests whose bodies are passed on as they arrive."""

    def __init__(
        self,
        *,
        address: model.Address,
        handler: Handler,
        source: model.Source,
        limits: LimitsSource,
    ) -> None:
        super().__init__(address=address, connection_limit=CONNECTION_LIMIT)
        self._handler = handler
        self._source = source
        self._limits = limits

    async def start(self, nursery: trio.Nursery) -> None:
        """Binds the address and serves in `nursery`."""
        await super().start(nursery)
        nursery.start_soon(self._sweep)

    def _connect(self, stream: trio.SocketStream) -> Connection:
        return Connection(
            stream=sockets.Stream(stream=stream),
            handler=self._handler,
            source=self._source,
            limits=self._limits(),
        )

    async def _sweep(self) -> None:
        """Ends connections whose callers have left or are idle for too long."""
        while True:
            await trio.sleep(SWEEP_INTERVAL)
            now = clock.monotonic()
            for connection in list(self._connections):
                connection.check(now)
